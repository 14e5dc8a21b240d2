"""Excludes workers from new tasks for a while when runs on them fail or stall."""

from dataclasses import dataclass, field, replace

from hornbeamfold.batch import Clock
from hornbeamfold.telemetry import counter, get_logger

logger = get_logger("hornbeamfold.coordinator.health")
_exclusions = counter("hornbeamfold_workers_set_aside", "Workers set aside by reason.")

# Consecutive failures of this many different jobs are attributed to the worker. A single one may be
# caused by the job.
FAILED_JOBS_BEFORE_EXCLUSION = 2
# The duration of the first exclusion, which doubles with each further one up to the maximum.
EXCLUSION_MS = 4_000
MAX_EXCLUSION_MS = 16_000
# A worker that refuses a task is not asked again in every pass, not even as a last resort.
REFUSAL_PAUSE_MS = 1_000


@dataclass(frozen=True)
class _FailureRecord:
    failed_jobs: frozenset[str] = field(default_factory=frozenset)
    excluded_until_ms: int = 0
    exclusions: int = 0
    refused_ms: int | None = None


class WorkerHealth:
    """Tracks consecutive failures and exclusions by worker."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _FailureRecord] = {}

    def is_excluded(self, worker_id: str) -> bool:
        """Return whether a worker gets no new tasks at present."""
        record = self._records.get(worker_id)
        return record is not None and self._clock() < record.excluded_until_ms

    def has_refused(self, worker_id: str) -> bool:
        """Return whether a worker refused a task a moment ago."""
        record = self._records.get(worker_id)
        if record is None or record.refused_ms is None:
            return False
        return self._clock() - record.refused_ms < REFUSAL_PAUSE_MS

    @property
    def excluded_count(self) -> int:
        """The number of workers that get no new tasks at present."""
        now = self._clock()
        return sum(now < record.excluded_until_ms for record in self._records.values())

    def succeeded(self, worker_id: str) -> None:
        """Record that a run on the worker succeeded."""
        self._records.pop(worker_id, None)

    def failed(self, worker_id: str, job_id: str) -> None:
        """Record that a run of a job failed on the worker."""
        record = self._records.get(worker_id, _FailureRecord())
        jobs = record.failed_jobs | {job_id}
        self._records[worker_id] = replace(record, failed_jobs=jobs)
        if len(jobs) >= FAILED_JOBS_BEFORE_EXCLUSION:
            self.exclude(worker_id, "failures")

    def exclude(self, worker_id: str, reason: str) -> None:
        """Exclude the worker from new tasks for a while, unless it already is."""
        record = self._records.get(worker_id, _FailureRecord())
        now = self._clock()
        if now < record.excluded_until_ms:
            return
        duration_ms = min(EXCLUSION_MS << record.exclusions, MAX_EXCLUSION_MS)
        self._records[worker_id] = replace(
            record, excluded_until_ms=now + duration_ms, exclusions=record.exclusions + 1
        )
        _exclusions(1, reason=reason)
        logger.warning(
            "worker_set_aside", extra={"worker": worker_id, "reason": reason, "for_ms": duration_ms}
        )

    def refused(self, worker_id: str) -> None:
        """Record that the worker refused a task, for whatever reason."""
        record = self._records.get(worker_id, _FailureRecord())
        self._records[worker_id] = replace(record, refused_ms=self._clock())
