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
class WorkerLoss:
    """A run that ended with its lease, without a report of what became of its worker.

    `born_ms` is the birth of the incarnation that had the run, `alone` says that no other run was
    on it, `certain` that it had the run for certain, and `counted` that the loss counts as a crash
    until the worker is heard of. `lost_unix_ms` is when the lease had expired, in Unix time.
    """

    worker_id: str
    born_ms: int
    run: int
    lost_unix_ms: int
    alone: bool
    certain: bool
    counted: bool


@dataclass(frozen=True)
class TaskProgress:
    """The phase of a task and its latest run; `run` is 0 before the first one.

    `worker_id` and `born_ms` identify the worker of an active run. `crashes` counts the known
    crashes of workers under runs of the task, and `vanished` those of them that are no evidence
    against it. `losses` are of workers that have not been heard of since, at most one for each.
    """

    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    worker_id: str = ""
    born_ms: int = 0
    failures: int = 0
    checkpoint: str = ""
    crashes: int = 0
    vanished: int = 0
    losses: tuple[WorkerLoss, ...] = ()

    @property
    def counted_losses(self) -> int:
        """The number of losses that count as crashes until the workers are heard of."""
        return sum(loss.counted for loss in self.losses)

    @property
    def suspected_crashes(self) -> int:
        """The number of crashes, known or suspected."""
        return self.crashes + self.counted_losses

    @property
    def suspected_without_evidence(self) -> int:
        """The number of crashes, known or suspected, that are no evidence against the task."""
        return self.vanished + self.counted_losses


NOT_STARTED = TaskProgress()
DONE = TaskProgress(TaskPhase.DONE)


@dataclass(frozen=True)
class JobProgress:
    """The recorded progress of a job; tasks that never ran are omitted.

    `parts` are the numbers of the parts of which there are records.
    """

    state: JobState = JobState.PENDING
    tasks: Mapping[TaskRef, TaskProgress] = field(default_factory=dict)
    parts: frozenset[int] = frozenset()
