"""One job as the coordinator tracks it: its tasks, what may start, and what an end changes."""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from hornbeamfold.batch import (
    ENDED,
    NOT_STARTED,
    BatchJob,
    JobProgress,
    JobState,
    RunEnd,
    RunName,
    TaskPhase,
    TaskProgress,
    TaskRef,
)


class TrackedJob:
    """The progress of a job that has not ended."""

    def __init__(self, job: BatchJob, progress: JobProgress) -> None:
        self._job = job
        self._state = progress.state
        self._tasks: dict[TaskRef, TaskProgress] = dict(progress.tasks)
        self._done: dict[tuple[int, int], int] = {}
        self._waiting: dict[tuple[int, int], set[int]] = {}
        self._ready_ms: dict[tuple[int, int], int] = {}
        self._avoid: dict[tuple[int, int], dict[str, None]] = {}
        self._finished_ms: dict[tuple[int, int], list[int]] = {}
        self._chain_ms = longest_chain_ms(job)
        self._tasks_left = 0
        for occurrence in range(job.occurrences):
            for index, step in enumerate(job.steps):
                self._index_step(occurrence, index, step.count)

    def _index_step(self, occurrence: int, step: int, count: int) -> None:
        done = 0
        waiting: set[int] = set()
        for index in range(count):
            phase = self.task(TaskRef(occurrence, step, index)).phase
            if phase is TaskPhase.DONE:
                done += 1
            elif phase is TaskPhase.WAITING:
                waiting.add(index)
        self._done[occurrence, step] = done
        self._waiting[occurrence, step] = waiting
        self._tasks_left += count - done

    @property
    def job(self) -> BatchJob:
        """The job as it was accepted."""
        return self._job

    @property
    def state(self) -> JobState:
        """The state of the job."""
        return self._state

    @property
    def ended(self) -> bool:
        """Whether the job is completed, failed or cancelled."""
        return self._state in ENDED

    @property
    def tasks(self) -> Mapping[TaskRef, TaskProgress]:
        """The tasks that have run."""
        return self._tasks

    @property
    def chain_ms(self) -> int:
        """The estimated length of the longest chain of steps."""
        return self._chain_ms

    def task(self, ref: TaskRef) -> TaskProgress:
        """Return how far one task is."""
        return self._tasks.get(ref, NOT_STARTED)

    def waiting_steps(self, unix_ms: int, early_ms: int) -> Iterable[tuple[int, int, set[int]]]:
        """Return occurrence, step and indexes of the tasks whose turn has come."""
        for occurrence in range(self._job.occurrences):
            if self._job.scheduled and unix_ms < self._job.due_ms(occurrence) - early_ms:
                break
            for index, step in enumerate(self._job.steps):
                waiting = self._waiting[occurrence, index]
                if not waiting:
                    continue
                if all(self.step_done(occurrence, each) for each in step.after):
                    yield occurrence, index, waiting

    def step_done(self, occurrence: int, step: int) -> bool:
        """Tell whether all tasks of a step are done."""
        return self._done[occurrence, step] == self._job.steps[step].count

    def ready_since(self, occurrence: int, step: int, now_ms: int) -> int:
        """Return since when the step is ready; the first call sets it."""
        return self._ready_ms.setdefault((occurrence, step), now_ms)

    def avoid(self, occurrence: int, step: int) -> frozenset[str]:
        """Return the workers on which tasks of this step failed or stood still."""
        return frozenset(self._avoid.get((occurrence, step), ()))

    def add_avoided(self, ref: TaskRef, worker_id: str) -> None:
        """Do not start tasks of this step on a worker again, if others can be had."""
        self._avoid.setdefault((ref.occurrence, ref.step), {})[worker_id] = None

    def add_finished(self, ref: TaskRef, took_ms: int) -> None:
        """Note how long a task of this step took from its order to its end."""
        self._finished_ms.setdefault((ref.occurrence, ref.step), []).append(took_ms)

    def finished_ms(self, occurrence: int, step: int) -> tuple[int, ...]:
        """Return how long the step's tasks that are done took."""
        return tuple(self._finished_ms.get((occurrence, step), ()))

    def begin(self, ref: TaskRef, run: int, worker_id: str, born_ms: int) -> TaskProgress:
        """Note that a run begins; return the task's progress."""
        task = replace(
            self.task(ref), phase=TaskPhase.ACTIVE, run=run, worker_id=worker_id, born_ms=born_ms
        )
        self._tasks[ref] = task
        self._waiting[ref.occurrence, ref.step].discard(ref.index)
        if self._state is JobState.PENDING:
            self._state = JobState.RUNNING
        return task

    def next_run(self, refs: Iterable[TaskRef]) -> int:
        """Return a run number that is higher than all that these tasks have had."""
        return max(self.task(ref).run for ref in refs) + 1

    def gang_refs(self, ref: TaskRef) -> tuple[TaskRef, ...]:
        """Return all members of the gang of a task, or only the task if it has none."""
        step = self._job.steps[ref.step]
        if not step.gang:
            return (ref,)
        return tuple(TaskRef(ref.occurrence, ref.step, index) for index in range(step.count))

    def finish(self, name: RunName, end: RunEnd, checkpoint: str) -> bool:
        """Note an end; return whether it was the end of the task's present run."""
        ref = name.task
        task = self.task(ref)
        if task.phase is not TaskPhase.ACTIVE or task.run != name.run:
            return False
        if end is RunEnd.DONE and not self._job.steps[ref.step].long_running:
            for member in self.gang_refs(ref):
                self._set_done(member)
        else:
            failures = task.failures + (end is RunEnd.FAILED)
            self._set_waiting(ref, replace(task, failures=failures))
            if checkpoint:
                self._keep_checkpoint(ref, checkpoint)
        self._update_state()
        return True

    def _set_done(self, ref: TaskRef) -> None:
        task = self.task(ref)
        if task.phase is TaskPhase.DONE:
            return
        self._tasks[ref] = replace(task, phase=TaskPhase.DONE, checkpoint="")
        self._waiting[ref.occurrence, ref.step].discard(ref.index)
        self._done[ref.occurrence, ref.step] += 1
        self._tasks_left -= 1

    def _set_waiting(self, ref: TaskRef, task: TaskProgress) -> None:
        self._tasks[ref] = replace(task, phase=TaskPhase.WAITING, worker_id="", born_ms=0)
        self._waiting[ref.occurrence, ref.step].add(ref.index)

    def _keep_checkpoint(self, ref: TaskRef, checkpoint: str) -> None:
        """Keep a checkpoint; the members of a gang resume from the same one."""
        for member in self.gang_refs(ref):
            self._tasks[member] = replace(self.task(member), checkpoint=checkpoint)

    def _update_state(self) -> None:
        if self.ended:
            return
        if self._tasks_left == 0:
            self._state = JobState.COMPLETED
            return
        for ref, task in self._tasks.items():
            if self._job.steps[ref.step].long_running:
                continue
            if task.failures >= self._job.max_attempts and task.phase is not TaskPhase.DONE:
                self._state = JobState.FAILED
                return

    def cancel(self) -> None:
        """Note that the job is cancelled, unless it has ended."""
        if not self.ended:
            self._state = JobState.CANCELLED


def longest_chain_ms(job: BatchJob) -> int:
    """Return the estimated length of the longest chain of steps that wait for one another."""
    lengths: list[int] = []
    for step in job.steps:
        before = max((lengths[each] for each in step.after if each < len(lengths)), default=0)
        lengths.append(before + step.estimate_ms)
    return max(lengths, default=0)
