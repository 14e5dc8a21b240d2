"""What calls to the log service return."""

from dataclasses import dataclass
from enum import StrEnum

from hornbeamfold.model.events import Entry


class FailureKind(StrEnum):
    """Why a call to the log service failed."""

    NOT_CONNECTED = "not_connected"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    UNAVAILABLE = "unavailable"
    REJECTED = "rejected"
    PROTOCOL = "protocol"


@dataclass(frozen=True)
class LogFailure:
    """A failed call; an append may have taken effect unless it certainly did not."""

    kind: FailureKind
    detail: str
    may_have_happened: bool


@dataclass(frozen=True)
class Appended:
    """The log stored the record at this offset."""

    offset: int


@dataclass(frozen=True)
class Skipped:
    """A record that could not be decoded; its entry is passed on with an empty record."""

    offset: int
    detail: str


@dataclass(frozen=True)
class ReadResult:
    """Entries in order; `first` is the first kept offset and `end` one past the last.

    `started_ms` is the client's time at the start of the read: what the result shows is at
    least as new.
    """

    entries: tuple[Entry, ...]
    first: int
    end: int
    started_ms: int
    skipped: tuple[Skipped, ...] = ()


@dataclass(frozen=True)
class Expired:
    """The start of the read is no longer kept."""

    first: int
    end: int


ReadOutcome = ReadResult | Expired | LogFailure
AppendOutcome = Appended | LogFailure
