"""Tests of since when a job counts as idle."""

import unittest

from coordinator_cases import BOUNDS, ManualClock, job, tracker_with, worker

from hornbeamfold.batch import (
    OperatorState,
    Resources,
    RunEnd,
    RunName,
    RunningTask,
    Step,
    TaskRef,
)
from hornbeamfold.coordinator.job_tracker import JobTracker
from hornbeamfold.coordinator.planner_inputs import ready_steps

DEMAND = Resources(1_000, 1_000, 1)


class IdleSinceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()

    def idle_ms(self, tracker: JobTracker) -> list[int]:
        """Return for how long the job of each ready step has been idle."""
        now = self.clock()
        return [
            step.idle_ms(now)
            for step in ready_steps(tracker, OperatorState(), 10_000, now, BOUNDS, 1)
        ]

    def begin(self, tracker: JobTracker, index: int) -> RunName:
        """Begin a run of a task of the first step."""
        (run,) = tracker.begin_runs("a", [TaskRef(0, 0, index)], [worker()])
        return run.name

    def test_a_job_is_idle_from_when_its_first_step_is_ready(self) -> None:
        tracker = tracker_with(self.clock, job("a"))
        self.assertEqual(self.idle_ms(tracker), [0])
        self.clock.move(700)
        self.assertEqual(self.idle_ms(tracker), [700])
        self.begin(tracker, 0)
        self.assertEqual(self.idle_ms(tracker), [0])

    def test_only_the_end_of_a_run_that_a_worker_had_begins_the_time_anew(self) -> None:
        """Guards against a job that is never idle as its starts are lost again and again."""
        cases = [
            ("refused", False, False, RunEnd.LOST, 900),
            ("sent, lost, and stopped", True, False, RunEnd.LOST, 900),
            ("listed and lost", True, True, RunEnd.LOST, 400),
            ("ended before a report listed it", True, False, RunEnd.FAILED, 400),
        ]
        for name, settled, listed, end, expected in cases:
            with self.subTest(name):
                tracker = tracker_with(self.clock, job("a", Step(1, DEMAND, 1_000)))
                self.idle_ms(tracker)
                self.clock.move(500)
                run = self.begin(tracker, 0)
                if settled:
                    tracker.settle(run)
                if listed:
                    tracker.update_progress(RunningTask(run, "", 10.0))
                tracker.end_run(run, end)
                self.clock.move(400)
                self.assertEqual(self.idle_ms(tracker), [expected])

    def test_a_long_running_task_waits_however_often_another_ends(self) -> None:
        """Guards against a task that never counts as waiting as its sibling fails every second."""
        step = Step(2, DEMAND, 1_000, long_running=True)
        tracker = tracker_with(self.clock, job("a", step, max_attempts=100))
        self.idle_ms(tracker)
        for _ in range(10):
            name = self.begin(tracker, 0)
            tracker.settle(name)
            self.clock.move(1_500)
            tracker.end_run(name, RunEnd.FAILED)
        self.assertEqual(self.idle_ms(tracker), [15_000])

    def test_each_long_running_task_is_needed(self) -> None:
        tracker = tracker_with(self.clock, job("a", Step(2, DEMAND, 1_000, long_running=True)))
        self.idle_ms(tracker)
        tracker.settle(self.begin(tracker, 0))
        self.clock.move(800)
        self.assertEqual(self.idle_ms(tracker), [800])


if __name__ == "__main__":
    unittest.main()
