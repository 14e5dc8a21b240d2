"""How long the tasks of a step take on the workers that run them."""

from collections.abc import Callable
from dataclasses import dataclass
from math import log
from statistics import median

from hornbeamfold.batch import RunName

# The tasks of a step vary in length, so fewer siblings are no basis for comparison.
MIN_SIBLINGS = 3
# All tasks on one other worker may be slow because of it.
MIN_OTHER_WORKERS = 2
# The tasks of one step that are compared, those with the latest reports: each report goes through
# them for each of its runs.
MAX_SIBLINGS = 64

_StepKey = tuple[str, int, int]  # a job, an occurrence and a step


@dataclass(frozen=True)
class _Duration:
    """The logarithm of the duration (ms) of a task on a worker."""

    worker_id: str
    log_ms: float


def _step_key(name: RunName) -> _StepKey:
    return (name.job_id, name.task.occurrence, name.task.step)


class SiblingDurations:
    """The projected durations of the tasks of each step that were reported last."""

    def __init__(self) -> None:
        self._by_step: dict[_StepKey, dict[int, _Duration]] = {}

    def add(self, name: RunName, worker_id: str, duration_ms: float) -> None:
        """Set the projected duration of a run's task."""
        siblings = self._by_step.setdefault(_step_key(name), {})
        siblings.pop(name.task.index, None)
        siblings[name.task.index] = _Duration(worker_id, log(duration_ms))
        if len(siblings) > MAX_SIBLINGS:
            del siblings[next(iter(siblings))]

    def log_usual_ms(
        self, name: RunName, worker_id: str, log_speed: Callable[[str], float]
    ) -> float | None:
        """Return the logarithm of the duration (ms) of a task on a worker of usual speed.

        It is the median of the siblings on other workers than `worker_id`, corrected by what is
        known of the speeds of those, or None if they are too few.
        """
        others = [
            each
            for each in self._by_step.get(_step_key(name), {}).values()
            if each.worker_id != worker_id
        ]
        if len(others) < MIN_SIBLINGS:
            return None
        if len({each.worker_id for each in others}) < MIN_OTHER_WORKERS:
            return None
        return median(each.log_ms + log_speed(each.worker_id) for each in others)

    def retain(self, is_open: Callable[[str, int, int], bool]) -> None:
        """Forget all steps but the open ones, each given by a job, an occurrence and an index."""
        for key in tuple(self._by_step):
            if not is_open(*key):
                del self._by_step[key]
