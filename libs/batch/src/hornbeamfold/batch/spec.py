"""The specification of batch jobs: steps of tasks with their resources and constraints."""

from dataclasses import dataclass
from typing import NamedTuple


class TaskRef(NamedTuple):
    """Identifies one task of a job; all three numbers count from 0."""

    occurrence: int
    step: int
    index: int  # type: ignore[assignment]  # shadows tuple.index, which is not used


@dataclass(frozen=True)
class Resources:
    """An amount of CPU time (thousandths of a core), memory (MB) and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> "Resources":
        """Return the resources of `count` tasks that need this amount each."""
        return Resources(self.cpu_millis * count, self.memory_mb * count, self.accelerators * count)

    def fits(self, available: "Resources") -> bool:
        """Return whether this amount does not exceed `available` in any resource."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


@dataclass(frozen=True)
class Step:
    """A step of `count` equal tasks, which start when all steps in `after` are done.

    `estimate_ms` is the caller's rough estimate of the duration of one task. `best_effort` tasks
    use CPU time that is left over by others, so their `cpu_millis` are not reserved on a worker.
    """

    count: int
    demand: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    one_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    best_effort: bool = False
    image: str = ""
    latency_target_ms: int = 0
    max_unavailable: int = 0

    @property
    def reserved(self) -> Resources:
        """The resources that one task reserves on its worker."""
        if not self.best_effort:
            return self.demand
        return Resources(0, self.demand.memory_mb, self.demand.accelerators)


@dataclass(frozen=True)
class WorkKind:
    """What tasks have in common that behave alike: an image, or else the resources they need.

    Kinds of different organisations are kept apart, so that none can distort what is learned about
    the work of another.
    """

    organisation: str
    queue: str
    image: str
    demand: Resources


@dataclass(frozen=True)
class BatchJob:
    """An accepted job, with the settings of its queue at that time.

    All times are in milliseconds; `submitted_ms` and `start_at_ms` are Unix times. With
    `repetitions`, the steps run that many times at intervals of `interval_ms`.
    """

    job_id: str
    queue: str
    service: str
    organisation: str
    payload: str
    steps: tuple[Step, ...]
    priority: int
    max_attempts: int
    stretch: float
    slack_ms: int
    submitted_ms: int
    repetitions: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(1, self.repetitions)

    def earliest_start_ms(self, occurrence: int) -> int:
        """Return the earliest start of an occurrence as a Unix time."""
        if not self.repetitions:
            return self.submitted_ms
        return self.start_at_ms + occurrence * self.interval_ms

    def occurrences_due(self, unix_ms: float) -> int:
        """Return how many occurrences may start at a Unix time; they are the first ones."""
        if not self.repetitions:
            return 1
        since_first_ms = unix_ms - self.start_at_ms
        if since_first_ms < 0:
            return 0
        if self.interval_ms <= 0:
            return self.repetitions
        return min(self.repetitions, int(since_first_ms // self.interval_ms) + 1)

    def has_task(self, ref: TaskRef) -> bool:
        """Return whether the job has this task."""
        return (
            ref.occurrence < self.occurrences
            and ref.step < len(self.steps)
            and ref.index < self.steps[ref.step].count
        )

    @property
    def scheduled(self) -> bool:
        """Whether the job runs at scheduled times."""
        return self.repetitions > 0

    @property
    def long_running(self) -> bool:
        """Whether a step of the job runs until the job is cancelled."""
        return any(step.long_running for step in self.steps)

    @property
    def accelerators(self) -> int:
        """The total number of accelerators that all tasks of all steps need."""
        return sum(step.count * step.demand.accelerators for step in self.steps)


def work_kind(job: BatchJob, step_index: int) -> WorkKind:
    """Return the kind of a step's tasks."""
    step = job.steps[step_index]
    demand = Resources() if step.image else step.demand
    return WorkKind(job.organisation, job.queue, step.image, demand)
