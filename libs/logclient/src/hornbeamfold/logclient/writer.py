"""The one writer of an instance: one append in flight, batches, and safe resends."""

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

# A failed append is tried again after this pause, doubled up to the bound.
FIRST_PAUSE_MS = 20
PAUSE_BOUND_MS = 1_000


@dataclass(frozen=True)
class _Part:
    """One batch of a ticket, which goes into one record as a whole."""

    ticket: Ticket
    index: int
    events: tuple[Event, ...]
    size: int


class LogWriter:
    """Appends submitted events in order and tells their tickets what became of them.

    The fold ignores a record whose `seq` is not above the writer's last one. A record whose
    append failed must therefore be in the log before the next one is sent.
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
        self._waiting: deque[_Part] = deque()
        self._unfolded: dict[int, tuple[_Part, ...]] = {}
        self._seq = 0
        self._failures = 0
        self._confirmed_ms = -1
        self._awaiting_confirmation = False
        self._changed = Signal()

    @property
    def pending(self) -> int:
        """The number of tickets that were neither folded nor withdrawn."""
        parts = [*self._waiting, *(part for sent in self._unfolded.values() for part in sent)]
        return len({id(part.ticket) for part in parts if not part.ticket.withdrawn})

    @property
    def awaiting_confirmation(self) -> bool:
        """Whether the next send waits for a read up to the end of the log."""
        return self._awaiting_confirmation

    def submit(self, events: tuple[Event, ...]) -> Ticket:
        """Queue events; those that fit into one record stay together and in order."""
        ticket = Ticket(split_events(events), self._clock, self._changed.notify)
        for index, batch in enumerate(ticket.batches):
            size = sum(encoded_size(event) for event in batch)
            self._waiting.append(_Part(ticket, index, batch, size))
        self._changed.notify()
        return ticket

    def run(self) -> None:
        """Append what waits, until the green thread is killed."""
        while True:
            parts = self._next_parts()
            if not parts:
                self._changed.wait()
                continue
            self._seq += 1
            self._unfolded[self._seq] = parts
            events = tuple(event for part in parts for event in part.events)
            self._send(self._seq, encode_record(Record(self._writer_id, self._seq, events)))

    def folded(self, entry: Entry, applied: tuple[Applied, ...]) -> None:
        """Learn that the reader folded an entry; `applied` is empty if the fold ignored it."""
        record = entry.record
        if record.writer != self._writer_id:
            return
        # The log has all records before this one, but the reader did not fold them one by one.
        for seq in [seq for seq in self._unfolded if seq < record.seq]:
            self._resolve(seq, ())
        self._resolve(record.seq, applied)
        self._changed.notify()

    def confirmed(self, started_ms: int) -> None:
        """Learn that a read started at that time, reached the log's end and was folded."""
        self._confirmed_ms = max(self._confirmed_ms, started_ms)
        self._changed.notify()

    def drain(self, timeout_ms: int) -> bool:
        """Wait until nothing is pending; return false on timeout."""
        deadline_ms = self._clock() + timeout_ms
        while self.pending:
            left_ms = deadline_ms - self._clock()
            if left_ms <= 0:
                return False
            self._changed.wait(left_ms)
        return True

    def _next_parts(self) -> tuple[_Part, ...]:
        parts: list[_Part] = []
        size = 0
        while self._waiting:
            part = self._waiting[0]
            if part.ticket.withdrawn:
                self._waiting.popleft()
                continue
            if parts and size + part.size > MAX_EVENTS_BYTES:
                break
            size += part.size
            parts.append(self._waiting.popleft())
            part.ticket.mark_sent(part.index)
        return tuple(parts)

    def _send(self, seq: int, data: str) -> None:
        """Append one record, again and again until it is in the log or certainly is not."""
        may_be_stored = False
        while seq in self._unfolded:
            outcome = self._append(data)
            if isinstance(outcome, Appended):
                break
            failed_ms = self._clock()
            self._failures += 1
            self._on_failure(outcome)
            may_be_stored = may_be_stored or outcome.may_have_happened
            if may_be_stored:
                self._wait_for_read_back(seq, failed_ms)
                if seq in self._unfolded:
                    self._pause()
                continue
            if outcome.kind is FailureKind.REJECTED:
                self._reject(seq, outcome.detail)
                return
            self._take_back(seq)
            self._pause()
            return
        self._failures = 0

    def _wait_for_read_back(self, seq: int, failed_ms: int) -> None:
        """Wait until the record was read, or a read that started later did not show it."""
        self._awaiting_confirmation = True
        while seq in self._unfolded and self._confirmed_ms <= failed_ms:
            self._changed.wait()
        self._awaiting_confirmation = False

    def _take_back(self, seq: int) -> None:
        """Queue the events of a record that was not stored, so that they can be withdrawn."""
        parts = self._unfolded.pop(seq)
        for part in parts:
            part.ticket.mark_unsent(part.index)
        self._waiting.extendleft(reversed(parts))
        self._seq -= 1

    def _reject(self, seq: int, detail: str) -> None:
        """Tell the tickets of a record that the log will never take it; its number is free."""
        for part in self._unfolded.pop(seq):
            verdicts = [Applied(e, False, ErrorKind.INTERNAL, detail) for e in part.events]
            part.ticket.resolve(part.index, tuple(verdicts))
        self._seq -= 1
        self._changed.notify()

    def _resolve(self, seq: int, applied: tuple[Applied, ...]) -> None:
        position = 0
        for part in self._unfolded.pop(seq, ()):
            until = position + len(part.events)
            part.ticket.resolve(part.index, applied[position:until])
            position = until

    def _pause(self) -> None:
        pause_ms = FIRST_PAUSE_MS * 2 ** min(self._failures - 1, 10)
        sleep(min(pause_ms, PAUSE_BOUND_MS) / 1000)
