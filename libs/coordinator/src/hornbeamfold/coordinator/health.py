"""Which workers are set aside because what starts there fails or stands still."""

from dataclasses import dataclass, field

from hornbeamfold.batch import Clock
from hornbeamfold.telemetry import counter, get_logger

logger = get_logger("hornbeamfold.coordinator.health")
_set_aside = counter("hornbeamfold_workers_set_aside", "Workers set aside by reason.")

# Failures of so many different jobs in a row are the worker's. One may be the job's own.
FAILURES_IN_A_ROW = 2
# A worker is tried again after this time, which doubles with each further failure.
ASIDE_MS = 4_000
MAX_ASIDE_MS = 16_000


@dataclass(frozen=True)
class _Record:
    failed_jobs: frozenset[str] = field(default_factory=frozenset)
    until_ms: int = 0
    times: int = 0


class WorkerHealth:
    """Counts failures in a row by worker."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = {}

    def is_set_aside(self, worker_id: str) -> bool:
        """Tell whether a worker gets no new tasks now."""
        record = self._records.get(worker_id)
        return record is not None and self._clock() < record.until_ms

    def succeeded(self, worker_id: str) -> None:
        """Note that a run on the worker is done."""
        self._records.pop(worker_id, None)

    def failed(self, worker_id: str, job_id: str) -> None:
        """Note that a run of a job failed on the worker."""
        record = self._records.get(worker_id, _Record())
        jobs = record.failed_jobs | {job_id}
        self._records[worker_id] = _Record(jobs, record.until_ms, record.times)
        if len(jobs) >= FAILURES_IN_A_ROW:
            self.set_aside(worker_id, "failures")

    def set_aside(self, worker_id: str, reason: str) -> None:
        """Give the worker no new tasks for a while."""
        record = self._records.get(worker_id, _Record())
        now = self._clock()
        if now < record.until_ms:
            return
        pause = min(ASIDE_MS << record.times, MAX_ASIDE_MS)
        self._records[worker_id] = _Record(record.failed_jobs, now + pause, record.times + 1)
        _set_aside(1, reason=reason)
        logger.warning(
            "worker_set_aside", extra={"worker": worker_id, "reason": reason, "for_ms": pause}
        )
