"""Bounds how long patient work waits beside urgent work that does not cease."""

from collections.abc import Collection, Iterable, Sequence

from hornbeamfold.scheduling.inputs import ReadyStep

# A job that has had no run for this long comes before all work without a guarantee, and keeps the
# room that it waits for; of several, those that have waited the longest.
MAX_WAIT_WITHOUT_RUN_MS = 30_000
MAX_OVERDUE_STEPS = 2

StepKey = tuple[str, int, int]


def overdue_steps(steps: Sequence[ReadyStep], now_ms: int) -> frozenset[StepKey]:
    """Return the steps that have waited the longest, of jobs that have had no run for too long."""
    overdue = [each for each in steps if each.idle_ms(now_ms) >= MAX_WAIT_WITHOUT_RUN_MS]
    overdue.sort(key=lambda each: (-each.idle_ms(now_ms), each.key))
    return frozenset(each.key for each in overdue[:MAX_OVERDUE_STEPS])


def overdue_first(steps: Iterable[ReadyStep], overdue: Collection[StepKey]) -> list[ReadyStep]:
    """Return steps in queue order with overdue ones next after guaranteed ones."""
    return sorted(steps, key=lambda each: (not each.entitled, each.key not in overdue))
