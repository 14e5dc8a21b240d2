"""The leased tasks of one worker stand-in: admission, fencing, leases and resources."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial

from hornbeamfold.standins.task_steps import (
    RUNNING,
    Task,
    advance,
    begin,
    end,
    renew,
    report,
    start_checkpoint,
    throttle,
)
from hornbeamfold.standins.worker_data import (
    StartOrder,
    SyncOrder,
    TaskReport,
    Work,
    WorkerSpec,
    fail_time_ms,
    work_of,
)


@dataclass(frozen=True)
class TaskFaults:
    """The faults that apply to the start of tasks."""

    fail_all: bool
    fail_tasks: Mapping[str, int]


class TaskTable:
    """The tasks of one worker until they are forgotten."""

    def __init__(self, spec: WorkerSpec, slots_used_by_runs: Callable[[], int]) -> None:
        self._spec = spec
        self._slots_used_by_runs = slots_used_by_runs
        self._tasks: dict[str, Task] = {}
        # Usage is reported with a lag, in which forgotten tasks still count.
        self._forgotten: list[Task] = []
        self._forgotten_fences: dict[str, int] = {}
        # The highest fence seen on each accelerator; a lower one belongs to an older placement.
        self._fences: dict[int, int] = {}

    def running(self, now_ms: float) -> list[Task]:
        """Return the tasks that are running."""
        self._advance(now_ms)
        return [task for task in self._tasks.values() if task.state == RUNNING]

    def active_at(self, at_ms: float) -> list[Task]:
        """Return the tasks that ran at an earlier time, which must not decrease between calls."""
        self._forgotten = [task for task in self._forgotten if task.ended_ms > at_ms]
        every = [*self._tasks.values(), *self._forgotten]
        return [task for task in every if task.started_ms <= at_ms < task.ended_ms]

    def clear(self) -> None:
        """Drop everything, like a worker that crashed."""
        self._tasks.clear()
        self._forgotten.clear()
        self._forgotten_fences.clear()
        self._fences.clear()

    def sync(
        self, sync: SyncOrder, faults: TaskFaults, now_ms: float
    ) -> tuple[list[TaskReport], list[StartOrder]]:
        """Apply one sync; return reports on all tasks, also refused ones, and the started ones."""
        self._advance(now_ms)
        for renewal in sync.renew:
            task = self._tasks.get(renewal.task)
            if task is not None and not self._is_fenced(task.start.fence, renewal.fence):
                self._update_if_running(task, renew(task, renewal.lease_ms, now_ms))
        for name in sync.checkpoint:
            self._change(
                name,
                lambda running_task: start_checkpoint(
                    running_task, self._spec.checkpoint_ms, now_ms
                ),
            )
        for order in sync.throttle:
            share = min(max(order.share, 0.0), 1.0)
            self._change(order.task, partial(throttle, share=share, now_ms=now_ms))
        for name in sync.stop:
            self._change(
                name,
                lambda running_task: end(running_task, "stopped", "stopped on request", now_ms),
            )
        for name in sync.forget:
            self._forget(name)
        refused: list[TaskReport] = []
        started: list[StartOrder] = []
        for start in sync.start:
            if start.task in self._tasks:
                continue
            reason = self._refusal_reason(start, now_ms)
            if reason:
                refused.append(TaskReport(start.task, start.fence, "refused", detail=reason))
                continue
            self._begin(start, faults, now_ms)
            started.append(start)
        self._advance(now_ms)
        reports = [report(task, now_ms) for task in self._tasks.values()]
        return reports + refused, started

    def _begin(self, start: StartOrder, faults: TaskFaults, now_ms: float) -> None:
        work = Work(run_ms=0, fail=True) if faults.fail_all else work_of(start.body)
        after_ms = fail_time_ms(start.task, faults.fail_tasks, work)
        self._tasks[start.task] = begin(start, work, after_ms, now_ms)
        for index in start.accelerators:
            self._fences[index] = max(start.fence, self._fences.get(index, start.fence))

    def _refusal_reason(self, start: StartOrder, now_ms: float) -> str:
        running = self.running(now_ms)
        if start.start_by_ms and now_ms > start.start_by_ms:
            return "late: the order was valid until an earlier time"
        if any(self._is_fenced(self._fences.get(i, -1), start.fence) for i in start.accelerators):
            return "fenced: a later placement used these accelerators"
        if self._is_fenced(self._forgotten_fences.get(start.task, -1) + 1, start.fence):
            return "fenced: this task has ended and was forgotten"
        if any(not 0 <= index < self._spec.accelerators for index in start.accelerators):
            return "no such accelerator"
        used_accelerators = {index for task in running for index in task.start.accelerators}
        if used_accelerators & set(start.accelerators):
            return "the accelerators are busy"
        if len(running) + self._slots_used_by_runs() >= self._spec.slots:
            return "no free slot"
        used = sum(task.start.processors for task in running)
        if used + start.processors > self._spec.processors:
            return "not enough processors"
        used = sum(task.start.memory_gb for task in running)
        if used + start.memory_gb > self._spec.memory_gb:
            return "not enough memory"
        return ""

    def _is_fenced(self, seen: int, fence: int) -> bool:
        return self._spec.supports_fencing and fence < seen

    def _change(self, name: str, change: Callable[[Task], Task]) -> None:
        task = self._tasks.get(name)
        if task is not None:
            self._update_if_running(task, change(task))

    def _update_if_running(self, task: Task, changed: Task) -> None:
        if task.state == RUNNING:
            self._tasks[task.start.task] = changed

    def _forget(self, name: str) -> None:
        task = self._tasks.get(name)
        if task is not None and task.state != RUNNING:
            self._forgotten.append(self._tasks.pop(name))
            self._forgotten_fences[name] = task.start.fence

    def _advance(self, now_ms: float) -> None:
        for name, task in self._tasks.items():
            self._tasks[name] = advance(task, now_ms)
