"""Which jobs are beyond the rate at which their organisation is owed service.

The rate is that of a token bucket over the times of submission, which are recorded with the jobs:
every coordinator finds the same.
"""

from bisect import bisect_left, insort
from collections.abc import Mapping

from hornbeamfold.batch import BatchJob, Organisation

# An organisation that has sent little may send the jobs of this time at once.
OWED_BURST_S = 5

# The time of submission and the id of a job.
_Submission = tuple[int, str]


class OwedRates:
    """The jobs of all organisations in the order of their submission, ended ones included."""

    def __init__(self) -> None:
        self._organisations: dict[str, _OwedRate] = {}

    def add(self, job: BatchJob) -> None:
        """Add a job, unless it is known."""
        owed = self._organisations.setdefault(job.organisation, _OwedRate())
        owed.add((job.submitted_ms, job.job_id))

    def beyond_owed(self, job: BatchJob, organisations: Mapping[str, Organisation]) -> bool:
        """Return whether a job is beyond the rate of its organisation; never without a weight."""
        organisation = organisations.get(job.organisation)
        owed = self._organisations.get(job.organisation)
        if organisation is None or organisation.weight is None or owed is None:
            return False
        return owed.is_beyond((job.submitted_ms, job.job_id), organisation.weight)


class _OwedRate:
    """The jobs of one organisation, and the tokens that were left after each of the first ones."""

    def __init__(self) -> None:
        self._submissions: list[_Submission] = []
        self._levels: list[float] = []
        self._beyond: set[_Submission] = set()
        self._rate = 0.0

    def add(self, submission: _Submission) -> None:
        """Add a job; what is known of later ones is found anew."""
        index = bisect_left(self._submissions, submission)
        if index < len(self._submissions) and self._submissions[index] == submission:
            return
        insort(self._submissions, submission)
        self._forget_from(index)

    def _forget_from(self, index: int) -> None:
        self._beyond.difference_update(self._submissions[index:])
        del self._levels[index:]

    def is_beyond(self, submission: _Submission, rate: float) -> bool:
        """Return whether a job is beyond a rate in jobs a second."""
        if rate != self._rate:
            self._rate = rate
            self._forget_from(0)
        for index in range(len(self._levels), len(self._submissions)):
            self._count(index)
        return submission in self._beyond

    def _count(self, index: int) -> None:
        """Take a token for the job at an index, or note that there is none."""
        most = max(1.0, self._rate * OWED_BURST_S)
        level = most
        if index:
            passed_ms = self._submissions[index][0] - self._submissions[index - 1][0]
            level = min(most, self._levels[index - 1] + self._rate * passed_ms / 1_000)
        if level >= 1:
            self._levels.append(level - 1)
            return
        self._levels.append(level)
        self._beyond.add(self._submissions[index])
