"""Tests for worker sessions and orders."""

import unittest
import warnings
from dataclasses import replace
from unittest import mock

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402
from coordinator_cases import (  # noqa: E402
    BOUNDS,
    ManualClock,
    RecordedCalls,
    job,
    session,
    tracker_with,
    worker,
)

from hornbeamfold.batch import (  # noqa: E402
    Accepted,
    Bounds,
    EndedTask,
    LeaseRenewal,
    LeaseReport,
    NoAnswer,
    Refusal,
    Refused,
    Resources,
    RunEnd,
    RunName,
    RunningTask,
    StartOrder,
    Step,
    TaskRef,
)
from hornbeamfold.coordinator.lease import MIN_CLOCK_RATE  # noqa: E402
from hornbeamfold.coordinator.orders import MAX_CONCURRENT_ORDERS  # noqa: E402
from hornbeamfold.coordinator.session import (  # noqa: E402
    MAX_RENEWAL_STATE_AGE_MS,
    RunsLost,
    Session,
    busy_renewal_wait_ms,
)

NAME = RunName("a", TaskRef(0, 0, 0), 1)


def sleep_moves_clock(clock: ManualClock):
    """Replace sleeps of the session by advancing the clock."""
    return mock.patch(
        "hornbeamfold.coordinator.session.eventlet.sleep",
        lambda seconds: clock.move(int(seconds * 1_000)),
    )


class LeaseTest(unittest.TestCase):
    def test_an_unanswered_renewal_may_have_extended_the_lease(self) -> None:
        """Guards against a second run of a task while an unreachable worker still has its lease.

        The coordinator would count the lease from the last answered renewal, but a later one may
        have reached the worker. Found by: hww-prairie, mix --seed 458629891974, TWICE.
        """
        clock, calls = ManualClock(), RecordedCalls()
        sent: list[int] = []

        def renew(renewal: LeaseRenewal) -> LeaseReport | NoAnswer:
            if len(sent) < 3:
                sent.append(clock())
                clock.move(1_900)
                return LeaseReport(clock(), 1, (), ())
            if renewal.expires_ms is not None:
                sent.append(clock())
            clock.move(2_900)
            if calls.named("runs lost"):
                calls.end()
            return NoAnswer("timeout")

        with sleep_moves_clock(clock):
            session(calls, clock, renew).run()
        self.assertTrue(calls.named("runs lost"))
        # The first unanswered renewal may have arrived; later ones do not extend the lease.
        self.assertEqual(len(sent), 4)
        lease_end = sent[-1] + BOUNDS.lease_max_ms / MIN_CLOCK_RATE
        self.assertGreater(clock(), lease_end)

    def test_a_start_order_does_not_outlast_the_lease_that_is_waited_for(self) -> None:
        """Guards against second runs of all tasks of a worker that got a start but cannot answer.

        Found by: review/6, TWICE.
        """
        cases = [
            (
                "bounds of rsa-fold-large",
                Bounds(zone_out_ms=5_000, drain_ms=5_000, cancel_ms=5_000),
            ),
            ("bounds of rsa-fold", Bounds()),
            (
                "bounds beyond the longest lease",
                Bounds(10_000, zone_out_ms=20_000, drain_ms=20_000, cancel_ms=20_000),
            ),
        ]
        for name, bounds in cases:
            for start_ms in (0, 500, 3_400):
                with self.subTest(name, start_ms=start_ms):
                    lost_ms, lease_ms = self.lease_at_loss(bounds, start_ms)
                    self.assertGreater(lost_ms, lease_ms)

    def lease_at_loss(self, bounds: Bounds, start_ms: int) -> tuple[int, int]:
        """Return when a worker whose answers are lost counts as lost, and its lease, on its clock.

        A start order is sent this long after its last answer. Its clock is 2% slow.
        """
        clock, calls = ManualClock(), RecordedCalls()
        began_ms, deadlines = clock(), [0]
        tracker = tracker_with(clock, job("a"))
        (run,) = tracker.begin_runs("a", [TaskRef(0, 0, 0)], [worker()])
        sessions: list[Session] = []
        unanswered: list[LeaseRenewal] = []

        def worker_clock_ms() -> int:
            return int((clock() - began_ms) * 0.98)

        def start(_: object, order: StartOrder) -> NoAnswer:
            deadlines.append(order.valid_until_ms)
            return NoAnswer("timeout")

        def renew(renewal: LeaseRenewal) -> LeaseReport | NoAnswer:
            deadlines.append(renewal.expires_ms or 0)
            if len(calls.named("report")) < 3:
                return LeaseReport(worker_clock_ms(), 1, (), ())
            if calls.named("runs lost"):
                calls.end()
            unanswered.append(renewal)
            if len(unanswered) == 1:
                clock.move(start_ms)
                sessions[0].orders.send_start(run, "{}")
            clock.move(100)
            return NoAnswer("timeout")

        sessions.append(
            session(
                calls,
                clock,
                renew,
                bounds=bounds,
                start=start,
                stop=lambda *_: Accepted(0),
            )
        )
        with sleep_moves_clock(clock):
            sessions[0].run()
        return worker_clock_ms(), max(deadlines)

    def test_renewals_extend_the_lease_once_the_workers_clock_is_known(self) -> None:
        clock, calls = ManualClock(), RecordedCalls()
        seen: list[LeaseRenewal] = []

        def renew(renewal: LeaseRenewal) -> LeaseReport:
            seen.append(renewal)
            if len(seen) == 2:
                calls.end()
            return LeaseReport(500, 1, (), ())

        session(calls, clock, renew).run()
        self.assertIsNone(seen[0].expires_ms)
        self.assertEqual(seen[1].expires_ms, 500 + BOUNDS.lease_max_ms)

    def test_a_coordinator_that_may_have_been_replaced_extends_no_lease(self) -> None:
        """Guards against a lease without end on a worker that only the old coordinator reaches."""
        bound = MAX_RENEWAL_STATE_AGE_MS
        for age_ms, extends in ((bound, True), (bound + 1, False)):
            with self.subTest(age_ms):
                clock, calls = ManualClock(), RecordedCalls()
                calls.set_state_age(age_ms)
                seen: list[LeaseRenewal] = []

                def renew(
                    renewal: LeaseRenewal, seen: list = seen, calls: RecordedCalls = calls
                ) -> LeaseReport:
                    seen.append(renewal)
                    if len(seen) == 2:
                        calls.end()
                    return LeaseReport(500, 1, (), ())

                session(calls, clock, renew).run()
                self.assertEqual(seen[1].expires_ms is not None, extends)

    def test_ends_are_acknowledged_after_they_are_stored(self) -> None:
        clock, calls = ManualClock(), RecordedCalls()
        seen: list[LeaseRenewal] = []
        end = EndedTask(4, NAME, RunEnd.DONE, "")

        def renew(renewal: LeaseRenewal) -> LeaseReport:
            seen.append(renewal)
            if len(seen) == 2:
                calls.end()
            return LeaseReport(500, 1, (), (end,))

        session(calls, clock, renew).run()
        self.assertEqual([each.acknowledged for each in seen], [0, 4])
        self.assertEqual(calls.named("ended"), [(end,)])

    def test_the_report_of_a_new_incarnation_decides_which_runs_are_lost(self) -> None:
        """Guards against losing a run whose order reached the worker as it began again.

        Found by: soak seeds 22 and 9101, "a task runs once".
        """
        running = (RunningTask(NAME, "", 5.0),)
        cases: list[tuple[str, list[int], int]] = [
            ("reborn", [1, 2], 1),
            ("reborn twice", [1, 2, 3], 2),
            ("an earlier time of day", [3, 1], 1),
        ]
        for name, births, changes in cases:
            with self.subTest(name):
                clock, calls = ManualClock(), RecordedCalls()
                answers = [LeaseReport(500, born, running, ()) for born in births]
                seen: list[LeaseRenewal] = []

                def renew(
                    renewal: LeaseRenewal,
                    answers: list = answers,
                    seen: list = seen,
                    calls: RecordedCalls = calls,
                ) -> LeaseReport:
                    seen.append(renewal)
                    if len(seen) == len(answers) + 1:
                        calls.end()
                        return answers[-1]
                    return answers[len(seen) - 1]

                worker_session = session(calls, clock, renew, born_ms=births[0])
                with self.assertLogs("hornbeamfold.coordinator.session", "INFO") as logs:
                    worker_session.run()
                self.assertEqual(calls.named("runs lost"), [])
                self.assertEqual(calls.named("report"), answers)
                self.assertEqual(worker_session.worker.born_ms, births[-1])
                reborn = [line for line in logs.output if "worker_reborn" in line]
                self.assertEqual(len(reborn), changes)

    def test_a_held_answer_of_the_previous_incarnation_is_ignored(self) -> None:
        clock, calls = ManualClock(), RecordedCalls()
        old = LeaseReport(900, 1, (RunningTask(NAME, "", 50.0),), ())
        new = LeaseReport(20, 2, (), ())
        seen: list[LeaseRenewal] = []
        sessions: list[Session] = []

        def renew(renewal: LeaseRenewal) -> LeaseReport:
            seen.append(renewal)
            clock.move(10)
            if len(seen) == 1:
                # The registry tells of the new incarnation while the answer is on its way.
                sessions[0].update(replace(worker(born_ms=2), draining=True))
                clock.move(10)
                return old
            if len(seen) == 3:
                calls.end()
            return new

        sessions.append(session(calls, clock, renew))
        sessions[0].run()
        self.assertEqual(calls.named("report"), [new])
        self.assertEqual(sessions[0].worker.born_ms, 2)
        self.assertTrue(sessions[0].worker.draining)

    def test_a_new_incarnation_gets_no_tasks_before_its_entry_describes_it(self) -> None:
        """Guards against starts over the capacity of a worker that came back as a smaller one."""
        clock, calls = ManualClock(), RecordedCalls()
        answers = [LeaseReport(500, 1, (), ()), LeaseReport(20, 2, (), ())]
        usable: list[bool] = []
        sessions: list[Session] = []

        def renew(renewal: LeaseRenewal) -> LeaseReport:
            usable.append(sessions[0].usable)
            if len(usable) == 4:
                calls.end()
            if len(usable) == 3:
                # The entry of the previous incarnation is still the newest one.
                sessions[0].update(worker(born_ms=1))
                usable[-1] = sessions[0].usable
                sessions[0].update(worker(born_ms=2))
            return answers[0 if len(usable) == 1 else 1]

        sessions.append(session(calls, clock, renew))
        sessions[0].run()
        self.assertEqual(usable, [False, True, False, True])

    def test_a_new_incarnation_that_does_not_report_keeps_its_runs_for_a_lease(self) -> None:
        clock, calls = ManualClock(), RecordedCalls()

        def renew(renewal: LeaseRenewal) -> NoAnswer:
            clock.move(500)
            if calls.named("runs lost"):
                calls.end()
            return NoAnswer("timeout")

        worker_session = session(calls, clock, renew)
        clock.move(100_000)
        worker_session.update(worker(born_ms=2))
        reborn_ms = clock()
        with sleep_moves_clock(clock):
            worker_session.run()
        self.assertEqual(calls.named("runs lost"), ["lease expired"])
        self.assertGreaterEqual(clock(), reborn_ms + BOUNDS.lease_max_ms / MIN_CLOCK_RATE)

    def test_a_new_incarnation_is_not_told_to_forget_its_ends(self) -> None:
        """Guards against a second run of a task that ended as the worker's connection was lost."""
        clock, calls = ManualClock(), RecordedCalls()
        end = EndedTask(57, NAME, RunEnd.DONE, "")
        answers: list[LeaseReport | NoAnswer] = [
            LeaseReport(500, 1, (), (end,)),
            NoAnswer("reset"),
            LeaseReport(20, 2, (), (replace(end, number=1),)),
        ]
        seen: list[LeaseRenewal] = []

        def renew(renewal: LeaseRenewal) -> LeaseReport | NoAnswer:
            seen.append(renewal)
            if len(seen) == 4:
                calls.end()
            return answers[min(len(seen), len(answers)) - 1]

        with sleep_moves_clock(clock):
            session(calls, clock, renew).run()
        self.assertEqual([each.acknowledged for each in seen], [0, 57, 0, 1])

    def test_no_answer_ends_the_runs_of_a_leaving_worker_before_its_lease(self) -> None:
        """Guards against second runs of tasks on a draining worker that was cut off.

        Found by: review/2, TWICE. Its connections were refused, and it ran on.
        """
        refused, timed_out = NoAnswer("refused"), NoAnswer("timeout")
        cases = [
            ("refused for long", True, [refused] * 20, []),
            ("one refusal", True, [refused], []),
            ("a refusal, then none", True, [refused, timed_out, refused], []),
            ("was not draining", False, [refused, refused], []),
            ("did not refuse the connection", True, [timed_out, timed_out], []),
            ("another worker has its address", True, [refused, Refused(Refusal.GONE)],
             ["another incarnation answers"]),
        ]  # fmt: skip
        for name, draining, answers, expected in cases:
            with self.subTest(name):
                self.assertEqual(self.loss_reasons(draining, answers), expected)

    def loss_reasons(self, draining: bool, answers: list[NoAnswer | Refused]) -> list[object]:
        """Return the reasons for which runs are lost after these unanswered renewals."""
        clock, calls = ManualClock(), RecordedCalls()
        left = list(answers)

        def renew(renewal: LeaseRenewal) -> NoAnswer | Refused:
            if left:
                return left.pop(0)
            calls.end()
            return NoAnswer("the case is over")

        worker_session = session(calls, clock, renew)
        worker_session.update(replace(worker(), draining=draining))
        # The lease that the worker may have has not expired.
        clock.move(-1)
        with mock.patch("hornbeamfold.coordinator.session.eventlet.sleep"):
            worker_session.run()
        return calls.named("runs lost")

    def test_a_worker_has_crashed_only_if_its_incarnation_is_gone(self) -> None:
        """Guards against blaming tasks for workers that left or were cut off."""
        lost_run, crash, vanished = RunEnd.LOST, RunEnd.WORKER_CRASHED, RunEnd.WORKER_VANISHED
        report = LeaseReport(500, 1, (), ())
        other = LeaseReport(20, 2, (), ())
        refused, timed_out = NoAnswer("refused"), NoAnswer("timeout")
        cases = [
            ("reports that it is reborn", {}, [report, other], None, crash),
            ("reports without the run", {}, [report], None, lost_run),
            ("another worker answers", {}, [report], RunsLost.ANOTHER_ANSWERS, crash),
            ("cut off", {}, [report, timed_out], RunsLost.LEASE_EXPIRED, lost_run),
            ("connections refused", {}, [report, refused], RunsLost.LEASE_EXPIRED, lost_run),
            ("connections refused and unregistered", {"registered": False}, [report, refused],
             RunsLost.LEASE_EXPIRED, vanished),
            ("cut off later", {}, [report, refused, timed_out], RunsLost.LEASE_EXPIRED,
             lost_run),
            ("unregistered", {"registered": False}, [timed_out], RunsLost.LEASE_EXPIRED,
             vanished),
            ("left", {"draining": True}, [report, refused], RunsLost.LEASE_EXPIRED, lost_run),
            ("reborn after it left", {"draining": True}, [report, other], None, lost_run),
            ("unregistered after it left", {"draining": True, "registered": False}, [refused],
             RunsLost.LEASE_EXPIRED, lost_run),
        ]  # fmt: skip
        for name, changes, answers, lost, end in cases:
            with self.subTest(name):
                ended = self.session_after(answers, **changes)
                self.assertIs(ended.lost_run_end(1, lost), end)

    def session_after(
        self,
        answers: list[LeaseReport | NoAnswer],
        draining: bool = False,
        registered: bool = True,
    ) -> Session:
        """Return a session whose renewals got these answers."""
        clock, calls, left = ManualClock(), RecordedCalls(), list(answers)

        def renew(renewal: LeaseRenewal) -> LeaseReport | NoAnswer:
            if left:
                return left.pop(0)
            calls.end()
            return NoAnswer("the case is over")

        worker_session = session(calls, clock, renew)
        worker_session.update(replace(worker(), draining=draining))
        if not registered:
            worker_session.unregister()
        with sleep_moves_clock(clock):
            worker_session.run()
        return worker_session

    def test_an_outdated_entry_is_no_evidence_of_a_crash(self) -> None:
        """Guards against blaming a run of an incarnation that is newer than the list of workers."""
        calls = RecordedCalls()
        worker_session = session(calls, ManualClock(), lambda _: NoAnswer("timeout"), born_ms=5)
        self.assertIs(worker_session.lost_run_end(7, RunsLost.LEASE_EXPIRED), RunEnd.LOST)
        self.assertIs(worker_session.lost_run_end(3, RunsLost.LEASE_EXPIRED), RunEnd.WORKER_CRASHED)

    def test_renewals_wait_longer_with_more_workers_for_each_core(self) -> None:
        cases = [(24, 1.0, 800), (270, 2.0, 1_620), (270, 1.0, 1_620), (48, 0.12, 2_000)]
        for workers, cores, wait_ms in cases:
            with self.subTest(workers=workers, cores=cores):
                self.assertEqual(busy_renewal_wait_ms(workers, cores), wait_ms)

    def test_a_higher_token_ends_the_term(self) -> None:
        clock, calls = ManualClock(), RecordedCalls()
        session(calls, clock, lambda _: Refused(Refusal.FENCED)).run()
        self.assertEqual(len(calls.named("fenced")), 1)


class OrderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.calls = ManualClock(), RecordedCalls()
        self.tracker = tracker_with(self.clock, job("a"))
        (self.run_,) = self.tracker.begin_runs("a", [TaskRef(0, 0, 0)], [worker()])
        self.stops: list[object] = []

    def start(self, answer, reports: int = 1) -> None:
        """Report once, so that the worker's clock is known, then send a start order.

        Without `reports` the order is sent before the first report.
        """
        seen: list[LeaseRenewal] = []

        def renew(renewal: LeaseRenewal) -> LeaseReport:
            seen.append(renewal)
            if len(seen) == 2:
                self.calls.end()
            return LeaseReport(500, 1, (), ())

        def stop(_, order) -> Accepted:
            self.stops.append(order)
            return Accepted(0)

        started = session(
            self.calls, self.clock, renew, start=lambda _, order: answer(order), stop=stop
        )
        if reports:
            started.run()
        self.calls.begin()
        started.orders.send_start(self.run_, "{}")

    def test_an_order_expires_before_the_shortest_bound(self) -> None:
        orders: list[StartOrder] = []

        def answer(order: StartOrder) -> Accepted:
            orders.append(order)
            return Accepted(0)

        self.start(answer)
        self.assertLess(orders[0].valid_until_ms, 500 + BOUNDS.drain_ms)
        self.assertEqual(orders[0].token, 7)
        self.assertEqual(self.calls.named("settled"), [self.run_.name])
        self.assertEqual(self.calls.named("sent"), [(self.run_.name, 1)])

    def test_nothing_is_sent_before_the_worker_has_reported(self) -> None:
        self.start(lambda order: self.fail("sent"), reports=0)
        self.assertEqual(self.calls.named("not started"), [Refusal.TOO_LATE])
        self.assertEqual(self.calls.named("sent"), [])

    def test_a_stop_that_is_under_way_is_not_sent_again(self) -> None:
        """Guards against reports that each add another stop order for every run that is stopped."""
        sent = session(
            self.calls, self.clock, lambda _: NoAnswer("unused"), stop=lambda *_: Accepted(0)
        ).orders
        with mock.patch("hornbeamfold.coordinator.orders.eventlet.spawn_n") as spawn:
            for _ in range(3):
                sent.stop(self.run_)
            self.assertEqual(spawn.call_count, 1)
            spawn.call_args.args[0]()
            sent.stop(self.run_)
            self.assertEqual(spawn.call_count, 2)

    def test_a_start_does_not_wait_for_stops_that_are_not_answered(self) -> None:
        """Guards against starts behind the stops of a worker that answers only some orders."""
        refs = [TaskRef(0, 0, index) for index in range(2 * MAX_CONCURRENT_ORDERS)]
        tracker = tracker_with(self.clock, job("b", Step(len(refs), Resources(1, 1))))
        runs = tracker.begin_runs("b", refs, [worker() for _ in refs])
        asked: list[object] = []

        def stop(*_: object) -> NoAnswer:
            asked.append(None)
            eventlet.sleep(0.01)
            return NoAnswer("timeout")

        orders = session(self.calls, self.clock, lambda _: NoAnswer("unused"), stop=stop).orders
        for run in runs:
            orders.stop(run)
        orders.start(self.run_, "{}")
        eventlet.sleep(0.15)
        self.assertGreaterEqual(len(asked), len(runs))
        # The worker has not reported yet, so the order is given up without being sent.
        self.assertEqual(self.calls.named("not started"), [Refusal.TOO_LATE])
        self.calls.end()
        eventlet.sleep(0.3)

    def test_an_order_is_checked_again_before_it_is_sent(self) -> None:
        """Guards against starts on a worker that began to drain after the run was planned.

        Found by: hww-prairie trouble-1, DRAIN (1 of 3 runs).
        """
        self.calls.note("draining", "w1")
        self.start(lambda order: self.fail("sent"))
        self.assertEqual(self.calls.named("not started"), [Refusal.TOO_LATE])

    def test_an_unanswered_order_is_stopped_before_it_counts_as_settled(self) -> None:
        self.start(lambda order: NoAnswer("timeout"))
        self.assertEqual(len(self.stops), 1)
        self.assertEqual(self.calls.named("settled"), [self.run_.name])
        # The report that is requested at once shows whether the worker has the run.
        self.assertEqual(self.calls.events[-1][0], "report")

    def test_an_order_that_raises_is_stopped_like_an_unanswered_one(self) -> None:
        """Guards against a run that counts as running for as long as its worker lives."""

        def fail(_: StartOrder) -> Accepted:
            raise RuntimeError("odd")

        self.start(fail)
        self.assertEqual(len(self.stops), 1)
        self.assertEqual(self.calls.named("settled"), [self.run_.name])

    def test_an_unanswered_order_is_sent_again(self) -> None:
        """Guards against restarting a whole gang because one start order got no answer."""
        answers = [NoAnswer("timeout"), Accepted(0)]
        self.start(lambda order: answers.pop(0))
        self.assertEqual(self.stops, [])
        self.assertEqual(self.calls.named("settled"), [self.run_.name])

    def test_a_refused_retry_leaves_the_first_order_unresolved(self) -> None:
        answers = [NoAnswer("timeout"), Refused(Refusal.UNHEALTHY)]
        self.start(lambda order: answers.pop(0))
        self.assertEqual(len(self.stops), 1)
        self.assertEqual(self.calls.named("not started"), [])

    def test_refusals_are_reported(self) -> None:
        for reason in (
            Refusal.NO_ROOM,
            Refusal.OLD_RUN,
            Refusal.UNHEALTHY,
            Refusal.UNREACHABLE,
            Refusal.TOO_LATE,
        ):
            with self.subTest(reason):
                self.setUp()
                self.start(lambda order, reason=reason: Refused(reason))
                self.assertEqual(self.calls.named("not started"), [reason])


if __name__ == "__main__":
    unittest.main()
