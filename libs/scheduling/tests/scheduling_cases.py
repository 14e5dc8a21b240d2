"""Factories for workers, steps and placed runs in scheduler tests."""

from hornbeamfold.batch import BatchJob, Resources, RunName, Step, TaskRef
from hornbeamfold.scheduling import CandidateWorker, PlacedRun, ReadyStep

SERVICE = "planner"


def resources(accelerators: int, memory_mb: int = 1_000, cpu_millis: int = 1_000) -> Resources:
    """Return resources, by default with little CPU time and memory."""
    return Resources(cpu_millis, memory_mb, accelerators)


CAPACITY = resources(8, 256_000, 64_000)


def candidate(
    worker: str, rack: str = "r1", free: Resources = CAPACITY, **changes: object
) -> CandidateWorker:
    """Return a worker with 8 accelerators."""
    fields = {
        "worker_id": worker,
        "service": SERVICE,
        "availability_zone": "sousse",
        "rack": rack,
        "labels": frozenset({"a", rack}),
        "capacity": CAPACITY,
        "free": free,
    }
    return CandidateWorker(**{**fields, **changes})  # type: ignore[arg-type]


def job(job_id: str, step: Step, priority: int = 1) -> BatchJob:
    """Return a job of one step."""
    return BatchJob(
        job_id, "queue", SERVICE, "sousse-crew", "body", (step,), priority, 3, 3.0, 1_000, 0
    )


def ready(
    job_id: str, step: Step, priority: int = 1, due_ms: int = 100_000, **changes: object
) -> ReadyStep:
    """Return the only step of a job with all tasks waiting."""
    fields = {
        "job": job(job_id, step, priority),
        "occurrence": 0,
        "step_index": 0,
        "waiting": tuple(range(step.count)),
        "ready_ms": 0,
        "due_ms": due_ms,
    }
    return ReadyStep(**{**fields, **changes})  # type: ignore[arg-type]


def placed_run(
    job_id: str, index: int, worker: str, reserved: Resources, remaining_ms: int = 5_000,
    **changes: object,
) -> PlacedRun:  # fmt: skip
    """Return a run of priority 1 that may be preempted."""
    fields = {
        "name": RunName(job_id, TaskRef(0, 0, index), 1),
        "worker_id": worker,
        "reserved": reserved,
        "priority": 1,
        "protected": False,
        "remaining_ms": remaining_ms,
        "lost_work": 10.0,
    }
    return PlacedRun(**{**fields, **changes})  # type: ignore[arg-type]
