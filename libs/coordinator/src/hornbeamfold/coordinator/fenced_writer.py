"""Appends to one topic under the coordinator's epoch, with retries until stored or fenced."""

from collections.abc import Callable, Sequence

import eventlet

from hornbeamfold.batch import (
    Clock,
    Fence,
    Fenced,
    KeyedRecord,
    NotStored,
    Rejected,
    Stored,
    StoreUnknown,
    TopicPort,
    stored_bytes,
)
from hornbeamfold.telemetry import get_logger, histogram

logger = get_logger("hornbeamfold.coordinator.fenced_writer")
_append_ms = histogram("hornbeamfold_journal_append", "ms", "Time until an append is stored.")

PRODUCER = "coordinator"
# When the store is 60 times slower than usual, an append takes about half a second.
APPEND_TIMEOUT_MS = 1_200
RETRY_MS = 80
# A single rejection may be an error of the store; this many in a row are final.
MAX_REJECTIONS = 3
# Smaller than what the store accepts, so that no append takes long.
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
        on_rejected: Callable[[KeyedRecord], None] = lambda record: None,
    ) -> None:
        self._name = name
        self._topic = topic
        self._epoch = epoch
        self._sequence = sequence
        self._on_fenced = on_fenced
        self._clock = clock
        self._on_rejected = on_rejected
        self._max_batch_bytes = min(MAX_BATCH_BYTES, topic.limits.call_bytes)
        self._stopped = False

    @property
    def stopped(self) -> bool:
        """Whether the writer has been stopped."""
        return self._stopped

    def stop(self) -> None:
        """Stop writing and retrying."""
        self._stopped = True

    def write(self, records: Sequence[KeyedRecord]) -> bool:
        """Append all records in batches; return False if stopped or fenced.

        A record that the store does not accept is reported and left out; it holds up no other.
        """
        batch: list[KeyedRecord] = []
        size = 0
        for record in records:
            record_size = stored_bytes(record)
            if record_size > self._topic.limits.record_bytes:
                self._reject(record, f"exceeds {self._topic.limits.record_bytes} bytes")
                continue
            if batch and size + record_size > self._max_batch_bytes:
                if not self._store(batch):
                    return False
                batch, size = [], 0
            batch.append(record)
            size += record_size
        return self._store(batch) if batch else not self._stopped

    def _store(self, batch: Sequence[KeyedRecord]) -> bool:
        """Append a batch; if it is rejected, append its halves, down to the record at fault."""
        outcome = self._append(batch)
        if not isinstance(outcome, Rejected):
            return isinstance(outcome, Stored)
        if len(batch) == 1:
            self._reject(batch[0], outcome.reason)
            return True
        half = len(batch) // 2
        return self._store(batch[:half]) and self._store(batch[half:])

    def _reject(self, record: KeyedRecord, reason: str) -> None:
        logger.error(
            "record_rejected",
            extra={
                "topic": self._name,
                "key": record.key,
                "bytes": stored_bytes(record),
                "reason": reason,
            },
        )
        self._on_rejected(record)

    def _append(self, batch: Sequence[KeyedRecord]) -> Stored | Rejected | None:
        """Append records until they are stored or rejected; return None if stopped or fenced."""
        fence = Fence(PRODUCER, self._epoch, self._sequence + 1)
        began = self._clock()
        failure = ""
        failures = rejections = 0
        while not self._stopped:
            outcome = self._topic.append(batch, fence, APPEND_TIMEOUT_MS)
            match outcome:
                case Stored():
                    self._sequence += 1
                    _append_ms(self._clock() - began)
                    if failures:
                        logger.info(
                            "journal_regained", extra={"topic": self._name, "failures": failures}
                        )
                    return outcome
                case Rejected() if rejections + 1 >= MAX_REJECTIONS:
                    return outcome
                case Fenced(reason):
                    self._on_fenced(f"{self._name}: {reason}")
                    return None
                case NotStored(reason) | StoreUnknown(reason) | Rejected(reason):
                    # A retry has the same sequence number, so the store does not append it twice.
                    if reason != failure:
                        logger.warning(
                            "journal_held_up", extra={"topic": self._name, "reason": reason}
                        )
                    failure = reason
                    failures += 1
                    rejections = rejections + 1 if isinstance(outcome, Rejected) else 0
            eventlet.sleep(RETRY_MS / 1_000)
        return None
