"""Tests of what the coordinator does about tasks that disturb each other.

A small fleet of workers reports runs; pace orders may be lost, late or refused.
"""

import unittest
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from unittest import mock

from coordinator_cases import CAPACITY, ManualClock, job, tracker_with, worker

from hornbeamfold.batch import (
    Accepted,
    BatchJob,
    Bounds,
    JobProgress,
    LeaseReport,
    NoAnswer,
    OrderOutcome,
    Refusal,
    Refused,
    Resources,
    RunEnd,
    RunName,
    RunningTask,
    Step,
    TaskPhase,
    TaskProgress,
    TaskRef,
    Worker,
)
from hornbeamfold.coordinator.interference import Interference, InterferenceDependencies
from hornbeamfold.coordinator.job_tracker import JobTracker
from hornbeamfold.coordinator.pacing import LATE_ORDER_MS
from hornbeamfold.interference.pacing import MAX_STARVED_MS
from hornbeamfold.scheduling import CandidateWorker, ReadyStep, no_slowdown, plan

BOUNDS = Bounds()
REPORT_MS = 800
TARGET_MS = 100
SITE = Step(
    1, Resources(4_000, 1_000), long_running=True, image="site", latency_target_ms=TARGET_MS
)
FILL = Step(1, Resources(8_000, 1_000), 60_000, best_effort=True, image="batch")
FRAME = Step(1, Resources(1_000, 1_000), 60_000, image="frame")
NOISE = Step(1, Resources(1_000, 1_000), 60_000, image="noise")


class FakeOrders:
    """Records pace orders; each is answered at once with the next outcome."""

    def __init__(self) -> None:
        self.paced: list[tuple[str, int]] = []
        self.outcome: OrderOutcome = Accepted(1)
        self.held_back: list[Callable[[], None]] = []
        self.hold_back = False

    def pace(self, name: RunName, percent: int, on_outcome: Callable[[OrderOutcome], None]) -> None:
        self.paced.append((name.job_id, percent))
        outcome = self.outcome
        if self.hold_back:
            self.held_back.append(lambda: on_outcome(outcome))
            return
        on_outcome(outcome)


@dataclass(frozen=True)
class FakeSession:
    """What interference needs of a session."""

    worker: Worker
    orders: FakeOrders


class InterferenceCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.stopped: list[tuple[str, str]] = []
        self.begin_term(tracker_with(self.clock))
        self.sessions = {each: FakeSession(worker(each), FakeOrders()) for each in ("w1", "w2")}
        self.percents: dict[str, float] = {}

    def begin_term(self, tracker: JobTracker) -> None:
        """Begin a term, which knows nothing of an earlier one."""
        self.tracker = tracker
        self.interference = Interference(
            InterferenceDependencies(tracker, BOUNDS, self.clock, self.stop)
        )

    def stop(self, names: Sequence[RunName], reason: str) -> None:
        self.stopped.extend((name.job_id, reason) for name in names)

    def start(self, job_id: str, step: Step, worker_id: str, **changes: object) -> RunName:
        """Start the first task of a job of one step."""
        self.tracker.add(job(job_id, step, **changes), JobProgress())
        runs = self.tracker.begin_runs(
            job_id, [TaskRef(0, 0, 0)], [self.sessions[worker_id].worker]
        )
        self.tracker.settle(runs[0].name)
        return runs[0].name

    def report(
        self,
        worker_id: str,
        loads: Mapping[str, float | None] | None = None,
        by_ms: int = REPORT_MS,
        born_ms: int = 1,
        clock_ms: int | None = None,
    ) -> None:
        """Let time pass, then report all runs of a worker; tasks that end progress with it."""
        self.clock.move(by_ms)
        running: list[RunningTask] = []
        for run in self.tracker.runs_on(worker_id):
            step = self.tracker.jobs[run.name.job_id].job.steps[0]
            percent = 100.0 if step.long_running else self.percents.get(run.name.job_id, 10.0)
            load = (loads or {}).get(run.name.job_id)
            running.append(RunningTask(run.name, "", percent, load))
        at_ms = self.clock() if clock_ms is None else clock_ms
        report = LeaseReport(at_ms, born_ms, tuple(running), ())
        for each in running:
            self.tracker.update_progress(each)
        self.interference.on_report(self.sessions[worker_id], report)  # type: ignore[arg-type]

    def candidate(self, worker_id: str) -> CandidateWorker:
        free = CAPACITY - self.tracker.reserved_on(worker_id)
        described = self.sessions[worker_id].worker
        return CandidateWorker(
            worker_id, described.service, "sousse", "r1", frozenset(), CAPACITY, free
        )

    def place(self, step: Step, *worker_ids: str) -> list[str]:
        """Return the workers that a pass chooses for a step."""
        ready = ReadyStep(
            job(f"new-{step.image}", step), 0, 0, tuple(range(step.count)), 0, 100_000
        )
        candidates = [self.candidate(each) for each in worker_ids]
        slowdown = self.interference.slowdown()
        result = plan([ready], candidates, [], 0, disturbance=slowdown)
        self.interference.log_kept_apart([ready], candidates, result)
        return [each.worker_id for each in result.assignments]


class LearningTest(InterferenceCase):
    def learn(self, factor: float = 2.0, changes: int = 12) -> None:
        """Show on two workers that frames take longer beside noise."""
        for number in range(changes):
            for worker_id in self.sessions:
                frame = self.start(f"frame-{worker_id}-{number}", FRAME, worker_id)
                self.progress(frame, worker_id, 6.0)
                noise = self.start(f"noise-{worker_id}-{number}", NOISE, worker_id)
                self.progress(frame, worker_id, 6.0 / factor)
                self.tracker.cancel(noise.job_id)
                self.tracker.end_run(noise, RunEnd.STOPPED)
                self.tracker.cancel(frame.job_id)
                self.tracker.end_run(frame, RunEnd.STOPPED)

    def progress(self, name: RunName, worker_id: str, percent: float) -> None:
        """Report a run several times, with this progress each time."""
        for _ in range(4):
            self.percents[name.job_id] = self.percents.get(name.job_id, 5.0) + percent
            self.report(worker_id)

    def test_without_findings_there_is_no_slowdown(self) -> None:
        """Guards against plans that change in deployments without disturbance."""
        self.learn(factor=1.0)
        self.assertIs(self.interference.slowdown(), no_slowdown)

    def test_kept_apart_where_there_is_room(self) -> None:
        self.learn()
        self.start("resident", NOISE, "w1")
        self.start("other", replace(NOISE, image="other"), "w2")
        # The best fit would be either; the worker with the noise has the smaller id.
        self.assertEqual(self.place(FRAME, "w1", "w2"), ["w2"])
        self.assertEqual(self.place(replace(FRAME, image="other"), "w1", "w2"), ["w1"])

    def test_a_newcomer_that_would_disturb_is_kept_apart(self) -> None:
        self.learn()
        self.start("resident", FRAME, "w1")
        self.start("other", replace(NOISE, image="other"), "w2")
        self.assertEqual(self.place(NOISE, "w1", "w2"), ["w2"])

    def test_placed_together_where_there_is_no_other_room(self) -> None:
        self.learn()
        self.start("resident", NOISE, "w1")
        self.start("full", Step(1, CAPACITY, image="other"), "w2")
        self.assertEqual(self.place(FRAME, "w1", "w2"), ["w1"])

    def test_what_is_kept_apart_is_logged_once(self) -> None:
        self.learn()
        self.start("resident", NOISE, "w1")
        with self.assertLogs("hornbeamfold.coordinator.interference") as logs:
            for _ in range(5):
                self.place(FRAME, "w1", "w2")
        lines = [each for each in logs.records if each.msg == "kept_apart"]
        self.assertEqual(len(lines), 1)
        self.assertEqual((lines[0].worker, lines[0].kept_from), ("w2", "w1"))

    def test_what_is_not_kept_apart_is_not_looked_for_in_each_pass(self) -> None:
        """Guards against passes that go through the runs of all workers for a line in the log.

        Load: a kind with findings of which steps are placed in every pass.
        """
        self.learn()
        with mock.patch.object(
            self.interference, "_residents", wraps=self.interference._residents
        ) as residents:
            self.place(FRAME, "w1", "w2")
            calls = residents.call_count
            self.place(FRAME, "w1", "w2")
            # The second pass asks for what its slowdowns need only.
            self.assertLess(residents.call_count - calls, calls)

    def test_a_finding_is_logged(self) -> None:
        with self.assertLogs("hornbeamfold.coordinator.interference") as logs:
            self.learn()
        lines = [each for each in logs.records if each.msg == "disturbance_found"]
        self.assertEqual([(each.slowed, each.by) for each in lines], [("frame", "noise")])

    def test_runs_of_unknown_jobs_hide_who_shares_the_worker(self) -> None:
        """Guards against blaming a known task for what an unknown one does."""
        self.start("frame", FRAME, "w1")
        stranger = RunningTask(RunName("x", TaskRef(0, 0, 0), 1), "", 5.0)
        report = LeaseReport(self.clock(), 1, (stranger,), ())
        with mock.patch.object(self.interference._learner, "observe") as observe:
            self.interference.on_report(self.sessions["w1"], report)  # type: ignore[arg-type]
            observe.assert_not_called()


class PacingTest(InterferenceCase):
    def setUp(self) -> None:
        super().setUp()
        self.start("site", SITE, "w1")
        self.fill = self.start("fill", FILL, "w1")
        self.orders = self.sessions["w1"].orders

    def percent(self) -> int | None:
        return self.tracker.runs[self.fill].pace_percent

    def test_no_orders_while_the_target_is_kept(self) -> None:
        for _ in range(20):
            self.report("w1", {"site": 50})
        self.assertEqual(self.orders.paced, [])

    def test_paced_down_and_up_again(self) -> None:
        self.report("w1", {"site": 50})
        self.report("w1", {"site": 300})
        self.assertEqual(self.percent(), 25)
        self.report("w1", {"site": 300})
        self.assertEqual(self.percent(), 0)
        for _ in range(40):
            self.report("w1", {"site": 30})
        self.assertEqual(self.percent(), 100)
        self.assertEqual(self.stopped, [])

    def test_an_order_is_sent_once(self) -> None:
        """Guards against an order with each report."""
        self.report("w1", {"site": 90})
        sent = len(self.orders.paced)
        self.assertEqual(sent, 1)
        for _ in range(10):
            self.report("w1", {"site": 80})
        self.assertEqual(len(self.orders.paced), sent)

    def test_a_lost_order_is_repeated(self) -> None:
        self.orders.outcome = NoAnswer("lost")
        self.report("w1", {"site": 300})
        self.orders.outcome = Accepted(1)
        self.report("w1", {"site": 80})
        self.assertEqual([percent for _, percent in self.orders.paced], [25, 25])

    def test_an_unanswered_order_may_come_late(self) -> None:
        """Guards against a lost order that is carried out after newer ones."""
        self.orders.outcome = NoAnswer("lost")
        self.report("w1", {"site": 300})
        self.orders.outcome = Accepted(1)
        reports = 2 * LATE_ORDER_MS // REPORT_MS
        for _ in range(reports):
            self.report("w1", {"site": 80})
        repeated = len(self.orders.paced) - 1
        self.assertGreaterEqual(repeated * REPORT_MS, LATE_ORDER_MS - REPORT_MS)
        self.assertLess(repeated, reports)

    def test_runs_that_have_ended_are_forgotten(self) -> None:
        """Guards against memory that grows with each lost order."""
        self.orders.outcome = NoAnswer("lost")
        self.report("w1", {"site": 300})
        self.tracker.end_run(self.fill, RunEnd.STOPPED)
        self.clock.move(LATE_ORDER_MS)
        self.start("next", FILL, "w1")
        self.report("w1", {"site": 300})
        pending = self.interference._pacing._pending
        self.assertEqual([name.job_id for name in pending], ["next"])

    def test_one_order_at_a_time(self) -> None:
        """Guards against two orders to one run, of which the older may arrive last."""
        self.orders.hold_back = True
        for _ in range(4):
            self.report("w1", {"site": 300})
        self.assertEqual(len(self.orders.paced), 1)
        self.orders.held_back[0]()
        self.report("w1", {"site": 300})
        self.assertEqual([percent for _, percent in self.orders.paced], [25, 0])

    def test_late_reports_are_ignored(self) -> None:
        self.report("w1", {"site": 50})
        self.report("w1", {"site": 900}, clock_ms=self.clock() - 2 * REPORT_MS)
        self.assertEqual(self.orders.paced, [])

    def test_a_new_incarnation_has_a_new_clock(self) -> None:
        self.report("w1", {"site": 50})
        self.report("w1", {"site": 900}, born_ms=2, clock_ms=10)
        self.assertEqual(len(self.orders.paced), 1)

    def test_reports_without_a_latency(self) -> None:
        """Guards against full disturbance while nobody sees what it does."""
        self.report("w1", {"site": 50})
        for _ in range(4):
            self.report("w1")
        self.assertEqual(len(self.orders.paced), 1)
        self.assertLess(self.percent() or 0, 100)

    def test_a_takeover_sends_again(self) -> None:
        self.report("w1", {"site": 300})
        running = {TaskRef(0, 0, 0): TaskProgress(TaskPhase.ACTIVE, 1, "w1", 1)}
        tracker = JobTracker(self.clock)
        tracker.add(job("site", SITE), JobProgress(tasks=running))
        tracker.add(job("fill", FILL), JobProgress(tasks=running))
        self.begin_term(tracker)
        self.orders.paced.clear()
        self.report("w1", {"site": 50})
        self.assertEqual(self.orders.paced, [("fill", 100)])
        self.report("w1", {"site": 50})
        self.assertEqual(len(self.orders.paced), 1)
        self.report("w1", {"site": 300})
        self.assertEqual(self.orders.paced[-1], ("fill", 25))

    def test_pacing_goes_on_beside_runs_of_unknown_jobs(self) -> None:
        """Guards against a target that is missed while a cancelled job's run is being stopped."""
        other = self.start("other", FRAME, "w1")
        self.report("w1", {"site": 50})
        self.tracker.cancel(other.job_id)
        site = next(name for name in self.tracker.runs if name.job_id == "site")
        self.clock.move(REPORT_MS)
        running = (
            RunningTask(other, "", 10.0),
            RunningTask(site, "", 100.0, 300.0),
            RunningTask(self.fill, "", 10.0),
        )
        report = LeaseReport(self.clock(), 1, running, ())
        self.interference.on_report(self.sessions["w1"], report)  # type: ignore[arg-type]
        self.assertEqual(self.percent(), 25)

    def test_without_serving_tasks_there_is_nothing_to_pace_for(self) -> None:
        self.report("w1", {"site": 300})
        site = next(name for name in self.tracker.runs if name.job_id == "site")
        self.tracker.cancel("site")
        self.tracker.end_run(site, RunEnd.STOPPED)
        self.report("w1")
        self.assertEqual(self.percent(), 100)

    def test_newcomers_go_where_they_are_not_paced(self) -> None:
        self.start("elsewhere", replace(NOISE, image="other"), "w2")
        self.assertEqual(self.place(FILL, "w1", "w2"), ["w1"])
        self.report("w1", {"site": 300})
        self.assertEqual(self.place(FILL, "w1", "w2"), ["w2"])
        self.assertEqual(self.place(FILL, "w1"), ["w1"])

    def test_moved_when_it_gets_no_share_for_long(self) -> None:
        for _ in range(MAX_STARVED_MS // REPORT_MS + 4):
            self.report("w1", {"site": 300})
        self.assertEqual(self.stopped[0], ("fill", "starved"))
        tracked = self.tracker.jobs["fill"]
        self.assertEqual(tracked.avoided_workers(0, 0), frozenset({"w1"}))

    def test_stopped_when_it_cannot_be_paced(self) -> None:
        """Guards against harm that goes on because a worker answers no pace order."""
        self.report("w1", {"site": 50})
        self.orders.outcome = NoAnswer("lost")
        harmed_ms = self.clock()
        while not self.stopped and self.clock() - harmed_ms < 3 * BOUNDS.latency_grace_ms:
            self.report("w1", {"site": 300})
        self.assertEqual(self.stopped[:1], [("fill", "not paced")])
        self.assertLess(self.clock() - harmed_ms, BOUNDS.latency_grace_ms)

    def test_no_stop_while_the_paced_tasks_do_no_harm(self) -> None:
        """Guards against stopping work since a serving task has too much load of its own."""
        for _ in range(MAX_STARVED_MS // REPORT_MS - 2):
            self.report("w1", {"site": 300})
        self.assertEqual(self.stopped, [])


class AvailabilityTest(InterferenceCase):
    """Best-effort tasks of a step that callers allow to miss few of its tasks."""

    FILL = replace(FILL, count=3, long_running=True, max_unavailable=1)

    def setUp(self) -> None:
        super().setUp()
        self.start("site", SITE, "w1")
        self.tracker.add(self.job(), JobProgress())
        for index, worker_id in enumerate(("w1", "w2", "w2")):
            runs = self.tracker.begin_runs(
                "fill", [TaskRef(0, 0, index)], [self.sessions[worker_id].worker]
            )
            self.tracker.settle(runs[0].name)

    def job(self) -> BatchJob:
        return job("fill", self.FILL)

    def starve(self) -> None:
        for _ in range(MAX_STARVED_MS // REPORT_MS + 4):
            self.report("w2")
            self.report("w1", {"site": 300}, by_ms=0)

    def test_moved_while_all_others_are_at_work(self) -> None:
        self.starve()
        self.assertEqual(self.stopped[0], ("fill", "starved"))

    def test_not_moved_while_another_is_away(self) -> None:
        """Guards against more absent tasks than a caller allows, whatever the cause of each."""
        away = next(each for each in self.tracker.runs if each.task.index == 2)
        self.tracker.end_run(away, RunEnd.LOST)
        self.starve()
        self.assertEqual(self.stopped, [])

    def test_not_moved_while_another_is_not_heard_of(self) -> None:
        for _ in range(MAX_STARVED_MS // REPORT_MS + 4):
            self.report("w1", {"site": 300})
        self.assertEqual(self.stopped, [])


class RefusedPaceTest(InterferenceCase):
    def test_a_refused_order_is_repeated(self) -> None:
        self.start("site", SITE, "w1")
        self.start("fill", FILL, "w1")
        orders = self.sessions["w1"].orders
        orders.outcome = Refused(Refusal.UNHEALTHY)
        self.report("w1", {"site": 300})
        self.report("w1", {"site": 80})
        self.assertEqual(len(orders.paced), 2)


if __name__ == "__main__":
    unittest.main()
