"""The state of a tracked job: task progress, startable tasks and the effects of ended runs."""

from collections.abc import Collection, Iterable, Iterator, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import replace
from itertools import islice

from hornbeamfold.batch import (
    DONE,
    NOT_STARTED,
    TERMINAL_STATES,
    BatchJob,
    JobProgress,
    JobState,
    RunEnd,
    RunName,
    TaskPhase,
    TaskProgress,
    TaskRef,
    WorkerLoss,
)
from hornbeamfold.coordinator.crash_counts import (
    is_given_up,
    must_run_alone,
    with_crash,
    with_loss,
    without_crashes,
    without_loss,
)
from hornbeamfold.coordinator.step_progress import StepKey, StepProgress
from hornbeamfold.ledger import task_parts

# Callers have given a job up that takes this many times as long as its objective.
EXPIRY_FACTOR = 3
# The occurrences of one step that a pass may place, and the tasks of one or several occurrences.
# More are not started at once, and a pass must not take longer because many wait.
MAX_OFFERED_OCCURRENCES = 64
MAX_OFFERED_TASKS = 512
# A long-running task sees many workers crash. A run that has lasted for this long clears its task.
CLEARING_RUN_MS = 60_000

StartableStep = tuple[int, int, Collection[int]]  # occurrence, step and waiting tasks


class TrackedJob:
    """The progress of a job that has not ended."""

    def __init__(self, job: BatchJob, progress: JobProgress) -> None:
        self._job = job
        self._state = progress.state
        self._steps = StepProgress(job)
        # The tasks that were started, of steps that are not done. The entries of a step are removed
        # from all of these when it is done.
        self._tasks: dict[TaskRef, TaskProgress] = {}
        self._ready_ms: dict[StepKey, int] = {}
        self._run_end_ms: dict[TaskRef, int] = {}
        self._last_run_end_ms = 0
        self._avoided_workers: dict[StepKey, dict[str, None]] = {}
        self._durations_ms: dict[StepKey, list[int]] = {}
        # The tasks that must run alone, and since when each of them has waited for that.
        self._isolated: dict[StepKey, set[int]] = {}
        self._isolated_since_ms: dict[TaskRef, int] = {}
        # Where the next pass begins to offer steps, if the last one left some out.
        self._next_offered_step = 0
        self._critical_path_ms = estimate_critical_path_ms(job)
        self._parts = task_parts(job)
        self._recorded_state = progress.state
        # Parts that the store does not have yet, and later those that have changed.
        self._changed_parts = {self._parts.part_of(ref) for ref in progress.tasks} - progress.parts
        for ref, task in progress.tasks.items():
            self._load(ref, task)

    def _load(self, ref: TaskRef, task: TaskProgress) -> None:
        """Add the recorded progress of a task."""
        self._tasks[ref] = task
        if task.phase is TaskPhase.DONE:
            self._finish_task(ref)
            return
        if must_run_alone(task):
            self._isolated.setdefault((ref.occurrence, ref.step), set()).add(ref.index)
        if task.phase is TaskPhase.ACTIVE:
            self._steps.begin(ref)

    def _finish_task(self, ref: TaskRef) -> None:
        """Record that a task is done, and drop what is kept of its step if all are."""
        if not self._steps.finish(ref):
            return
        key = (ref.occurrence, ref.step)
        for kept in (self._ready_ms, self._avoided_workers, self._durations_ms, self._isolated):
            kept.pop(key, None)
        for index in range(self._job.steps[ref.step].count):
            member = TaskRef(*key, index)
            self._tasks.pop(member, None)
            self._run_end_ms.pop(member, None)
            self._isolated_since_ms.pop(member, None)

    @property
    def job(self) -> BatchJob:
        """The accepted job."""
        return self._job

    @property
    def state(self) -> JobState:
        """The state of the job."""
        return self._state

    @property
    def ended(self) -> bool:
        """Whether the job is completed, failed or cancelled."""
        return self._state in TERMINAL_STATES

    @property
    def tasks(self) -> Mapping[TaskRef, TaskProgress]:
        """The progress of the tasks for which a run was recorded, of steps that are not done."""
        return self._tasks

    @property
    def critical_path_ms(self) -> int:
        """The estimated duration of the critical path of steps."""
        return self._critical_path_ms

    @property
    def objective_ms(self) -> float:
        """The time from the start of an occurrence to its end that callers expect."""
        return self._job.stretch * self._critical_path_ms + self._job.slack_ms

    @property
    def expiry_ms(self) -> float:
        """The time from the start of an occurrence after which callers have given it up."""
        return EXPIRY_FACTOR * self.objective_ms

    def task(self, ref: TaskRef) -> TaskProgress:
        """Return the progress of a task."""
        if self._steps.is_done(ref.occurrence, ref.step):
            return DONE
        return self._tasks.get(ref, NOT_STARTED)

    def _set_task(self, ref: TaskRef, task: TaskProgress) -> None:
        self._tasks[ref] = task
        self._changed_parts.add(self._parts.part_of(ref))

    def pop_changed_parts(self) -> dict[int, dict[TaskRef, TaskProgress]]:
        """Return the tasks of the parts that have changed since the last call.

        The first part is among them if the state of the job has changed.
        """
        changed, self._changed_parts = self._changed_parts, set()
        if self._state is not self._recorded_state:
            self._recorded_state = self._state
            changed.add(0)
        return {
            part: {
                ref: task
                for ref in self._parts.tasks_of(part)
                if (task := self.task(ref)) is not NOT_STARTED
            }
            for part in sorted(changed)
        }

    def startable_tasks(self, unix_ms: int, early_ms: int) -> Iterator[StartableStep]:
        """Yield occurrence, step and task indexes of steps whose dependencies are done.

        Occurrences of scheduled jobs are included from `early_ms` before their time. If the caller
        does not take all, the next call begins with the step behind the last one.
        """
        due = self._job.occurrences_due(unix_ms + early_ms)
        count = len(self._job.steps)
        begin = self._next_offered_step
        for number in range(begin, begin + count):
            step = number % count
            self._next_offered_step = (step + 1) % count
            for occurrence in self._offered_occurrences(step, unix_ms, due):
                yield occurrence, step, self._steps.waiting(occurrence, step)
        self._next_offered_step = 0

    def _offered_occurrences(self, index: int, unix_ms: int, due: int) -> Iterator[int]:
        """Yield the occurrences of a step that a pass may place, of those that are due.

        They are the first ones that end on time if they start now, the first that are late, and the
        first that nobody waits for any more. All occurrences of a step need the same room, so
        those behind them would not be placed either.
        """
        step = self._job.steps[index]
        late = expired = 0
        if self._job.scheduled and not step.long_running:
            end_ms = unix_ms + step.estimate_ms
            late = min(due, self._job.occurrences_due(end_ms - self.objective_ms))
            expired = min(due, self._job.occurrences_due(end_ms - self.expiry_ms))
        for first, end in ((late, due), (expired, late), (0, expired)):
            offered_tasks = 0
            offerable = self._steps.offerable(index, first, end)
            for occurrence in islice(offerable, MAX_OFFERED_OCCURRENCES):
                yield occurrence
                offered_tasks += len(self._steps.waiting(occurrence, index))
                if offered_tasks >= MAX_OFFERED_TASKS:
                    break

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step are done."""
        return self._steps.is_done(occurrence, step)

    def ready_since(self, occurrence: int, step: int, now_ms: int) -> int:
        """Return when the step became ready; the first call sets it to `now_ms`."""
        return self._ready_ms.setdefault((occurrence, step), now_ms)

    def record_run_end(self, ref: TaskRef, now_ms: int) -> None:
        """Record when a run of this task ended."""
        if self._job.steps[ref.step].long_running:
            self._run_end_ms[ref] = now_ms
        self._last_run_end_ms = now_ms

    def idle_since(self, occurrence: int, step: int, ready_ms: int) -> int:
        """Return since when a step that became ready at `ready_ms` has waited without a run.

        For tasks that end, a run of any step of the job counts; of long-running tasks, each counts.
        """
        if not self._job.steps[step].long_running:
            return max(ready_ms, self._last_run_end_ms)
        return min(
            max(ready_ms, self._run_end_ms.get(TaskRef(occurrence, step, index), 0))
            for index in self._steps.waiting(occurrence, step)
        )

    @property
    def has_isolated_tasks(self) -> bool:
        """Whether any task must run alone on its worker."""
        return bool(self._isolated)

    def isolated_tasks(self, occurrence: int, step: int) -> AbstractSet[int]:
        """Return the tasks of a step that must run alone; a gang is isolated as a whole."""
        isolated = self._isolated.get((occurrence, step))
        if isolated is None:
            return frozenset()
        specification = self._job.steps[step]
        return frozenset(range(specification.count)) if specification.gang else isolated

    def isolated_since(self, ref: TaskRef, now_ms: int) -> int:
        """Return since when a task waits to run alone; the first call sets it to `now_ms`."""
        return self._isolated_since_ms.setdefault(ref, now_ms)

    def avoided_workers(self, occurrence: int, step: int) -> frozenset[str]:
        """Return the workers on which tasks of this step failed, stalled or were too slow."""
        return frozenset(self._avoided_workers.get((occurrence, step), ()))

    def avoid_worker(self, ref: TaskRef, worker_id: str) -> None:
        """Avoid a worker for the tasks of this step while others are available."""
        if self._steps.is_done(ref.occurrence, ref.step):
            return
        self._avoided_workers.setdefault((ref.occurrence, ref.step), {})[worker_id] = None

    def add_duration(self, ref: TaskRef, took_ms: int) -> None:
        """Record how long a task of this step took from the begin of its run to the end."""
        if self._steps.is_done(ref.occurrence, ref.step):
            return
        self._durations_ms.setdefault((ref.occurrence, ref.step), []).append(took_ms)

    def durations_ms(self, occurrence: int, step: int) -> tuple[int, ...]:
        """Return the recorded durations of the step's finished tasks."""
        return tuple(self._durations_ms.get((occurrence, step), ()))

    def begin(self, ref: TaskRef, run: int, worker_id: str, born_ms: int) -> TaskProgress:
        """Record the begin of a run; return the task's progress."""
        task = replace(
            self.task(ref), phase=TaskPhase.ACTIVE, run=run, worker_id=worker_id, born_ms=born_ms
        )
        self._set_task(ref, task)
        self._steps.begin(ref)
        self._isolated_since_ms.pop(ref, None)
        if self._state is JobState.PENDING:
            self._state = JobState.RUNNING
        return task

    def next_run(self, refs: Iterable[TaskRef]) -> int:
        """Return a run number higher than those of all earlier runs of these tasks."""
        return max(self.task(ref).run for ref in refs) + 1

    def gang_refs(self, ref: TaskRef) -> tuple[TaskRef, ...]:
        """Return all tasks of a gang-scheduled step, or else only the task itself."""
        step = self._job.steps[ref.step]
        if not step.gang:
            return (ref,)
        return tuple(TaskRef(ref.occurrence, ref.step, index) for index in range(step.count))

    def is_current(self, name: RunName) -> bool:
        """Return whether a run is the active run of its task."""
        task = self.task(name.task)
        return task.phase is TaskPhase.ACTIVE and task.run == name.run

    def add_crash(self, name: RunName, alone: bool, evident: bool, ran_ms: int) -> bool:
        """Count a crash of the worker of a run, and fail the job after too many of them.

        `alone` says that the run, or its gang, was the only one on the worker, and `evident` that
        its crash is evidence against the task. Returns False if the run is not the task's current
        run.
        """
        if not self.is_current(name):
            return False
        if self._outlasted_crashes(name, ran_ms):
            self._clear_crashes(name.task)
            return True
        self._set_suspicion(name.task, with_crash(self.task(name.task), evident))
        self._fail_if_given_up(name.task, alone, evident)
        return True

    def add_loss(self, name: RunName, loss: WorkerLoss, ran_ms: int) -> bool:
        """Keep the loss of a run's worker until the worker is heard of; return whether it is kept.

        A loss that counts as a crash fails the job after too many of them.
        """
        if not self.is_current(name):
            return False
        if self._outlasted_crashes(name, ran_ms):
            self._clear_crashes(name.task)
            return False
        self._set_suspicion(name.task, with_loss(self.task(name.task), loss))
        if loss.counted:
            self._fail_if_given_up(name.task, loss.alone, evident=False)
        return True

    def _fail_if_given_up(self, ref: TaskRef, alone: bool, evident: bool) -> None:
        if is_given_up(self.task(ref), alone, evident):
            self.fail()

    def confirm_crash(self, ref: TaskRef, loss: WorkerLoss, evident: bool) -> None:
        """Count the crash of a worker that is known only after the run on it was lost."""
        self._set_suspicion(ref, with_crash(without_loss(self.task(ref), loss), evident))
        self._fail_if_given_up(ref, loss.alone, evident)

    def withdraw_loss(self, ref: TaskRef, loss: WorkerLoss) -> None:
        """Remove the loss of a worker that was only cut off."""
        self._set_suspicion(ref, without_loss(self.task(ref), loss))

    def clear_crashes(self, name: RunName, ran_ms: int) -> bool:
        """Clear the crashes of a long-running task that has run for long; return any change."""
        task = self.task(name.task)
        if not task.crashes and not task.losses:
            return False
        if not self._outlasted_crashes(name, ran_ms) or not self.is_current(name):
            return False
        self._clear_crashes(name.task)
        return True

    def _outlasted_crashes(self, name: RunName, ran_ms: int) -> bool:
        """Return whether a run of a long-running task has lasted long enough to clear the task."""
        return self._job.steps[name.task.step].long_running and ran_ms >= CLEARING_RUN_MS

    def _clear_crashes(self, ref: TaskRef) -> None:
        self._set_suspicion(ref, without_crashes(self.task(ref)))

    def _set_suspicion(self, ref: TaskRef, task: TaskProgress) -> None:
        """Update a task of which the crashes or losses have changed."""
        self._set_task(ref, task)
        key = (ref.occurrence, ref.step)
        if must_run_alone(task):
            self._isolated.setdefault(key, set()).add(ref.index)
            return
        isolated = self._isolated.get(key, set())
        isolated.discard(ref.index)
        if not isolated:
            self._isolated.pop(key, None)

    def finish(self, name: RunName, end: RunEnd, checkpoint: str) -> bool:
        """Record the end of a run; return False if it is not the task's current run."""
        ref = name.task
        task = self.task(ref)
        if not self.is_current(name):
            return False
        if end is RunEnd.DONE and not self._job.steps[ref.step].long_running:
            for member in self.gang_refs(ref):
                self._set_done(member)
        else:
            failures = task.failures + (end is RunEnd.FAILED)
            self._set_waiting(ref, replace(task, failures=failures))
            if checkpoint:
                self._set_checkpoint(ref, checkpoint)
        self._update_state(ref)
        return True

    def _set_done(self, ref: TaskRef) -> None:
        task = self.task(ref)
        if task.phase is TaskPhase.DONE:
            return
        self._clear_crashes(ref)
        self._set_task(ref, DONE)
        self._finish_task(ref)

    def _set_waiting(self, ref: TaskRef, task: TaskProgress) -> None:
        self._set_task(ref, replace(task, phase=TaskPhase.WAITING, worker_id="", born_ms=0))
        self._steps.wait(ref)

    def _set_checkpoint(self, ref: TaskRef, checkpoint: str) -> None:
        """Store a checkpoint; all members of a gang resume from the same one."""
        for member in self.gang_refs(ref):
            self._set_task(member, replace(self.task(member), checkpoint=checkpoint))

    def _update_state(self, ref: TaskRef) -> None:
        """Update the state of the job after the end of a run of this task."""
        if self.ended:
            return
        if not self._steps.unfinished_tasks:
            self._state = JobState.COMPLETED
            return
        task = self.task(ref)
        if self._job.steps[ref.step].long_running or task.phase is TaskPhase.DONE:
            return
        if task.failures >= self._job.max_attempts:
            self._state = JobState.FAILED

    def cancel(self) -> None:
        """Mark the job as cancelled unless it has ended."""
        if not self.ended:
            self._state = JobState.CANCELLED

    def fail(self) -> None:
        """Mark the job as failed unless it has ended."""
        if not self.ended:
            self._state = JobState.FAILED


def estimate_critical_path_ms(job: BatchJob) -> int:
    """Return the estimated duration of the longest chain of dependent steps."""
    lengths: list[int] = []
    for step in job.steps:
        before = max((lengths[each] for each in step.after if each < len(lengths)), default=0)
        lengths.append(before + step.estimate_ms)
    return max(lengths, default=0)
