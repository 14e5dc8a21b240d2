"""The current rate of progress of each run, from successive reports."""

from collections.abc import Container
from dataclasses import dataclass

from hornbeamfold.batch import RunName, RunningTask

# Reports are delayed by up to some tens of milliseconds, so shorter intervals are too uncertain.
MIN_INTERVAL_MS = 700
MIN_PROGRESS_PERCENT = 1.0


@dataclass(frozen=True)
class _Mark:
    """The progress of a run at an earlier report."""

    at_ms: int
    percent: float


class ProgressRates:
    """Measures the progress between two reports of a run that are far enough apart."""

    def __init__(self) -> None:
        self._marks: dict[RunName, _Mark] = {}

    def duration_ms(self, task: RunningTask, now_ms: int) -> float | None:
        """Return how long the whole task would take at its latest rate; None if not yet known."""
        mark = self._marks.get(task.name)
        if mark is None or task.percent < mark.percent:
            self._marks[task.name] = _Mark(now_ms, task.percent)
            return None
        elapsed_ms = now_ms - mark.at_ms
        progress = task.percent - mark.percent
        if elapsed_ms < MIN_INTERVAL_MS or progress < MIN_PROGRESS_PERCENT:
            return None
        self._marks[task.name] = _Mark(now_ms, task.percent)
        return elapsed_ms * 100 / progress

    def retain(self, runs: Container[RunName]) -> None:
        """Forget all runs but these."""
        for name in tuple(self._marks):
            if name not in runs:
                del self._marks[name]
