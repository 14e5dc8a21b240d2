"""Paces the best-effort runs beside serving ones, and moves them if that is not enough."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from hornbeamfold.batch import (
    Accepted,
    Bounds,
    Clock,
    NoAnswer,
    OrderOutcome,
    RunName,
    RunningTask,
    Step,
)
from hornbeamfold.coordinator.job_tracker import JobTracker, Run
from hornbeamfold.coordinator.session import Session
from hornbeamfold.interference import (
    FULL_PERCENT,
    MAX_FACTOR,
    PaceLimits,
    PaceState,
    Reading,
    is_starved,
    next_pace,
)
from hornbeamfold.telemetry import counter, get_logger

logger = get_logger("hornbeamfold.coordinator.pacing")
_changes = counter("hornbeamfold_pace_changes", "Changes of the share of best-effort tasks.")
_orders = counter("hornbeamfold_pace_orders", "Pace orders by outcome.")
_over_target = counter(
    "hornbeamfold_latency_over_target", "Reports of serving tasks over their target."
)
_moves = counter("hornbeamfold_pace_moves", "Best-effort runs moved, by reason.")

# An order without an answer may be carried out until this long after it was sent, also after newer
# ones, so the current share is sent again with each report until then.
LATE_ORDER_MS = 6_000
# The share of the time that a serving task may exceed its target after which best-effort runs whose
# pace is not confirmed are stopped.
STOP_SHARE = 0.5
# A run that was not listed for this long counts as not at work.
AT_WORK_MS = 3_500

Row = tuple[Run, Step, RunningTask]


@dataclass(frozen=True)
class _Pending:
    """A run whose pace order is under way, or may still be carried out until `until_ms`."""

    sending: bool = False
    until_ms: int = 0


NOTHING_PENDING = _Pending()


def share_of(run: Run) -> float:
    """Return how much of its usual work a run may do; an unknown share counts as all of it."""
    return 1.0 if run.pace_percent is None else run.pace_percent / 100


class Pacing:
    """The shares of the best-effort runs on all workers with serving ones, in one term."""

    def __init__(
        self,
        tracker: JobTracker,
        bounds: Bounds,
        clock: Clock,
        stop_runs: Callable[[Sequence[RunName], str], None],
    ) -> None:
        self._tracker = tracker
        self._limits = PaceLimits(bounds.latency_grace_ms)
        self._clock = clock
        self._stop_runs = stop_runs
        self._states: dict[str, PaceState] = {}
        self._pending: dict[RunName, _Pending] = {}

    @property
    def has_paced(self) -> bool:
        """Whether best-effort tasks get less than their full share on some worker."""
        return any(state.percent < FULL_PERCENT for state in self._states.values())

    def expected_factor(self, worker_id: str) -> float:
        """Return how many times as long as usual a best-effort task would take on a worker."""
        state = self._states.get(worker_id)
        if state is None:
            return 1.0
        return FULL_PERCENT / max(state.percent, FULL_PERCENT / MAX_FACTOR)

    def forget_worker(self, worker_id: str) -> None:
        """Drop the state of a worker that is gone."""
        self._states.pop(worker_id, None)

    def on_report(self, session: Session, rows: Sequence[Row]) -> None:
        """Decide on the share of the best-effort runs on a worker after a report of all runs."""
        serving = [row for row in rows if row[1].latency_target_ms > 0 and not row[1].best_effort]
        filling = [row for row in rows if row[1].best_effort and not row[0].stop_reason]
        worker_id = session.worker.worker_id
        if not serving:
            self._states.pop(worker_id, None)
        else:
            self._control(worker_id, serving, filling)
        if not filling:
            return
        state = self._states.get(worker_id, PaceState())
        for run, step, _ in filling:
            self._keep_pace(session, run.name, state.percent)
            reason = self._reason_to_stop(run.name, step, state)
            if reason:
                self._stop(run, reason)

    def _control(self, worker_id: str, serving: Sequence[Row], filling: Sequence[Row]) -> None:
        now = self._clock()
        before = self._states.get(worker_id, PaceState())
        ratio = _highest_ratio(serving)
        if filling and ratio is not None and ratio >= 1:
            _over_target(1)
        state = next_pace(before, Reading(ratio, now), self._limits)
        self._states[worker_id] = state
        if not filling or state.percent == before.percent:
            return
        _changes(1, direction="down" if state.percent < before.percent else "up")
        logger.info(
            "paced",
            extra={
                "worker": worker_id,
                "percent": state.percent,
                "was": before.percent,
                "latency_share": None if ratio is None else round(ratio, 2),
                "runs": len(filling),
            },
        )

    def _keep_pace(self, session: Session, name: RunName, percent: int) -> None:
        """Send a run's share unless its worker is known to have it."""
        run = self._tracker.runs[name]
        pending = self._pending.get(name, NOTHING_PENDING)
        now = self._clock()
        if pending.sending or (run.pace_percent == percent and now >= pending.until_ms):
            if not pending.sending:
                self._pending.pop(name, None)
            return
        self._pending[name] = replace(pending, sending=True)

        def on_outcome(outcome: OrderOutcome) -> None:
            self._on_outcome(name, percent, outcome)

        session.orders.pace(name, percent, on_outcome)

    def _on_outcome(self, name: RunName, percent: int, outcome: OrderOutcome) -> None:
        _orders(1, outcome=type(outcome).__name__)
        pending = replace(self._pending.pop(name, NOTHING_PENDING), sending=False)
        if name not in self._tracker.runs:
            return
        if isinstance(outcome, NoAnswer):
            pending = replace(pending, until_ms=self._clock() + LATE_ORDER_MS)
            self._forget_ended_runs()
        if self._clock() < pending.until_ms:
            self._pending[name] = pending
        self._tracker.set_pace(name, percent if isinstance(outcome, Accepted) else None)

    def _forget_ended_runs(self) -> None:
        for name in [each for each in self._pending if each not in self._tracker.runs]:
            del self._pending[name]

    def _reason_to_stop(self, name: RunName, step: Step, state: PaceState) -> str:
        """Return why a best-effort run should move, or an empty string."""
        run = self._tracker.runs[name]
        now = self._clock()
        over_ms = 0 if state.good_ms is None else now - state.good_ms
        if (
            run.pace_percent != state.percent
            and over_ms >= STOP_SHARE * self._limits.violation_ms
            and state.percent == 0
        ):
            return "not paced" if self._may_stop(run, step) else ""
        # A run that has just begun was placed where no other worker had room.
        is_new = run.listed_for_ms < self._limits.violation_ms
        if is_new or not is_starved(state, now):
            return ""
        tracked = self._tracker.jobs[name.job_id]
        # Another worker may do no better, so a step leaves each worker only once.
        if run.worker_id in tracked.avoided_workers(*name.task[:2]):
            return ""
        return "starved" if self._may_stop(run, step) else ""

    def _may_stop(self, run: Run, step: Step) -> bool:
        """Return whether callers allow that a run is stopped, given the tasks that are away."""
        if not step.long_running or not step.max_unavailable:
            return True
        since_ms = self._clock() - AT_WORK_MS
        at_work = sum(
            other.name != run.name
            and other.name.task[:2] == run.name.task[:2]
            and _is_at_work(other, since_ms)
            for other in self._tracker.runs_of(run.name.job_id)
        )
        return step.count - 1 - at_work < step.max_unavailable

    def _stop(self, run: Run, reason: str) -> None:
        self._tracker.jobs[run.name.job_id].avoid_worker(run.name.task, run.worker_id)
        _moves(1, reason=reason)
        self._stop_runs((run.name,), reason)


def _is_at_work(run: Run, since_ms: int) -> bool:
    """Return whether a run of a long-running step was at work at a time or later."""
    if run.stop_reason or run.percent < FULL_PERCENT or run.pace_percent != FULL_PERCENT:
        return False
    return run.listed_ms is not None and run.listed_ms >= since_ms


def _highest_ratio(serving: Sequence[Row]) -> float | None:
    """Return the highest latency as a share of its target, or None if one is not known."""
    highest = 0.0
    unknown = False
    for _, step, task in serving:
        if task.load is None:
            unknown = True
            continue
        highest = max(highest, task.load / step.latency_target_ms)
    # An unknown latency may be too high, and a known one that is remains so.
    return None if unknown and highest < 1 else highest
