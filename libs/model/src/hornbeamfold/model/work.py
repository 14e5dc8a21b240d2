"""Requests, jobs and claims."""

from dataclasses import dataclass
from enum import StrEnum

from hornbeamfold.model.errors import ErrorKind
from hornbeamfold.model.topology import Member, Shape


@dataclass(frozen=True)
class Request:
    """A short request; `deadline_ms` and `arrived_ms` are Unix times in milliseconds.

    `attempt` is 1 for the caller's first try and larger for its retries.
    """

    organisation: str
    request_id: str
    kind: str
    body: str
    idempotent: bool
    urgent: bool
    deadline_ms: int
    attempt: int = 1

    @property
    def key(self) -> tuple[str, str]:
        """The identity of the request, under which it runs at most once."""
        return (self.organisation, self.request_id)


class JobState(StrEnum):
    """The states of a job."""

    QUEUED = "queued"
    PLACED = "placed"
    RUNNING = "running"
    STOPPING = "stopping"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


class StopReason(StrEnum):
    """Why a placed or running job is stopped."""

    NONE = "none"
    CANCEL = "cancel"
    RECLAIM = "reclaim"
    ZONE_OUT = "zone_out"
    TARGET_DRAIN = "target_drain"
    MEMBER_LOST = "member_lost"
    MEMBER_FAILED = "member_failed"
    START_TIMEOUT = "start_timeout"
    DEFRAGMENT = "defragment"


class MemberState(StrEnum):
    """The states of one gang member, as reported by the instance that keeps its worker."""

    PENDING = "pending"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"


ENDED_MEMBERS = frozenset(
    {MemberState.FINISHED, MemberState.FAILED, MemberState.STOPPED, MemberState.LOST}
)
ACTIVE_JOBS = frozenset({JobState.PLACED, JobState.RUNNING, JobState.STOPPING})
ENDED_JOBS = frozenset({JobState.FINISHED, JobState.FAILED, JobState.CANCELLED})


@dataclass(frozen=True)
class JobSpec:
    """A job as submitted; times are in milliseconds."""

    organisation: str
    job_id: str
    kind: str
    body: str
    shape: Shape
    declared_ms: int
    urgent: bool = False
    checkpointable: bool = False

    @property
    def key(self) -> tuple[str, str]:
        """The identity of the job."""
        return (self.organisation, self.job_id)


@dataclass(frozen=True)
class MemberStatus:
    """A gang member with its last reported state."""

    member: Member
    state: MemberState = MemberState.PENDING


@dataclass(frozen=True)
class Job:
    """A job with its state as recorded in the log.

    `fence`, the fencing token of the current attempt, is the offset of its placement. `placed_ms`,
    `running_ms` and `stopping_ms` are log times. `infeasible` is the reason why the topology in
    service cannot hold the job, else empty.
    """

    spec: JobSpec
    submitted_ms: int
    state: JobState = JobState.QUEUED
    attempt: int = 1
    failures: int = 0
    failed_on: tuple[str, ...] = ()
    members: tuple[MemberStatus, ...] = ()
    fence: int = -1
    placed_ms: int = 0
    running_ms: int = 0
    stopping_ms: int = 0
    stop_reason: StopReason = StopReason.NONE
    cancel_requested: bool = False
    checkpoint: str = ""
    infeasible: str = ""
    detail: str = ""

    @property
    def key(self) -> tuple[str, str]:
        """The identity of the job."""
        return self.spec.key


class ClaimState(StrEnum):
    """The states of a claim on a non-idempotent request."""

    OPEN = "open"
    RELEASED = "released"
    DONE = "done"


@dataclass(frozen=True)
class Claim:
    """The durable claim on one non-idempotent request.

    `holder` is the incarnation of an instance that may dispatch the request. `epoch` counts the
    claims and moves of the request, and `fence`, the fencing token, is the offset of the current
    one. `claimed_ms` is the log time of the claim. `kind` is set if the request ended without an
    answer.
    """

    organisation: str
    request_id: str
    digest: str
    holder: str
    worker: str
    deadline_ms: int
    epoch: int
    fence: int
    claimed_ms: int = 0
    state: ClaimState = ClaimState.OPEN
    answer: str = ""
    kind: ErrorKind | None = None
    detail: str = ""

    @property
    def key(self) -> tuple[str, str]:
        """The identity of the claimed request."""
        return (self.organisation, self.request_id)


@dataclass(frozen=True)
class Reservation:
    """Accelerators that are reserved for one job until a log time."""

    beneficiary: tuple[str, str]
    members: tuple[Member, ...]
    until_ms: int


def task_id(key: tuple[str, str], attempt: int, worker: str) -> str:
    """Return the task id of a gang member on its worker."""
    return f"job/{key[0]}/{key[1]}/{attempt}/{worker}"


def request_task_id(key: tuple[str, str], epoch: int) -> str:
    """Return the task id of a dispatched request."""
    return f"request/{key[0]}/{key[1]}/{epoch}"
