"""How far a batch job is: the state of the job and of each task that has run."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from hornbeamfold.batch.spec import TaskRef


class JobState(StrEnum):
    """The states of a batch job."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class TaskPhase(StrEnum):
    """The phases of a task."""

    WAITING = "waiting"
    ACTIVE = "active"  # a run is recorded whose end is not
    DONE = "done"


@dataclass(frozen=True)
class TaskProgress:
    """A task's phase, its last run and where that is or was; `run` is 0 before the first one."""

    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    worker_id: str = ""
    born_ms: int = 0
    failures: int = 0
    checkpoint: str = ""


NOT_STARTED = TaskProgress()


@dataclass(frozen=True)
class JobProgress:
    """The recorded progress of a job; tasks that never ran are left out."""

    state: JobState = JobState.PENDING
    tasks: Mapping[TaskRef, TaskProgress] = field(default_factory=dict)
