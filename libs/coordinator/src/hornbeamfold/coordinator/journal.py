"""Writes progress to the store: one append at a time, under the coordinator's epoch."""

from collections.abc import Callable

import eventlet
from eventlet.event import Event

from hornbeamfold.batch import (
    Clock,
    Fence,
    Fenced,
    KeyedRecord,
    NotStored,
    Stored,
    StoreUnknown,
    TopicPort,
)
from hornbeamfold.coordinator.book import Book
from hornbeamfold.ledger import encode_progress
from hornbeamfold.telemetry import get_logger, histogram

logger = get_logger("hornbeamfold.coordinator.journal")
_append_ms = histogram("hornbeamfold_journal_append", "ms", "Time until an append is stored.")

PRODUCER = "coordinator"
# Without any change a record is written this often, so that the others hear of the coordinator.
BEAT_MS = 200
# An append in a store that is 60 times slower than usual takes about half a second.
APPEND_TIMEOUT_MS = 1_200
RETRY_MS = 80
# The store takes at most 2 MB in one call.
MAX_BATCH_BYTES = 1_000_000


class Journal:
    """Records changed jobs and tells those who wait when their change is in the store."""

    def __init__(
        self,
        topic: TopicPort,
        book: Book,
        epoch: int,
        sequence: int,
        beat: Callable[[], KeyedRecord],
        on_fenced: Callable[[str], None],
        clock: Clock,
    ) -> None:
        self._topic = topic
        self._book = book
        self._epoch = epoch
        self._sequence = sequence
        self._beat = beat
        self._on_fenced = on_fenced
        self._clock = clock
        self._callbacks: list[Callable[[], None]] = []
        self._wake: Event = Event()
        self._stopped = False
        self._last: KeyedRecord | None = None
        self._closed: Event = Event()

    def after_store(self, callback: Callable[[], None]) -> None:
        """Call back when all changes made to the book so far are in the store."""
        self._callbacks.append(callback)
        self.notify()

    def notify(self) -> None:
        """Look for changes now."""
        if not self._wake.ready():
            self._wake.send(None)

    def stop(self) -> None:
        """Write nothing more."""
        self._stopped = True
        self.notify()

    def run(self) -> None:
        """Write changes, and a beat when there are none, until stopped or fenced."""
        while not self._stopped:
            if not self._book.has_changes and not self._callbacks and self._last is None:
                self._wake = Event()
                self._wake.wait(timeout=BEAT_MS / 1_000)
                if self._stopped:
                    return
            callbacks, self._callbacks = self._callbacks, []
            last = self._last
            if not self._write(self._collect()):
                return
            for callback in callbacks:
                callback()
            if last is not None:
                self._closed.send(True)
                return

    def close_with(self, record: KeyedRecord, timeout_ms: int) -> bool:
        """Write what is left and then one last record; return whether it was stored in time."""
        self._last = record
        self.notify()
        return bool(self._closed.wait(timeout=timeout_ms / 1_000))

    def _collect(self) -> list[KeyedRecord]:
        changed = sorted(self._book.take_changed())
        records = [encode_progress(each, *self._book.recorded_form(each)) for each in changed]
        if self._last is not None:
            records.append(self._last)
        return records or [self._beat()]

    def _write(self, records: list[KeyedRecord]) -> bool:
        """Append all records; return whether the coordinator may go on."""
        batch: list[KeyedRecord] = []
        size = 0
        for record in records:
            if batch and size + len(record.value) > MAX_BATCH_BYTES:
                if not self._append(batch):
                    return False
                batch, size = [], 0
            batch.append(record)
            size += len(record.value)
        return self._append(batch)

    def _append(self, batch: list[KeyedRecord]) -> bool:
        self._sequence += 1
        fence = Fence(PRODUCER, self._epoch, self._sequence)
        began = self._clock()
        failures = 0
        while not self._stopped:
            outcome = self._topic.append(batch, fence, APPEND_TIMEOUT_MS)
            match outcome:
                case Stored():
                    _append_ms(self._clock() - began)
                    if failures:
                        logger.info("journal_regained", extra={"failures": failures})
                    return True
                case Fenced(reason):
                    self._on_fenced(f"store: {reason}")
                    return False
                case NotStored(reason) | StoreUnknown(reason):
                    # The same sequence number makes the repeat of an append that was done harmless.
                    if not failures:
                        logger.warning("journal_held_up", extra={"reason": reason})
                    failures += 1
            eventlet.sleep(RETRY_MS / 1_000)
        return False
