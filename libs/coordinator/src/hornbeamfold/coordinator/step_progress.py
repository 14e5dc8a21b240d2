"""Which tasks of a job wait and which are done, for any number of occurrences of its steps.

A job may have many occurrences. Those of which no task has run and those that are done take two
bytes for each step; only steps with some tasks begun or done have entries of their own.
"""

from collections.abc import Collection, Iterator

from hornbeamfold.batch import BatchJob, TaskRef

_NO = b"\0"
_YES = b"\1"

StepKey = tuple[int, int]  # an occurrence and a step


class StepProgress:
    """The waiting and done tasks of the steps of a job."""

    def __init__(self, job: BatchJob) -> None:
        self._counts = tuple(step.count for step in job.steps)
        self._after = tuple(step.after for step in job.steps)
        self._dependents: tuple[list[int], ...] = tuple([] for _ in job.steps)
        for index, step in enumerate(job.steps):
            for earlier in set(step.after):
                self._dependents[earlier].append(index)
        # Flags for each occurrence of each step. A step can be offered if it has waiting tasks and
        # the steps that it depends on are done.
        self._offerable = tuple(
            bytearray((_NO if step.after else _YES) * job.occurrences) for step in job.steps
        )
        self._done = tuple(bytearray(job.occurrences) for _ in job.steps)
        # The waiting tasks and the number of done tasks of each step that has begun.
        self._waiting: dict[StepKey, set[int]] = {}
        self._done_counts: dict[StepKey, int] = {}
        self._unfinished_tasks = sum(self._counts) * job.occurrences

    @property
    def unfinished_tasks(self) -> int:
        """The number of tasks that are not done."""
        return self._unfinished_tasks

    def is_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step are done."""
        return bool(self._done[step][occurrence])

    def waiting(self, occurrence: int, step: int) -> Collection[int]:
        """Return the indexes of the tasks of a step that wait to be started."""
        if self.is_done(occurrence, step):
            return ()
        known = self._waiting.get((occurrence, step))
        return range(self._counts[step]) if known is None else known

    def offerable(self, step: int, first: int, end: int) -> Iterator[int]:
        """Yield, from `first` and before `end`, the occurrences of a step that can be offered."""
        flags = self._offerable[step]
        found = flags.find(_YES, first, end)
        while found >= 0:
            yield found
            found = flags.find(_YES, found + 1, end)

    def begin(self, ref: TaskRef) -> None:
        """Record that a run of a task begins."""
        waiting = self._begun(ref)
        waiting.discard(ref.index)
        if not waiting:
            self._offerable[ref.step][ref.occurrence] = False

    def wait(self, ref: TaskRef) -> None:
        """Record that a task waits to be started again."""
        self._begun(ref).add(ref.index)
        self._update_offerable(ref.occurrence, ref.step)

    def finish(self, ref: TaskRef) -> bool:
        """Record that a task is done, which it was not before; return whether its step is."""
        key = (ref.occurrence, ref.step)
        self.begin(ref)
        self._unfinished_tasks -= 1
        self._done_counts[key] += 1
        if self._done_counts[key] < self._counts[ref.step]:
            return False
        self._done[ref.step][ref.occurrence] = True
        del self._waiting[key]
        del self._done_counts[key]
        for dependent in self._dependents[ref.step]:
            self._update_offerable(ref.occurrence, dependent)
        return True

    def _begun(self, ref: TaskRef) -> set[int]:
        """Return the waiting tasks of a step of which a task has begun."""
        key = (ref.occurrence, ref.step)
        if key not in self._waiting:
            self._waiting[key] = set(range(self._counts[ref.step]))
            self._done_counts[key] = 0
        return self._waiting[key]

    def _update_offerable(self, occurrence: int, step: int) -> None:
        self._offerable[step][occurrence] = bool(self.waiting(occurrence, step)) and all(
            self.is_done(occurrence, earlier) for earlier in self._after[step]
        )
