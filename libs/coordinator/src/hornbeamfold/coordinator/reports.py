"""Reconciles what workers report with the job tracker: runs, progress and ends."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from hornbeamfold.batch import Clock, EndedTask, LeaseReport, RunEnd, RunName
from hornbeamfold.coordinator.health import WorkerHealth
from hornbeamfold.coordinator.interference import Interference
from hornbeamfold.coordinator.job_tracker import JobTracker
from hornbeamfold.coordinator.run_losses import RunLosses
from hornbeamfold.coordinator.run_speeds import RunSpeeds
from hornbeamfold.coordinator.session import Session
from hornbeamfold.coordinator.stragglers import runs_outlasting_drain, straggling_runs
from hornbeamfold.telemetry import get_logger

logger = get_logger("hornbeamfold.coordinator.reports")

# The members of a gang end together. One that is still listed in a report that was requested this
# long after the end of another is stopped.
GANG_END_MS = 500


@dataclass(frozen=True)
class ReportDependencies:
    """What WorkerReports needs from its term.

    `unread_runs` returns the workers of recorded runs whose jobs are not read yet, as long as those
    runs may be alive, and `has_unread_run` whether a run is one of them, alive or not.
    """

    tracker: JobTracker
    losses: RunLosses
    health: WorkerHealth
    speeds: RunSpeeds
    interference: Interference
    unread_runs: Callable[[], Mapping[RunName, str]]
    has_unread_run: Callable[[RunName], bool]
    end_run: Callable[[RunName, RunEnd, str], None]
    stop_runs: Callable[[Sequence[RunName], str], None]
    notify: Callable[[], None]
    clock: Clock


class WorkerReports:
    """Handles the reports of the workers in one term."""

    def __init__(self, deps: ReportDependencies) -> None:
        self._deps = deps
        self._reported_workers: set[str] = set()

    def on_report(self, session: Session, report: LeaseReport, sent_ms: int) -> None:
        """Reconcile the runs that a worker reports with the job tracker."""
        worker = session.worker
        self._deps.losses.review(session)
        reported: set[RunName] = set()
        unread = self._deps.unread_runs()
        unknown = 0
        for task in report.running:
            reported.add(task.name)
            run = self._deps.tracker.runs.get(task.name)
            if run is None or run.worker_id != worker.worker_id:
                unknown += 1
                if task.name not in unread:
                    session.orders.stop_unknown_run(task.name)
                continue
            self._deps.tracker.settle(task.name)
            self._deps.tracker.set_incarnation(task.name, worker.born_ms)
            self._deps.tracker.update_progress(task)
            if run.gang_done_ms is not None and sent_ms > run.gang_done_ms + GANG_END_MS:
                self._deps.stop_runs((run.name,), "gang is done")
        session.set_unknown_runs(unknown)
        self._deps.speeds.observe(worker, report.running)
        self._deps.interference.on_report(session, report)
        reported.update(each.name for each in report.ended)
        for run in self._deps.tracker.runs_on(worker.worker_id):
            if run.name in reported:
                if run.stop_reason:
                    session.orders.stop(run)
                continue
            if run.settled_ms is None or run.settled_ms >= sent_ms:
                continue
            # The end of the run may come later in the list.
            if not report.more_ends:
                self._deps.losses.end(session, run)
        self._stop_stragglers(worker.worker_id)
        for leaving in runs_outlasting_drain(
            self._deps.tracker,
            self._deps.tracker.runs_on(worker.worker_id),
            worker,
            self._deps.clock(),
        ):
            self._deps.stop_runs((leaving.name,), leaving.reason)
        if worker.worker_id not in self._reported_workers:
            self._reported_workers.add(worker.worker_id)
            self._deps.notify()

    def on_ended(self, session: Session, ended: tuple[EndedTask, ...]) -> int:
        """Record ends; return how many were taken, up to the first of a job that is not read yet.

        That job would otherwise be read with a run whose end its worker has forgotten.
        """
        worker_id = session.worker.worker_id
        for taken, each in enumerate(ended):
            if self._deps.has_unread_run(each.name):
                logger.info(
                    "end_of_unread_job",
                    extra={
                        "request": each.name.job_id,
                        "task": list(each.name.task),
                        "run": each.name.run,
                        "worker": worker_id,
                        "end": each.end.value,
                    },
                )
                return taken
            run = self._deps.tracker.runs.get(each.name)
            if run is None or run.worker_id != worker_id:
                continue
            if each.end is RunEnd.DONE:
                self._deps.health.succeeded(worker_id)
            if each.end is RunEnd.FAILED:
                self._deps.health.failed(worker_id, each.name.job_id)
            self._deps.end_run(each.name, each.end, each.checkpoint)
        return len(ended)

    def _stop_stragglers(self, worker_id: str) -> None:
        """Stop straggling runs; their tasks are placed again once the runs have ended."""
        runs = self._deps.tracker.runs_on(worker_id)
        for straggler in straggling_runs(self._deps.tracker, runs, self._deps.clock()):
            # Any member may hold up its gang, so a slow gang is no evidence against this worker.
            if not self._deps.tracker.is_gang_member(straggler.name):
                self._deps.health.exclude(worker_id, straggler.reason)
            self._deps.tracker.jobs[straggler.name.job_id].avoid_worker(
                straggler.name.task, worker_id
            )
            self._deps.stop_runs((straggler.name,), straggler.reason)
