"""Clocks in whole milliseconds and a signal for green threads that wait for a change."""

import time
from collections.abc import Callable

from eventlet import Timeout
from eventlet.event import Event

Clock = Callable[[], int]


def monotonic_ms() -> int:
    """Return milliseconds that never go back; for ages and time bounds."""
    return time.monotonic_ns() // 1_000_000


def wall_ms() -> int:
    """Return Unix milliseconds; for deadlines, which callers give as Unix times."""
    return time.time_ns() // 1_000_000


class Signal:
    """Wakes all green threads that wait for the next change."""

    def __init__(self) -> None:
        self._event = Event()

    def notify(self) -> None:
        """Wake the waiting green threads."""
        event, self._event = self._event, Event()
        event.send(None)

    def wait(self, timeout_ms: int) -> bool:
        """Wait for the next notification; return False on timeout."""
        if timeout_ms <= 0:
            return False
        with Timeout(timeout_ms / 1_000, False):
            self._event.wait()
            return True
        return False
