"""The log writer of an instance: one append in flight, batching, and safe retries."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from eventlet import sleep

from hornbeamfold.logclient.codec import (
    MAX_EVENTS_BYTES,
    encode_record,
    encoded_size,
    split_events,
)
from hornbeamfold.logclient.outcomes import Appended, AppendOutcome, FailureKind, LogFailure
from hornbeamfold.logclient.signals import Signal
from hornbeamfold.logclient.ticket import Ticket
from hornbeamfold.model.errors import ErrorKind
from hornbeamfold.model.events import Applied, Entry, Event, Record

# The delay before a failed append is retried doubles up to the maximum.
INITIAL_RETRY_DELAY_MS = 20
MAX_RETRY_DELAY_MS = 1_000


@dataclass(frozen=True)
class _QueuedBatch:
    """One batch of a ticket; all its events go into the same record."""

    ticket: Ticket
    index: int
    events: tuple[Event, ...]
    size: int


class LogWriter:
    """Appends submitted events in order and sets the results of their tickets.

    The fold ignores a record unless its `seq` is above that of the writer's previous record. A
    record whose append failed must therefore be in the log before the next one is sent.
    """

    def __init__(
        self,
        writer_id: str,
        append: Callable[[str], AppendOutcome],
        clock: Callable[[], int],
        on_failure: Callable[[LogFailure], None] = lambda failure: None,
    ) -> None:
        self._writer_id = writer_id
        self._append = append
        self._clock = clock
        self._on_failure = on_failure
        self._queue: deque[_QueuedBatch] = deque()
        self._awaiting_fold: dict[int, tuple[_QueuedBatch, ...]] = {}
        self._seq = 0
        self._failures = 0
        self._confirmed_ms = -1
        self._awaiting_confirmation = False
        self._changed = Signal()

    @property
    def pending(self) -> int:
        """The number of tickets whose events are neither folded, rejected nor withdrawn."""
        batches = [
            *self._queue,
            *(
                queued
                for record_batches in self._awaiting_fold.values()
                for queued in record_batches
            ),
        ]
        return len({id(queued.ticket) for queued in batches if not queued.ticket.withdrawn})

    @property
    def awaiting_confirmation(self) -> bool:
        """Whether the next append is blocked until a read has reached the end of the log."""
        return self._awaiting_confirmation

    def submit(self, events: tuple[Event, ...]) -> Ticket:
        """Queue events to be appended in order; those that fit into one record share it."""
        ticket = Ticket(split_events(events), self._clock, self._changed.notify)
        for index, batch in enumerate(ticket.batches):
            size = sum(encoded_size(event) for event in batch)
            self._queue.append(_QueuedBatch(ticket, index, batch, size))
        self._changed.notify()
        return ticket

    def run(self) -> None:
        """Append queued events until the green thread is killed."""
        while True:
            batches = self._next_batches()
            if not batches:
                self._changed.wait()
                continue
            self._seq += 1
            self._awaiting_fold[self._seq] = batches
            events = tuple(event for queued in batches for event in queued.events)
            self._send(self._seq, encode_record(Record(self._writer_id, self._seq, events)))

    def folded(self, entry: Entry, applied: tuple[Applied, ...]) -> None:
        """Handle an entry that the reader folded; `applied` is empty if the fold ignored it."""
        record = entry.record
        if record.writer != self._writer_id:
            return
        # The earlier records are in the log too, but the reader skipped them with a snapshot.
        for seq in [seq for seq in self._awaiting_fold if seq < record.seq]:
            self._resolve(seq, ())
        self._resolve(record.seq, applied)
        self._changed.notify()

    def confirmed(self, started_ms: int) -> None:
        """Handle a read that started then, reached the end of the log and was folded."""
        self._confirmed_ms = max(self._confirmed_ms, started_ms)
        self._changed.notify()

    def drain(self, timeout_ms: int) -> bool:
        """Wait until nothing is pending; return false on timeout."""
        deadline_ms = self._clock() + timeout_ms
        while self.pending:
            remaining_ms = deadline_ms - self._clock()
            if remaining_ms <= 0:
                return False
            self._changed.wait(remaining_ms)
        return True

    def _next_batches(self) -> tuple[_QueuedBatch, ...]:
        batches: list[_QueuedBatch] = []
        size = 0
        while self._queue:
            queued = self._queue[0]
            if queued.ticket.withdrawn:
                self._queue.popleft()
                continue
            if batches and size + queued.size > MAX_EVENTS_BYTES:
                break
            size += queued.size
            batches.append(self._queue.popleft())
            queued.ticket.mark_sent(queued.index)
        return tuple(batches)

    def _send(self, seq: int, data: str) -> None:
        """Append one record; retry until it is in the log or certainly is not."""
        may_be_stored = False
        while seq in self._awaiting_fold:
            outcome = self._append(data)
            if isinstance(outcome, Appended):
                break
            failed_ms = self._clock()
            self._failures += 1
            self._on_failure(outcome)
            may_be_stored = may_be_stored or outcome.may_have_happened
            if may_be_stored:
                self._wait_until_read_back(seq, failed_ms)
                if seq in self._awaiting_fold:
                    self._back_off()
                continue
            if outcome.kind is FailureKind.REJECTED:
                self._reject(seq, outcome.detail)
                return
            self._requeue(seq)
            self._back_off()
            return
        self._failures = 0

    def _wait_until_read_back(self, seq: int, failed_ms: int) -> None:
        """Wait until a read shows the record, or one that started after the failure does not."""
        self._awaiting_confirmation = True
        while seq in self._awaiting_fold and self._confirmed_ms <= failed_ms:
            self._changed.wait()
        self._awaiting_confirmation = False

    def _requeue(self, seq: int) -> None:
        """Return the events of an unstored record to the queue, so that they can be withdrawn."""
        batches = self._awaiting_fold.pop(seq)
        for queued in batches:
            queued.ticket.mark_unsent(queued.index)
        self._queue.extendleft(reversed(batches))
        self._seq -= 1

    def _reject(self, seq: int, detail: str) -> None:
        """Fail the tickets of a record that the log rejects, and free its sequence number."""
        for queued in self._awaiting_fold.pop(seq):
            results = [Applied(event, False, ErrorKind.INTERNAL, detail) for event in queued.events]
            queued.ticket.resolve(queued.index, tuple(results))
        self._seq -= 1
        self._changed.notify()

    def _resolve(self, seq: int, applied: tuple[Applied, ...]) -> None:
        start = 0
        for queued in self._awaiting_fold.pop(seq, ()):
            end = start + len(queued.events)
            queued.ticket.resolve(queued.index, applied[start:end])
            start = end

    def _back_off(self) -> None:
        delay_ms = INITIAL_RETRY_DELAY_MS * 2 ** min(self._failures - 1, 10)
        sleep(min(delay_ms, MAX_RETRY_DELAY_MS) / 1000)
