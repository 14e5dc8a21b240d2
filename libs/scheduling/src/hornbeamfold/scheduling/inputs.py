"""Inputs and results of a planning pass."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf

from hornbeamfold.batch import BatchJob, Resources, RunName, Step, TaskRef

# The weight of an accelerator in work, in cores.
CORES_PER_ACCELERATOR = 8


def weighted_cores(resources: Resources) -> float:
    """Return the cores that resources count as in work, accelerators included."""
    return resources.cpu_millis / 1_000 + CORES_PER_ACCELERATOR * resources.accelerators


@dataclass(frozen=True)
class CandidateWorker:
    """A worker that accepts new tasks, with its total and free resources."""

    worker_id: str
    service: str
    availability_zone: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    free: Resources
    has_runs: bool = False


@dataclass(frozen=True)
class ReadyStep:
    """The tasks of one step of one occurrence that may start now.

    `ready_ms` is when the first of them became ready and `due_ms` is the time by which the job's
    latency objective expects it to end, both on the coordinator's clock. After `expired_ms` its end
    is of no more use to the caller. `entitled` jobs are within the guarantee of their organisation.
    `placed_on` counts the step's active tasks by worker, and `avoid` lists workers on which these
    tasks should not start again. Each task of an `isolated` step gets a worker without other runs;
    only members of one gang may share workers.
    """

    job: BatchJob
    occurrence: int
    step_index: int
    waiting: tuple[int, ...]
    ready_ms: int
    due_ms: int
    entitled: bool = False
    expired_ms: float = inf
    placed_on: Mapping[str, int] = field(default_factory=dict)
    avoid: frozenset[str] = frozenset()
    isolated: bool = False

    @property
    def step(self) -> Step:
        """The specification of the step."""
        return self.job.steps[self.step_index]

    def ref(self, index: int) -> TaskRef:
        """Return the reference of the task with this index."""
        return TaskRef(self.occurrence, self.step_index, index)


@dataclass(frozen=True, eq=False)
class PlacedRun:
    """A run that uses resources on a worker; `remaining_ms` is an estimate.

    Runs are compared by identity: a pass looks thousands of them up, and hashing their fields would
    take most of its time.

    A `protected` run is never preempted. `lost_work` is the work that preemption would discard, in
    core-seconds, where an accelerator counts as 8 cores. `gang` is the job, occurrence and step if
    the tasks of the step are gang-scheduled. A `stopping` run already has a stop order.
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


@dataclass(frozen=True)
class Assignment:
    """A decision to start a task on a worker."""

    job_id: str
    task: TaskRef
    worker_id: str
    reason: str


@dataclass(frozen=True)
class Preemption:
    """A decision to stop a run to free capacity for a job within its organisation's guarantee."""

    name: RunName
    worker_id: str
    for_job: str


@dataclass(frozen=True)
class Plan:
    """The decisions of one pass; `blocked` counts ready steps with tasks that did not fit."""

    assignments: tuple[Assignment, ...] = ()
    preemptions: tuple[Preemption, ...] = ()
    blocked: int = 0
