"""What the soak knows of its jobs, as callers sent them, and the violations it found."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from hornbeamfold.batch import Clock, Resources, RunName, StartOrder, TaskRef, Worker


class TaskKey(NamedTuple):
    """One task of one job."""

    job_id: str
    task: TaskRef


@dataclass(frozen=True)
class SentStep:
    """A step as a caller sent it."""

    count: int
    demand: Resources
    after: tuple[int, ...] = ()
    gang: bool = False
    long_running: bool = False


@dataclass(frozen=True)
class SentJob:
    """A job as a caller sent it; `due_ms` is a Unix time, 0 for a job without times."""

    job_id: str
    path: str
    payload: str
    steps: tuple[SentStep, ...]
    max_attempts: int
    due_ms: int = 0

    @property
    def lasting(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.long_running for step in self.steps)

    def refs(self) -> tuple[TaskRef, ...]:
        """Return all its tasks."""
        return tuple(
            TaskRef(0, index, each)
            for index, step in enumerate(self.steps)
            for each in range(step.count)
        )


class Answer(Enum):
    """What a caller learned of a submission or a cancellation."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # certainly not done
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Violation:
    """A broken promise; `at_ms` counts from the start of the soak."""

    promise: str
    detail: str
    at_ms: int


class Violations:
    """Collects broken promises and prints each at once."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began_ms = clock()
        self._found: list[Violation] = []

    @property
    def found(self) -> tuple[Violation, ...]:
        """All broken promises so far."""
        return tuple(self._found)

    def add(self, promise: str, detail: str) -> None:
        """Note a broken promise."""
        violation = Violation(promise, detail, self._clock() - self._began_ms)
        self._found.append(violation)
        print(f"VIOLATED {promise} at {violation.at_ms / 1_000:.2f} s: {detail}", flush=True)


@dataclass(frozen=True)
class LiveRun:
    """A run that is on a worker; `born_ms` tells the worker's incarnation."""

    name: RunName
    worker_id: str
    born_ms: int
    begun_ms: int


def live_run(worker: Worker, order: StartOrder, now_ms: int) -> LiveRun:
    """Return the run that a start order began."""
    return LiveRun(order.name, worker.worker_id, worker.born_ms, now_ms)
