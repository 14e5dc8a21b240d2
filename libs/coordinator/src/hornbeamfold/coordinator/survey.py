"""Describes the book and the sessions to the planner."""

from collections.abc import Iterable

from hornbeamfold.batch import Bounds, OperatorState
from hornbeamfold.coordinator.book import Book, Run
from hornbeamfold.coordinator.health import WorkerHealth
from hornbeamfold.coordinator.pace import remaining_ms
from hornbeamfold.coordinator.session import Session
from hornbeamfold.coordinator.tracked import TrackedJob
from hornbeamfold.scheduling import Occupant, ReadyStep, Room

# What an accelerator counts for in lost work, in cores.
CORES_PER_ACCELERATOR = 8
# The least remaining time that is assumed; estimates are often too short.
MIN_REMAINING_MS = 500


def rooms(
    sessions: Iterable[Session], book: Book, health: WorkerHealth, operator: OperatorState
) -> list[Room]:
    """Return the workers that may get tasks now, with what is free on them."""
    found: list[Room] = []
    for session in sessions:
        worker = session.worker
        if not session.usable or worker.draining or health.is_set_aside(worker.worker_id):
            continue
        if worker.availability_zone in operator.zones_out:
            continue
        found.append(
            Room(
                worker.worker_id,
                worker.service,
                worker.availability_zone,
                worker.rack,
                worker.labels,
                worker.capacity,
                worker.capacity - book.used_on(worker.worker_id),
            )
        )
    return found


def ready_steps(
    book: Book,
    operator: OperatorState,
    unix_ms: int,
    now_ms: int,
    bounds: Bounds,
    worker_count: int,
) -> list[ReadyStep]:
    """Return the steps with tasks whose turn has come."""
    entitled = entitled_jobs(book, operator)
    found: list[ReadyStep] = []
    for job_id, tracked in book.jobs.items():
        for occurrence, index, waiting in tracked.waiting_steps(unix_ms, bounds.early_ms):
            step = tracked.job.steps[index]
            placed_on = _placed_on(book, tracked, occurrence, index)
            if step.gang and (placed_on or len(waiting) < step.count):
                continue
            due_unix_ms = (
                tracked.job.due_ms(occurrence)
                + tracked.job.stretch * tracked.chain_ms
                + tracked.job.slack_ms
            )
            avoid = tracked.avoid(occurrence, index)
            found.append(
                ReadyStep(
                    tracked.job,
                    occurrence,
                    index,
                    tuple(sorted(waiting)),
                    tracked.ready_since(occurrence, index, now_ms),
                    now_ms + int(due_unix_ms - unix_ms),
                    job_id in entitled,
                    placed_on,
                    # With hardly any other worker left, one that failed is better than none.
                    avoid if len(avoid) * 2 < worker_count else frozenset(),
                )
            )
    return found


def _placed_on(book: Book, tracked: TrackedJob, occurrence: int, index: int) -> dict[str, int]:
    """Count the runs of a step by worker, as long as they take room."""
    placed: dict[str, int] = {}
    step = tracked.job.steps[index]
    if not (step.gang or step.one_rack or step.max_per_worker):
        return placed
    for run in book.runs.values():
        if run.name.job_id != tracked.job.job_id:
            continue
        if run.name.task.step == index and run.name.task.occurrence == occurrence:
            placed[run.worker_id] = placed.get(run.worker_id, 0) + 1
    return placed


def entitled_jobs(book: Book, operator: OperatorState) -> set[str]:
    """Return the jobs of priority 0 that are within their organisation's guarantee.

    The oldest come first, so that a later job does not take an earlier one's share.
    """
    if operator.configuration is None:
        return set()
    used: dict[str, int] = {}
    entitled: set[str] = set()
    jobs = [each for each in book.jobs.values() if each.job.priority == 0]
    jobs.sort(key=lambda each: (each.job.submitted_ms, each.job.job_id))
    for tracked in jobs:
        organisation = operator.configuration.organisations.get(tracked.job.organisation)
        if organisation is None:
            continue
        total = used.get(organisation.name, 0) + tracked.job.accelerators
        if total <= organisation.guaranteed.accelerators:
            used[organisation.name] = total
            entitled.add(tracked.job.job_id)
    return entitled


def occupants(book: Book, now_ms: int) -> list[Occupant]:
    """Return the runs that take room, with estimates of what remains and what a stop would lose."""
    found: list[Occupant] = []
    for run in book.runs.values():
        tracked = book.jobs.get(run.name.job_id)
        if tracked is None:
            found.append(
                Occupant(
                    run.name, run.worker_id, run.reserved, 0, True, MIN_REMAINING_MS, 0.0,
                    stopping=True,
                )
            )  # fmt: skip
            continue
        found.append(_occupant(run, tracked, now_ms))
    return found


def _occupant(run: Run, tracked: TrackedJob, now_ms: int) -> Occupant:
    step = tracked.job.steps[run.name.task.step]
    elapsed = now_ms - run.begun_ms
    cores = step.demand.cpu_millis / 1_000
    cores += CORES_PER_ACCELERATOR * step.demand.accelerators
    # A checkpoint keeps the work but for the restart.
    lost_ms = 0 if step.checkpointing else elapsed
    gang = (run.name.job_id, run.name.task.occurrence, run.name.task.step) if step.gang else None
    return Occupant(
        run.name,
        run.worker_id,
        run.reserved,
        tracked.job.priority,
        # Its callers allow only so many of these tasks to be away, for whatever reason.
        step.long_running and step.max_unavailable > 0,
        max(MIN_REMAINING_MS, int(remaining_ms(run, step, now_ms))),
        cores * (1_000 + lost_ms) / 1_000,
        gang,
        bool(run.stop_reason),
    )
