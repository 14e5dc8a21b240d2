"""The data classes of the worker stand-in and its protocol."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import sha256

from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder

DEFAULT_RUN_MS = 10


@dataclass(frozen=True)
class WorkerSpec:
    """The resources and features of one worker of the topology."""

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
    """The work that a body declares: its duration, its result and the resources it uses.

    `fail_after_ms` fails the work before its end. By default it uses the resources that its start
    order reserves.
    """

    run_ms: int = DEFAULT_RUN_MS
    fail: bool = False
    fail_after_ms: int | None = None
    answer_bytes: int = 64
    uses_processors: float | None = None
    uses_memory_gb: float | None = None


@dataclass(frozen=True)
class StartOrder:
    """An order to start a task."""

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
    """An order to extend the lease of a task."""

    task: str
    fence: int
    lease_ms: int


@dataclass(frozen=True)
class Throttle:
    """An order to run a task at a share of its full speed from now on."""

    task: str
    share: float


@dataclass(frozen=True)
class SyncOrder:
    """The orders that an instance sends to a worker in one exchange."""

    instance: str = ""
    start: tuple[StartOrder, ...] = ()
    renew: tuple[Renewal, ...] = ()
    checkpoint: tuple[str, ...] = ()
    throttle: tuple[Throttle, ...] = ()
    stop: tuple[str, ...] = ()
    forget: tuple[str, ...] = ()


@dataclass(frozen=True)
class RunOrder:
    """An order to run one short request."""

    task: str
    organisation: str
    request_id: str
    kind: str
    body: str
    digest: str
    deadline_ms: int
    start_by_ms: int = 0


@dataclass(frozen=True)
class TaskReport:
    """The reported state of one task."""

    task: str
    fence: int
    state: str
    checkpoint: str = ""
    progress: float = 0.0
    detail: str = ""


@dataclass(frozen=True)
class StartRecord:
    """One entry of the list of all starts; `at_ms` is a Unix time."""

    worker: str
    zone: str
    task: str
    organisation: str
    request_id: str
    kind: str
    fence: int
    at_ms: int
    accelerators: tuple[int, ...] = field(default=())


_work_decoder = Decoder(Work)


def work_of(body: str) -> Work:
    """Return the work that a body declares; any other body declares the defaults."""
    try:
        return _work_decoder.decode(body)
    except (DecodeError, ValidationError):
        return Work()


def answer_of(organisation: str, request_id: str, body: str) -> str:
    """Return the answer to a request; it depends on the request, so that tests can check it."""
    digest = sha256("\0".join((organisation, request_id, body)).encode()).hexdigest()
    size = work_of(body).answer_bytes
    return (digest * (size // len(digest) + 1))[:size]


def organisation_of(task: str) -> str:
    """Return the organisation in the task id of a job, `job/<organisation>/...`."""
    parts = task.split("/")
    return parts[1] if len(parts) > 2 else ""


def fail_time_ms(task: str, fail_tasks: Mapping[str, int], work: Work) -> int | None:
    """Return the time after its start at which a task fails, or None if it does not.

    A pattern is a whole task id, or a prefix of one followed by a star.
    """
    times = [
        after_ms
        for pattern, after_ms in fail_tasks.items()
        if task == pattern or (pattern.endswith("*") and task.startswith(pattern[:-1]))
    ]
    if work.fail_after_ms is not None:
        times.append(work.fail_after_ms)
    return min(times, default=None)
