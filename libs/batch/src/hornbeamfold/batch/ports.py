"""Ports to the platform and the types of their outcomes.

A port is a frozen data class of functions. Every function has a timeout and returns failures of the
network and of the remote side as outcomes instead of raising exceptions.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from hornbeamfold.batch.workers import EndedTask, RunName, RunningTask, Worker

# The lengths of a record and of its key.
RECORD_OVERHEAD_BYTES = 8


@dataclass(frozen=True)
class KeyedRecord:
    """A record of a keyed topic; an empty value is a tombstone that removes the key.

    `offset` is -1 before the record is stored.
    """

    key: str
    value: bytes
    offset: int = -1


def stored_bytes(record: KeyedRecord) -> int:
    """Return an upper bound of the size of a record in a store, with its key and framing."""
    return len(record.key.encode()) + len(record.value) + RECORD_OVERHEAD_BYTES


@dataclass(frozen=True)
class TopicLimits:
    """The largest record that a store accepts, and all records of one append, in bytes."""

    record_bytes: int = 262_144
    call_bytes: int = 2_097_152


@dataclass(frozen=True)
class Fence:
    """Identifies an append: the store accepts only the highest epoch of a producer.

    An append that is repeated with the same sequence number is stored once.
    """

    producer: str
    epoch: int
    sequence: int


@dataclass(frozen=True)
class Stored:
    """The records are stored in the log, starting at this offset."""

    offset: int


@dataclass(frozen=True)
class NotStored:
    """The store rejected the append; it has no effect now or later."""

    reason: str


@dataclass(frozen=True)
class Rejected:
    """The store did not append the records, and a repeated append would be rejected as well."""

    reason: str


@dataclass(frozen=True)
class Fenced:
    """The store has seen a higher epoch, or a sequence number of another producer instance."""

    reason: str


@dataclass(frozen=True)
class StoreUnknown:
    """No answer: the append may have been stored or may still be stored later."""

    reason: str


AppendOutcome = Stored | NotStored | Rejected | Fenced | StoreUnknown


@dataclass(frozen=True)
class Records:
    """Records read from the log; `next_offset` is where the next read begins.

    `end` is the offset after the last stored record. `confirmed_ms` is a time on the local clock at
    which the reader that has read up to `end` was up to date.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int
    confirmed_ms: int


@dataclass(frozen=True)
class Trimmed:
    """The requested records have expired; `first` is the first offset that remains."""

    first: int


@dataclass(frozen=True)
class ReadFailed:
    """The log could not be read."""

    reason: str


ReadOutcome = Records | Trimmed | ReadFailed


@dataclass(frozen=True)
class NewestPage:
    """A page of the newest record of each key, ordered by key."""

    records: tuple[KeyedRecord, ...]
    has_more: bool
    end: int
    confirmed_ms: int


@dataclass(frozen=True)
class TopicPort:
    """One partition of a keyed topic."""

    append: Callable[[Sequence[KeyedRecord], Fence | None, int], AppendOutcome]
    read: Callable[[int, int], ReadOutcome]
    newest: Callable[[str], NewestPage | ReadFailed]
    limits: TopicLimits = TopicLimits()


class Refusal(Enum):
    """The reason why a worker did not carry out an order."""

    FENCED = "fenced"  # the worker has seen a higher fencing token
    OLD_RUN = "old_run"  # the worker has ended or stopped this run or a later one
    TOO_LATE = "too_late"  # the order has expired
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    GONE = "gone"  # another incarnation answers at this address
    UNREACHABLE = "unreachable"  # no connection was made, so the order was not sent


@dataclass(frozen=True)
class Accepted:
    """The worker carried out the order now or earlier; `clock_ms` is its monotonic clock."""

    clock_ms: int


@dataclass(frozen=True)
class Refused:
    """The worker did not carry out the order."""

    reason: Refusal
    clock_ms: int | None = None


@dataclass(frozen=True)
class NoAnswer:
    """No answer: the order may have been carried out or may still be carried out later.

    `closed` means that the connection ended after the order was sent, rather than staying silent.
    """

    reason: str
    closed: bool = False


OrderOutcome = Accepted | Refused | NoAnswer


@dataclass(frozen=True)
class LeaseReport:
    """A worker's answer to a lease renewal; `clock_ms` is the worker's monotonic clock.

    `ended` has the first of the ends that are not acknowledged. `more_ends` means that there may be
    others, so that a run that is not listed may have ended as well.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    more_ends: bool = False


@dataclass(frozen=True)
class LeaseRenewal:
    """Extends the lease of all runs on a worker until `expires_ms` on the worker's clock.

    The worker forgets the ends up to number `acknowledged`; a renewal with such a number reaches
    only the incarnation that answered the last one. The worker answers when a run ends, or else
    after `wait_ms`. Without `expires_ms` the lease is unchanged.
    """

    token: int
    acknowledged: int
    wait_ms: int
    expires_ms: int | None = None


@dataclass(frozen=True)
class StartOrder:
    """Starts a run; the worker refuses it after `valid_until_ms` on its clock."""

    name: RunName
    payload: str
    token: int
    valid_until_ms: int
    checkpoint: str = ""


@dataclass(frozen=True)
class StopOrder:
    """Stops a run or prevents it from starting."""

    name: RunName
    token: int


@dataclass(frozen=True)
class PaceOrder:
    """Lets a run work at a share of its usual rate, from 0 to 100 percent."""

    name: RunName
    percent: int
    token: int


def _no_pacing(worker: Worker, order: PaceOrder) -> OrderOutcome:
    return Refused(Refusal.INVALID)


@dataclass(frozen=True)
class WorkerPort:
    """Lease renewals and orders to workers."""

    renew: Callable[[Worker, LeaseRenewal], LeaseReport | Refused | NoAnswer]
    start: Callable[[Worker, StartOrder], OrderOutcome]
    stop: Callable[[Worker, StopOrder], OrderOutcome]
    pace: Callable[[Worker, PaceOrder], OrderOutcome] = _no_pacing
