"""Tests for finding runs that should move to another worker."""

import unittest
from dataclasses import replace

from coordinator_cases import ManualClock, job, tracker_with, worker

from hornbeamfold.batch import (
    JobProgress,
    JobState,
    Resources,
    RunEnd,
    RunName,
    RunningTask,
    Step,
    TaskRef,
)
from hornbeamfold.coordinator.job_tracker import JobTracker
from hornbeamfold.coordinator.stragglers import (
    STALL_TIMEOUT_MS,
    runs_outlasting_drain,
    straggling_runs,
)

REFS = [TaskRef(0, 0, index) for index in range(3)]


class StragglingRunsTest(unittest.TestCase):
    def straggling_reasons(
        self, *reports: tuple[int, float], step: Step | None = None, other: float | None = None
    ) -> list[str]:
        """Return why a run counts as straggling after reports of (time in ms, percent).

        `other` is the progress of two tasks on other workers at the time of the last report.
        """
        clock = ManualClock(0)
        tracker = tracker_with(clock, job("a", step or Step(3, Resources(1), 2_500)))
        run, *siblings = tracker.begin_runs("a", REFS, [worker(), worker("w2"), worker("w3")])
        tracker.settle(run.name)
        for at_ms, percent in reports:
            clock.move(at_ms - clock())
            tracker.update_progress(RunningTask(run.name, "", percent))
        for sibling in siblings if other is not None else ():
            tracker.update_progress(RunningTask(sibling.name, "", other))
        return [each.reason for each in straggling_runs(tracker, tracker.runs_on("w1"), clock())]

    def test_a_paced_run_is_no_straggler(self) -> None:
        """Guards against moving, and blaming its worker for, a run that may not work now."""
        clock = ManualClock(0)
        tracker = tracker_with(clock, job("a", Step(3, Resources(1), 2_500, best_effort=True)))
        run, *_ = tracker.begin_runs("a", REFS, [worker(), worker("w2"), worker("w3")])
        tracker.settle(run.name)
        tracker.update_progress(RunningTask(run.name, "", 30.0))
        tracker.set_pace(run.name, 0)
        clock.move(2 * STALL_TIMEOUT_MS)
        tracker.update_progress(RunningTask(run.name, "", 30.0))
        self.assertEqual(straggling_runs(tracker, tracker.runs_on("w1"), clock()), [])
        # From now on it has the time of any other run to show progress.
        tracker.set_pace(run.name, 100)
        self.assertEqual(straggling_runs(tracker, tracker.runs_on("w1"), clock()), [])
        clock.move(STALL_TIMEOUT_MS + 1)
        found = straggling_runs(tracker, tracker.runs_on("w1"), clock())
        self.assertEqual([each.reason for each in found], ["stalled"])

    def test_the_duration_of_a_paced_run_is_not_recorded(self) -> None:
        clock = ManualClock(0)
        tracker = tracker_with(clock, job("a", Step(3, Resources(1), 2_500, best_effort=True)))
        first, second, _ = tracker.begin_runs("a", REFS, [worker(), worker("w2"), worker("w3")])
        tracker.set_pace(first.name, 20)
        tracker.set_pace(first.name, 100)
        clock.move(9_000)
        tracker.end_run(first.name, RunEnd.DONE)
        tracker.end_run(second.name, RunEnd.DONE)
        self.assertEqual(tracker.jobs["a"].durations_ms(0, 0), (9_000,))

    def test_stalled_and_slow_runs_are_found(self) -> None:
        checkpointing = Step(3, Resources(1), 2_500, checkpointing=True)
        long_running = Step(3, Resources(1), 2_500, long_running=True)
        gang = Step(3, Resources(1), 2_500, gang=True)
        with_preferred_rack = Step(3, Resources(1), 2_500, preferred_rack="r1")
        cases = [
            ("as fast as its siblings", [(800, 32.0)], None, 40.0, []),
            ("stalled", [(800, 30.0), (800 + STALL_TIMEOUT_MS + 1, 30.0)], None, 90.0, ["stalled"]),
            ("never began", [(800, 0.0), (STALL_TIMEOUT_MS + 1, 0.0)], None, None, ["stalled"]),
            ("six times slower", [(1_600, 10.0)], None, 64.0, ["slow"]),
            ("behind its estimate only", [(1_600, 10.0)], None, None, []),
            ("slow, but nearly done", [(2_300, 90.0)], None, 99.0, []),
            ("slow with a checkpoint", [(8_000, 20.0)], checkpointing, 80.0, ["slow"]),
            ("member of a gang", [(1_600, 10.0)], gang, 64.0, []),
            ("with a preferred rack", [(1_600, 10.0)], with_preferred_rack, 64.0, []),
            ("too little progress", [(1_600, 3.0)], None, 64.0, []),
            ("long-running step", [(800, 30.0), (9_000, 30.0)], long_running, 64.0, []),
        ]
        for name, reports, step, other, expected in cases:
            with self.subTest(name):
                self.assertEqual(
                    self.straggling_reasons(*reports, step=step, other=other), expected
                )

    def test_progress_under_an_earlier_coordinator_is_not_counted(self) -> None:
        """Guards against wrong durations after a takeover.

        Progress from before the takeover would count as made after it, so that some runs look fast
        and others slow in comparison.
        """
        clock = ManualClock(0)
        before = tracker_with(clock, job("a", Step(3, Resources(1), 2_500)))
        before.begin_runs("a", REFS, [worker(), worker("w2"), worker("w3")])
        _, tasks = before.recorded_progress("a")
        clock.move(10_000)
        tracker = JobTracker(clock)
        tracker.add(job("a", Step(3, Resources(1), 2_500)), JobProgress(JobState.RUNNING, tasks))
        names = [RunName("a", ref, 1) for ref in REFS]
        for at_ms, percents in ((10_000, (20.0, 90.0, 90.0)), (11_000, (24.0, 94.0, 94.0))):
            clock.move(at_ms - clock())
            for name, percent in zip(names, percents, strict=True):
                tracker.update_progress(RunningTask(name, "", percent))
        for name in names[1:]:
            tracker.end_run(name, RunEnd.DONE)
        self.assertEqual(straggling_runs(tracker, tracker.runs_on("w1"), clock()), [])


class RunsOutlastingDrainTest(unittest.TestCase):
    def test_runs_that_cannot_end_before_their_worker_leaves(self) -> None:
        plain = Step(1, Resources(1), 9_000)
        checkpointing = Step(1, Resources(1), 9_000, checkpointing=True)
        long_running = Step(1, Resources(1), 9_000, long_running=True, checkpointing=True)
        cases = [
            ("worker is not draining", plain, False, 0, 20.0, 0),
            ("ends in time", checkpointing, True, 5_000, 50.0, 0),
            ("moves with its checkpoint", checkpointing, True, 3_000, 50.0, 1),
            ("may end if the worker overruns", plain, True, 3_000, 50.0, 0),
            ("loses its work anyway", plain, True, 500, 50.0, 1),
            ("long-running step", long_running, True, 0, 50.0, 0),
        ]
        for name, step, draining, remaining_ms, percent, expected in cases:
            with self.subTest(name):
                clock = ManualClock(0)
                tracker = tracker_with(clock, job("a", step))
                (run,) = tracker.begin_runs("a", REFS[:1], [worker()])
                tracker.settle(run.name)
                # Half of the work took 4 s, so 4 s remain.
                clock.move(4_000)
                tracker.update_progress(RunningTask(run.name, "", percent))
                draining_worker = replace(
                    worker(), draining=draining, drain_remaining_ms=remaining_ms
                )
                found = runs_outlasting_drain(
                    tracker, tracker.runs_on("w1"), draining_worker, clock()
                )
                self.assertEqual(len(found), expected)


if __name__ == "__main__":
    unittest.main()
