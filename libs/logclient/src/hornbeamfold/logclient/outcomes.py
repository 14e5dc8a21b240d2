"""Outcomes of calls to the log service."""

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
    """A failed call; `may_have_happened` is false only if an append certainly had no effect."""

    kind: FailureKind
    detail: str
    may_have_happened: bool


@dataclass(frozen=True)
class Appended:
    """The log stored the record at this offset."""

    offset: int


@dataclass(frozen=True)
class SkippedRecord:
    """A record that could not be decoded; its entry is returned with an empty record."""

    offset: int
    detail: str


@dataclass(frozen=True)
class ReadResult:
    """Entries by offset; the log keeps the offsets from `first` up to, but excluding, `end`.

    `started_ms` is the client's time at the start of the read; the result is at least as recent.
    """

    entries: tuple[Entry, ...]
    first: int
    end: int
    started_ms: int
    skipped: tuple[SkippedRecord, ...] = ()


@dataclass(frozen=True)
class Expired:
    """The log no longer keeps the offset at which the read starts."""

    first: int
    end: int


ReadOutcome = ReadResult | Expired | LogFailure
AppendOutcome = Appended | LogFailure
