"""How long ago this instance saw jobs placed and stopped; log times would need equal clocks."""

from collections.abc import Iterable

from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.follower import LogFollower, affected_jobs
from hornbeamfold.model.events import Applied
from hornbeamfold.model.work import JobState


class JobAges:
    """When this instance first saw the present attempt and phase of each active job."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._placed: dict[tuple[tuple[str, str], int], int] = {}
        self._stopping: dict[tuple[tuple[str, str], int], int] = {}

    def folded(self, follower: LogFollower, applied: Iterable[Applied]) -> None:
        """Note the jobs that a folded entry touched."""
        now = self._clock()
        for key in affected_jobs(applied):
            job = follower.view.jobs.get(key)
            if job is None:
                continue
            mark = (key, job.attempt)
            if job.state == JobState.PLACED:
                self._placed.setdefault(mark, now)
                continue
            if job.state == JobState.STOPPING:
                self._stopping.setdefault(mark, now)
                continue
            self._placed.pop(mark, None)
            self._stopping.pop(mark, None)
            self._stopping.pop((key, job.attempt - 1), None)
            self._placed.pop((key, job.attempt - 1), None)

    def placed_age(self, key: tuple[str, str], attempt: int) -> int:
        """Return how long ago the placement was first seen; now counts if it was not."""
        return self._clock() - self._placed.setdefault((key, attempt), self._clock())

    def stopping_age(self, key: tuple[str, str], attempt: int) -> int:
        """Return how long ago the stop was first seen; now counts if it was not."""
        return self._clock() - self._stopping.setdefault((key, attempt), self._clock())
