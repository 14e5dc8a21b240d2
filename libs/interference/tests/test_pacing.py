"""Tests of the pacing controller against loads that jump, and readings that are rough or missing.

A worker has serving tasks whose latency grows with their load and with the share of the best-effort
tasks beside them. The controller sees it only in reports.
"""

import unittest
from collections.abc import Callable
from random import Random

from hornbeamfold.interference import (
    FULL_PERCENT,
    PaceLimits,
    PaceState,
    Reading,
    is_starved,
    next_pace,
)
from hornbeamfold.interference.pacing import MAX_STARVED_MS, RAISE_PERCENT

VIOLATION_MS = 4_500
LIMITS = PaceLimits(VIOLATION_MS)
# How often a worker reports, at most and at least.
REPORT_MS = (800, 2_000)
# An order and its effect.
ORDER_MS = 300
STEP_MS = 100
SEED = 41

Load = Callable[[int], float]


class Trial:
    """One worker with serving and best-effort tasks, and how long the target was exceeded.

    `load` is the latency as a share of the target without best-effort tasks, by time, and `harm`
    what those add to it at full share. Of the reports, `missing` have no latency.
    """

    def __init__(
        self, load: Load, harm: float, report_ms: int = 800, noise: float = 0.0,
        missing: float = 0.0, lost: float = 0.0,
    ) -> None:  # fmt: skip
        self._load = load
        self._harm = harm
        self._report_ms = report_ms
        self._noise = noise
        self._missing = missing
        self._lost = lost
        self._random = Random(SEED)
        self.state = PaceState()
        self.percent = FULL_PERCENT
        self.longest_violation_ms = 0
        self.changes = 0
        self.done_ms = 0.0

    def run(self, until_ms: int) -> "Trial":
        """Let time pass."""
        over_since: int | None = None
        orders: list[tuple[int, int]] = []
        for now in range(0, until_ms, STEP_MS):
            while orders and orders[0][0] <= now:
                self.percent = orders.pop(0)[1]
            alone = self._load(now)
            ratio = alone + self._harm * self.percent / 100
            self.done_ms += STEP_MS * self.percent / 100
            harmed = ratio >= 1 and alone < 1 and self.percent > 0
            over_since = (now if over_since is None else over_since) if harmed else None
            if over_since is not None:
                duration_ms = now - over_since
                self.longest_violation_ms = max(self.longest_violation_ms, duration_ms)
            if now % self._report_ms:
                continue
            self._report(ratio, now)
            # An order is repeated with each report until the worker has it.
            if self.state.percent != self.percent and self._random.random() >= self._lost:
                orders.append((now + ORDER_MS, self.state.percent))
        return self

    def _report(self, ratio: float, now: int) -> None:
        reading = Reading(ratio * (1 + self._random.gauss(0, self._noise)), now)
        if self._random.random() < self._missing:
            reading = Reading(None, now)
        before = self.state.percent
        self.state = next_pace(self.state, reading, LIMITS)
        self.changes += self.state.percent != before


def jumps(low: float, high: float, period_ms: int) -> Load:
    """Return a load that jumps between two levels."""
    return lambda now: high if now // period_ms % 2 else low


class PacingTest(unittest.TestCase):
    def test_no_disturbance_no_pacing(self) -> None:
        trial = Trial(jumps(0.3, 0.6, 3_000), harm=0.05, noise=0.05).run(120_000)
        self.assertEqual(trial.changes, 0)

    def test_keeps_the_target_when_the_load_jumps(self) -> None:
        """Guards against a target that is exceeded for longer than allowed.

        Load: latencies that jump between 30% and 80% of the target every few seconds, beside
        best-effort tasks that add half of the target.
        """
        for report_ms in REPORT_MS:
            for period_ms in (1_000, 3_000, 7_000, 20_000):
                with self.subTest(report_ms=report_ms, period_ms=period_ms):
                    trial = Trial(jumps(0.3, 0.8, period_ms), 0.5, report_ms).run(180_000)
                    self.assertLess(trial.longest_violation_ms, VIOLATION_MS)

    def test_keeps_the_target_with_rough_missing_and_lost_messages(self) -> None:
        for report_ms in REPORT_MS:
            with self.subTest(report_ms=report_ms):
                trial = Trial(
                    jumps(0.3, 0.8, 5_000), 0.5, report_ms, noise=0.1, missing=0.1, lost=0.1
                )
                self.assertLess(trial.run(180_000).longest_violation_ms, VIOLATION_MS)

    def test_returns_to_the_full_share(self) -> None:
        """Guards against work that stays paced after the load has gone."""
        trial = Trial(lambda now: 0.95 if now < 10_000 else 0.3, harm=0.3).run(10_000)
        self.assertLess(trial.percent, 20)
        trial = Trial(lambda now: 0.95 if now < 10_000 else 0.3, harm=0.3).run(45_000)
        self.assertEqual(trial.percent, FULL_PERCENT)

    def test_uses_what_is_idle(self) -> None:
        """Guards against a controller that keeps the target by letting nothing else work."""
        trial = Trial(lambda now: 0.5, harm=0.6, noise=0.05).run(300_000)
        self.assertLess(trial.longest_violation_ms, VIOLATION_MS)
        self.assertGreater(trial.done_ms, 0.3 * 300_000)

    def test_changes_are_few(self) -> None:
        """Guards against a share that swings, and an order with each report."""
        trial = Trial(lambda now: 0.5, harm=0.6).run(300_000)
        self.assertLess(trial.changes, 300_000 // REPORT_MS[0] // 3)

    def test_without_readings_the_share_is_cut_and_held(self) -> None:
        state = PaceState()
        for now in range(1_000, 20_000, 1_000):
            state = next_pace(state, Reading(None, now), LIMITS)
        self.assertGreater(state.percent, 0)
        self.assertLess(state.percent, FULL_PERCENT)

    def test_a_serious_jump_pauses_the_rest_within_two_reports(self) -> None:
        state = next_pace(PaceState(), Reading(0.5, 10_000), LIMITS)
        state = next_pace(state, Reading(3.0, 10_800), LIMITS)
        self.assertLessEqual(state.percent, 25)
        state = next_pace(state, Reading(3.0, 11_600), LIMITS)
        self.assertEqual(state.percent, 0)

    def test_a_jump_after_a_long_silence_pauses_at_once(self) -> None:
        state = next_pace(PaceState(), Reading(0.5, 10_000), LIMITS)
        state = next_pace(state, Reading(1.1, 12_000), LIMITS)
        self.assertEqual(state.percent, 0)

    def test_a_new_state_does_not_count_the_time_before(self) -> None:
        """Guards against a takeover that takes the time since boot for one over the target."""
        state = next_pace(PaceState(), Reading(1.1, 90_000_000), LIMITS)
        self.assertEqual(state.percent, 25)

    def test_starvation(self) -> None:
        state = PaceState()
        for now in range(0, MAX_STARVED_MS, 1_000):
            state = next_pace(state, Reading(2.0, now), LIMITS)
            self.assertFalse(is_starved(state, now))
        self.assertTrue(is_starved(state, 2 * MAX_STARVED_MS))
        now = 2 * MAX_STARVED_MS
        state = next_pace(state, Reading(0.3, now), LIMITS)
        self.assertEqual(state.percent, RAISE_PERCENT)
        self.assertFalse(is_starved(state, now))


if __name__ == "__main__":
    unittest.main()
