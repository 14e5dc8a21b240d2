"""Divides the tasks of a job into parts, each of which has a progress record of its own.

A record must stay within the store's limit however many tasks a job has, and a change of one task
must not cost a record of all.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import accumulate

from hornbeamfold.batch import BatchJob, TaskRef

# A task takes 50 to 150 bytes of a record, and its checkpoint.
TASKS_PER_PART = 256


@dataclass(frozen=True)
class TaskParts:
    """The parts of a job; its tasks are numbered by occurrence, step and index.

    `step_begins` has the number of each step's first task in the first occurrence, and then the
    number of tasks of an occurrence.
    """

    step_begins: tuple[int, ...]
    occurrences: int

    @property
    def count(self) -> int:
        """The number of parts."""
        return -(-self.step_begins[-1] * self.occurrences // TASKS_PER_PART)

    def part_of(self, ref: TaskRef) -> int:
        """Return the part that a task belongs to."""
        number = ref.occurrence * self.step_begins[-1] + self.step_begins[ref.step] + ref.index
        return number // TASKS_PER_PART

    def tasks_of(self, part: int) -> Iterator[TaskRef]:
        """Yield the tasks of a part."""
        tasks = self.step_begins[-1]
        end = min((part + 1) * TASKS_PER_PART, tasks * self.occurrences)
        step = 0
        for number in range(part * TASKS_PER_PART, end):
            occurrence, in_occurrence = divmod(number, tasks)
            if in_occurrence < self.step_begins[step]:
                step = 0
            while in_occurrence >= self.step_begins[step + 1]:
                step += 1
            yield TaskRef(occurrence, step, in_occurrence - self.step_begins[step])


def task_parts(job: BatchJob) -> TaskParts:
    """Return the parts of a job."""
    begins = tuple(accumulate((step.count for step in job.steps), initial=0))
    return TaskParts(begins, job.occurrences)
