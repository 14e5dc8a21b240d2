"""The progress of a batch job: its state and that of each task that has run."""

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


TERMINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class TaskPhase(StrEnum):
    """The phases of a task."""

    WAITING = "waiting"
    ACTIVE = "active"  # a run is recorded as begun but not as ended
    DONE = "done"


@dataclass(frozen=True)
class TaskProgress:
    """The phase of a task and its latest run; `run` is 0 before the first one.

    `worker_id` and `born_ms` identify the worker of an active run. `crashes` counts the crashes of
    workers under runs of the task, and `vanished` those of them without evidence: the worker may
    only have been cut off.
    """

    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    worker_id: str = ""
    born_ms: int = 0
    failures: int = 0
    checkpoint: str = ""
    crashes: int = 0
    vanished: int = 0


NOT_STARTED = TaskProgress()


@dataclass(frozen=True)
class JobProgress:
    """The recorded progress of a job; tasks that never ran are omitted.

    `parts` are the numbers of the parts of which there are records.
    """

    state: JobState = JobState.PENDING
    tasks: Mapping[TaskRef, TaskProgress] = field(default_factory=dict)
    parts: frozenset[int] = frozenset()
