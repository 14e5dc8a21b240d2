"""Inputs and results of a planning pass."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from math import inf

from hornbeamfold.batch import BatchJob, Resources, RunName, Step, TaskRef

# The weight of an accelerator in work, in cores.
CORES_PER_ACCELERATOR = 8


def weighted_cores(resources: Resources) -> float:
    """Return the cores that resources count as in work, accelerators included."""
    return resources.cpu_millis / 1_000 + CORES_PER_ACCELERATOR * resources.accelerators


@dataclass(frozen=True)
class CandidateWorker:
    """A worker that accepts new tasks, with its total and free resources.

    A `last_resort` takes only tasks of jobs that would wait for too long otherwise. Some
    single tasks on an `untried` worker would show how fast it is. `newcomers` has a step for each
    task that the pass has placed there so far, if a slowdown may depend on that.
    """

    worker_id: str
    service: str
    availability_zone: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    free: Resources
    has_runs: bool = False
    last_resort: bool = False
    untried: bool = False
    newcomers: tuple["ReadyStep", ...] = ()


@dataclass(frozen=True)
class ReadyStep:
    """The tasks of one step of one occurrence that may start now.

    `ready_ms` is when the first of them became ready and `due_ms` is the time by which the job's
    latency objective expects it to end, both on the coordinator's clock. After `expired_ms` its end
    is of no more use to the caller. `idle_since_ms` is since when the job has had no run although
    these tasks were ready; None if it has one. `entitled` jobs are within the guarantee of their
    organisation. `placed_on` counts the step's active tasks by worker, and `avoid` lists workers on
    which these tasks should not start again. Each task of an `isolated` step gets a worker without
    other runs; only members of one gang may share workers. `any_worker` allows last resorts.
    `beyond_owed` jobs are beyond the rate at which their organisation is owed service.
    """

    job: BatchJob
    occurrence: int
    step_index: int
    waiting: tuple[int, ...]
    ready_ms: int
    due_ms: int
    entitled: bool = False
    expired_ms: float = inf
    idle_since_ms: int | None = None
    placed_on: Mapping[str, int] = field(default_factory=dict)
    avoid: frozenset[str] = frozenset()
    isolated: bool = False
    any_worker: bool = False
    beyond_owed: bool = False

    @property
    def step(self) -> Step:
        """The specification of the step."""
        return self.job.steps[self.step_index]

    @property
    def expected_ms(self) -> int:
        """The expected duration of a task on a worker of usual speed: the caller's estimate."""
        return self.step.estimate_ms

    @property
    def key(self) -> tuple[str, int, int]:
        """The job, the occurrence and the index of the step."""
        return self.job.job_id, self.occurrence, self.step_index

    def ref(self, index: int) -> TaskRef:
        """Return the reference of the task with this index."""
        return TaskRef(self.occurrence, self.step_index, index)

    def idle_ms(self, now_ms: int) -> int:
        """Return for how long the job has had no run although these tasks were ready."""
        return 0 if self.idle_since_ms is None else now_ms - self.idle_since_ms


# How many times as long a task of a step is expected to take on a worker as on one of usual speed
# that it has for itself.
Slowdown = Callable[[ReadyStep, CandidateWorker], float]


def no_slowdown(step: ReadyStep, worker: CandidateWorker) -> float:
    """Return 1: all workers are equally fast for a task."""
    return 1.0


@dataclass(frozen=True, eq=False)
class PlacedRun:
    """A run that uses resources on a worker; `remaining_ms` is an estimate.

    Runs are compared by identity: a pass looks thousands of them up, and hashing their fields would
    take most of its time.

    A `protected` run is never preempted. `lost_work` is the work that preemption would discard, in
    core-seconds, where an accelerator counts as 8 cores. `gang` is the job, occurrence and step if
    the tasks of the step are gang-scheduled. A `stopping` run already has a stop order. Only
    guaranteed work preempts a `spared` run. `limit_use` is what counts towards the limit of its
    organisation, if that is more than what is reserved.
    """

    name: RunName
    worker_id: str
    reserved: Resources
    priority: int
    protected: bool
    remaining_ms: int
    lost_work: float
    gang: tuple[str, int, int] | None = None
    stopping: bool = False
    organisation: str = ""
    spared: bool = False
    limit_use: Resources | None = None

    @property
    def used(self) -> Resources:
        """What the run uses of the limit of its organisation."""
        return self.reserved if self.limit_use is None else self.limit_use


@dataclass(frozen=True)
class Assignment:
    """A decision to start a task on a worker."""

    job_id: str
    task: TaskRef
    worker_id: str
    reason: str


@dataclass(frozen=True)
class Preemption:
    """A decision to stop a run for another job; `reason` is what it frees: room, or a limit."""

    name: RunName
    worker_id: str
    for_job: str
    reason: str = "room"


@dataclass(frozen=True)
class Claim:
    """Room on workers that is kept so that the waiting tasks of a step start there.

    Runs were stopped for it, or the step is overdue and waits until they end. `workers` has one
    entry for each task.
    """

    job_id: str
    occurrence: int
    step_index: int
    workers: tuple[str, ...]

    @property
    def step_key(self) -> tuple[str, int, int]:
        """The job, the occurrence and the index of the step."""
        return self.job_id, self.occurrence, self.step_index


class WaitReason(StrEnum):
    """Why a ready step waits; the first that applies, in this order."""

    LIMIT = "limit"  # its organisation has running what it may
    NO_ROOM = "no_room"  # free resources of eligible workers are not enough
    RESERVED = "reserved"  # they are reserved for steps ahead in the queue
    HEADROOM = "headroom"  # they are kept free for urgent work
    RACK = "rack"  # they are not in the rack that the step prefers, or not in one rack


@dataclass(frozen=True)
class Wait:
    """A step that waits while its job has no run, and the inputs of that decision.

    `fitting` counts the waiting tasks, and at most twice as many, that fit into the free resources
    of eligible workers, whatever is reserved or preferred. The accelerators are those of the step's
    service on workers that accept new tasks; `headroom` of them are kept free for urgent work.
    """

    job_id: str
    occurrence: int
    step_index: int
    reason: WaitReason
    idle_ms: int
    waiting: int
    fitting: int
    idle_accelerators: int
    total_accelerators: int
    headroom: int


@dataclass(frozen=True)
class Plan:
    """The decisions of one pass.

    `blocked` counts ready steps with tasks that did not fit. `waits` explains the first of those
    whose job has had no run for a while. `limited` are the organisations with steps that wait for
    their limits. The next pass gets `claims` back. `stranded_accelerators` are those that are free
    but that no task of the oldest blocked gang could use, for want of other resources on their
    workers.
    """

    assignments: tuple[Assignment, ...] = ()
    preemptions: tuple[Preemption, ...] = ()
    blocked: int = 0
    waits: tuple[Wait, ...] = ()
    limited: frozenset[str] = frozenset()
    claims: tuple[Claim, ...] = ()
    stranded_accelerators: int = 0
