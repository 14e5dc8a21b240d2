"""Tells a crash of a single worker from an event that takes many workers at once."""

from collections import deque
from dataclasses import dataclass

from hornbeamfold.batch import Clock

# The workers of a rack, a zone or a cut crash within this time, or are found to within it.
WINDOW_MS = 5_000
# The loss of more workers within that time, beside those that a task was on, is not its fault.
MAX_OTHER_WORKERS = 2

# A task, or a gang as a whole: the job, the occurrence, the step, and the index if it is no gang.
SuspectKey = tuple[str | int, ...]


@dataclass(frozen=True)
class _Crash:
    at_ms: int
    worker_id: str
    suspects: frozenset[SuspectKey]


class CrashHistory:
    """The workers that crashed lately, with the tasks that ran on them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._crashes: deque[_Crash] = deque()

    def record(self, worker_id: str, suspects: frozenset[SuspectKey]) -> None:
        """Record that a worker has crashed; calls for several of its runs count once."""
        now = self._clock()
        while self._crashes and now - self._crashes[0].at_ms > WINDOW_MS:
            self._crashes.popleft()
        if all(crash.worker_id != worker_id for crash in self._crashes):
            self._crashes.append(_Crash(now, worker_id, suspects))

    def is_widespread(self, suspect: SuspectKey) -> bool:
        """Return whether more workers crashed lately than a task accounts for."""
        now = self._clock()
        others = sum(
            now - crash.at_ms <= WINDOW_MS and suspect not in crash.suspects
            for crash in self._crashes
        )
        return others > MAX_OTHER_WORKERS
