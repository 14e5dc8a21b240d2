"""The events that log records carry; the fold of `hornbeamfold.view` gives them their effect."""

from dataclasses import dataclass

from hornbeamfold.model.errors import ErrorKind
from hornbeamfold.model.topology import Member, Organisation, Shape, Worker
from hornbeamfold.model.work import JobSpec, MemberState, StopReason


@dataclass(frozen=True)
class OrganisationPut:
    """Creates or changes an organisation; version 0 is expected for a new one."""

    name: str
    guarantee: tuple[Shape, ...]
    weight: float
    expected_version: int


@dataclass(frozen=True)
class OrganisationRemoved:
    """Removes an organisation that has no active work."""

    name: str
    expected_version: int


@dataclass(frozen=True)
class ZoneSet:
    """Takes an availability zone out of service or brings it back; creates it if it is new."""

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
    """Asks for the end of a job, wherever it is."""

    organisation: str
    job_id: str


@dataclass(frozen=True)
class JobPlaced:
    """Assigns accelerators to a queued job; valid only if all are free in log order."""

    organisation: str
    job_id: str
    attempt: int
    members: tuple[Member, ...]
    decided_at: int


@dataclass(frozen=True)
class JobStopping:
    """Stops an attempt of a job; a beneficiary gets the accelerators in `window` reserved."""

    organisation: str
    job_id: str
    attempt: int
    reason: StopReason
    beneficiary: tuple[str, str] | None = None
    window: tuple[Member, ...] = ()


@dataclass(frozen=True)
class JobJudged:
    """Says whether any topology in service can hold the job; empty detail means it can."""

    organisation: str
    job_id: str
    infeasible: str


@dataclass(frozen=True)
class MemberReport:
    """The state of one member as seen on its worker."""

    organisation: str
    job_id: str
    attempt: int
    worker: str
    state: MemberState
    detail: str = ""
    checkpoint: str = ""


@dataclass(frozen=True)
class MembersReported:
    """A batch of member states from the keeper of their workers."""

    reports: tuple[MemberReport, ...]


@dataclass(frozen=True)
class ClaimMade:
    """Claims a non-idempotent request for one holder before its first byte is sent."""

    organisation: str
    request_id: str
    digest: str
    holder: str
    worker: str
    deadline_ms: int


@dataclass(frozen=True)
class ClaimMoved:
    """Moves an open claim to another worker after the first one certainly did not run it."""

    organisation: str
    request_id: str
    epoch: int
    holder: str
    worker: str


@dataclass(frozen=True)
class ClaimDone:
    """Ends a claim with the whole answer or with the kind of its failure."""

    organisation: str
    request_id: str
    epoch: int
    answer: str
    kind: ErrorKind | None = None
    detail: str = ""


@dataclass(frozen=True)
class ClaimReleased:
    """Ends a claim whose request certainly did not run; it may be claimed again."""

    organisation: str
    request_id: str
    epoch: int
    detail: str = ""


@dataclass(frozen=True)
class SnapshotPart:
    """One part of the folded state as of an offset; `data` parts are joined in order."""

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
    """One log record; the fold ignores it unless `seq` is above the writer's last one."""

    writer: str
    seq: int
    events: tuple[Event, ...]


@dataclass(frozen=True)
class Entry:
    """A record with its offset and the time in milliseconds that the log gave it."""

    offset: int
    at_ms: int
    record: Record


@dataclass(frozen=True)
class Applied:
    """The verdict of the fold on one event."""

    event: Event
    accepted: bool
    kind: ErrorKind | None = None
    detail: str = ""


CONFIGURATION_EVENTS = (OrganisationPut, OrganisationRemoved, ZoneSet, WorkersPut, TargetDrain)


def organisation_of(event: OrganisationPut, version: int) -> Organisation:
    """Return the organisation that an accepted event creates."""
    return Organisation(event.name, event.guarantee, event.weight, version)
