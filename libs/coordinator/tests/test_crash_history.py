"""Tests of what counts as an event that takes many workers."""

import unittest

from coordinator_cases import ManualClock

from hornbeamfold.coordinator.crash_history import WINDOW_MS, CrashHistory

TASK = ("a", 0, 0, 0)


class CrashHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.history = CrashHistory(self.clock)

    def test_a_rack_that_loses_power_is_no_tasks_fault(self) -> None:
        """Guards against innocent jobs that fail on days with many crashes.

        Found by: rsa-fold-grown, workers that crash in series, seed 11, LOST (shown as failed).
        """
        for number, widespread in ((1, False), (2, False), (3, True)):
            self.history.record(f"w{number}", frozenset({("b", 0, 0, number)}))
            self.assertEqual(self.history.is_widespread(TASK), widespread)
        self.clock.move(WINDOW_MS + 1)
        self.assertFalse(self.history.is_widespread(TASK))

    def test_a_task_that_crashes_worker_after_worker_is_no_widespread_event(self) -> None:
        for number in range(6):
            self.history.record(f"w{number}", frozenset({TASK, ("b", 0, 0, number)}))
        self.assertFalse(self.history.is_widespread(TASK))
        self.assertTrue(self.history.is_widespread(("c", 0, 0, 0)))

    def test_the_runs_of_one_worker_count_once(self) -> None:
        for _ in range(6):
            self.history.record("w1", frozenset({("b", 0, 0, 0)}))
        self.assertFalse(self.history.is_widespread(TASK))


if __name__ == "__main__":
    unittest.main()
