"""Clocks that return whole milliseconds."""

import time
from collections.abc import Callable

Clock = Callable[[], int]


def elapsed_ms() -> int:
    """Return the time since boot: monotonic, and it advances while the machine is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def unix_ms() -> int:
    """Return the Unix time in milliseconds; it may jump in either direction."""
    return time.time_ns() // 1_000_000
