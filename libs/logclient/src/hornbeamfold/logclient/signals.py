"""A condition variable for green threads."""

from eventlet import Timeout
from eventlet.event import Event


class Signal:
    """Wakes all waiting green threads; each must then check its own condition again."""

    def __init__(self) -> None:
        self._event = Event()

    def notify(self) -> None:
        """Wake all green threads that are waiting now."""
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
