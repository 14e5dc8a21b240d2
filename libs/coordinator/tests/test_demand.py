"""Tests for the estimate of urgent demand."""

import unittest

from coordinator_cases import job

from hornbeamfold.batch import Resources, Step
from hornbeamfold.coordinator.demand import LEAD_TIME_MS, WINDOW_MS, UrgentDemand
from hornbeamfold.scheduling import ReadyStep


def ready(priority: int, ready_ms: int) -> ReadyStep:
    """Return a step of two tasks with 8 accelerators each."""
    wide = job("a", Step(2, Resources(1, 1, 8)), priority=priority)
    return ReadyStep(wide, 0, 0, (0, 1), ready_ms, 100_000)


class UrgentDemandTest(unittest.TestCase):
    def test_urgent_steps_count_once_and_only_within_the_window(self) -> None:
        demand = UrgentDemand()
        demand.record([ready(0, 1_000), ready(1, 1_000)], 1_000)
        demand.record([ready(0, 1_000)], 1_200)
        self.assertEqual(demand.headroom(), {"planner": 16 * LEAD_TIME_MS // WINDOW_MS})
        demand.record([], 1_001 + WINDOW_MS)
        self.assertEqual(demand.headroom(), {})


if __name__ == "__main__":
    unittest.main()
