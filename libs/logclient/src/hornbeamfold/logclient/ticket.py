"""The handle by which the submitter of events learns their verdicts."""

from collections.abc import Callable

from hornbeamfold.logclient.signals import Signal
from hornbeamfold.model.events import Applied, Event


class Ticket:
    """Submitted events on their way through the log, in one or more records."""

    def __init__(
        self,
        batches: tuple[tuple[Event, ...], ...],
        clock: Callable[[], int],
        on_withdrawn: Callable[[], None],
    ) -> None:
        self._batches = batches
        self._clock = clock
        self._verdicts: list[tuple[Applied, ...] | None] = [None] * len(batches)
        self._on_withdrawn = on_withdrawn
        self._sent: set[int] = set()
        self._withdrawn = False
        self._resolved = Signal()

    @property
    def batches(self) -> tuple[tuple[Event, ...], ...]:
        """The events as split over records."""
        return self._batches

    @property
    def withdrawn(self) -> bool:
        """Whether the events were withdrawn before any was sent."""
        return self._withdrawn

    @property
    def done(self) -> bool:
        """Whether every event was folded."""
        return all(verdict is not None for verdict in self._verdicts)

    def wait(self, timeout_ms: int) -> tuple[Applied, ...] | None:
        """Return the verdicts once all events were folded, or None on timeout.

        The result is empty for events that were folded but whose verdicts this reader did not
        see, because it loaded a snapshot that was taken after them. It is None at once after a
        withdrawal.
        """
        deadline_ms = self._clock() + timeout_ms
        while not self.done:
            left_ms = deadline_ms - self._clock()
            if self._withdrawn or left_ms <= 0:
                return None
            self._resolved.wait(left_ms)
        return tuple(applied for verdict in self._verdicts for applied in verdict or ())

    def withdraw(self) -> bool:
        """Take the events back if none was ever sent; then they certainly have no effect."""
        if self._sent:
            return False
        if not self._withdrawn:
            self._withdrawn = True
            self._resolved.notify()
            self._on_withdrawn()
        return True

    def mark_sent(self, index: int) -> None:
        """Note that a batch may have reached the log (called by the writer)."""
        self._sent.add(index)

    def mark_unsent(self, index: int) -> None:
        """Note that a batch certainly did not reach the log (called by the writer)."""
        self._sent.discard(index)

    def resolve(self, index: int, applied: tuple[Applied, ...]) -> None:
        """Note the verdicts on one batch; the first ones count (called by the writer)."""
        if self._verdicts[index] is None:
            self._verdicts[index] = applied
        if self.done:
            self._resolved.notify()
