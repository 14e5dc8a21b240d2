"""The data classes of the worker stand-in and of its protocol."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import sha256

from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder

DEFAULT_RUN_MS = 10


@dataclass(frozen=True)
class WorkerSpec:
    """One worker of the topology."""

    name: str
    availability_zone: str = ""
    port: int = 0
    processors: int = 64
    memory_gb: int = 256
    accelerators: int = 8
    slots: int = 8
    connections: int = 64
    supports_fencing: bool = True
    supports_void: bool = True
    usage_lag_ms: int = 2_000
    checkpoint_ms: int = 200


@dataclass(frozen=True)
class Topology:
    """The workers that one process serves."""

    workers: tuple[WorkerSpec, ...]


@dataclass(frozen=True)
class Work:
    """What a body declares: how long the work takes, how it ends and what it really uses.

    `fail_after_ms` fails the work before its end. A use that is not given is the declared one.
    """

    run_ms: int = DEFAULT_RUN_MS
    fail: bool = False
    fail_after_ms: int | None = None
    answer_bytes: int = 64
    uses_processors: float | None = None
    uses_memory_gb: float | None = None


@dataclass(frozen=True)
class Start:
    """One task to start."""

    task: str
    fence: int
    lease_ms: int
    accelerators: tuple[int, ...] = ()
    processors: int = 0
    memory_gb: int = 0
    kind: str = ""
    body: str = ""
    checkpoint: str = ""
    start_by_ms: int = 0


@dataclass(frozen=True)
class Renewal:
    """One lease to extend."""

    task: str
    fence: int
    lease_ms: int


@dataclass(frozen=True)
class Throttle:
    """The share of its full speed at which a task runs from now on."""

    task: str
    share: float


@dataclass(frozen=True)
class Sync:
    """One exchange of an instance with a worker."""

    instance: str = ""
    start: tuple[Start, ...] = ()
    renew: tuple[Renewal, ...] = ()
    checkpoint: tuple[str, ...] = ()
    throttle: tuple[Throttle, ...] = ()
    stop: tuple[str, ...] = ()
    forget: tuple[str, ...] = ()


@dataclass(frozen=True)
class Run:
    """One short request to run."""

    task: str
    organisation: str
    request_id: str
    kind: str
    body: str
    digest: str
    deadline_ms: int
    start_by_ms: int = 0


@dataclass(frozen=True)
class Report:
    """The state of one task as reported."""

    task: str
    fence: int
    state: str
    checkpoint: str = ""
    progress: float = 0.0
    detail: str = ""


@dataclass(frozen=True)
class Started:
    """One line of the list of all starts; `at_ms` is a Unix time."""

    worker: str
    zone: str
    task: str
    organisation: str
    request_id: str
    kind: str
    fence: int
    at_ms: int
    accelerators: tuple[int, ...] = field(default=())


_work = Decoder(Work)


def work_of(body: str) -> Work:
    """Return what a body declares; a body that is no such JSON declares the defaults."""
    try:
        return _work.decode(body)
    except (DecodeError, ValidationError):
        return Work()


def answer_of(organisation: str, request_id: str, body: str) -> str:
    """Return the answer to a request, so that tests can tell whether it is the right one."""
    digest = sha256("\0".join((organisation, request_id, body)).encode()).hexdigest()
    size = work_of(body).answer_bytes
    return (digest * (size // len(digest) + 1))[:size]


def organisation_of(task: str) -> str:
    """Return the organisation of a job's task id, `job/<organisation>/...`."""
    parts = task.split("/")
    return parts[1] if len(parts) > 2 else ""


def fail_time_ms(task: str, fail_tasks: Mapping[str, int], work: Work) -> int | None:
    """Return how long after its start a task fails before its end, if it does.

    A pattern is a whole task id, or the beginning of one followed by a star.
    """
    times = [
        after_ms
        for pattern, after_ms in fail_tasks.items()
        if task == pattern or (pattern.endswith("*") and task.startswith(pattern[:-1]))
    ]
    if work.fail_after_ms is not None:
        times.append(work.fail_after_ms)
    return min(times, default=None)
