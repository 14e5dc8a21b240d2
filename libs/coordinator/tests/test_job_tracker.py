"""Tests for the job tracker and tracked jobs."""

import unittest

from coordinator_cases import ManualClock, job, tracker_with, worker

from hornbeamfold.batch import (
    JobProgress,
    JobState,
    Resources,
    RunEnd,
    RunName,
    RunningTask,
    Step,
    TaskPhase,
    TaskProgress,
    TaskRef,
)
from hornbeamfold.coordinator.crash_counts import (
    MAX_CRASHES,
    MAX_CRASHES_ALONE,
    MAX_CRASHES_WITHOUT_EVIDENCE,
)
from hornbeamfold.coordinator.job_tracker import JobTracker
from hornbeamfold.coordinator.tracked import (
    CLEARING_RUN_MS,
)
from hornbeamfold.model import invariant_violations

SMALL = Resources(1_000, 1_000, 1)
FIRST, SECOND = TaskRef(0, 0, 0), TaskRef(0, 0, 1)


class JobTrackerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()

    def begin(self, tracker: JobTracker, *refs: TaskRef) -> list:
        return tracker.begin_runs("a", refs, [worker() for _ in refs])

    def test_a_run_reserves_resources_until_its_end(self) -> None:
        tracker = tracker_with(self.clock, job("a"))
        (run,) = self.begin(tracker, FIRST)
        self.assertEqual(tracker.reserved_on("w1"), SMALL)
        tracker.end_run(run.name, RunEnd.DONE)
        self.assertEqual(tracker.reserved_on("w1"), Resources())

    def test_a_second_run_of_a_task_violates_an_invariant(self) -> None:
        tracker = tracker_with(self.clock, job("a"))
        self.begin(tracker, FIRST)
        before = invariant_violations().get("one_run_of_a_task", 0)
        self.begin(tracker, FIRST)
        self.assertEqual(invariant_violations()["one_run_of_a_task"], before + 1)

    def test_exceeding_the_capacity_of_a_worker_violates_an_invariant(self) -> None:
        tracker = tracker_with(self.clock, job("a", Step(2, Resources(1, 1, 5))))
        before = invariant_violations().get("room_not_exceeded", 0)
        self.begin(tracker, FIRST, SECOND)
        self.assertEqual(invariant_violations()["room_not_exceeded"], before + 1)

    def test_a_job_is_completed_when_every_task_is_done(self) -> None:
        tracker = tracker_with(self.clock, job("a"))
        for run in self.begin(tracker, FIRST, SECOND):
            self.assertIn("a", tracker.jobs)
            tracker.end_run(run.name, RunEnd.DONE)
        self.assertEqual(tracker.recorded_progress("a"), (JobState.COMPLETED, {}))

    def test_a_repeated_end_changes_nothing(self) -> None:
        tracker = tracker_with(self.clock, job("a"))
        (run,) = self.begin(tracker, FIRST)
        tracker.end_run(run.name, RunEnd.FAILED)
        tracker.end_run(run.name, RunEnd.FAILED)
        self.assertEqual(tracker.jobs["a"].task(FIRST).failures, 1)

    def test_only_failed_runs_count_as_attempts(self) -> None:
        cases = [
            (RunEnd.FAILED, JobState.FAILED),
            (RunEnd.STOPPED, JobState.RUNNING),
            (RunEnd.LOST, JobState.RUNNING),
            (RunEnd.LEASE_EXPIRED, JobState.RUNNING),
            (RunEnd.PEER_ENDED, JobState.RUNNING),
        ]
        for end, state in cases:
            with self.subTest(end):
                tracker = tracker_with(self.clock, job("a"))
                for _ in range(2):
                    (run,) = self.begin(tracker, FIRST)
                    tracker.end_run(run.name, end)
                self.assertEqual(tracker.recorded_progress("a")[0], state)

    def test_run_numbers_increase_and_are_shared_in_a_gang(self) -> None:
        gang = Step(2, SMALL, gang=True)
        tracker = tracker_with(self.clock, job("a", gang))
        first, second = self.begin(tracker, FIRST, SECOND)
        self.assertEqual((first.name.run, second.name.run), (1, 1))
        self.assertEqual(tracker.end_run(first.name, RunEnd.LOST), (second.name,))
        tracker.end_run(second.name, RunEnd.STOPPED)
        again = self.begin(tracker, FIRST, SECOND)
        self.assertEqual({run.name.run for run in again}, {2})

    def test_a_gang_is_done_when_one_member_is_done(self) -> None:
        tracker = tracker_with(self.clock, job("a", Step(2, SMALL, gang=True)))
        first, second = self.begin(tracker, FIRST, SECOND)
        # The other members end by themselves: a stop order for each would double the calls.
        self.assertEqual(tracker.end_run(first.name, RunEnd.DONE), ())
        self.assertEqual(tracker.recorded_progress("a")[0], JobState.COMPLETED)
        self.assertEqual(tracker.runs[second.name].gang_done_ms, self.clock())

    def test_a_gang_resumes_from_one_checkpoint(self) -> None:
        tracker = tracker_with(self.clock, job("a", Step(2, SMALL, gang=True, checkpointing=True)))
        first, second = self.begin(tracker, FIRST, SECOND)
        tracker.end_run(first.name, RunEnd.STOPPED, "c1")
        tracker.end_run(second.name, RunEnd.PEER_ENDED, "c2")
        self.assertEqual({run.checkpoint for run in self.begin(tracker, FIRST, SECOND)}, {"c2"})

    def test_steps_wait_for_their_dependencies(self) -> None:
        steps = (Step(1, SMALL), Step(1, SMALL, after=(0,)))
        tracker = tracker_with(self.clock, job("a", *steps))
        tracked = tracker.jobs["a"]
        self.assertEqual([each[1] for each in tracked.startable_tasks(0, 0)], [0])
        (run,) = self.begin(tracker, FIRST)
        self.assertEqual(list(tracked.startable_tasks(0, 0)), [])
        tracker.end_run(run.name, RunEnd.DONE)
        self.assertEqual([each[1] for each in tracked.startable_tasks(0, 0)], [1])

    def test_occurrences_wait_for_their_scheduled_time(self) -> None:
        timed = job("a", repetitions=3, start_at_ms=5_000, interval_ms=1_000)
        tracked = tracker_with(self.clock, timed).jobs["a"]
        for unix_ms, expected in ((4_000, []), (4_800, [0]), (6_100, [0, 1])):
            with self.subTest(unix_ms):
                found = [each[0] for each in tracked.startable_tasks(unix_ms, 250)]
                self.assertEqual(found, expected)

    def test_long_running_tasks_start_again_however_they_end(self) -> None:
        tracker = tracker_with(self.clock, job("a", Step(1, SMALL, long_running=True)))
        for end in (RunEnd.DONE, RunEnd.FAILED, RunEnd.FAILED, RunEnd.FAILED):
            (run,) = self.begin(tracker, FIRST)
            tracker.end_run(run.name, end)
        self.assertEqual(tracker.recorded_progress("a")[0], JobState.RUNNING)

    def test_a_cancelled_job_stays_cancelled(self) -> None:
        tracker = tracker_with(self.clock, job("a"))
        (run,) = self.begin(tracker, FIRST)
        self.assertEqual(tracker.cancel("a"), (run.name,))
        tracker.end_run(run.name, RunEnd.DONE)
        self.assertEqual(tracker.recorded_progress("a")[0], JobState.CANCELLED)

    def test_recorded_runs_are_active_under_the_next_coordinator(self) -> None:
        tracker = JobTracker(self.clock)
        active = TaskProgress(TaskPhase.ACTIVE, 3, "w9", 1)
        tracker.add(job("a"), JobProgress(JobState.RUNNING, {FIRST: active}))
        (run,) = tracker.runs_on("w9")
        self.assertEqual(run.name.run, 3)
        self.assertIsNotNone(run.settled_ms)


class CrashTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.born_ms = 1

    def begin(self, tracker: JobTracker, job_id: str, *refs: TaskRef) -> list[RunName]:
        """Begin runs on one worker, whose present incarnation gets the start orders."""
        begun = tracker.begin_runs(job_id, refs, [worker(born_ms=self.born_ms) for _ in refs])
        for run in begun:
            tracker.set_incarnation(run.name, self.born_ms)
        return [run.name for run in begun]

    def crash(self, tracker: JobTracker) -> None:
        """End all runs on the worker and let it begin again."""
        for run in tracker.runs_on("w1"):
            tracker.end_run(run.name, RunEnd.WORKER_CRASHED)
        self.born_ms += 1

    def test_workers_that_may_be_cut_off_are_no_evidence(self) -> None:
        """Guards against jobs that fail as workers were cut off, and jobs without an end."""
        crash, vanished = RunEnd.WORKER_CRASHED, RunEnd.WORKER_VANISHED
        cases = [
            ("three cuts", [vanished] * 3, False),
            ("two cuts and a crash", [vanished, vanished, crash], False),
            ("two crashes and a cut", [crash, crash, vanished], False),
            ("a cut and two crashes", [vanished, crash, crash], True),
            ("five cuts", [vanished] * MAX_CRASHES_WITHOUT_EVIDENCE, True),
        ]
        for name, ends, failed in cases:
            with self.subTest(name):
                tracker = tracker_with(self.clock, job("a", Step(1, SMALL)))
                for end in ends:
                    (run,) = self.begin(tracker, "a", FIRST)
                    tracker.end_run(run, end)
                state, _ = tracker.recorded_progress("a")
                self.assertEqual(state is JobState.FAILED, failed)

    def test_the_next_run_avoids_the_worker_that_crashed(self) -> None:
        """Guards against a job that fails since its task returns to a worker that crashes often."""
        tracker = tracker_with(self.clock, job("a", Step(1, SMALL)))
        self.begin(tracker, "a", FIRST)
        self.crash(tracker)
        self.assertEqual(tracker.jobs["a"].avoided_workers(0, 0), {"w1"})

    def test_a_job_fails_when_its_task_alone_crashes_three_workers(self) -> None:
        """Guards against starting a task for ever that crashes each worker that starts it."""
        tracker = tracker_with(self.clock, job("a", Step(1, SMALL)))
        for crashes in range(1, MAX_CRASHES_ALONE + 1):
            self.assertIn("a", tracker.jobs)
            self.begin(tracker, "a", FIRST)
            tracked = tracker.jobs["a"]
            self.crash(tracker)
            self.assertEqual(tracked.task(FIRST).crashes, crashes)
        self.assertEqual(tracker.recorded_progress("a")[0], JobState.FAILED)

    def test_crashes_and_their_outcome_are_logged(self) -> None:
        """Guards against a failed job whose cause cannot be found in the logs."""
        tracker = tracker_with(self.clock, job("a", Step(1, SMALL)))
        with self.assertLogs("hornbeamfold.coordinator.book", "WARNING") as logs:
            for _ in range(MAX_CRASHES_ALONE):
                self.begin(tracker, "a", FIRST)
                self.crash(tracker)
        lines = [(each.msg, each.__dict__["crashes"]) for each in logs.records]
        crash = "worker_crashed_under_run"
        self.assertEqual(lines, [(crash, 1), (crash, 2), (crash, 3), ("task_given_up", 3)])
        fields = {key: logs.records[-1].__dict__[key] for key in ("request", "worker", "alone")}
        self.assertEqual(fields, {"request": "a", "worker": "w1", "alone": True})

    def test_the_other_runs_of_a_job_that_is_given_up_are_stopped(self) -> None:
        crashed = TaskProgress(run=2, crashes=MAX_CRASHES_ALONE - 1)
        tracker = JobTracker(self.clock)
        tracker.add(job("a"), JobProgress(JobState.RUNNING, {FIRST: crashed}))
        (other,) = tracker.begin_runs("a", [SECOND], [worker("w2")])
        (name,) = self.begin(tracker, "a", FIRST)
        self.assertEqual(tracker.end_run(name, RunEnd.WORKER_CRASHED), (other.name,))

    def test_in_company_a_job_fails_after_one_more_crash(self) -> None:
        """Guards against giving up a job because of its neighbour on the worker."""
        tracker = tracker_with(self.clock, job("a", Step(1, SMALL)), job("b", Step(1, SMALL)))
        for crashes in range(1, MAX_CRASHES + 1):
            self.assertEqual(set(tracker.jobs), {"a", "b"}, crashes)
            self.begin(tracker, "a", FIRST)
            self.begin(tracker, "b", FIRST)
            self.crash(tracker)
        self.assertEqual(tracker.recorded_progress("a")[0], JobState.FAILED)

    def test_a_run_is_in_company_although_the_other_run_was_ended_first(self) -> None:
        """Guards against giving up the run of a lost worker that is ended last."""
        for order in ((0, 1), (1, 0)):
            with self.subTest(order):
                crashed = TaskProgress(run=2, crashes=MAX_CRASHES_ALONE - 1)
                tracker = JobTracker(self.clock)
                for job_id in ("a", "b"):
                    progress = JobProgress(JobState.RUNNING, {FIRST: crashed})
                    tracker.add(job(job_id, Step(1, SMALL)), progress)
                names = [*self.begin(tracker, "a", FIRST), *self.begin(tracker, "b", FIRST)]
                for index in order:
                    tracker.end_run(names[index], RunEnd.WORKER_CRASHED)
                self.assertEqual(set(tracker.jobs), {"a", "b"})

    def test_runs_of_the_next_incarnation_are_no_company(self) -> None:
        crashed = TaskProgress(run=2, crashes=MAX_CRASHES_ALONE - 1)
        tracker = JobTracker(self.clock)
        tracker.add(job("a", Step(1, SMALL)), JobProgress(JobState.RUNNING, {FIRST: crashed}))
        tracker.add(job("b", Step(2, SMALL)), JobProgress())
        (name,) = self.begin(tracker, "a", FIRST)
        self.born_ms += 1
        self.begin(tracker, "b", FIRST)
        # The order of this run was not sent.
        tracker.begin_runs("b", [SECOND], [worker(born_ms=1)])
        tracker.end_run(name, RunEnd.WORKER_CRASHED)
        self.assertEqual(tracker.recorded_progress("a")[0], JobState.FAILED)

    def test_members_of_a_gang_are_no_company_for_each_other(self) -> None:
        """Guards against a gang that is started once more than a single task."""
        tracker = tracker_with(self.clock, job("a", Step(2, SMALL, gang=True)))
        for _ in range(MAX_CRASHES_ALONE):
            self.assertIn("a", tracker.jobs)
            self.begin(tracker, "a", FIRST, SECOND)
            self.crash(tracker)
        self.assertEqual(tracker.recorded_progress("a")[0], JobState.FAILED)

    def test_other_ends_are_no_crashes(self) -> None:
        for end in set(RunEnd) - {RunEnd.WORKER_CRASHED, RunEnd.WORKER_VANISHED, RunEnd.DONE}:
            with self.subTest(end):
                tracker = tracker_with(self.clock, job("a"))
                (name,) = self.begin(tracker, "a", FIRST)
                tracker.end_run(name, end)
                self.assertEqual(tracker.jobs["a"].task(FIRST).crashes, 0)

    def test_a_long_running_task_that_has_run_for_long_is_cleared(self) -> None:
        """Guards against giving up a task that lasts for days and sees many workers crash."""
        cases = [
            ("long-running, at once", True, 0, 3),
            ("long-running, soon", True, CLEARING_RUN_MS - 1, 3),
            ("long-running", True, CLEARING_RUN_MS, 0),
            ("a batch task", False, CLEARING_RUN_MS, 3),
        ]
        for name, long_running, ran_ms, crashes in cases:
            with self.subTest(name):
                tracker = JobTracker(self.clock)
                tracked = job("a", Step(1, SMALL, long_running=long_running))
                crashed = TaskProgress(run=2, crashes=2)
                tracker.add(tracked, JobProgress(JobState.RUNNING, {FIRST: crashed}))
                progress = tracker.jobs["a"]
                (run,) = self.begin(tracker, "a", FIRST)
                self.clock.move(ran_ms)
                tracker.update_progress(RunningTask(run, "", 50.0))
                # The time in which the worker did not answer does not count.
                self.clock.move(CLEARING_RUN_MS)
                self.crash(tracker)
                self.assertEqual(progress.task(FIRST).crashes, crashes)

    def test_a_long_running_task_is_cleared_while_it_runs(self) -> None:
        """Guards against a task that has a worker for itself as long as it lasts."""
        tracker = JobTracker(self.clock)
        crashed = TaskProgress(run=2, crashes=2)
        lasting = job("a", Step(1, SMALL, long_running=True))
        tracker.add(lasting, JobProgress(JobState.RUNNING, {FIRST: crashed}))
        (run,) = self.begin(tracker, "a", FIRST)
        tracker.pop_changed()
        self.clock.move(CLEARING_RUN_MS)
        tracker.update_progress(RunningTask(run, "", 50.0))
        self.assertEqual(tracker.jobs["a"].task(FIRST).crashes, 0)
        self.assertEqual(tracker.pop_changed(), {"a"})

    def test_crashes_are_counted_under_the_next_coordinator(self) -> None:
        """Guards against a task that is started for ever because coordinators change."""
        tracker = JobTracker(self.clock)
        active = TaskProgress(TaskPhase.ACTIVE, 3, "w1", 5, crashes=1)
        tracker.add(job("a"), JobProgress(JobState.RUNNING, {FIRST: active}))
        (run,) = tracker.runs_on("w1")
        self.assertEqual(run.incarnation, 5)
        tracker.end_run(run.name, RunEnd.WORKER_CRASHED)
        self.assertEqual(tracker.recorded_progress("a")[1][FIRST].crashes, 2)


if __name__ == "__main__":
    unittest.main()
