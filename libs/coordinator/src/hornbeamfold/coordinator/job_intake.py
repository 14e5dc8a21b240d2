"""Adds jobs from the replica to the job tracker, with progress from earlier coordinators."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

import eventlet

from hornbeamfold.batch import (
    TERMINAL_STATES,
    BatchJob,
    JobProgress,
    JobState,
    ReadFailed,
    RunName,
    TaskPhase,
    TopicPort,
)
from hornbeamfold.coordinator.job_tracker import JobTracker
from hornbeamfold.ledger import Replica, load_progress
from hornbeamfold.telemetry import get_logger

logger = get_logger("hornbeamfold.coordinator.job_intake")

LOAD_RETRY_MS = 100
MAX_LOGGED_TASKS = 10


@dataclass(frozen=True)
class IntakeHooks:
    """The callbacks of the intake to its term."""

    is_active: Callable[[], bool]
    on_end_known: Callable[[str], None]  # the progress of this job is no longer needed
    on_state: Callable[[str, JobState], None]  # a state that must be published
    on_runs_cancelled: Callable[[tuple[RunName, ...]], None]  # runs that must be stopped
    on_change: Callable[[], None]
    on_speeds: Callable[[Mapping[str, int]], None]  # the recorded levels of speed by worker id
    on_read: Callable[[BatchJob], None] = lambda job: None  # a job, whether it has ended or not


class JobIntake:
    """Adds the existing jobs to the tracker of a term, and then new and cancelled ones."""

    def __init__(self, replica: Replica, tracker: JobTracker, hooks: IntakeHooks) -> None:
        self._replica = replica
        self._tracker = tracker
        self._hooks = hooks
        # The previous coordinator may have recorded progress of jobs that are not yet in this
        # replica.
        self._recorded_progress: dict[str, JobProgress] = {}
        self._unread_runs: dict[str, dict[RunName, str]] = {}
        self._listening = False

    @property
    def unread_runs(self) -> Mapping[RunName, str]:
        """The workers of recorded runs whose jobs are not yet in the replica."""
        return {
            name: worker_id
            for runs in self._unread_runs.values()
            for name, worker_id in runs.items()
        }

    def has_unread_run(self, name: RunName) -> bool:
        """Return whether a run is recorded as active, and its job is not yet in the replica."""
        return name in self._unread_runs.get(name.job_id, {})

    def begin(self, progress_topic: TopicPort) -> bool:
        """Load the recorded progress and add all jobs; return whether the term continues."""
        if not self._load(progress_topic):
            return False
        self._replica.add_listener(self._import_job)
        self._listening = True
        for job_id in tuple(self._replica.job_ids):
            self._import_job(job_id)
        return True

    def stop(self) -> None:
        """Stop adding jobs."""
        if self._listening:
            self._listening = False
            self._replica.remove_listener(self._import_job)

    def _load(self, topic: TopicPort) -> bool:
        while self._hooks.is_active():
            loaded = load_progress(topic)
            if not isinstance(loaded, ReadFailed):
                self._recorded_progress = loaded.by_job
                self._unread_runs = {
                    job_id: _active_runs(job_id, progress)
                    for job_id, progress in loaded.by_job.items()
                }
                self._hooks.on_speeds(loaded.speed_levels)
                return self._hooks.is_active()
            logger.warning("progress_unreadable", extra={"reason": loaded.reason})
            eventlet.sleep(LOAD_RETRY_MS / 1_000)
        return False

    def _import_job(self, job_id: str) -> None:
        """Update the tracker from a job that was added or cancelled in the replica."""
        job = self._replica.job(job_id)
        if job is None:
            return
        self._hooks.on_read(job)
        if job_id not in self._tracker.jobs:
            self._unread_runs.pop(job_id, None)
            if self._replica.recorded_state(job_id) in TERMINAL_STATES:
                if self._recorded_progress.pop(job_id, None) is not None:
                    self._hooks.on_end_known(job_id)
                return
            progress = self._recorded_progress.pop(job_id, JobProgress())
            if progress.state in TERMINAL_STATES:
                # The previous coordinator recorded the end but did not publish it.
                self._hooks.on_state(job_id, progress.state)
                return
            self._tracker.add(job, _known_progress(job, progress))
        if self._replica.is_cancelled(job_id):
            logger.info("job_cancelled", extra={"request": job_id})
            self._hooks.on_runs_cancelled(self._tracker.cancel(job_id))
        self._hooks.on_change()


def _active_runs(job_id: str, progress: JobProgress) -> dict[RunName, str]:
    """Return the workers of the runs that are recorded as active."""
    return {
        RunName(job_id, ref, task.run): task.worker_id
        for ref, task in progress.tasks.items()
        if task.phase is TaskPhase.ACTIVE
    }


def _known_progress(job: BatchJob, progress: JobProgress) -> JobProgress:
    """Return the recorded progress without rows of tasks that the job does not have."""
    tasks = {ref: task for ref, task in progress.tasks.items() if job.has_task(ref)}
    unknown = [list(ref) for ref in progress.tasks if ref not in tasks]
    if unknown:
        logger.error(
            "progress_of_unknown_tasks",
            extra={
                "request": job.job_id,
                "tasks": unknown[:MAX_LOGGED_TASKS],
                "in_all": len(unknown),
            },
        )
    return replace(progress, tasks=tasks)
