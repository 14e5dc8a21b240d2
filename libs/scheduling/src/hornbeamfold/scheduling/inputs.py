"""What a planning pass looks at, and what it decides."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from hornbeamfold.batch import BatchJob, Resources, RunName, Step, TaskRef


@dataclass(frozen=True)
class Room:
    """A worker that may get tasks, and what is free on it."""

    worker_id: str
    service: str
    availability_zone: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    free: Resources


@dataclass(frozen=True)
class ReadyStep:
    """The tasks of one step of one occurrence that may start now.

    `ready_ms` is when the first of them became ready and `due_ms` the latency objective of the job,
    both on the coordinator's clock. `placed_on` counts the step's active tasks by worker, and
    `avoid` names workers that these tasks should not start on again.
    """

    job: BatchJob
    occurrence: int
    step_index: int
    waiting: tuple[int, ...]
    ready_ms: int
    due_ms: int
    entitled: bool = False
    placed_on: Mapping[str, int] = field(default_factory=dict)
    avoid: frozenset[str] = frozenset()

    @property
    def step(self) -> Step:
        """The step that the tasks belong to."""
        return self.job.steps[self.step_index]

    def ref(self, index: int) -> TaskRef:
        """Return the reference of one of its tasks."""
        return TaskRef(self.occurrence, self.step_index, index)


@dataclass(frozen=True)
class Occupant:
    """A run that takes room on a worker; `remaining_ms` is an estimate.

    A `protected` run is never stopped for other work. `lost_work` is what a stop would throw away,
    in core-seconds with an accelerator as 8 cores.
    `gang` names the step and occurrence if its members only run together.
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
    """Start a task on a worker."""

    job_id: str
    task: TaskRef
    worker_id: str
    reason: str


@dataclass(frozen=True)
class Preemption:
    """Stop a run to make room for a job within its organisation's guarantee."""

    name: RunName
    worker_id: str
    for_job: str


@dataclass(frozen=True)
class Plan:
    """What one pass decided; `blocked` counts ready steps that found no room for some task."""

    assignments: tuple[Assignment, ...] = ()
    preemptions: tuple[Preemption, ...] = ()
    blocked: int = 0
