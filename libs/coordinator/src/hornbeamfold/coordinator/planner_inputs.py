"""Builds the inputs of a planning pass from the job tracker and the worker sessions."""

from collections import deque
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, replace
from heapq import nsmallest
from itertools import chain, islice
from math import inf

from hornbeamfold.batch import BatchJob, Bounds, OperatorState, Resources, RunName, Step, TaskRef
from hornbeamfold.coordinator.health import WorkerHealth
from hornbeamfold.coordinator.job_rotation import JobRotation
from hornbeamfold.coordinator.job_tracker import JobTracker, Run
from hornbeamfold.coordinator.owed_rate import OwedRates
from hornbeamfold.coordinator.session import Session
from hornbeamfold.coordinator.step_progress import StepKey
from hornbeamfold.coordinator.stragglers import remaining_ms
from hornbeamfold.coordinator.tracked import MAX_OFFERED_TASKS, StartableStep, TrackedJob
from hornbeamfold.scheduling import (
    CandidateWorker,
    PlacedRun,
    Preemption,
    ReadyStep,
    weighted_cores,
)

# The ready steps that one pass offers, each of which costs time, and those that a job offers before
# other jobs have their turns.
MAX_OFFERED_STEPS = 1_000
STEPS_PER_TURN = 32
# The lower bound of the assumed remaining time, as estimates are often too short.
MIN_REMAINING_MS = 500
# Workers report progress about once a second.
MAX_ESTIMATE_AGE_MS = 1_000
# A task that must run alone is placed like any other after this wait for an idle worker: a full
# service may have none for hours.
MAX_ISOLATION_WAIT_MS = 10_000


def candidate_workers(
    sessions: Iterable[Session], tracker: JobTracker, health: WorkerHealth, operator: OperatorState
) -> list[CandidateWorker]:
    """Return the workers that may get new tasks now, with their free resources.

    Workers on which runs fail, and those with a task that must run alone, are last resorts.
    """
    found: list[CandidateWorker] = []
    isolating = tracker.isolating_workers()
    for session in sessions:
        worker = session.worker
        if not session.usable or worker.draining or health.has_refused(worker.worker_id):
            continue
        if worker.availability_zone in operator.zones_out:
            continue
        found.append(
            CandidateWorker(
                worker.worker_id,
                worker.service,
                worker.availability_zone,
                worker.rack,
                worker.labels,
                worker.capacity,
                worker.capacity - tracker.reserved_on(worker.worker_id),
                tracker.has_runs_on(worker.worker_id),
                worker.worker_id in isolating or health.is_excluded(worker.worker_id),
            )
        )
    return found


@dataclass(frozen=True)
class _Moment:
    """When a pass plans, with how many workers, and what jobs are guaranteed and owed then."""

    unix_ms: int
    now_ms: int
    worker_count: int
    entitled: AbstractSet[str]
    beyond_owed: Callable[[BatchJob], bool]


def ready_steps(
    tracker: JobTracker,
    operator: OperatorState,
    unix_ms: int,
    now_ms: int,
    bounds: Bounds,
    worker_count: int,
    rotation: JobRotation | None = None,
    owed: OwedRates | None = None,
    claiming: Collection[str] = (),
) -> list[ReadyStep]:
    """Return steps with tasks that may start now, as many as one pass may place.

    With a `rotation`, the jobs that are left out are offered by the next passes. `owed` has the
    jobs by which organisations are beyond what they are owed. The jobs in `claiming`, for which
    room is kept, are offered by every pass.
    """
    organisations = operator.configuration.organisations if operator.configuration else {}
    rates = owed or OwedRates()
    moment = _Moment(
        unix_ms,
        now_ms,
        worker_count,
        entitled_jobs(tracker, operator),
        lambda job: rates.beyond_owed(job, organisations),
    )
    found: list[ReadyStep] = []
    kept = [tracker.jobs[each] for each in claiming if each in tracker.jobs]
    in_turns = (rotation or JobRotation()).in_turns(tracker.jobs)
    turns = chain(kept, (each for each in in_turns if each.job.job_id not in claiming))
    unfinished: deque[tuple[TrackedJob, Iterator[StartableStep]]] = deque()
    while len(found) < MAX_OFFERED_STEPS:
        tracked = next(turns, None)
        if tracked is not None:
            startable = tracked.startable_tasks(unix_ms, bounds.early_ms)
        elif unfinished:
            tracked, startable = unfinished.popleft()
        else:
            break
        taken = list(islice(startable, STEPS_PER_TURN))
        if len(taken) == STEPS_PER_TURN:
            unfinished.append((tracked, startable))
        for ready in _ready_steps_of(tracker, tracked, taken, moment):
            found.extend(_split_isolated(ready, tracked, now_ms))
    return found


def _ready_steps_of(
    tracker: JobTracker, tracked: TrackedJob, startable: Sequence[StartableStep], moment: _Moment
) -> Iterable[ReadyStep]:
    """Yield the steps of one job that may start."""
    if not startable:
        return
    job = tracked.job
    placed_runs = _runs_by_worker(tracker, tracked)
    beyond_owed = moment.beyond_owed(job)
    for occurrence, index, waiting in startable:
        step = job.steps[index]
        placed_on = placed_runs.get((occurrence, index), {})
        if step.gang and (placed_on or len(waiting) < step.count):
            continue
        # The start of the occurrence on the coordinator's clock.
        start_ms = moment.now_ms + job.earliest_start_ms(occurrence) - moment.unix_ms
        ready_ms = tracked.ready_since(occurrence, index, moment.now_ms)
        avoid = tracked.avoided_workers(occurrence, index)
        yield ReadyStep(
            job,
            occurrence,
            index,
            _offered_tasks(step, waiting),
            ready_ms,
            int(start_ms + tracked.objective_ms),
            job.job_id in moment.entitled,
            # Long-running tasks are needed until their job is cancelled.
            inf if step.long_running else start_ms + tracked.expiry_ms,
            _idle_since(tracker, tracked, occurrence, index, ready_ms),
            placed_on,
            # With half of the workers or more to avoid, none are avoided: a worker on which a task
            # failed is better than none.
            avoid if len(avoid) * 2 < moment.worker_count else frozenset(),
            beyond_owed=beyond_owed,
        )


def _offered_tasks(step: Step, waiting: Collection[int]) -> tuple[int, ...]:
    """Return the waiting tasks that a pass may place: the first ones, or all of a gang."""
    if step.gang or len(waiting) <= MAX_OFFERED_TASKS:
        return tuple(sorted(waiting))
    return tuple(nsmallest(MAX_OFFERED_TASKS, waiting))


def _idle_since(
    tracker: JobTracker, tracked: TrackedJob, occurrence: int, index: int, ready_ms: int
) -> int | None:
    """Return since when a ready step's job has had no run, or None if it has one.

    Tasks that run until their job is cancelled are each needed, whatever else of the job runs.
    """
    if not tracked.job.steps[index].long_running and tracker.has_runs_of(tracked.job.job_id):
        return None
    return tracked.idle_since(occurrence, index, ready_ms)


def _split_isolated(ready: ReadyStep, tracked: TrackedJob, now_ms: int) -> Iterable[ReadyStep]:
    """Yield the ordinary waiting tasks of a step, and those that must run alone on a worker."""
    isolated_indexes = tracked.isolated_tasks(ready.occurrence, ready.step_index)
    if not isolated_indexes:
        yield ready
        return
    ordinary: list[int] = []
    isolated: list[int] = []
    for index in ready.waiting:
        if index not in isolated_indexes:
            ordinary.append(index)
            continue
        waited_ms = now_ms - tracked.isolated_since(ready.ref(index), now_ms)
        (isolated if waited_ms < MAX_ISOLATION_WAIT_MS else ordinary).append(index)
    if ordinary:
        yield replace(ready, waiting=tuple(ordinary))
    if isolated:
        yield replace(ready, waiting=tuple(isolated), isolated=True)


def _runs_by_worker(tracker: JobTracker, tracked: TrackedJob) -> dict[StepKey, dict[str, int]]:
    """Count the active runs of a job by step and worker, of steps whose placement needs them."""
    placed: dict[StepKey, dict[str, int]] = {}
    steps = tracked.job.steps
    if not any(step.gang or step.one_rack or step.max_per_worker for step in steps):
        return placed
    for run in tracker.runs_of(tracked.job.job_id):
        step = steps[run.name.task.step]
        if not (step.gang or step.one_rack or step.max_per_worker):
            continue
        counts = placed.setdefault(run.name.task[:2], {})
        counts[run.worker_id] = counts.get(run.worker_id, 0) + 1
    return placed


def entitled_jobs(tracker: JobTracker, operator: OperatorState) -> set[str]:
    """Return the ids of the priority 0 jobs that are within their organisation's guarantee.

    Older jobs are counted first, so that a later job does not use up their share.
    """
    if operator.configuration is None:
        return set()
    used: dict[str, int] = {}
    entitled: set[str] = set()
    jobs = [each for each in tracker.jobs.values() if each.job.priority == 0]
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


class PlacedRuns:
    """The active runs as the planner sees them, estimated again when there is news of a run.

    Estimates made from the same report differ little, so they are kept for a while. The work that
    tasks have lost by preemption is remembered, so that the same work is not lost again.
    """

    def __init__(self) -> None:
        self._known: dict[RunName, tuple[Run, int, PlacedRun]] = {}
        self._lost_before: dict[str, dict[TaskRef, float]] = {}

    def current(self, tracker: JobTracker, now_ms: int) -> list[PlacedRun]:
        """Return the runs with estimates of remaining time and of work lost on preemption."""
        for job_id in [each for each in self._lost_before if each not in tracker.jobs]:
            del self._lost_before[job_id]
        known: dict[RunName, tuple[Run, int, PlacedRun]] = {}
        for name, run in tracker.runs.items():
            previous = self._known.get(name)
            if (
                previous is not None
                and previous[0] is run
                and now_ms - previous[1] < MAX_ESTIMATE_AGE_MS
                and name.job_id in tracker.jobs
            ):
                known[name] = previous
                continue
            lost_before = self._lost_before.get(name.job_id, {}).get(name.task, 0.0)
            placed = _placed_run(
                run,
                tracker.jobs.get(name.job_id),
                tracker.limit_use(name),
                now_ms,
                lost_before,
            )
            known[name] = (run, now_ms, placed)
        self._known = known
        return [placed for _, _, placed in known.values()]

    def record_preemptions(self, preemptions: Iterable[Preemption]) -> None:
        """Remember what the preemptions of a pass lose."""
        for each in preemptions:
            known = self._known.get(each.name)
            if known is not None:
                lost = self._lost_before.setdefault(each.name.job_id, {})
                lost[each.name.task] = known[2].lost_work


def _placed_run(
    run: Run,
    tracked: TrackedJob | None,
    limit_use: tuple[str, Resources],
    now_ms: int,
    lost_before: float,
) -> PlacedRun:
    organisation, used = limit_use
    if tracked is None:
        # The job has ended, so its runs are being stopped.
        return PlacedRun(
            run.name,
            run.worker_id,
            run.reserved,
            0,
            True,
            MIN_REMAINING_MS,
            0.0,
            stopping=True,
            organisation=organisation,
            limit_use=used,
        )
    step = tracked.job.steps[run.name.task.step]
    elapsed_ms = now_ms - run.begun_ms
    # With checkpoints only the restart is lost, which counts as one second for every run.
    lost_ms = 0 if step.checkpointing else elapsed_ms
    gang = (run.name.job_id, run.name.task.occurrence, run.name.task.step) if step.gang else None
    return PlacedRun(
        run.name,
        run.worker_id,
        run.reserved,
        tracked.job.priority,
        # Callers limit how many tasks of such a step may be unavailable, for whatever reason.
        step.long_running and step.max_unavailable > 0,
        max(MIN_REMAINING_MS, int(remaining_ms(run, step, now_ms))),
        lost_before + weighted_cores(step.demand) * (1_000 + lost_ms) / 1_000,
        gang,
        bool(run.stop_reason),
        organisation,
        lost_before > 0,
        used,
    )
