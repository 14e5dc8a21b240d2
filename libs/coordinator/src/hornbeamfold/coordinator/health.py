"""Excludes workers from new tasks for a while when runs on them fail or stall."""

from dataclasses import dataclass, field

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
# A worker that refuses a task for want of room is not asked again in every pass until its entry in
# the registry shows that it has shrunk.
NO_ROOM_EXCLUSION_MS = 1_000


@dataclass(frozen=True)
class _FailureRecord:
    failed_jobs: frozenset[str] = field(default_factory=frozenset)
    excluded_until_ms: int = 0
    exclusions: int = 0


class WorkerHealth:
    """Tracks consecutive failures and exclusions by worker."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _FailureRecord] = {}

    def is_excluded(self, worker_id: str) -> bool:
        """Return whether a worker gets no new tasks at present."""
        record = self._records.get(worker_id)
        return record is not None and self._clock() < record.excluded_until_ms

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
        self._records[worker_id] = _FailureRecord(jobs, record.excluded_until_ms, record.exclusions)
        if len(jobs) >= FAILED_JOBS_BEFORE_EXCLUSION:
            self.exclude(worker_id, "failures")

    def exclude(self, worker_id: str, reason: str) -> None:
        """Exclude the worker from new tasks for a while, unless it already is."""
        record = self._records.get(worker_id, _FailureRecord())
        now = self._clock()
        if now < record.excluded_until_ms:
            return
        duration_ms = min(EXCLUSION_MS << record.exclusions, MAX_EXCLUSION_MS)
        self._set_aside(worker_id, reason, duration_ms, record.exclusions + 1)

    def refused_room(self, worker_id: str) -> None:
        """Exclude a worker that refused a task for want of room for a moment.

        It is no sign of ill health, so later exclusions do not get longer.
        """
        record = self._records.get(worker_id, _FailureRecord())
        if self._clock() >= record.excluded_until_ms:
            self._set_aside(worker_id, "no room", NO_ROOM_EXCLUSION_MS, record.exclusions)

    def _set_aside(self, worker_id: str, reason: str, duration_ms: int, exclusions: int) -> None:
        record = self._records.get(worker_id, _FailureRecord())
        until_ms = self._clock() + duration_ms
        self._records[worker_id] = _FailureRecord(record.failed_jobs, until_ms, exclusions)
        _exclusions(1, reason=reason)
        logger.warning(
            "worker_set_aside", extra={"worker": worker_id, "reason": reason, "for_ms": duration_ms}
        )
