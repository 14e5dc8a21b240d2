"""What a row of the fault matrix is made of, and what callers and operators saw in it."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from hornbeamfold.model.errors import Refused
from hornbeamfold.model.status import RequestAnswer
from hornbeamfold.model.work import Request

Outcome = RequestAnswer | Refused
# An act on the scene of a row; the scene is not named here, because it holds this evidence.
Act = Callable[[Any], Awaitable[None]]


@dataclass(frozen=True)
class Fault:
    """One row of the matrix; `not_applicable` maps steps to the reason.

    - `hold_s`: how long the fault lasts.
    - `kills`: the instance that drains is killed, so it has no exit code to check.
    - `hits_workers`: workers lose work, so requests may end with an unknown outcome.
    - `blocks_starts`: nothing may start while it lasts, so a reclaim has that much longer.
    """

    name: str
    hold_s: float
    inject: Act
    end: Act
    kills: bool = False
    hits_workers: bool = False
    blocks_starts: bool = False
    not_applicable: Mapping[str, str] = field(default_factory=dict)
    note: str = ""


@dataclass(frozen=True)
class Sent:
    """One attempt of a caller with its outcome; times are Unix times in milliseconds."""

    cell: str
    request: Request
    outcome: Outcome
    ended_ms: int
    last: bool


@dataclass(frozen=True)
class Excluded:
    """A time in which nothing may start in a zone or on a worker."""

    place: str
    since_ms: int
    until_ms: int


class Evidence:
    """What callers and operators of one row saw."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self.excluded: list[Excluded] = []
        self.shapes: dict[tuple[str, str], int] = {}
        self.problems: dict[str, list[str]] = {}
        self.notes: dict[str, list[str]] = {}
        self.finished: set[str] = set()

    def problem(self, cell: str, text: str) -> None:
        """Note a broken promise."""
        self.problems.setdefault(cell, []).append(text)

    def note(self, cell: str, text: str) -> None:
        """Note how a cell ended."""
        self.notes.setdefault(cell, []).append(text)
