"""Bounds how long patient work waits beside urgent work that does not cease."""

from collections.abc import Callable, Collection, Iterable
from itertools import islice

from hornbeamfold.scheduling.inputs import ReadyStep

# A job that has had no run for this long comes before all work without a guarantee, and keeps the
# room that it waits for; of several, those that have waited the longest.
MAX_WAIT_WITHOUT_RUN_MS = 30_000
MAX_OVERDUE_STEPS = 2

StepKey = tuple[str, int, int]


def overdue_steps(
    steps: Iterable[ReadyStep], now_ms: int, can_start: Callable[[ReadyStep], bool]
) -> frozenset[StepKey]:
    """Return the steps that have waited the longest, of jobs that have had no run for too long.

    Steps that cannot start whatever comes first are left out, so that they do not displace others.
    """
    overdue = [each for each in steps if each.idle_ms(now_ms) >= MAX_WAIT_WITHOUT_RUN_MS]
    overdue.sort(key=lambda each: (-each.idle_ms(now_ms), each.key))
    first = islice((each for each in overdue if can_start(each)), MAX_OVERDUE_STEPS)
    return frozenset(each.key for each in first)


def overdue_first(steps: Iterable[ReadyStep], overdue: Collection[StepKey]) -> list[ReadyStep]:
    """Return steps in queue order with overdue ones next after guaranteed ones."""
    return sorted(steps, key=lambda each: (not each.entitled, each.key not in overdue))
