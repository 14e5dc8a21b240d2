"""The events in log records.

An event takes effect when `hornbeamfold.view` folds it into the cluster view: each instance reads
the records in log order and applies or refuses every event in the same way.
"""

from dataclasses import dataclass

from hornbeamfold.model.errors import ErrorKind
from hornbeamfold.model.topology import Member, Organisation, Shape, Worker
from hornbeamfold.model.work import JobSpec, MemberState, StopReason


@dataclass(frozen=True)
class OrganisationPut:
    """Creates or changes an organisation; `expected_version` is 0 for a new one."""

    name: str
    guarantee: tuple[Shape, ...]
    weight: float
    expected_version: int


@dataclass(frozen=True)
class OrganisationRemoved:
    """Removes an organisation that has no queued or active work."""

    name: str
    expected_version: int


@dataclass(frozen=True)
class ZoneSet:
    """Sets whether an availability zone is in service; creates the zone if it is new."""

    name: str
    region: str
    in_service: bool
    expected_version: int


@dataclass(frozen=True)
class WorkersPut:
    """Adds or replaces workers and removes others by name."""

    workers: tuple[Worker, ...]
    removed: tuple[str, ...]
    expected_version: int


@dataclass(frozen=True)
class TargetDrain:
    """Starts or ends the drain of one worker."""

    worker: str
    draining: bool
    expected_version: int


@dataclass(frozen=True)
class JobSubmitted:
    """Puts a job into the queue."""

    spec: JobSpec


@dataclass(frozen=True)
class JobCancelled:
    """Cancels a job, whether it is queued, placed or running."""

    organisation: str
    job_id: str


@dataclass(frozen=True)
class JobPlaced:
    """Assigns accelerators to a queued job.

    It is accepted only if all are free after the preceding log entries.
    """

    organisation: str
    job_id: str
    attempt: int
    members: tuple[Member, ...]
    decided_at: int


@dataclass(frozen=True)
class JobStopping:
    """Stops an attempt of a job.

    If there is a beneficiary, a queued job, the accelerators in `window` are reserved for it.
    """

    organisation: str
    job_id: str
    attempt: int
    reason: StopReason
    beneficiary: tuple[str, str] | None = None
    window: tuple[Member, ...] = ()


@dataclass(frozen=True)
class JobJudged:
    """Records whether the topology in service can hold a queued job at all.

    `infeasible` is the reason if it cannot, else an empty string.
    """

    organisation: str
    job_id: str
    infeasible: str


@dataclass(frozen=True)
class MemberReport:
    """The state of one gang member as observed on its worker.

    `worker_restarted` tells that the worker answered without the task that it had started, so the
    worker has restarted since. `not_started` tells that the instance withheld the start because of
    the job, so the worker has not failed. The fold ignores both.
    """

    organisation: str
    job_id: str
    attempt: int
    worker: str
    state: MemberState
    detail: str = ""
    checkpoint: str = ""
    worker_restarted: bool = False
    not_started: bool = False


@dataclass(frozen=True)
class MembersReported:
    """A batch of member states from the instance that keeps their workers (the keeper)."""

    reports: tuple[MemberReport, ...]


@dataclass(frozen=True)
class ClaimMade:
    """Claims a non-idempotent request for one holder before anything is sent to a worker."""

    organisation: str
    request_id: str
    digest: str
    holder: str
    worker: str
    deadline_ms: int


@dataclass(frozen=True)
class ClaimMoved:
    """Moves an open claim to another worker once the first is known not to have run it."""

    organisation: str
    request_id: str
    epoch: int
    holder: str
    worker: str


@dataclass(frozen=True)
class ClaimDone:
    """Completes a claim with the complete answer or with an error kind."""

    organisation: str
    request_id: str
    epoch: int
    answer: str
    kind: ErrorKind | None = None
    detail: str = ""


@dataclass(frozen=True)
class ClaimReleased:
    """Releases a claim whose request is known not to have run; it may be claimed again."""

    organisation: str
    request_id: str
    epoch: int
    detail: str = ""


@dataclass(frozen=True)
class SnapshotPart:
    """One part of a snapshot: the state folded from the entries before offset `as_of`.

    `data` of all parts is joined in the order of `part`, which counts from 0.
    """

    as_of: int
    digest: str
    part: int
    parts: int
    data: str


Event = (
    OrganisationPut
    | OrganisationRemoved
    | ZoneSet
    | WorkersPut
    | TargetDrain
    | JobSubmitted
    | JobCancelled
    | JobPlaced
    | JobStopping
    | JobJudged
    | MembersReported
    | ClaimMade
    | ClaimMoved
    | ClaimDone
    | ClaimReleased
    | SnapshotPart
)
EVENT_TYPES: tuple[type, ...] = Event.__args__


@dataclass(frozen=True)
class Record:
    """One log record.

    Readers skip it as a duplicate unless `seq` is higher than the last one of the same writer.
    """

    writer: str
    seq: int
    events: tuple[Event, ...]


@dataclass(frozen=True)
class Entry:
    """A record with its offset and the log time, which the log service assigns in milliseconds."""

    offset: int
    at_ms: int
    record: Record


@dataclass(frozen=True)
class Applied:
    """The result of folding one event: accepted, or refused with a kind and a detail."""

    event: Event
    accepted: bool
    kind: ErrorKind | None = None
    detail: str = ""


CONFIGURATION_EVENTS = (OrganisationPut, OrganisationRemoved, ZoneSet, WorkersPut, TargetDrain)


def organisation_of(event: OrganisationPut, version: int) -> Organisation:
    """Return the organisation as an accepted event creates or changes it."""
    return Organisation(event.name, event.guarantee, event.weight, version)
