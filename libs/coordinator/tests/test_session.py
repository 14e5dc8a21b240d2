"""Tests of a worker's session."""

import unittest
from dataclasses import replace
from unittest import mock

from coordinator_cases import BOUNDS, Calls, ManualClock, book_with, job, session, worker

from hornbeamfold.batch import (
    Accepted,
    EndedTask,
    LeaseRenewal,
    LeaseReport,
    NoAnswer,
    Refusal,
    Refused,
    RunEnd,
    RunName,
    StartOrder,
    TaskRef,
)
from hornbeamfold.coordinator.session import CLOCK_RATE, RENEWAL_KNOWLEDGE_MS

NAME = RunName("a", TaskRef(0, 0, 0), 1)


def no_sleep(clock: ManualClock):
    """Let sleeps of the session move the clock instead."""
    return mock.patch(
        "hornbeamfold.coordinator.session.eventlet.sleep",
        lambda seconds: clock.move(int(seconds * 1_000)),
    )


class LeaseTest(unittest.TestCase):
    def test_an_unanswered_renewal_may_have_extended_the_lease(self) -> None:
        """Guards against runs that are started again while a cut worker still has its lease.

        Found by a hunt: hww-prairie, mix --seed 458629891974, TWICE.
        """
        clock, calls = ManualClock(), Calls()
        sent: list[int] = []

        def renew(renewal: LeaseRenewal) -> LeaseReport | NoAnswer:
            if len(sent) < 3:
                sent.append(clock())
                clock.move(1_900)
                return LeaseReport(clock(), 1, (), ())
            if renewal.expires_ms is not None:
                sent.append(clock())
            clock.move(2_900)
            if calls.named("gone"):
                calls.end()
            return NoAnswer("timeout")

        with no_sleep(clock):
            session(calls, clock, renew).run()
        self.assertTrue(calls.named("gone"))
        # The first renewal after the cut might have arrived; the others leave the lease alone.
        self.assertEqual(len(sent), 4)
        last_lapse = sent[-1] + BOUNDS.lease_max_ms / CLOCK_RATE
        self.assertGreater(clock(), last_lapse)

    def test_renewals_carry_the_lease_once_the_clock_is_known(self) -> None:
        clock, calls = ManualClock(), Calls()
        seen: list[LeaseRenewal] = []

        def renew(renewal: LeaseRenewal) -> LeaseReport:
            seen.append(renewal)
            if len(seen) == 2:
                calls.end()
            return LeaseReport(500, 1, (), ())

        session(calls, clock, renew).run()
        self.assertIsNone(seen[0].expires_ms)
        self.assertEqual(seen[1].expires_ms, 500 + BOUNDS.lease_max_ms)

    def test_a_coordinator_that_may_be_replaced_extends_no_lease(self) -> None:
        """Guards against a worker that only the old coordinator reaches and keeps alive."""
        bound = RENEWAL_KNOWLEDGE_MS
        for age_ms, extends in ((bound, True), (bound + 1, False)):
            with self.subTest(age_ms):
                clock, calls = ManualClock(), Calls()
                calls.age_knowledge(age_ms)
                seen: list[LeaseRenewal] = []

                def renew(
                    renewal: LeaseRenewal, seen: list = seen, calls: Calls = calls
                ) -> LeaseReport:
                    seen.append(renewal)
                    if len(seen) == 2:
                        calls.end()
                    return LeaseReport(500, 1, (), ())

                session(calls, clock, renew).run()
                self.assertEqual(seen[1].expires_ms is not None, extends)

    def test_ends_are_acknowledged_after_they_are_stored(self) -> None:
        clock, calls = ManualClock(), Calls()
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

    def test_a_new_incarnation_has_lost_everything(self) -> None:
        clock, calls = ManualClock(), Calls()
        seen: list[LeaseRenewal] = []

        def renew(renewal: LeaseRenewal) -> LeaseReport:
            seen.append(renewal)
            if len(seen) == 3:
                calls.end()
            return LeaseReport(500, min(2, len(seen)), (), ())

        session(calls, clock, renew).run()
        self.assertEqual(calls.named("gone"), ["reborn"])

    def test_a_worker_that_has_left_is_gone_before_its_lease_expires(self) -> None:
        """Guards against runs that wait for the lease of a worker that said it would leave."""
        cases = [
            ("left", True, False, True, ["left"]),
            ("still listed", True, True, True, []),
            ("did not say so", False, False, True, []),
            ("silent", True, False, False, []),
        ]
        for name, draining, listed, nobody_listens, expected in cases:
            with self.subTest(name):
                self.assertEqual(self.gone(draining, listed, nobody_listens), expected)

    def gone(self, draining: bool, listed: bool, nobody_listens: bool) -> list[object]:
        """Return why a worker that does not answer two renewals counts as gone."""
        clock, calls = ManualClock(), Calls()
        tries: list[LeaseRenewal] = []

        def renew(renewal: LeaseRenewal) -> NoAnswer:
            tries.append(renewal)
            if len(tries) == 2:
                calls.end()
            return NoAnswer("down", nobody_listens)

        made = session(calls, clock, renew)
        made.update(replace(worker(), draining=draining))
        if not listed:
            made.unregister()
        made.run()
        return calls.named("gone")

    def test_a_higher_token_ends_the_term(self) -> None:
        clock, calls = ManualClock(), Calls()
        session(calls, clock, lambda _: Refused(Refusal.FENCED)).run()
        self.assertEqual(len(calls.named("fenced")), 1)


class OrderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.calls = ManualClock(), Calls()
        self.book = book_with(self.clock, job("a"))
        (self.run_,) = self.book.begin("a", [TaskRef(0, 0, 0)], [worker()])
        self.stops: list[object] = []

    def start(self, answer, reports: int = 1) -> None:
        """Report once, so that the worker's clock is known, then send a start order."""
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

    def test_an_order_is_valid_for_less_than_the_least_bound(self) -> None:
        orders: list[StartOrder] = []

        def answer(order: StartOrder) -> Accepted:
            orders.append(order)
            return Accepted(0)

        self.start(answer)
        self.assertLess(orders[0].valid_until_ms, 500 + BOUNDS.drain_ms)
        self.assertEqual(orders[0].token, 7)
        self.assertEqual(self.calls.named("settled"), [self.run_.name])

    def test_nothing_is_sent_before_the_worker_has_reported(self) -> None:
        self.start(lambda order: self.fail("sent"), reports=0)
        self.assertEqual(self.calls.named("not started"), [Refusal.TOO_LATE])

    def test_an_order_that_waited_is_checked_again(self) -> None:
        """Guards against starts on a worker that began to drain after the run was planned.

        Found in the standard days: hww-prairie trouble-1, DRAIN (1 of 3 plays).
        """
        self.calls.note("drains", "w1")
        self.start(lambda order: self.fail("sent"))
        self.assertEqual(self.calls.named("not started"), [Refusal.TOO_LATE])

    def test_an_unanswered_order_is_stopped_before_it_counts_as_settled(self) -> None:
        self.start(lambda order: NoAnswer("timeout"))
        self.assertEqual(len(self.stops), 1)
        self.assertEqual(self.calls.named("settled"), [self.run_.name])
        # A report that is asked for at once says whether the worker has the run.
        self.assertEqual(self.calls.events[-1][0], "report")

    def test_an_unanswered_order_is_sent_again(self) -> None:
        """Guards against gangs that begin anew because one order got no answer."""
        answers = [NoAnswer("timeout"), Accepted(0)]
        self.start(lambda order: answers.pop(0))
        self.assertEqual(self.stops, [])
        self.assertEqual(self.calls.named("settled"), [self.run_.name])

    def test_a_refusal_after_an_unanswered_order_says_nothing_of_that_order(self) -> None:
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
