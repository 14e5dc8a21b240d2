"""What a check finds, where, and how bad it is."""

from dataclasses import dataclass
from enum import StrEnum

from hornbeamfold.batch import Resources


class Severity(StrEnum):
    """How bad a finding is."""

    ERROR = "error"  # the configuration contradicts itself, or a part of it has no effect
    WARNING = "warning"  # it is valid, and probably not what was meant


@dataclass(frozen=True)
class Place:
    """A field of an entry of a configuration; the entry is empty where the section has only one."""

    section: str
    entry: str
    field: str = ""


@dataclass(frozen=True)
class Finding:
    """A problem of a configuration."""

    severity: Severity
    place: Place
    problem: str


@dataclass(frozen=True)
class Fleet:
    """The capacity of all workers of all services together, as an operator states it."""

    capacity: Resources
