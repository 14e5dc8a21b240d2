"""Appends to one topic under the coordinator's epoch, with retries until stored or fenced."""

from collections.abc import Callable, Sequence

import eventlet

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
from hornbeamfold.telemetry import get_logger, histogram

logger = get_logger("hornbeamfold.coordinator.fenced_writer")
_append_ms = histogram("hornbeamfold_journal_append", "ms", "Time until an append is stored.")

PRODUCER = "coordinator"
# When the store is 60 times slower than usual, an append takes about half a second.
APPEND_TIMEOUT_MS = 1_200
RETRY_MS = 80
# The store accepts at most 2 MB per call.
MAX_BATCH_BYTES = 1_000_000


class FencedWriter:
    """The only writer of a topic during a term; it runs one append at a time."""

    def __init__(
        self,
        name: str,
        topic: TopicPort,
        epoch: int,
        sequence: int,
        on_fenced: Callable[[str], None],
        clock: Clock,
    ) -> None:
        self._name = name
        self._topic = topic
        self._epoch = epoch
        self._sequence = sequence
        self._on_fenced = on_fenced
        self._clock = clock
        self._stopped = False

    @property
    def stopped(self) -> bool:
        """Whether the writer has been stopped."""
        return self._stopped

    def stop(self) -> None:
        """Stop writing and retrying."""
        self._stopped = True

    def write(self, records: Sequence[KeyedRecord]) -> bool:
        """Append all records in batches; return False if stopped or fenced."""
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

    def _append(self, batch: Sequence[KeyedRecord]) -> bool:
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
                        logger.info(
                            "journal_regained", extra={"topic": self._name, "failures": failures}
                        )
                    return True
                case Fenced(reason):
                    self._on_fenced(f"{self._name}: {reason}")
                    return False
                case NotStored(reason) | StoreUnknown(reason):
                    # A retry has the same sequence number, so the store does not append it twice.
                    if not failures:
                        logger.warning(
                            "journal_held_up", extra={"topic": self._name, "reason": reason}
                        )
                    failures += 1
            eventlet.sleep(RETRY_MS / 1_000)
        return False
