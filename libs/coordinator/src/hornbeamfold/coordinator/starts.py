"""Starts planned runs: records them first, then sends the orders, which are checked again."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import astuple, dataclass

from hornbeamfold.batch import (
    Clock,
    OperatorState,
    Resources,
    RunEnd,
    RunName,
    TaskRef,
    Worker,
    within_limit,
)
from hornbeamfold.coordinator.job_tracker import JobTracker, Run
from hornbeamfold.coordinator.organisation_use import NOTHING, limit_of
from hornbeamfold.coordinator.session import Session
from hornbeamfold.scheduling import Assignment
from hornbeamfold.telemetry import get_logger

logger = get_logger("hornbeamfold.coordinator.starts")

# The starts that may be recorded or under way at once, for each core of this instance. Orders that
# wait longer than they are valid would be planned, recorded and dropped again without an end.
MAX_PENDING_STARTS_PER_CORE = 256
MIN_PENDING_STARTS = 64
# The starts that may be under way to one worker. Its orders are sent a few at a time, so urgent
# ones would wait behind those of a wide job.
MAX_PENDING_STARTS_PER_WORKER = 32


@dataclass(frozen=True)
class StartDependencies:
    """What a RunStarter needs from its term.

    `uncertain_use` returns the most that runs may use that the tracker does not know.
    """

    tracker: JobTracker
    sessions: Mapping[str, Session]
    operator: Callable[[], OperatorState]
    registry: Callable[[], Mapping[str, Worker]]
    after_store: Callable[[Callable[[], None]], None]
    is_active: Callable[[], bool]
    end: Callable[[RunName, RunEnd], None]
    clock: Clock
    cores: float = 1.0
    uncertain_use: Callable[[], Resources] = lambda: NOTHING


def max_pending_starts(cores: float) -> int:
    """Return how many starts may be recorded or under way at once on an instance."""
    return max(MIN_PENDING_STARTS, int(MAX_PENDING_STARTS_PER_CORE * cores))


class RunStarter:
    """Records and starts the runs of one term, as many at once as their orders can be sent."""

    def __init__(self, deps: StartDependencies) -> None:
        self._deps = deps
        self._max_pending = max_pending_starts(deps.cores)
        # Runs that wait to be stored before their orders are sent.
        self._unstored = 0
        self._deferred = False

    @property
    def wants_plan(self) -> bool:
        """Whether starts were put off, and half of those that were under way have ended."""
        return self._deferred and self._pending() <= self._max_pending // 2

    def _pending(self) -> int:
        """Return how many starts are under way; those to workers that are cut off hold up none."""
        sessions = self._deps.sessions.values()
        return self._unstored + sum(
            session.orders.pending_starts for session in sessions if session.connected
        )

    def begin(self, assignments: Iterable[Assignment]) -> None:
        """Record runs for the assigned tasks and send the start orders once they are stored.

        Assignments come in queue order; those beyond the limit are left to a later pass.
        """
        groups: dict[tuple[str, int, int], list[Assignment]] = {}
        for assignment in assignments:
            key = (assignment.job_id, assignment.task.occurrence, assignment.task.step)
            groups.setdefault(key, []).append(assignment)
        room = self._max_pending - self._pending()
        self._deferred = False
        begun: list[Run] = []
        for (job_id, _, step_index), group in groups.items():
            if room <= 0:
                self._deferred = True
                break
            taken = group
            # A gang starts as a whole, however many members it has.
            if not self._deps.tracker.jobs[job_id].job.steps[step_index].gang:
                taken = self._within_limits(group, room, begun)
            self._deferred = self._deferred or len(taken) < len(group)
            if taken:
                begun.extend(self._record_group(job_id, taken))
                room -= len(taken)
        if begun:
            self._unstored += len(begun)
            self._deps.after_store(lambda: self._send_orders(begun))

    def _within_limits(
        self, group: Sequence[Assignment], room: int, begun: Sequence[Run]
    ) -> list[Assignment]:
        """Return the assignments that may start now, with a limited number for each worker."""
        under_way = Counter(run.worker_id for run in begun)
        taken: list[Assignment] = []
        for assignment in group:
            worker_id = assignment.worker_id
            pending = self._deps.sessions[worker_id].orders.pending_starts
            if len(taken) == room:
                break
            if pending + under_way[worker_id] >= MAX_PENDING_STARTS_PER_WORKER:
                continue
            under_way[worker_id] += 1
            taken.append(assignment)
        return taken

    def _record_group(self, job_id: str, group: Sequence[Assignment]) -> list[Run]:
        tracked = self._deps.tracker.jobs[job_id]
        step = tracked.job.steps[group[0].task.step]
        workers = {each.worker_id: self._deps.sessions[each.worker_id].worker for each in group}
        logger.info(
            "placed",
            extra={
                "request": job_id,
                "step": group[0].task.step,
                "tasks": [each.task.index for each in group],
                "workers": [each.worker_id for each in group],
                "reason": group[0].reason,
                "priority": tracked.job.priority,
                "waited_ms": self._deps.clock()
                - tracked.ready_since(group[0].task.occurrence, group[0].task.step, 0),
            },
        )
        if step.gang:
            refs: list[TaskRef] = [each.task for each in group]
            return self._deps.tracker.begin_runs(
                job_id, refs, [workers[each.worker_id] for each in group]
            )
        runs: list[Run] = []
        for each in group:
            runs.extend(
                self._deps.tracker.begin_runs(job_id, [each.task], [workers[each.worker_id]])
            )
        return runs

    def may_start(self, run: Run, worker: Worker) -> bool:
        """Return whether a recorded run may still start, given the current state."""
        current = self._deps.tracker.runs.get(run.name)
        if current is None or current.stop_reason or run.name.job_id not in self._deps.tracker.jobs:
            return False
        if not self._is_within_limit(run):
            return False
        registered = self._deps.registry().get(worker.worker_id)
        if worker.draining or registered is None:
            return False
        if worker.availability_zone in self._deps.operator().zones_out:
            return False
        # The entry of another incarnation does not tell this one's capacity, and what unknown runs
        # reserve is not known either.
        session = self._deps.sessions.get(worker.worker_id)
        known = registered.born_ms == worker.born_ms
        known = known and not (session is not None and session.has_unknown_runs)
        return self._fits(run, registered.capacity if known else None)

    def _is_within_limit(self, run: Run) -> bool:
        """Return whether all that a run's organisation may have running is within its limit."""
        organisation = self._deps.tracker.jobs[run.name.job_id].job.organisation
        configuration = self._deps.operator().configuration
        limit = limit_of(configuration, organisation)
        if limit == NOTHING:
            return True
        used = self._deps.tracker.used_by(organisation) + self._deps.uncertain_use()
        if within_limit(used, limit):
            return True
        logger.info(
            "start_beyond_limit",
            extra={
                "request": run.name.job_id,
                "task": list(run.name.task),
                "run": run.name.run,
                "organisation": organisation,
                "used": astuple(used),
                "configuration": None if configuration is None else configuration.version,
            },
        )
        return False

    def _fits(self, run: Run, capacity: Resources | None) -> bool:
        """Return whether all runs on a worker, with this one, fit its capacity, if it is known."""
        reserved = self._deps.tracker.reserved_on(run.worker_id)
        if capacity is not None and reserved.fits(capacity):
            return True
        logger.info(
            "start_withheld",
            extra={
                "request": run.name.job_id,
                "task": list(run.name.task),
                "run": run.name.run,
                "worker": run.worker_id,
                "reserved": astuple(reserved),
                "capacity": None if capacity is None else astuple(capacity),
            },
        )
        return False

    def _send_orders(self, runs: Sequence[Run]) -> None:
        """Send the start orders of runs that have been stored."""
        self._unstored -= len(runs)
        if not self._deps.is_active():
            return
        withheld = self._withheld_gangs(runs)
        for run in runs:
            tracked = self._deps.tracker.jobs.get(run.name.job_id)
            session = self._deps.sessions.get(run.worker_id)
            current = self._deps.tracker.runs.get(run.name)
            if current is None:
                continue
            if tracked is None or session is None or _step_key(run) in withheld:
                self._deps.end(run.name, RunEnd.LOST)
                continue
            session.orders.start(current, tracked.job.payload)

    def _withheld_gangs(self, runs: Sequence[Run]) -> set[tuple[str, int, int]]:
        """Return the gangs with a member that may not start, so that no member is started."""
        withheld: set[tuple[str, int, int]] = set()
        for run in runs:
            session = self._deps.sessions.get(run.worker_id)
            if session is None or not self._deps.tracker.is_gang_member(run.name):
                continue
            if not self.may_start(run, session.worker):
                withheld.add(_step_key(run))
        return withheld


def _step_key(run: Run) -> tuple[str, int, int]:
    return run.name.job_id, run.name.task.occurrence, run.name.task.step
