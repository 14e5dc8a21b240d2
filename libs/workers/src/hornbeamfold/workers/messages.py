"""Requests to workers, their replies and the outcomes of a call."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

from msgspec import Meta

Count = Annotated[int, Meta(ge=0)]


@dataclass(frozen=True)
class TaskStart:
    """A task to start; `fence` is its fencing token and `checkpoint` is where it resumes.

    A worker refuses it after `start_by_ms`, a Unix time; 0 sets no bound.
    """

    task: str
    fence: int
    lease_ms: int
    accelerators: tuple[int, ...]
    processors: int
    memory_gb: int
    kind: str
    body: str
    checkpoint: str = ""
    start_by_ms: int = 0


@dataclass(frozen=True)
class TaskRenewal:
    """Extends the lease of a task."""

    task: str
    fence: int
    lease_ms: int


@dataclass(frozen=True)
class TaskThrottle:
    """Limits a task to a share between 0 and 1 of its processors."""

    task: str
    share: float


@dataclass(frozen=True)
class SyncRequest:
    """All that the keeper of a worker wants of it, in one exchange."""

    instance: str
    start: tuple[TaskStart, ...] = ()
    renew: tuple[TaskRenewal, ...] = ()
    checkpoint: tuple[str, ...] = ()
    throttle: tuple[TaskThrottle, ...] = ()
    stop: tuple[str, ...] = ()
    forget: tuple[str, ...] = ()


class TaskState(StrEnum):
    """The states of a task on a worker."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    REFUSED = "refused"


@dataclass(frozen=True)
class TaskReport:
    """One task as its worker reports it."""

    task: str
    fence: int
    state: TaskState
    checkpoint: str = ""
    progress: float = 0.0
    detail: str = ""


@dataclass(frozen=True)
class Usage:
    """What a worker uses, as of a time of the worker's own clock."""

    as_of_ms: int
    processors: float
    memory_gb: float


@dataclass(frozen=True)
class SyncReply:
    """Every task on the worker, and its load."""

    tasks: tuple[TaskReport, ...]
    free_slots: Count
    connections: Count
    leaving: bool
    supports_void: bool
    usage: Usage


@dataclass(frozen=True)
class RunRequest:
    """A request to run; `deadline_ms` is a Unix time.

    A worker that has not begun it by `start_by_ms`, a Unix time, refuses it; 0 sets no bound.
    """

    task: str
    organisation: str
    request_id: str
    kind: str
    body: str
    digest: str
    deadline_ms: int
    start_by_ms: int = 0


@dataclass(frozen=True)
class RunDone:
    """The request ran and this is its whole answer."""

    answer: str
    request_id: str
    digest: str


@dataclass(frozen=True)
class RunFailed:
    """The request ran and failed."""

    detail: str


@dataclass(frozen=True)
class RunBusy:
    """The worker had no free slot; the request did not run."""


@dataclass(frozen=True)
class RunRefused:
    """The worker refused the task or had voided it; the request did not run."""


class RunState(StrEnum):
    """What a worker knows of a dispatched request."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"


@dataclass(frozen=True)
class LookedUp:
    """The state of a dispatched request; the answer and its digest are set once it is finished.

    `complete_since_ms` is the Unix time since when the worker remembers every request: one that
    was sent earlier may have run although it is unknown now. -1 means that it does not say.
    """

    state: RunState
    answer: str = ""
    detail: str = ""
    request_id: str = ""
    digest: str = ""
    complete_since_ms: int = -1


class VoidState(StrEnum):
    """What became of an attempt to void a task."""

    VOIDED = "voided"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"


@dataclass(frozen=True)
class Voided:
    """The state after a void; only `VOIDED` means that the task does not start from now on.

    `complete_since_ms` is as in `LookedUp`.
    """

    state: VoidState
    complete_since_ms: int = -1


@dataclass(frozen=True)
class NotSent:
    """No connection was made, so the worker received nothing; the work may be tried again."""

    detail: str


@dataclass(frozen=True)
class NoReply:
    """A connection existed but no valid reply came; the work may have run."""

    detail: str


CallFailure = NotSent | NoReply
SyncOutcome = SyncReply | CallFailure
RunOutcome = RunDone | RunFailed | RunBusy | RunRefused | CallFailure
LookUpOutcome = LookedUp | CallFailure
VoidOutcome = Voided | CallFailure
