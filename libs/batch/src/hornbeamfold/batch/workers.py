"""Workers as they describe themselves, and their reports of runs."""

from dataclasses import dataclass
from enum import StrEnum

from hornbeamfold.batch.spec import Resources, TaskRef


@dataclass(frozen=True)
class Worker:
    """An incarnation of a worker; `born_ms`, a Unix time, distinguishes those with the same id."""

    worker_id: str
    born_ms: int
    service: str
    address: str
    availability_zone: str
    capacity: Resources
    labels: frozenset[str] = frozenset()
    rack: str = ""
    draining: bool = False
    drain_remaining_ms: int = 0
    cold_remaining_ms: int = 0


class RunEnd(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease_expired"
    PEER_ENDED = "peer_ended"  # another member of the gang ended
    PEERS_MISSING = "peers_missing"  # other members of the gang did not start in time
    LOST = "lost"  # the worker is lost or never had the run
    WORKER_CRASHED = "worker_crashed"  # the worker crashed and may have had the run
    WORKER_VANISHED = "worker_vanished"  # the same, but the worker may only have been cut off


@dataclass(frozen=True, order=True)
class RunName:
    """Identifies a run of a task of a job."""

    job_id: str
    task: TaskRef
    run: int


@dataclass(frozen=True)
class RunningTask:
    """A run that a worker reports as running; `percent` is its progress or its share at work.

    `load` is a rough figure for the last half second, or None if the worker reports none: the tail
    of the response times in milliseconds if the step has a latency target, or else the CPU time in
    use in thousandths of a core.
    """

    name: RunName
    checkpoint: str
    percent: float
    load: float | None = None


@dataclass(frozen=True)
class EndedTask:
    """A reported end of a run; `number` counts the ends of a worker's incarnation from 1."""

    number: int
    name: RunName
    end: RunEnd
    checkpoint: str
