"""The operators' configuration: queues, services, organisations, limits and zones taken out."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from hornbeamfold.batch.spec import Resources


@dataclass(frozen=True)
class Queue:
    """A route to a service, for the calls to `host` under `path_prefix`.

    The latency objective of a job is `stretch` times the duration of its critical path plus
    `slack_ms`.
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
    """A pool of workers; with `enforces_capacity` they refuse tasks that exceed their capacity."""

    name: str
    enforces_capacity: bool = False
    standby: bool = False


@dataclass(frozen=True)
class Organisation:
    """A customer with its API keys and the resources guaranteed to its jobs of priority 0.

    `limit` is what its runs may use on all workers together; a resource that is 0 is not limited.
    `weight` is its share of the resources, relative to others, when all are in use, and the rate of
    jobs a second up to which it is owed service; None if the configuration has none.
    """

    name: str
    api_keys: tuple[str, ...] = ()
    guaranteed: Resources = field(default_factory=Resources)
    limit: Resources = field(default_factory=Resources)
    weight: float | None = None


def within_limit(used: Resources, limit: Resources) -> bool:
    """Return whether an amount is within a limit, of which a resource that is 0 is not limited."""
    return (
        (not limit.cpu_millis or used.cpu_millis <= limit.cpu_millis)
        and (not limit.memory_mb or used.memory_mb <= limit.memory_mb)
        and (not limit.accelerators or used.accelerators <= limit.accelerators)
    )


@dataclass(frozen=True)
class Limits:
    """Limits on callers' requests, in bytes and milliseconds."""

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
        """Return the queue on this host with the longest prefix that matches the path."""
        best: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best


@dataclass(frozen=True)
class MaintenanceWave:
    """Machines that need maintenance within a time, at most `max_count` of them at once."""

    wave: int
    machines: tuple[str, ...]
    duration_s: float
    max_count: int


@dataclass(frozen=True)
class OperatorState:
    """The state that operators have requested, as last read."""

    configuration: Configuration | None = None
    zones_out: frozenset[str] = frozenset()
    waves: Mapping[int, MaintenanceWave] = field(default_factory=dict)
