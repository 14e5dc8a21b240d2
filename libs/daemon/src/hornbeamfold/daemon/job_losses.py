"""Counts the attempts of each job, in a row, in which workers restarted under its tasks.

The counts belong to this instance and decide only what it proposes. The fold of the log does not
depend on them, so instances of other versions, and instances that loaded a snapshot, agree on the
state of every job.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from hornbeamfold.daemon.follower import affected_jobs
from hornbeamfold.model.events import (
    Applied,
    JobPlaced,
    JobStopping,
    MemberReport,
    MembersReported,
)
from hornbeamfold.model.work import ENDED_JOBS, JobState, StopReason
from hornbeamfold.telemetry import log_decision
from hornbeamfold.view import View

# After this many lost attempts in a row, the job is not started again. The workers of a rack or of
# a small availability zone may restart one after the other, each with another attempt of the job.
MAX_LOSSES = 12
# A job that has run for this long is taken to be harmless to its workers.
CLEARING_RUN_MS = 600_000

LOSS_REASONS = frozenset({StopReason.MEMBER_LOST, StopReason.START_TIMEOUT})

Key = tuple[str, str]


@dataclass(frozen=True)
class _History:
    """The lost attempts of one job, and its current attempt.

    Attempts up to `cleared` do not count any more. `checkpoint` is the one that the current attempt
    started from, `running_ms` the log time since when all its members have run, or 0. `interrupted`
    tells that the attempt was stopped for another reason than a loss.
    """

    attempt: int
    checkpoint: str
    running_ms: int = 0
    interrupted: bool = False
    lost: frozenset[int] = frozenset()
    cleared: int = 0


class JobLosses:
    """The lost attempts of the jobs whose placement this instance has read from the log."""

    def __init__(self) -> None:
        self._histories: dict[Key, _History] = {}

    def count(self, key: Key) -> int:
        """Return how many attempts in a row lost workers that restarted."""
        history = self._histories.get(key)
        return len(history.lost) if history is not None else 0

    def on_applied(self, view: View, applied: Iterable[Applied]) -> None:
        """Update the counts from the results of an entry; `view` includes the entry."""
        verdicts = tuple(applied)
        for verdict in verdicts:
            event = verdict.event
            # Whether an unreachable worker has restarted may be known only after the attempt has
            # ended, so that the report on it is rejected.
            if isinstance(event, MembersReported):
                for report in event.reports:
                    self._add_report(view, report)
                continue
            if not verdict.accepted:
                continue
            if isinstance(event, JobPlaced):
                self._start_attempt(view, event)
            if isinstance(event, JobStopping):
                self._stop_attempt(view, event)
        for key in affected_jobs(verdicts):
            self._update(view, key)

    def _start_attempt(self, view: View, event: JobPlaced) -> None:
        key = (event.organisation, event.job_id)
        checkpoint = view.jobs[key].checkpoint
        history = self._histories.get(key)
        if history is None:
            self._histories[key] = _History(event.attempt, checkpoint)
            return
        # A checkpoint that was taken because another member was lost shows no progress.
        if history.interrupted and checkpoint != history.checkpoint:
            history = _cleared(history)
        self._histories[key] = replace(
            history,
            attempt=event.attempt,
            checkpoint=checkpoint,
            running_ms=0,
            interrupted=False,
        )

    def _stop_attempt(self, view: View, event: JobStopping) -> None:
        key = (event.organisation, event.job_id)
        history = self._histories.get(key)
        if history is None or history.attempt != event.attempt:
            return
        if _ran_long(history, view):
            history = _cleared(history)
        interrupted = event.reason not in LOSS_REASONS
        self._histories[key] = replace(history, interrupted=interrupted)

    def _add_report(self, view: View, report: MemberReport) -> None:
        key = (report.organisation, report.job_id)
        history = self._histories.get(key)
        if history is None or not history.cleared < report.attempt <= history.attempt:
            return
        if report.attempt == history.attempt and _ran_long(history, view):
            self._histories[key] = _cleared(history)
            return
        if not report.worker_restarted or report.attempt in history.lost:
            return
        if report.attempt == history.attempt and history.interrupted:
            return
        capacity = view.capacities.get(report.worker)
        # Workers that are drained, removed or out of service with their zone are restarted on
        # purpose.
        if capacity is None or not capacity.eligible:
            return
        history = replace(history, lost=history.lost | {report.attempt})
        self._histories[key] = history
        log_decision(
            "loss",
            f"{len(history.lost)} of {MAX_LOSSES} in a row",
            report.detail,
            organisation=report.organisation,
            job_id=report.job_id,
            attempt=report.attempt,
            worker=report.worker,
            offset=view.offset,
        )

    def _update(self, view: View, key: Key) -> None:
        """Follow the current attempt of a job, and drop the history of an ended job."""
        job = view.jobs.get(key)
        if job is None or job.state in ENDED_JOBS:
            self._histories.pop(key, None)
            return
        history = self._histories.get(key)
        if history is None or job.state is not JobState.RUNNING:
            return
        if job.checkpoint != history.checkpoint:
            history = replace(_cleared(history), checkpoint=job.checkpoint)
        self._histories[key] = replace(history, running_ms=job.running_ms)


def _ran_long(history: _History, view: View) -> bool:
    return bool(history.running_ms) and view.at_ms - history.running_ms >= CLEARING_RUN_MS


def _cleared(history: _History) -> _History:
    return replace(history, lost=frozenset(), cleared=history.attempt)
