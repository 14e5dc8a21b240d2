"""Tests for the inputs of a planning pass."""

import unittest
from math import inf

from coordinator_cases import BOUNDS, ManualClock, job, tracker_with

from hornbeamfold.batch import OperatorState, Resources, Step
from hornbeamfold.coordinator.planner_inputs import ready_steps

DEMAND = Resources(1_000, 1_000, 1)


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


if __name__ == "__main__":
    unittest.main()
