"""Ends runs that were lost with their worker, and counts its crash as evidence for it arrives.

A worker that cannot be reached may run on, whatever its host answers to a connection. Only another
incarnation in its place shows that it crashed, so a loss is reviewed when the worker answers again.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from hornbeamfold.batch import Clock, RunEnd, RunName, WorkerLoss
from hornbeamfold.coordinator.crash_history import CrashHistory, SuspectKey
from hornbeamfold.coordinator.job_tracker import Holding, JobTracker, Run
from hornbeamfold.coordinator.session import RunsLost, Session
from hornbeamfold.telemetry import get_logger

logger = get_logger("hornbeamfold.coordinator.run_losses")

# A worker that has not answered for this long after a loss may have been restarted for any reason.
REVIEW_TIMEOUT_MS = 120_000


@dataclass(frozen=True)
class LossHooks:
    """The callbacks of losses to their term."""

    end_run: Callable[[RunName, RunEnd, WorkerLoss | None], None]
    stop_runs: Callable[[Sequence[RunName], str], None]
    on_change: Callable[[], None]  # the losses of a task have changed


class RunLosses:
    """The losses of one term, and the crashes of workers that they are attributed to."""

    def __init__(
        self, tracker: JobTracker, hooks: LossHooks, clock: Clock, unix_clock: Clock
    ) -> None:
        self._tracker = tracker
        self._hooks = hooks
        self._unix_clock = unix_clock
        self._history = CrashHistory(clock)

    def end_all(self, session: Session, reason: RunsLost, born_ms: int) -> None:
        """End the runs on incarnations of a worker that were born at `born_ms` or before."""
        worker_id = session.worker.worker_id
        runs = [
            run
            for run in self._tracker.runs_on(worker_id)
            if run.incarnation is None or run.incarnation <= born_ms
        ]
        if not runs:
            return
        logger.warning(
            "runs_lost",
            extra={
                "worker": worker_id,
                "reason": reason.value,
                "born": born_ms,
                "requests": sorted({run.name.job_id for run in runs}),
            },
        )
        suspects = self._suspects(run.name for run in runs)
        for run in runs:
            silent = reason is RunsLost.LEASE_EXPIRED and run.incarnation == session.worker.born_ms
            if not silent or session.has_drained(born_ms):
                self.end(session, run, reason)
                continue
            end = self._lost_run_end(session, run, reason)
            self._hooks.end_run(run.name, end, self._loss_of(run, suspects, end))

    def end(self, session: Session, run: Run, lost: RunsLost | None = None) -> RunEnd:
        """End a run that its worker no longer has and whose end was not reported; return how."""
        end = self._lost_run_end(session, run, lost)
        if end is RunEnd.WORKER_CRASHED:
            suspects = self._suspects(each.name for each in self._tracker.runs_on(run.worker_id))
            if not self._is_evident(run.name, run.worker_id, suspects, run.holding):
                end = RunEnd.WORKER_VANISHED
        self._hooks.end_run(run.name, end, None)
        return end

    def _lost_run_end(self, session: Session, run: Run, lost: RunsLost | None) -> RunEnd:
        if run.incarnation is None or run.holding is Holding.NONE:
            return RunEnd.LOST
        return session.lost_run_end(run.incarnation, lost)

    def end_orphan(self, run: Run, entry_gone: bool) -> None:
        """End a run of a former coordinator on a worker that this one has never seen."""
        vanished = entry_gone and run.incarnation is not None
        end = RunEnd.WORKER_VANISHED if vanished else RunEnd.LOST
        loss = self._loss_of(run, self._suspects((run.name,)), end)
        self._hooks.end_run(run.name, end, loss)

    def review(self, session: Session) -> None:
        """Decide the open losses of a worker that has reported: it was cut off, or it crashed."""
        worker = session.worker
        losses = self._tracker.open_losses(worker.worker_id)
        if not losses:
            return
        suspects = self._suspects(lost.name for lost in losses)
        for lost in losses:
            late = self._unix_clock() - lost.loss.lost_unix_ms > REVIEW_TIMEOUT_MS
            crashed = session.lost_run_end(lost.loss.born_ms) is RunEnd.WORKER_CRASHED
            if not crashed or (late and not lost.loss.counted):
                self._tracker.withdraw_loss(lost)
                continue
            holding = Holding.CERTAIN if lost.loss.certain else Holding.POSSIBLE
            evident = self._is_evident(lost.name, worker.worker_id, suspects, holding)
            stopped = self._tracker.confirm_crash(lost, evident and not late)
            self._hooks.stop_runs(stopped, "job ended")
        self._hooks.on_change()

    def _loss_of(self, run: Run, suspects: frozenset[SuspectKey], end: RunEnd) -> WorkerLoss | None:
        """Return the loss of a run's worker, or None if the worker cannot have had the run.

        `suspects` are the tasks and gangs that the worker was lost with.
        """
        if run.incarnation is None or run.holding is Holding.NONE:
            return None
        return WorkerLoss(
            run.worker_id,
            run.incarnation,
            run.name.run,
            self._unix_clock(),
            alone=suspects == {self._tracker.suspect_key(run.name)},
            certain=run.holding is Holding.CERTAIN,
            counted=end is RunEnd.WORKER_VANISHED,
        )

    def _suspects(self, names: Iterable[RunName]) -> frozenset[SuspectKey]:
        return frozenset(self._tracker.suspect_key(name) for name in names)

    def _is_evident(
        self, name: RunName, worker_id: str, suspects: frozenset[SuspectKey], holding: Holding
    ) -> bool:
        """Record the crash of a worker; return whether it is evidence against a run's task."""
        self._history.record(worker_id, suspects)
        widespread = self._history.is_widespread(self._tracker.suspect_key(name))
        return holding is Holding.CERTAIN and not widespread
