"""Takes jobs from the replica into the book, with what earlier coordinators have recorded."""

from collections.abc import Callable
from dataclasses import dataclass

import eventlet

from hornbeamfold.batch import ENDED, JobProgress, JobState, ReadFailed, RunName, TopicPort
from hornbeamfold.coordinator.book import Book
from hornbeamfold.ledger import Replica, load_progress
from hornbeamfold.telemetry import get_logger

logger = get_logger("hornbeamfold.coordinator.job_intake")

LOAD_RETRY_MS = 100


@dataclass(frozen=True)
class IntakeHooks:
    """What the intake tells its term."""

    is_active: Callable[[], bool]
    on_told_end: Callable[[str], None]  # the progress of this job is not needed any more
    on_state: Callable[[str, JobState], None]
    on_cancelled: Callable[[tuple[RunName, ...]], None]  # runs that must be stopped
    on_taken: Callable[[], None]


class JobIntake:
    """The jobs of one term: those that were there, and those that come."""

    def __init__(self, replica: Replica, book: Book, hooks: IntakeHooks) -> None:
        self._replica = replica
        self._book = book
        self._hooks = hooks
        # The coordinator before may have known jobs that are not in the replica yet.
        self._recorded: dict[str, JobProgress] = {}
        self._listening = False

    def begin(self, progress_topic: TopicPort) -> bool:
        """Load the recorded progress and take all jobs; return whether the term goes on."""
        if not self._load(progress_topic):
            return False
        self._replica.add_listener(self._take)
        self._listening = True
        for job_id in tuple(self._replica.job_ids):
            self._take(job_id)
        return True

    def stop(self) -> None:
        """Take nothing more."""
        if self._listening:
            self._listening = False
            self._replica.remove_listener(self._take)

    def _load(self, topic: TopicPort) -> bool:
        while self._hooks.is_active():
            loaded = load_progress(topic)
            if not isinstance(loaded, ReadFailed):
                self._recorded = loaded
                return self._hooks.is_active()
            logger.warning("progress_unreadable", extra={"reason": loaded.reason})
            eventlet.sleep(LOAD_RETRY_MS / 1_000)
        return False

    def _take(self, job_id: str) -> None:
        """Take a job that was added or cancelled."""
        job = self._replica.job(job_id)
        if job is None:
            return
        if job_id not in self._book.jobs:
            if self._replica.recorded_state(job_id) in ENDED:
                if self._recorded.pop(job_id, None) is not None:
                    self._hooks.on_told_end(job_id)
                return
            progress = self._recorded.pop(job_id, JobProgress())
            if progress.state in ENDED:
                # The coordinator before recorded the end and did not get to tell it.
                self._hooks.on_state(job_id, progress.state)
                return
            self._book.add(job, progress)
        if self._replica.is_cancelled(job_id):
            logger.info("job_cancelled", extra={"request": job_id})
            self._hooks.on_cancelled(self._book.cancel(job_id))
        self._hooks.on_taken()
