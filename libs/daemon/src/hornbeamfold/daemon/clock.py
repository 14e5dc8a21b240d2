"""Clocks in whole milliseconds."""

import time
from collections.abc import Callable

Clock = Callable[[], int]


def monotonic_ms() -> int:
    """Return the monotonic time in milliseconds; used for ages and timeouts."""
    return time.monotonic_ns() // 1_000_000


def wall_ms() -> int:
    """Return the Unix time in milliseconds; used for the deadlines that callers give."""
    return time.time_ns() // 1_000_000
