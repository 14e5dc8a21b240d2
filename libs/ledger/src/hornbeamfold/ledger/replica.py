"""What an instance knows of all jobs: the newest record of each key, applied in log order.

How far the tasks of a job are is not part of it: only the coordinator needs that.
"""

from collections.abc import Callable, Iterable

import msgspec

from hornbeamfold.batch import TERMINAL_STATES, BatchJob, JobState, KeyedRecord
from hornbeamfold.ledger.codec import (
    CANCEL,
    COORDINATOR,
    JOB,
    STATE,
    CoordinatorRecord,
    decode_coordinator,
    decode_job,
    decode_state,
)
from hornbeamfold.telemetry import get_logger

logger = get_logger("hornbeamfold.ledger.replica")

# Told the id of a job that was added or cancelled.
JobListener = Callable[[str], None]


class Replica:
    """The jobs, their cancellations and states, and the coordinator, as the log has them."""

    def __init__(self) -> None:
        self._jobs: dict[str, BatchJob] = {}
        self._cancelled: set[str] = set()
        self._states: dict[str, JobState] = {}
        self._offsets: dict[str, int] = {}
        self._coordinator: CoordinatorRecord | None = None
        self._waiting: dict[str, set[str]] = {}
        self._listeners: list[JobListener] = []

    @property
    def coordinator(self) -> CoordinatorRecord | None:
        """The last coordinator named in the log."""
        return self._coordinator

    @property
    def job_ids(self) -> Iterable[str]:
        """The ids of all known jobs."""
        return self._jobs.keys()

    def add_listener(self, listener: JobListener) -> None:
        """Tell this listener of each job that is added or cancelled from now on."""
        self._listeners.append(listener)

    def remove_listener(self, listener: JobListener) -> None:
        """Tell this listener nothing more."""
        self._listeners.remove(listener)

    def job(self, job_id: str) -> BatchJob | None:
        """Return a job, if it is known."""
        return self._jobs.get(job_id)

    def is_cancelled(self, job_id: str) -> bool:
        """Tell whether a cancellation of the job is recorded."""
        return job_id in self._cancelled

    def recorded_state(self, job_id: str) -> JobState:
        """Return the state that a coordinator told last."""
        return self._states.get(job_id, JobState.PENDING)

    def state(self, job_id: str) -> JobState:
        """Return the state that callers see; a cancellation shows before it is carried out."""
        state = self.recorded_state(job_id)
        if state not in TERMINAL_STATES and job_id in self._cancelled:
            return JobState.CANCELLED
        return state

    def waiting(self, queue: str) -> int:
        """Return how many of the queue's jobs are pending, without those that run at set times."""
        return len(self._waiting.get(queue, ()))

    def apply(self, records: Iterable[KeyedRecord]) -> bool:
        """Apply records; return whether the coordinator wrote any of them.

        Records that were applied before are passed over, and so are records that cannot be read.
        """
        from_coordinator = False
        for record in records:
            if record.offset <= self._offsets.get(record.key, -1):
                continue
            self._offsets[record.key] = record.offset
            try:
                from_coordinator |= self._apply(record)
            except msgspec.MsgspecError as error:
                logger.error(
                    "record_unreadable",
                    extra={"key": record.key, "offset": record.offset, "error": str(error)},
                )
        return from_coordinator

    def _apply(self, record: KeyedRecord) -> bool:
        kind, slash, job_id = record.key.partition("/")
        if record.key == COORDINATOR:
            coordinator = decode_coordinator(record.value)
            if self._coordinator is None or coordinator.epoch >= self._coordinator.epoch:
                self._coordinator = coordinator
            return True
        if kind + slash == STATE:
            self._states[job_id] = decode_state(record.value)
            self._update_waiting(job_id)
            return True
        if kind + slash == JOB and job_id not in self._jobs:
            self._jobs[job_id] = decode_job(record.value)
            self._changed(job_id)
        if kind + slash == CANCEL and job_id not in self._cancelled:
            self._cancelled.add(job_id)
            self._changed(job_id)
        return False

    def _changed(self, job_id: str) -> None:
        self._update_waiting(job_id)
        for listener in tuple(self._listeners):
            listener(job_id)

    def _update_waiting(self, job_id: str) -> None:
        job = self._jobs.get(job_id)
        if job is None:
            return
        waiting = self._waiting.setdefault(job.queue, set())
        if self.state(job_id) is JobState.PENDING and not job.scheduled:
            waiting.add(job_id)
        else:
            waiting.discard(job_id)
