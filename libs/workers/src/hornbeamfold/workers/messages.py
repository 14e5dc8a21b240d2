"""Requests to workers, their replies and the outcomes of calls."""

from dataclasses import dataclass
from enum import StrEnum

from hornbeamfold.decoding import Amount, Count


@dataclass(frozen=True)
class TaskStart:
    """A task to start; `fence` is its fencing token, and it resumes from `checkpoint`.

    A worker refuses to start it after `start_by_ms`, a Unix time; 0 means no limit.
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
    """Limits a task to a share of its processors, between 0 and 1."""

    task: str
    share: float


@dataclass(frozen=True)
class SyncRequest:
    """All changes that the instance responsible for a worker requests in one exchange."""

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
    """The state of one task as reported by its worker."""

    task: str
    fence: Count
    state: TaskState
    checkpoint: str = ""
    progress: Amount = 0.0
    detail: str = ""


@dataclass(frozen=True)
class Usage:
    """The resources that a worker uses at a time of the worker's own clock."""

    as_of_ms: Count
    processors: Amount
    memory_gb: Amount


@dataclass(frozen=True)
class SyncReply:
    """All tasks on the worker, and its load."""

    tasks: tuple[TaskReport, ...]
    free_slots: Count
    connections: Count
    leaving: bool
    supports_void: bool
    usage: Usage


@dataclass(frozen=True)
class RunRequest:
    """A request to run; `deadline_ms` is a Unix time.

    A worker that has not started it by `start_by_ms`, a Unix time, refuses it; 0 means no limit.
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
    """The request ran; `answer` is its whole answer."""

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
    """The worker refused the task, or the task was voided; the request did not run."""


class RunState(StrEnum):
    """The states of a dispatched request on its worker."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"


@dataclass(frozen=True)
class LookUpReply:
    """The state of a dispatched request; the answer and its digest are set once it is finished.

    `complete_since_ms` is the Unix time since when the worker has kept every request: one that
    was sent earlier may have run although it is unknown now. -1 means that the worker does not
    report the time.
    """

    state: RunState
    answer: str = ""
    detail: str = ""
    request_id: str = ""
    digest: str = ""
    complete_since_ms: int = -1


class VoidState(StrEnum):
    """The states of a task after an attempt to void it."""

    VOIDED = "voided"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"


@dataclass(frozen=True)
class VoidReply:
    """The state after a void; only `VOIDED` guarantees that the task does not start any more.

    `complete_since_ms` is as in `LookUpReply`.
    """

    state: VoidState
    complete_since_ms: int = -1


@dataclass(frozen=True)
class NotSent:
    """No connection was established, so the worker received nothing; a retry is safe."""

    detail: str


@dataclass(frozen=True)
class NoReply:
    """A connection was established but no valid reply arrived; the work may have run.

    `closed` tells that the connection was closed or reset before the reply was complete, rather
    than that the worker was too slow or sent an invalid reply.
    """

    detail: str
    closed: bool = False


CallFailure = NotSent | NoReply
SyncOutcome = SyncReply | CallFailure
RunOutcome = RunDone | RunFailed | RunBusy | RunRefused | CallFailure
LookUpOutcome = LookUpReply | CallFailure
VoidOutcome = VoidReply | CallFailure
