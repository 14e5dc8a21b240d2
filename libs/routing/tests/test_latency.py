"""Tests of the latency table."""

import unittest

from hornbeamfold.routing import LatencyTable
from hornbeamfold.routing.latency import MAX_KINDS, MAX_SAMPLES, MIN_HEDGE_SAMPLES, WINDOW_MS


class LatencyTableTest(unittest.TestCase):
    def test_hedge_time_needs_samples_and_is_the_p95(self) -> None:
        """Guards against hedging on the evidence of a few requests."""
        table = LatencyTable()
        for value in range(MIN_HEDGE_SAMPLES - 1):
            table.add("k", value, 0)
        self.assertIsNone(table.hedge_after_ms("k", 0))
        for value in range(MIN_HEDGE_SAMPLES - 1, 100):
            table.add("k", value, 0)
        self.assertEqual(table.hedge_after_ms("k", 0), 95)

    def test_old_samples_and_old_kinds_are_dropped(self) -> None:
        """Guards against decisions on old samples, and against unbounded memory for kinds."""
        table = LatencyTable()
        table.add("k", 5.0, 0)
        self.assertIsNone(table.quantile("k", 0.5, WINDOW_MS + 1))
        for number in range(MAX_SAMPLES + 10):
            table.add("k", number, WINDOW_MS)
        self.assertEqual(table.quantile("k", 0.0, WINDOW_MS), 10)
        for number in range(MAX_KINDS):
            table.add(f"other{number}", 1.0, WINDOW_MS)
        self.assertIsNone(table.quantile("k", 0.5, WINDOW_MS))
