"""Data of the fault matrix: the faults, and what callers and operators saw of a row."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from hornbeamfold.model.errors import Refused
from hornbeamfold.model.status import RequestAnswer
from hornbeamfold.model.work import Request

Outcome = RequestAnswer | Refused
# An action on a `Scenario`, typed as Any because the module of `Scenario` imports this one.
Action = Callable[[Any], Awaitable[None]]


@dataclass(frozen=True)
class Fault:
    """One row of the matrix.

    - `hold_s`: seconds for which the fault lasts.
    - `inject`, `end`: actions that inject and end it.
    - `kills`: the draining instance is killed, so its exit code is not checked.
    - `hits_workers`: workers lose work, so the outcome of requests may stay unknown.
    - `blocks_starts`: nothing can start while it lasts, so `hold_s` is added to the bound of a
      reclaim.
    - `not_applicable`: maps each step that the row leaves out to the reason.
    - `note`: a remark that is printed with each cell that held.
    """

    name: str
    hold_s: float
    inject: Action
    end: Action
    kills: bool = False
    hits_workers: bool = False
    blocks_starts: bool = False
    not_applicable: Mapping[str, str] = field(default_factory=dict)
    note: str = ""


@dataclass(frozen=True)
class Attempt:
    """One attempt to send a request, with its outcome.

    - `ended_ms`: Unix time in milliseconds.
    - `last`: no retry follows, so a start after the attempt can't belong to one.
    """

    cell: str
    request: Request
    outcome: Outcome
    ended_ms: int
    last: bool


@dataclass(frozen=True)
class ExclusionWindow:
    """A time window in which nothing may start in a place: a zone or a worker."""

    place: str
    since_ms: int
    until_ms: int


class Evidence:
    """What callers and operators of one row saw, and the problems found; keyed by cell."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self.exclusions: list[ExclusionWindow] = []
        self.job_accelerators: dict[tuple[str, str], int] = {}
        self.problems: dict[str, list[str]] = {}
        self.notes: dict[str, list[str]] = {}
        self.finished_steps: set[str] = set()

    def add_problem(self, cell: str, text: str) -> None:
        """Record a broken promise."""
        self.problems.setdefault(cell, []).append(text)

    def add_note(self, cell: str, text: str) -> None:
        """Record how a cell ended."""
        self.notes.setdefault(cell, []).append(text)
