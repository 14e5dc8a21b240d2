"""The ports through which the product reaches the platform, and their tagged outcomes.

A port is a frozen bundle of functions. Every function has a time limit of its own and reports
failures as outcomes; none raises for what the network or the other side does.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from hornbeamfold.batch.workers import EndedTask, RunName, RunningTask, Worker


@dataclass(frozen=True)
class KeyedRecord:
    """A record of a keyed topic; an empty value removes the key.

    `offset` is -1 before the record is stored.
    """

    key: str
    value: bytes
    offset: int = -1


@dataclass(frozen=True)
class Fence:
    """Identifies an append of the one producer with this epoch."""

    producer: str
    epoch: int
    sequence: int


@dataclass(frozen=True)
class Stored:
    """The records are in the log from this offset on."""

    offset: int


@dataclass(frozen=True)
class NotStored:
    """The store refused; nothing was done and nothing will be."""

    reason: str


@dataclass(frozen=True)
class Fenced:
    """A higher epoch was seen, or the sequence number belongs to another producer instance."""

    reason: str


@dataclass(frozen=True)
class StoreUnknown:
    """No answer: the append may have been done, or may be done later."""

    reason: str


AppendOutcome = Stored | NotStored | Fenced | StoreUnknown


@dataclass(frozen=True)
class Records:
    """Records read from the log; `next_offset` is where the next read begins.

    `confirmed_ms` is a time of the local clock at which the reader had all that was stored.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int
    confirmed_ms: int


@dataclass(frozen=True)
class Trimmed:
    """The records asked for have expired."""

    first: int


@dataclass(frozen=True)
class ReadFailed:
    """The log could not be read."""

    reason: str


ReadOutcome = Records | Trimmed | ReadFailed


@dataclass(frozen=True)
class NewestPage:
    """A page of the newest record of each key, in the order of keys."""

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


class Refusal(Enum):
    """Why a worker did not carry out an order."""

    FENCED = "fenced"  # the worker has seen a higher fencing token
    OLD_RUN = "old_run"  # the worker has ended or stopped this run or a later one
    TOO_LATE = "too_late"  # the time until which the order was valid is over
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    GONE = "gone"  # another incarnation answers at this address
    UNREACHABLE = "unreachable"  # no connection was made, so the order was not sent


@dataclass(frozen=True)
class Accepted:
    """The worker carried out the order, or had done so before."""

    clock_ms: int


@dataclass(frozen=True)
class Refused:
    """The worker did nothing."""

    reason: Refusal
    clock_ms: int | None = None


@dataclass(frozen=True)
class NoAnswer:
    """The order may have been carried out, or may be carried out later.

    `nobody_listens` tells that the worker's address answered and has no listener.
    """

    reason: str
    nobody_listens: bool = False


OrderOutcome = Accepted | Refused | NoAnswer


@dataclass(frozen=True)
class LeaseReport:
    """A worker's answer to a lease renewal; `clock_ms` is the worker's steady clock."""

    clock_ms: int
    born_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


@dataclass(frozen=True)
class LeaseRenewal:
    """A renewal: everything on the worker may run until `expires_ms` on the worker's clock.

    Ends up to number `acknowledged` are forgotten. With `wait_ms` the answer waits for an end.
    """

    token: int
    acknowledged: int
    wait_ms: int
    expires_ms: int | None = None


@dataclass(frozen=True)
class StartOrder:
    """Start one run; refused after `valid_until_ms` on the worker's clock."""

    name: RunName
    payload: str
    token: int
    valid_until_ms: int
    checkpoint: str = ""


@dataclass(frozen=True)
class StopOrder:
    """Stop one run, or keep it from starting."""

    name: RunName
    token: int


@dataclass(frozen=True)
class WorkerPort:
    """Orders to workers."""

    renew: Callable[[Worker, LeaseRenewal], LeaseReport | Refused | NoAnswer]
    start: Callable[[Worker, StartOrder], OrderOutcome]
    stop: Callable[[Worker, StopOrder], OrderOutcome]
