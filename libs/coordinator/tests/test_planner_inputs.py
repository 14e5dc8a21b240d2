"""Tests for the inputs of a planning pass."""

import unittest
from math import inf

from coordinator_cases import (
    BOUNDS,
    ManualClock,
    RecordedCalls,
    job,
    session,
    tracker_with,
    worker,
)

from hornbeamfold.batch import (
    JobProgress,
    JobState,
    LeaseRenewal,
    LeaseReport,
    OperatorState,
    Resources,
    RunEnd,
    Step,
    TaskPhase,
    TaskProgress,
    TaskRef,
)
from hornbeamfold.coordinator.crash_counts import ISOLATION_CRASHES, MAX_CRASHES
from hornbeamfold.coordinator.health import WorkerHealth
from hornbeamfold.coordinator.job_tracker import ISOLATION_RUN_MS, JobTracker
from hornbeamfold.coordinator.planner_inputs import (
    MAX_ISOLATION_WAIT_MS,
    PlacedRuns,
    candidate_workers,
    ready_steps,
)
from hornbeamfold.coordinator.session import Session
from hornbeamfold.scheduling import Assignment, Preemption, ReadyStep, plan

DEMAND = Resources(1_000, 1_000, 1)
FIRST = TaskRef(0, 0, 0)
SUSPECT = TaskProgress(run=2, crashes=ISOLATION_CRASHES)
# Users count a job as lost that has no run for this long beside room for it twice over.
MAX_IDLE_BESIDE_ROOM_MS = 3_000
PASS_MS = 500


class ReadyStepsTest(unittest.TestCase):
    def test_objective_and_expiry(self) -> None:
        """Guards against long-running tasks that come last in the queue since they have expired.

        Found by reading: they start again whenever they end, long after three objectives.
        """
        # The objective is three times the estimate and 1 s more.
        cases = [
            ("a task that ends", Step(1, DEMAND, 1_000), 14_000, 22_000),
            ("a long-running task", Step(1, DEMAND, 1_000, long_running=True), 14_000, inf),
        ]
        for name, step, due_ms, expired_ms in cases:
            with self.subTest(name):
                clock = ManualClock(20_000)
                tracker = tracker_with(clock, job("a", step, submitted_ms=500_000))
                ready = ready_steps(tracker, OperatorState(), 510_000, clock(), BOUNDS, 1)
                self.assertEqual([each.due_ms for each in ready], [due_ms])
                self.assertEqual([each.expired_ms for each in ready], [expired_ms])


class PlacedRunsTest(unittest.TestCase):
    def test_a_task_that_was_preempted_is_spared_and_loses_more_the_next_time(self) -> None:
        """Guards against work that is preempted again and again, as it is always the cheapest."""
        clock = ManualClock()
        tracker = tracker_with(clock, job("a", Step(1, DEMAND, 9_000)))
        placed_runs = PlacedRuns()
        tracker.begin_runs("a", [FIRST], [worker()])
        clock.move(2_000)
        (first,) = placed_runs.current(tracker, clock())
        placed_runs.record_preemptions([Preemption(first.name, first.worker_id, "urgent")])
        tracker.end_run(first.name, RunEnd.STOPPED)
        tracker.begin_runs("a", [FIRST], [worker()])
        (second,) = placed_runs.current(tracker, clock())
        self.assertEqual((first.spared, second.spared), (False, True))
        self.assertGreater(second.lost_work, first.lost_work)

    def test_a_run_of_an_ended_job_belongs_to_its_organisation(self) -> None:
        """Guards against preempting others at a limit while a cancelled job's runs are stopping."""
        clock = ManualClock()
        tracker = tracker_with(clock, job("a", Step(1, DEMAND, 9_000)))
        organisation = tracker.jobs["a"].job.organisation
        tracker.begin_runs("a", [FIRST], [worker()])
        tracker.cancel("a")
        (placed,) = PlacedRuns().current(tracker, clock())
        self.assertEqual((placed.organisation, placed.stopping), (organisation, True))


class IsolationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.tracker = JobTracker(self.clock)
        self.health = WorkerHealth(self.clock)
        self.sessions = [self.reachable(worker_id) for worker_id in ("w1", "w2")]

    def reachable(self, worker_id: str) -> Session:
        """Return the session of a worker that has just reported, on a clock that stands still."""
        calls = RecordedCalls()

        def renew(renewal: LeaseRenewal) -> LeaseReport:
            if renewal.expires_ms is not None:
                calls.end()
            return LeaseReport(500, 1, (), ())

        reachable = session(calls, ManualClock(), renew, worker_id=worker_id)
        reachable.run()
        return reachable

    def add(self, job_id: str, step: Step, *tasks: TaskProgress) -> None:
        """Add a job with this recorded progress of its first tasks."""
        progress = {TaskRef(0, 0, index): task for index, task in enumerate(tasks)}
        self.tracker.add(job(job_id, step), JobProgress(JobState.RUNNING, progress))

    def ready(self) -> list[ReadyStep]:
        return ready_steps(
            self.tracker, OperatorState(), self.clock(), self.clock(), BOUNDS, len(self.sessions)
        )

    def split(self) -> list[tuple[tuple[int, ...], bool]]:
        return [(each.waiting, each.isolated) for each in self.ready()]

    def candidates(self) -> dict[str, bool]:
        """Return the workers that take any tasks, and whether they have runs."""
        found = candidate_workers(self.sessions, self.tracker, self.health, OperatorState())
        return {each.worker_id: each.has_runs for each in found if not each.last_resort}

    def plan_once(self) -> tuple[Assignment, ...]:
        """Carry out one planning pass; return the placements."""
        workers = candidate_workers(self.sessions, self.tracker, self.health, OperatorState())
        placed_runs = PlacedRuns().current(self.tracker, self.clock())
        found = plan(self.ready(), workers, placed_runs, self.clock())
        for each in found.assignments:
            on = worker(each.worker_id)
            (run,) = self.tracker.begin_runs(each.job_id, [each.task], [on])
            self.tracker.set_incarnation(run.name, on.born_ms)
        return found.assignments

    def test_suspected_tasks_are_apart_from_the_others_of_their_step(self) -> None:
        self.add("a", Step(3, DEMAND), TaskProgress(run=1, crashes=1), SUSPECT)
        self.assertEqual(self.split(), [((0, 2), False), ((1,), True)])

    def test_a_gang_with_a_suspected_member_is_isolated_whole(self) -> None:
        self.add("a", Step(3, DEMAND, gang=True), TaskProgress(run=1), SUSPECT)
        self.assertEqual(self.split(), [((0, 1, 2), True)])

    def test_a_worker_with_a_suspected_task_gets_no_other_tasks(self) -> None:
        """Guards against new neighbours of a suspected task, also after a takeover."""
        self.assertEqual(self.candidates(), {"w1": False, "w2": False})
        active = TaskProgress(TaskPhase.ACTIVE, 3, "w1", 1, crashes=ISOLATION_CRASHES)
        self.add("a", Step(1, DEMAND), active)
        self.add("b", Step(1, DEMAND), TaskProgress(TaskPhase.ACTIVE, 1, "w2", 1, crashes=1))
        self.assertEqual(self.candidates(), {"w2": True})
        (run,) = self.tracker.runs_on("w1")
        self.tracker.end_run(run.name, RunEnd.DONE)
        self.assertEqual(self.candidates(), {"w1": False, "w2": True})

    def test_a_worker_with_a_member_of_a_suspected_gang_gets_no_other_tasks(self) -> None:
        members = (
            TaskProgress(TaskPhase.ACTIVE, 3, "w1", 1, crashes=ISOLATION_CRASHES),
            TaskProgress(TaskPhase.ACTIVE, 3, "w2", 1),
        )
        self.add("a", Step(2, DEMAND, gang=True), *members)
        self.assertEqual(self.candidates(), {})

    def test_a_suspected_task_is_placed_in_company_in_a_full_service(self) -> None:
        """Guards against a task that waits for ever for an idle worker.

        If it is the cause of the crashes, the limit for tasks in company ends it.
        """
        self.add("a", Step(1, DEMAND, estimate_ms=1_000), SUSPECT)
        # There is room for the task on one worker, and none for another.
        for job_id, worker_id, accelerators in (("b", "w1", 7), ("c", "w2", 8)):
            demand = Resources(1_000, 1_000, accelerators)
            self.add(job_id, Step(1, demand, estimate_ms=3_600_000))
            (run,) = self.tracker.begin_runs(job_id, [FIRST], [worker(worker_id)])
            self.tracker.set_incarnation(run.name, 1)
        while "a" in self.tracker.jobs:
            began_ms = self.clock()
            while not self.plan_once():
                self.clock.move(PASS_MS)
                self.assertLessEqual(self.clock() - began_ms, MAX_ISOLATION_WAIT_MS)
            self.assertEqual(self.clock() - began_ms, MAX_ISOLATION_WAIT_MS)
            (run,) = self.tracker.runs_of("a")
            tracked = self.tracker.jobs["a"]
            # Its worker gets nothing new while it runs.
            self.assertNotIn(run.worker_id, self.candidates())
            self.tracker.end_run(run.name, RunEnd.WORKER_CRASHED)
        self.assertEqual(tracked.task(FIRST).crashes, MAX_CRASHES)
        self.assertEqual(self.tracker.recorded_progress("a")[0], JobState.FAILED)

    def wait_for_run(self, job_id: str) -> int:
        """Carry out passes until a job has a run; return how long that took in milliseconds."""
        began_ms = self.clock()
        while not self.tracker.runs_of(job_id):
            self.assertLess(self.clock() - began_ms, 60_000, f"{job_id} does not start")
            self.plan_once()
            self.clock.move(PASS_MS)
        return self.clock() - began_ms

    def test_a_job_starts_beside_suspected_tasks_on_all_workers(self) -> None:
        """Guards against a job that waits for as long as suspected tasks run, beside 14 of 16."""
        self.add("a", Step(2, DEMAND, estimate_ms=60_000), SUSPECT, SUSPECT)
        self.plan_once()
        self.assertEqual(self.candidates(), {})
        self.add("b", Step(1, DEMAND))
        self.assertLess(self.wait_for_run("b"), MAX_IDLE_BESIDE_ROOM_MS)

    def test_a_suspected_task_shares_its_worker_once_it_has_run_for_a_while(self) -> None:
        """Guards against workers that long tasks with two crashes keep to themselves."""
        self.add("a", Step(2, DEMAND, estimate_ms=60_000), SUSPECT, SUSPECT)
        self.plan_once()
        self.clock.move(ISOLATION_RUN_MS)
        self.assertEqual(self.candidates(), {"w1": True, "w2": True})

    def test_a_job_starts_on_an_excluded_worker_if_no_other_has_room(self) -> None:
        """Guards against jobs that wait for 4 s and more as two others fail by their own fault."""
        for worker_id in ("w1", "w2"):
            for job_id in ("x", "y"):
                self.health.failed(worker_id, job_id)
        self.assertEqual(self.candidates(), {})
        self.add("b", Step(1, DEMAND))
        self.assertLess(self.wait_for_run("b"), MAX_IDLE_BESIDE_ROOM_MS)

    def test_a_worker_that_refuses_is_not_asked_in_every_pass(self) -> None:
        """Guards against a storm of start orders to a worker that refuses each of them."""
        for worker_id in ("w1", "w2"):
            self.health.exclude(worker_id, "unhealthy")
        self.add("b", Step(1, DEMAND))
        asked = 0
        for _ in range(100):
            for each in self.plan_once():
                (run,) = self.tracker.runs_of("b")
                self.health.exclude(each.worker_id, "unhealthy")
                self.health.refused(each.worker_id)
                self.tracker.end_run(run.name, RunEnd.LOST)
                asked += 1
            self.clock.move(100)
        # Each of two workers at most once a second, in 10 s.
        self.assertLessEqual(asked, 20)
        self.assertGreater(asked, 0)

    def test_an_excluded_worker_gets_no_tasks_while_another_has_room(self) -> None:
        """Guards against runs on a worker that fails everything."""
        for job_id in ("x", "y"):
            self.health.failed("w1", job_id)
        for job_id in ("b", "c", "d"):
            self.add(job_id, Step(1, DEMAND))
            self.wait_for_run(job_id)
            (run,) = self.tracker.runs_of(job_id)
            self.assertEqual(run.worker_id, "w2")

    def test_a_suspected_task_is_placed_at_once_on_an_idle_worker(self) -> None:
        self.add("a", Step(1, DEMAND), SUSPECT)
        self.add("b", Step(1, DEMAND), TaskProgress(TaskPhase.ACTIVE, 1, "w1", 1))
        self.assertEqual([each.worker_id for each in self.plan_once()], ["w2"])


if __name__ == "__main__":
    unittest.main()
