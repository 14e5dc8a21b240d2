"""Measures the ages of placements and stops on the local clock.

Ages computed from log times would require synchronised clocks.
"""

from collections.abc import Iterable

from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.follower import LogFollower, affected_jobs
from hornbeamfold.model.events import Applied
from hornbeamfold.model.work import JobState


class JobAges:
    """Records when this instance first saw each active job attempt placed or stopping."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._placed: dict[tuple[tuple[str, str], int], int] = {}
        self._stopping: dict[tuple[tuple[str, str], int], int] = {}

    def on_applied(self, follower: LogFollower, applied: Iterable[Applied]) -> None:
        """Update the jobs that are affected by an applied entry."""
        now = self._clock()
        for key in affected_jobs(applied):
            job = follower.view.jobs.get(key)
            if job is None:
                continue
            attempt_key = (key, job.attempt)
            if job.state == JobState.PLACED:
                self._placed.setdefault(attempt_key, now)
                continue
            if job.state == JobState.STOPPING:
                self._stopping.setdefault(attempt_key, now)
                continue
            self._placed.pop(attempt_key, None)
            self._stopping.pop(attempt_key, None)
            self._stopping.pop((key, job.attempt - 1), None)
            self._placed.pop((key, job.attempt - 1), None)

    def placed_age(self, key: tuple[str, str], attempt: int) -> int:
        """Return how long ago the placement was first seen; this call counts if it was not yet."""
        return self._clock() - self._placed.setdefault((key, attempt), self._clock())

    def stopping_age(self, key: tuple[str, str], attempt: int) -> int:
        """Return how long ago the stop was first seen; this call counts if it was not yet."""
        return self._clock() - self._stopping.setdefault((key, attempt), self._clock())
