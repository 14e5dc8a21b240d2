"""The future that gives the submitter of events the results of folding them."""

from collections.abc import Callable

from hornbeamfold.logclient.signals import Signal
from hornbeamfold.model.events import Applied, Event


class Ticket:
    """Submitted events, in one or more log records, with their results once they are folded."""

    def __init__(
        self,
        batches: tuple[tuple[Event, ...], ...],
        clock: Callable[[], int],
        on_withdrawn: Callable[[], None],
    ) -> None:
        self._batches = batches
        self._clock = clock
        self._results: list[tuple[Applied, ...] | None] = [None] * len(batches)
        self._on_withdrawn = on_withdrawn
        self._sent_batches: set[int] = set()
        self._withdrawn = False
        self._resolved = Signal()

    @property
    def batches(self) -> tuple[tuple[Event, ...], ...]:
        """The events, split into one batch for each record."""
        return self._batches

    @property
    def withdrawn(self) -> bool:
        """Whether the events were withdrawn while none had been sent."""
        return self._withdrawn

    @property
    def done(self) -> bool:
        """Whether every event has been folded or rejected."""
        return all(batch_results is not None for batch_results in self._results)

    def wait(self, timeout_ms: int) -> tuple[Applied, ...] | None:
        """Return the results once all events are folded, or None on timeout.

        Events whose results this reader did not see, because it loaded a snapshot that was taken
        after they were folded, are left out. None is returned at once after a withdrawal.
        """
        deadline_ms = self._clock() + timeout_ms
        while not self.done:
            remaining_ms = deadline_ms - self._clock()
            if self._withdrawn or remaining_ms <= 0:
                return None
            self._resolved.wait(remaining_ms)
        return tuple(applied for batch_results in self._results for applied in batch_results or ())

    def withdraw(self) -> bool:
        """Withdraw the events and return true, unless one of them may have reached the log."""
        if self._sent_batches:
            return False
        if not self._withdrawn:
            self._withdrawn = True
            self._resolved.notify()
            self._on_withdrawn()
        return True

    def mark_sent(self, index: int) -> None:
        """Record that a batch may have reached the log (called by the writer)."""
        self._sent_batches.add(index)

    def mark_unsent(self, index: int) -> None:
        """Record that a batch certainly did not reach the log (called by the writer)."""
        self._sent_batches.discard(index)

    def resolve(self, index: int, applied: tuple[Applied, ...]) -> None:
        """Set the results of one batch, unless they are set already (called by the writer)."""
        if self._results[index] is None:
            self._results[index] = applied
        if self.done:
            self._resolved.notify()
