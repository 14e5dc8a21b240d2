"""A signal between green threads."""

from eventlet import Timeout
from eventlet.event import Event


class Signal:
    """Wakes all green threads that wait for it; each checks its own condition again."""

    def __init__(self) -> None:
        self._event = Event()

    def notify(self) -> None:
        """Wake all who wait now."""
        event, self._event = self._event, Event()
        event.send()

    def wait(self, timeout_ms: float | None = None) -> bool:
        """Wait for the next notification; return false on timeout."""
        if timeout_ms is None:
            self._event.wait()
            return True
        with Timeout(max(timeout_ms, 0) / 1000, False):
            self._event.wait()
            return True
        return False
