"""Paces the best-effort tasks on a worker so that the serving tasks there keep their targets.

Every function returns a new state from the last one and one reading; nothing waits. The share falls
by a multiple with each bad reading and rises in small steps after a quiet time.
"""

from dataclasses import dataclass, replace

FULL_PERCENT = 100
# Latencies as shares of the target. Below the first, best-effort tasks may get more, and above the
# second they get less.
CALM_RATIO = 0.7
HIGH_RATIO = 0.85
# The gain: a latency this much above the set point takes away this share of the percent.
GAIN = 2.0
# The least that is left after one reading that is high, and after one that is over the target.
MIN_CUT_FACTOR = 0.5
OVER_TARGET_FACTOR = 0.25
# A smaller share than this becomes 0: the task would be of no use and still disturb.
FLOOR_PERCENT = 10
RAISE_PERCENT = 10
# The share that is known to do little harm, for the time without readings.
UNSEEN_PERCENT = 40
# After a cut, the share does not rise for the hold time; it doubles if the share had just risen.
MIN_HOLD_MS = 2_000
MAX_HOLD_MS = 32_000
# Time between two raises, which spans a reading that shows the effect of the first.
RAISE_GAP_MS = 1_500
# A cut within this time of a raise is taken to be caused by it.
RAISE_BLAME_MS = 6_000
# Best-effort tasks that have had no share for this long are moved.
MAX_STARVED_MS = 12_000


@dataclass(frozen=True)
class PaceLimits:
    """How long a serving task may exceed its target beside best-effort tasks, in milliseconds."""

    violation_ms: int

    @property
    def patience_ms(self) -> int:
        """The time over the target, or without a reading, after which pacing goes to the end."""
        return self.violation_ms // 3


@dataclass(frozen=True)
class Reading:
    """The highest latency on a worker as a share of its target, or None if it is not known.

    Times are on the coordinator's clock.
    """

    ratio: float | None
    at_ms: int


@dataclass(frozen=True)
class PaceState:
    """The share of the best-effort tasks of one worker.

    `good_ms` is the time of the last reading below the target, `cut_ms` and `raised_ms` those of
    the last changes, and `starved_since_ms` since when the share is 0, or None.
    """

    percent: int = FULL_PERCENT
    good_ms: int | None = None
    cut_ms: int | None = None
    raised_ms: int | None = None
    hold_ms: int = MIN_HOLD_MS
    starved_since_ms: int | None = None


def next_pace(state: PaceState, reading: Reading, limits: PaceLimits) -> PaceState:
    """Return the state after a reading."""
    now = reading.at_ms
    good_ms = now if state.good_ms is None else state.good_ms
    state = replace(state, good_ms=good_ms)
    long_since_good = now - good_ms >= limits.patience_ms
    if reading.ratio is None:
        if not long_since_good or state.percent <= UNSEEN_PERCENT:
            return state
        return _cut(state, UNSEEN_PERCENT, now)
    if reading.ratio >= 1:
        # The latency may have exceeded the target right after the last good reading.
        percent = 0 if long_since_good else int(state.percent * OVER_TARGET_FACTOR)
        return _cut(state, percent, now)
    state = replace(state, good_ms=now)
    if reading.ratio >= HIGH_RATIO:
        factor = max(MIN_CUT_FACTOR, 1 - GAIN * (reading.ratio - CALM_RATIO))
        return _cut(state, int(state.percent * factor), now)
    if reading.ratio < CALM_RATIO:
        return _raised(state, now)
    return state


def is_starved(state: PaceState, now_ms: int) -> bool:
    """Return whether the best-effort tasks have been paused for so long that they should move."""
    since_ms = state.starved_since_ms
    return since_ms is not None and now_ms - since_ms >= MAX_STARVED_MS


def _cut(state: PaceState, percent: int, now: int) -> PaceState:
    percent = percent if percent >= FLOOR_PERCENT else 0
    hold_ms = state.hold_ms
    raised_ms = state.raised_ms
    if raised_ms is not None and now - raised_ms < RAISE_BLAME_MS:
        hold_ms = min(MAX_HOLD_MS, 2 * hold_ms)
        raised_ms = None
    starved_ms = state.starved_since_ms
    if percent == 0 and starved_ms is None:
        starved_ms = now
    return replace(
        state,
        percent=percent,
        cut_ms=now,
        raised_ms=raised_ms,
        hold_ms=hold_ms,
        starved_since_ms=starved_ms,
    )


def _raised(state: PaceState, now: int) -> PaceState:
    if state.percent >= FULL_PERCENT:
        quiet = state.raised_ms is None or now - state.raised_ms > MAX_HOLD_MS
        return replace(state, hold_ms=MIN_HOLD_MS) if quiet else state
    if state.cut_ms is not None and now - state.cut_ms < state.hold_ms:
        return state
    if state.raised_ms is not None and now - state.raised_ms < RAISE_GAP_MS:
        return state
    percent = min(FULL_PERCENT, state.percent + RAISE_PERCENT)
    return replace(state, percent=percent, raised_ms=now, starved_since_ms=None)
