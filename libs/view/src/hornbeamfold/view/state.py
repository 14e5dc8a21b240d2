"""The state folded from the log, and its indexes."""

from collections import OrderedDict
from heapq import heappop, heappush
from typing import TypeVar

from hornbeamfold.model import (
    ACTIVE_JOBS,
    ENDED_JOBS,
    AvailabilityZone,
    Claim,
    ClaimState,
    Job,
    JobState,
    MemberState,
    Organisation,
    Worker,
)
from hornbeamfold.model.timing import CLAIM_RETENTION_MS
from hornbeamfold.view.capacity import Capacities, EntityKey
from hornbeamfold.view.estimates import Estimates
from hornbeamfold.view.reservations import Reservations

# Ended jobs remain visible to their callers for this long, in log time.
ENDED_JOB_RETENTION_MS = 3_600_000
# A writer retries a record for minutes at most, so the last sequence number of a writer that has
# been silent for this long is no longer needed to detect duplicates.
WRITER_RETENTION_MS = 6 * 3_600_000

T = TypeVar("T", Job, Claim)

# A job that enters one of these states moves to the end of the jobs.
REORDERED_JOBS = frozenset({JobState.QUEUED, JobState.PLACED})
TRANSITIONAL_JOBS = frozenset({JobState.PLACED, JobState.STOPPING})


def is_partial(job: Job) -> bool:
    """Return whether only some members of a gang are running while it starts or stops.

    The members of a running gang may finish at different times, so it never counts as partial.
    """
    if job.state not in TRANSITIONAL_JOBS:
        return False
    running = sum(status.state is MemberState.RUNNING for status in job.members)
    return 0 < running < len(job.members)


class State:
    """Everything that decides the results of later events; only the fold functions change it.

    The order of each dict is part of the state: it is the same for all readers of the log, and
    the expiry of ended jobs, reservations and writers relies on it.
    """

    def __init__(self) -> None:
        self.offset = 0
        self.at_ms = 0
        self.configuration_offset = -1
        self.workers_version = 0
        self.organisations: dict[str, Organisation] = {}
        self.zones: dict[str, AvailabilityZone] = {}
        self.workers: dict[str, Worker] = {}
        self.draining: dict[str, None] = {}
        self.jobs: dict[EntityKey, Job] = {}
        self.claims: dict[EntityKey, Claim] = {}
        # Log time at which each ended job ended, oldest first. An OrderedDict finds its first
        # item in constant time even after many items were removed from the front; a dict does not.
        self.ended: OrderedDict[EntityKey, int] = OrderedDict()
        # Last sequence number of each writer with its log time, least recently active first.
        self.writers: OrderedDict[str, tuple[int, int]] = OrderedDict()
        # Log time since which each partial gang has been partial.
        self.partial_since: dict[EntityKey, int] = {}
        self.capacities = Capacities()
        self.reservations = Reservations()
        self.estimates = Estimates()
        # Indexes derived from the above.
        self.queued: dict[EntityKey, Job] = {}
        self.active: dict[EntityKey, Job] = {}
        self.transitional: dict[EntityKey, Job] = {}
        self.open_claims: dict[EntityKey, Claim] = {}
        self._claim_expiry: list[tuple[int, EntityKey]] = []

    @property
    def folding_offset(self) -> int:
        """The offset of the entry that is being folded."""
        return self.offset - 1

    def is_eligible(self, worker: Worker) -> bool:
        """Return whether new work may be placed on a worker."""
        in_service = self.zones[worker.availability_zone].in_service
        return in_service and worker.name not in self.draining

    def put_job(self, job: Job) -> None:
        """Add or replace a job and update the indexes by job state."""
        key = job.key
        before = self.jobs.get(key)
        if before is not None and before.state is not job.state and job.state in REORDERED_JOBS:
            # Keeps the jobs in the order in which they were queued or placed, so that the indexes
            # of a restored view have the same order.
            del self.jobs[key]
        self.jobs[key] = job
        _index(self.queued, job, job.state is JobState.QUEUED)
        _index(self.active, job, job.state in ACTIVE_JOBS)
        _index(self.transitional, job, job.state in TRANSITIONAL_JOBS)
        if is_partial(job):
            self.partial_since.setdefault(key, self.at_ms)
        else:
            self.partial_since.pop(key, None)
        if job.state in ENDED_JOBS and key not in self.ended:
            self.ended[key] = self.at_ms

    def put_claim(self, claim: Claim) -> None:
        """Add or replace a claim and update the index of open claims."""
        before = self.claims.get(claim.key)
        self.claims[claim.key] = claim
        _index(self.open_claims, claim, claim.state is ClaimState.OPEN)
        if before is None or before.deadline_ms != claim.deadline_ms:
            heappush(self._claim_expiry, (claim.deadline_ms + CLAIM_RETENTION_MS, claim.key))

    def accept_sequence(self, writer: str, seq: int) -> bool:
        """Record the sequence number of a writer's record; return whether the record is new."""
        last = self.writers.get(writer)
        if last is not None and seq <= last[0]:
            return False
        self.writers[writer] = (seq, self.at_ms)
        self.writers.move_to_end(writer)
        return True

    def expire(self) -> None:
        """Drop everything that has expired by log time."""
        self.reservations.expire(self.at_ms)
        self._expire_claims()
        while self.ended:
            key = next(iter(self.ended))
            if self.ended[key] + ENDED_JOB_RETENTION_MS > self.at_ms:
                break
            del self.ended[key]
            del self.jobs[key]
        while self.writers:
            writer = next(iter(self.writers))
            if self.writers[writer][1] + WRITER_RETENTION_MS > self.at_ms:
                break
            del self.writers[writer]

    def _expire_claims(self) -> None:
        while self._claim_expiry and self._claim_expiry[0][0] <= self.at_ms:
            _, key = heappop(self._claim_expiry)
            claim = self.claims.get(key)
            # A request that was claimed again with a later deadline has another heap entry.
            if claim is not None and claim.deadline_ms + CLAIM_RETENTION_MS <= self.at_ms:
                del self.claims[key]
                self.open_claims.pop(key, None)


def _index(index: dict[EntityKey, T], item: T, belongs: bool) -> None:
    if belongs:
        index[item.key] = item
        return
    index.pop(item.key, None)
