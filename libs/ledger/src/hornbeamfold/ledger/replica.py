"""Local replica of the job records: the newest record of each key, applied in log order.

The progress of tasks is not part of it, because only the coordinator needs that.
"""

from collections.abc import Callable, Iterable

from hornbeamfold.batch import TERMINAL_STATES, BatchJob, JobState, KeyedRecord
from hornbeamfold.decoding import DecodeError
from hornbeamfold.ledger.codec import (
    CANCEL_PREFIX,
    COORDINATOR_KEY,
    JOB_PREFIX,
    STATE_PREFIX,
    CoordinatorRecord,
    decode_coordinator,
    decode_job,
    decode_state,
)
from hornbeamfold.telemetry import get_logger, report_unexpected

logger = get_logger("hornbeamfold.ledger.replica")

# Called with the id of a job that was added or cancelled.
JobListener = Callable[[str], None]


class Replica:
    """The jobs, their cancellations and states, and the coordinator, as recorded in the log."""

    def __init__(self) -> None:
        self._jobs: dict[str, BatchJob] = {}
        self._cancelled: set[str] = set()
        self._states: dict[str, JobState] = {}
        self._offsets: dict[str, int] = {}
        self._coordinator: CoordinatorRecord | None = None
        self._pending: dict[str, set[str]] = {}
        self._listeners: list[JobListener] = []

    @property
    def coordinator(self) -> CoordinatorRecord | None:
        """The coordinator with the highest epoch in the log."""
        return self._coordinator

    @property
    def job_ids(self) -> Iterable[str]:
        """The ids of all known jobs."""
        return self._jobs.keys()

    def add_listener(self, listener: JobListener) -> None:
        """Call this listener for each job that is added or cancelled from now on."""
        self._listeners.append(listener)

    def remove_listener(self, listener: JobListener) -> None:
        """Stop calling this listener."""
        self._listeners.remove(listener)

    def job(self, job_id: str) -> BatchJob | None:
        """Return a job, or None if it is unknown."""
        return self._jobs.get(job_id)

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether a cancellation of the job is recorded."""
        return job_id in self._cancelled

    def recorded_state(self, job_id: str) -> JobState:
        """Return the state that a coordinator recorded last, pending if there is none."""
        return self._states.get(job_id, JobState.PENDING)

    def state(self, job_id: str) -> JobState:
        """Return the state reported to callers; a cancellation shows before it takes effect."""
        state = self.recorded_state(job_id)
        if state not in TERMINAL_STATES and job_id in self._cancelled:
            return JobState.CANCELLED
        return state

    def pending_count(self, queue: str) -> int:
        """Return the number of pending jobs in a queue, without scheduled jobs."""
        return len(self._pending.get(queue, ()))

    def apply(self, records: Iterable[KeyedRecord]) -> bool:
        """Apply records; return whether the coordinator wrote any of them.

        Records that were already applied are skipped, and so are records that cannot be decoded.
        """
        from_coordinator = False
        for record in records:
            if record.offset <= self._offsets.get(record.key, -1):
                continue
            self._offsets[record.key] = record.offset
            try:
                from_coordinator |= self._apply(record)
            except DecodeError as error:
                logger.error(
                    "record_unreadable",
                    extra={"key": record.key, "offset": record.offset, "error": str(error)},
                )
        return from_coordinator

    def _apply(self, record: KeyedRecord) -> bool:
        kind, separator, job_id = record.key.partition("/")
        if record.key == COORDINATOR_KEY:
            coordinator = decode_coordinator(record.value)
            if self._coordinator is None or coordinator.epoch >= self._coordinator.epoch:
                self._coordinator = coordinator
            return True
        if kind + separator == STATE_PREFIX:
            self._states[job_id] = decode_state(record.value)
            self._update_pending(job_id)
            return True
        if kind + separator == JOB_PREFIX and job_id not in self._jobs:
            job = decode_job(record.value)
            if job.job_id != job_id:
                raise DecodeError("the record holds a job with another id")
            self._jobs[job_id] = job
            self._notify_listeners(job_id)
        if kind + separator == CANCEL_PREFIX and job_id not in self._cancelled:
            self._cancelled.add(job_id)
            self._notify_listeners(job_id)
        return False

    def _notify_listeners(self, job_id: str) -> None:
        self._update_pending(job_id)
        for listener in tuple(self._listeners):
            try:
                listener(job_id)
            except Exception:  # one job must not hide the later ones from the listener
                report_unexpected("job_listener", request=job_id)

    def _update_pending(self, job_id: str) -> None:
        job = self._jobs.get(job_id)
        if job is None:
            return
        waiting = self._pending.setdefault(job.queue, set())
        if self.state(job_id) is JobState.PENDING and not job.scheduled:
            waiting.add(job_id)
        else:
            waiting.discard(job_id)
