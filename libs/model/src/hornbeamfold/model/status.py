"""Replies to callers and operators, and messages between instances."""

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
    """A job with the log offset of the view from which it was read."""

    job: Job
    offset: int
    entitled: bool


@dataclass(frozen=True)
class JobList:
    """Jobs, the queued ones in queue order, with the log offset of the view."""

    jobs: tuple[JobStatus, ...]
    offset: int


@dataclass(frozen=True)
class Change:
    """The log offset and the version of an accepted configuration change."""

    offset: int
    version: int


@dataclass(frozen=True)
class Configuration:
    """The configuration in force.

    `instances` maps each known instance to its configuration offset.
    """

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
    """Active jobs and the remaining free accelerators."""

    jobs: tuple[Job, ...]
    free_accelerators: int
    largest_free_run: int
    offset: int


@dataclass(frozen=True)
class InstanceStatus:
    """An entry instance as seen by this one; `state` is self, live, suspected or leaving."""

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
    """The state that an instance sends to its peers in a heartbeat.

    `seq` counts the heartbeats of the sender. `heard` maps each peer to the last `seq` received
    from it, which tells the receiver that this heartbeat was sent after its own one with that
    number.
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
    """The result of cancelling a request at one instance."""

    CANCELLED = "cancelled"
    DISPATCHED = "dispatched"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class FoundAnswer:
    """What a peer knows about a request; `state` is "unknown", "running" or "done"."""

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
    """Log entries from a peer, and the age of its last confirmation of the log's end."""

    entries: tuple[RelayedEntry, ...]
    next_offset: int
    first_offset: int
    confirmed_age_ms: int
