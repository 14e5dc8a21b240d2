"""Records of the submitted jobs, of the runs on workers, and of the violations found."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from hornbeamfold.batch import Clock, Resources, RunName, StartOrder, TaskRef, Worker


class TaskKey(NamedTuple):
    """Identifies a task across all jobs."""

    job_id: str
    task: TaskRef


@dataclass(frozen=True)
class SubmittedStep:
    """A step as a caller submitted it."""

    count: int
    demand: Resources
    after: tuple[int, ...] = ()
    gang: bool = False
    long_running: bool = False
    one_rack: bool = False
    preferred_rack: str = ""


@dataclass(frozen=True)
class SubmittedJob:
    """A job as a caller submitted it; `due_ms` is a Unix time, 0 if the job may start at once.

    The tasks of a job that `crashes` crash their workers.
    """

    job_id: str
    path: str
    payload: str
    steps: tuple[SubmittedStep, ...]
    max_attempts: int
    due_ms: int = 0
    crashes: bool = False

    @property
    def long_running(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.long_running for step in self.steps)

    def task_refs(self) -> tuple[TaskRef, ...]:
        """Return the references of all tasks of the job."""
        return tuple(
            TaskRef(0, index, each)
            for index, step in enumerate(self.steps)
            for each in range(step.count)
        )


class SubmissionResult(Enum):
    """The outcome of a submission, as far as the caller knows it."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # certainly not accepted
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Violation:
    """A violated guarantee; `at_ms` counts from the start of the soak."""

    guarantee: str
    detail: str
    at_ms: int


class ViolationLog:
    """Collects violations and prints each as it is found."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_ms = clock()
        self._violations: list[Violation] = []

    @property
    def violations(self) -> tuple[Violation, ...]:
        """All violations so far."""
        return tuple(self._violations)

    def add(self, guarantee: str, detail: str) -> None:
        """Record and print a violation."""
        violation = Violation(guarantee, detail, self._clock() - self._started_ms)
        self._violations.append(violation)
        print(f"VIOLATED {guarantee} at {violation.at_ms / 1_000:.2f} s: {detail}", flush=True)


@dataclass(frozen=True)
class LiveRun:
    """A run that is active on a worker; `born_ms` identifies the worker's incarnation."""

    name: RunName
    worker_id: str
    born_ms: int
    begun_ms: int


def live_run(worker: Worker, order: StartOrder, now_ms: int) -> LiveRun:
    """Return the run that a start order has started."""
    return LiveRun(order.name, worker.worker_id, worker.born_ms, now_ms)
