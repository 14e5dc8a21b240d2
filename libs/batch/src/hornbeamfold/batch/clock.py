"""Clocks in whole milliseconds."""

import time
from collections.abc import Callable

Clock = Callable[[], int]


def elapsed_ms() -> int:
    """Return milliseconds that never go back and also count while the machine is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def unix_ms() -> int:
    """Return the Unix time in milliseconds; it may step."""
    return time.time_ns() // 1_000_000
