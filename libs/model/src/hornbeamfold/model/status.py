"""What callers and operators are shown."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from hornbeamfold.model.topology import AvailabilityZone, Organisation, Worker
from hornbeamfold.model.work import Job


@dataclass(frozen=True)
class RequestAnswer:
    """The answer to a request; `state` is "done" or "running"."""

    organisation: str
    request_id: str
    answer: str
    worker: str
    state: str
    digest: str


@dataclass(frozen=True)
class JobStatus:
    """A job with the offset of the view that it was read from."""

    job: Job
    offset: int
    entitled: bool


@dataclass(frozen=True)
class JobList:
    """Jobs, the queued ones in the order of the queue."""

    jobs: tuple[JobStatus, ...]
    offset: int


@dataclass(frozen=True)
class Change:
    """An accepted change of configuration."""

    offset: int
    version: int


@dataclass(frozen=True)
class Configuration:
    """The configuration in force; `instances` maps known instances to the offset they have."""

    offset: int
    organisations: tuple[Organisation, ...]
    zones: tuple[AvailabilityZone, ...]
    workers: tuple[Worker, ...]
    draining: frozenset[str]
    workers_version: int
    instances: Mapping[str, int]
    guarantees_suspended: bool


@dataclass(frozen=True)
class PlacementList:
    """Active jobs with what is left free."""

    jobs: tuple[Job, ...]
    free_accelerators: int
    largest_free_run: int
    offset: int


@dataclass(frozen=True)
class InstanceStatus:
    """An entry instance as this one sees it; `state` is self, live, suspected or leaving."""

    name: str
    address: str
    availability_zone: str
    state: str
    log_offset: int
    configuration_offset: int
    confirmed_age_ms: int
    log_reachable: bool


@dataclass(frozen=True)
class PeerHeartbeat:
    """What an instance tells its peers about itself.

    `seq` counts its heartbeats, and `heard` maps each peer it hears to the last `seq` from it: so
    the receiver knows that this heartbeat was sent after its own one with that number.
    """

    seq: int
    name: str
    incarnation: str
    address: str
    availability_zone: str
    region: str
    leaving: bool
    log_offset: int
    configuration_offset: int
    confirmed_age_ms: int
    log_reachable: bool
    heard: Mapping[str, int]
    in_flight: Mapping[str, int]
    waiting: int
    set_aside: tuple[str, ...]
    settled: bool


class CancelState(StrEnum):
    """What an instance did about the cancellation of a request."""

    CANCELLED = "cancelled"
    DISPATCHED = "dispatched"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class FoundAnswer:
    """What a peer knows of a request; `state` is "unknown", "running" or "done"."""

    state: str
    digest: str = ""
    answer: str = ""
    worker: str = ""
    kind: str = ""
    detail: str = ""
    ran: str = ""


@dataclass(frozen=True)
class RelayedEntry:
    """A log entry with its record still encoded, as relayed between instances."""

    offset: int
    at_ms: int
    data: str


@dataclass(frozen=True)
class RelayedEntries:
    """Entries from a peer, and how old the peer's confirmation of the log's end is."""

    entries: tuple[RelayedEntry, ...]
    next_offset: int
    first_offset: int
    confirmed_age_ms: int
