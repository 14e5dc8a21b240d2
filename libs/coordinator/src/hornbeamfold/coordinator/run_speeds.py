"""Learns from the reports of workers how fast they are."""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from math import log

from hornbeamfold.batch import Clock, KeyedRecord, RunningTask, Step, Worker
from hornbeamfold.coordinator.job_tracker import JobTracker
from hornbeamfold.coordinator.stragglers import is_comparable
from hornbeamfold.estimates import ProgressRates, SiblingDurations, SpeedChange, WorkerSpeeds
from hornbeamfold.ledger import encode_speeds
from hornbeamfold.scheduling import CandidateWorker, ReadyStep, Slowdown, no_slowdown
from hornbeamfold.telemetry import counter, get_logger

logger = get_logger("hornbeamfold.coordinator.run_speeds")
_changes = counter("hornbeamfold_worker_speed_changes", "Workers thought to have another speed.")

# Among workers of uneven speed, a gang has a slow member more often than a fast one.
UNKNOWN_SLOWDOWN = 1.25
# What is believed is recorded at most this often, and of so many workers.
RECORD_MS = 5_000
MAX_RECORDED = 2_000
# The changes of one update that are logged one by one.
MAX_LOGGED_CHANGES = 16


class RunSpeeds:
    """The speeds of the workers of one term, learned from the progress of comparable runs."""

    def __init__(self, tracker: JobTracker, clock: Clock) -> None:
        self._tracker = tracker
        self._clock = clock
        self._rates = ProgressRates()
        self._siblings = SiblingDurations()
        self._speeds = WorkerSpeeds()
        self._recorded: Mapping[str, int] = {}
        self._recorded_ms = clock()

    def restore(self, levels: Mapping[str, int]) -> None:
        """Begin with what an earlier coordinator believed; it fades unless new runs confirm it."""
        self._speeds.restore(levels, self._clock())
        self._recorded = levels

    def changed_records(self) -> Sequence[KeyedRecord]:
        """Return the record of what is believed, if it has changed and the last one is old."""
        now = self._clock()
        if now - self._recorded_ms < RECORD_MS:
            return ()
        levels = self._speeds.levels(MAX_RECORDED)
        if levels == self._recorded:
            return ()
        self._recorded, self._recorded_ms = levels, now
        return (encode_speeds(levels),)

    def observe(self, worker: Worker, running: Sequence[RunningTask]) -> None:
        """Take in the progress that a worker reports."""
        if worker.cold_remaining_ms > 0:
            return
        now = self._clock()
        worker_id = worker.worker_id
        for task in running:
            run = self._tracker.runs.get(task.name)
            tracked = self._tracker.jobs.get(task.name.job_id)
            if run is None or tracked is None or run.worker_id != worker_id or run.stop_reason:
                continue
            if not _tells_speed(tracked.job.steps[task.name.task.step]):
                continue
            duration_ms = self._rates.duration_ms(task, now)
            if duration_ms is None:
                continue
            self._siblings.add(task.name, worker_id, duration_ms)
            log_ms = self._siblings.log_usual_ms(task.name, worker_id, self._speeds.log_speed)
            if log_ms is None:
                continue
            self._speeds.add_sample(
                worker_id, worker.born_ms, task.name, log_ms - log(duration_ms), now
            )

    def update(self) -> None:
        """Update what is believed from what was observed."""
        changes = self._speeds.update(self._clock())
        if changes is None:
            return
        self._rates.retain(self._tracker.runs)
        self._siblings.retain(self._is_open)
        for change in changes[:MAX_LOGGED_CHANGES]:
            _log_change(change)
        if changes:
            for change in changes:
                _changes(1, to=_direction(change))
            logger.info(
                "worker_speeds",
                extra={"changed": len(changes), "unusual": len(self._speeds.slowdowns)},
            )

    def _is_open(self, job_id: str, occurrence: int, step: int) -> bool:
        """Return whether a step of a job that has not ended has tasks that are not done."""
        tracked = self._tracker.jobs.get(job_id)
        return tracked is not None and not tracked.is_step_done(occurrence, step)

    def slowdown(self) -> Slowdown:
        """Return how many times as long as usual tasks take on each worker, as believed now.

        Where workers are uneven, one of which too little is known counts as somewhat slow.
        """
        slowdowns = self._speeds.slowdowns
        if not slowdowns:
            return no_slowdown
        if not self._speeds.uneven:
            return lambda step, worker: slowdowns.get(worker.worker_id, 1.0)
        known = self._speeds.known

        def slowdown(step: ReadyStep, worker: CandidateWorker) -> float:
            worker_id = worker.worker_id
            unknown = 1.0 if worker_id in known else UNKNOWN_SLOWDOWN
            return slowdowns.get(worker_id, unknown)

        return slowdown

    def classified(self, candidates: Sequence[CandidateWorker]) -> list[CandidateWorker]:
        """Return the workers with what their speeds mean for new tasks.

        Those that are much too slow are last resorts. Where workers are uneven, those of which too
        little is known are to be tried.
        """
        by_service: dict[str, list[str]] = {}
        for each in candidates:
            by_service.setdefault(each.service, []).append(each.worker_id)
        too_slow: set[str] = set()
        for worker_ids in by_service.values():
            too_slow.update(self._speeds.very_slow(worker_ids))
        if not too_slow and not self._speeds.uneven:
            return list(candidates)
        return [
            replace(
                each,
                last_resort=each.last_resort or each.worker_id in too_slow,
                untried=self._speeds.uneven and self._is_untried(each.worker_id),
            )
            for each in candidates
        ]

    def _is_untried(self, worker_id: str) -> bool:
        """Return whether a worker is unknown and has no run that would tell how fast it is."""
        if worker_id in self._speeds.known:
            return False
        for run in self._tracker.runs_on(worker_id):
            tracked = self._tracker.jobs.get(run.name.job_id)
            if tracked is not None and _tells_speed(tracked.job.steps[run.name.task.step]):
                return False
        return True


def _tells_speed(step: Step) -> bool:
    """Return whether only the speed of a worker makes a task slower than its siblings elsewhere."""
    return is_comparable(step) and not (step.long_running or step.best_effort)


def _direction(change: SpeedChange) -> str:
    if change.after.level == 0:
        return "usual"
    return "faster" if change.after.level > 0 else "slower"


def _log_change(change: SpeedChange) -> None:
    logger.info(
        "worker_speed_changed",
        extra={
            "worker": change.worker_id,
            "was": round(change.before.speed, 2),
            "speed": round(change.after.speed, 2),
            "evidence": round(change.after.weight, 1),
        },
    )
