"""Clocks in whole milliseconds."""

import time
from collections.abc import Callable

Clock = Callable[[], int]


def monotonic_ms() -> int:
    """Return milliseconds that never go back; for ages and time bounds."""
    return time.monotonic_ns() // 1_000_000


def wall_ms() -> int:
    """Return Unix milliseconds; for deadlines, which callers give as Unix times."""
    return time.time_ns() // 1_000_000
