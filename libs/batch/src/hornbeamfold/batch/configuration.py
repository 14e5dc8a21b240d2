"""What operators configure: queues, services, organisations, limits and zones out of service."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from hornbeamfold.batch.spec import Resources


@dataclass(frozen=True)
class Queue:
    """A route to a service: calls for `host` under `path_prefix` belong to it.

    `stretch` and `slack_ms` give the latency objective of a job: `stretch` times its longest chain
    of work, and `slack_ms` more.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slack_ms: int = 0
    timeout_ms: int = 0
    public: bool = False


@dataclass(frozen=True)
class Service:
    """A pool of workers; `enforces_capacity` means that they refuse what does not fit."""

    name: str
    enforces_capacity: bool = False
    standby: bool = False


@dataclass(frozen=True)
class Organisation:
    """A customer, its keys, and what is guaranteed to its jobs of priority 0."""

    name: str
    api_keys: tuple[str, ...] = ()
    guaranteed: Resources = field(default_factory=Resources)


@dataclass(frozen=True)
class Limits:
    """Bounds on callers' requests, in bytes and milliseconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True)
class Configuration:
    """One version of the operator's configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: Mapping[str, Service] = field(default_factory=dict)
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    key_owners: Mapping[str, str] = field(default_factory=dict)

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path on this host."""
        best: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best


@dataclass(frozen=True)
class MaintenanceWave:
    """Machines that need maintenance within a time, at most `max_count` at once."""

    wave: int
    machines: tuple[str, ...]
    duration_s: float
    max_count: int


@dataclass(frozen=True)
class OperatorState:
    """All that operators have asked for, as last read."""

    configuration: Configuration | None = None
    zones_out: frozenset[str] = frozenset()
    waves: Mapping[int, MaintenanceWave] = field(default_factory=dict)
