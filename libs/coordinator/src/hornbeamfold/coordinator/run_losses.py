"""Ends runs that were lost with their worker, and counts its crash as evidence for it arrives.

A worker that cannot be reached may run on, whatever its host answers to a connection. Only another
incarnation in its place shows that it crashed, so a loss is reviewed when the worker answers again.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from hornbeamfold.batch import Clock, RunEnd, RunName
from hornbeamfold.coordinator.crash_history import CrashHistory, SuspectKey
from hornbeamfold.coordinator.job_tracker import Holding, JobTracker, Run
from hornbeamfold.coordinator.session import RunsLost, Session
from hornbeamfold.telemetry import get_logger

logger = get_logger("hornbeamfold.coordinator.run_losses")

# A worker that has not answered for this long after a loss is not waited for any longer.
REVIEW_TIMEOUT_MS = 120_000


@dataclass(frozen=True)
class LossHooks:
    """The callbacks of losses to their term."""

    end_run: Callable[[RunName, RunEnd], None]
    stop_runs: Callable[[Sequence[RunName], str], None]


@dataclass(frozen=True)
class OpenLoss:
    """A run that ended with its lease, without a report of what became of its worker.

    `born_ms` is the birth of the incarnation that had the run, `alone` says that no other run was
    on it, `certain` that it had the run for certain, and `counted` that the loss was counted as a
    crash without evidence.
    """

    name: RunName
    born_ms: int
    lost_ms: int
    alone: bool
    certain: bool
    counted: bool


class RunLosses:
    """The losses of one term, and the crashes of workers that they are attributed to."""

    def __init__(self, tracker: JobTracker, hooks: LossHooks, clock: Clock) -> None:
        self._tracker = tracker
        self._hooks = hooks
        self._clock = clock
        self._history = CrashHistory(clock)
        self._open: dict[str, list[OpenLoss]] = {}

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
        self._drop_old()
        suspects = self._suspects(run.name for run in runs)
        for run in runs:
            end = self.end(session, run, reason)
            if reason is RunsLost.LEASE_EXPIRED and run.incarnation == session.worker.born_ms:
                self._keep_open(run, suspects, end)

    def end(self, session: Session, run: Run, lost: RunsLost | None = None) -> RunEnd:
        """End a run that its worker no longer has and whose end was not reported; return how."""
        end = RunEnd.LOST
        if run.incarnation is not None and run.holding > Holding.NONE:
            end = session.lost_run_end(run.incarnation, lost)
        if end is RunEnd.WORKER_CRASHED:
            suspects = self._suspects(each.name for each in self._tracker.runs_on(run.worker_id))
            if not self._is_evident(run.name, run.worker_id, suspects, run.holding):
                end = RunEnd.WORKER_VANISHED
        self._hooks.end_run(run.name, end)
        return end

    def end_orphan(self, run: Run, entry_gone: bool) -> None:
        """End a run of a former coordinator on a worker that this one has never seen."""
        vanished = entry_gone and run.incarnation is not None
        end = RunEnd.WORKER_VANISHED if vanished else RunEnd.LOST
        self._keep_open(run, self._suspects((run.name,)), end)
        self._hooks.end_run(run.name, end)

    def review(self, session: Session) -> None:
        """Decide the open losses of a worker that has reported: it was cut off, or it crashed."""
        worker = session.worker
        losses = self._open.pop(worker.worker_id, None)
        if losses is None:
            return
        suspects = self._suspects(loss.name for loss in losses)
        for loss in losses:
            if loss.born_ms == worker.born_ms:
                if loss.counted:
                    self._tracker.withdraw_crash(loss.name, worker.worker_id)
                continue
            if session.lost_run_end(loss.born_ms) is not RunEnd.WORKER_CRASHED:
                continue
            holding = Holding.CERTAIN if loss.certain else Holding.POSSIBLE
            evident = self._is_evident(loss.name, worker.worker_id, suspects, holding)
            stopped = self._tracker.confirm_crash(
                loss.name, worker.worker_id, loss.alone, evident, loss.counted
            )
            self._hooks.stop_runs(stopped, "job ended")

    def _keep_open(self, run: Run, suspects: frozenset[SuspectKey], end: RunEnd) -> None:
        """Keep a loss for review, unless the worker cannot have had the run.

        `suspects` are the tasks and gangs that the worker was lost with.
        """
        if run.incarnation is None or run.holding is Holding.NONE:
            return
        loss = OpenLoss(
            run.name,
            run.incarnation,
            self._clock(),
            alone=suspects == {self._tracker.suspect_key(run.name)},
            certain=run.holding is Holding.CERTAIN,
            counted=end is RunEnd.WORKER_VANISHED,
        )
        self._open.setdefault(run.worker_id, []).append(loss)

    def _drop_old(self) -> None:
        """Drop losses whose workers have not been heard of for long."""
        now_ms = self._clock()
        for each, losses in tuple(self._open.items()):
            recent = [loss for loss in losses if now_ms - loss.lost_ms <= REVIEW_TIMEOUT_MS]
            if recent:
                self._open[each] = recent
            else:
                del self._open[each]

    def _suspects(self, names: Iterable[RunName]) -> frozenset[SuspectKey]:
        return frozenset(self._tracker.suspect_key(name) for name in names)

    def _is_evident(
        self, name: RunName, worker_id: str, suspects: frozenset[SuspectKey], holding: Holding
    ) -> bool:
        """Record the crash of a worker; return whether it is evidence against a run's task."""
        self._history.record(worker_id, suspects)
        widespread = self._history.is_widespread(self._tracker.suspect_key(name))
        return holding is Holding.CERTAIN and not widespread
