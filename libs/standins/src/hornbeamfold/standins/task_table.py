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
    take_checkpoint,
    throttle,
)
from hornbeamfold.standins.worker_data import (
    Report,
    Start,
    Sync,
    Work,
    WorkerSpec,
    fail_time_ms,
    work_of,
)


@dataclass(frozen=True)
class TaskFaults:
    """The faults that concern the start of tasks."""

    fail_all: bool
    fail_tasks: Mapping[str, int]


class TaskTable:
    """The tasks of one worker until they are forgotten."""

    def __init__(self, spec: WorkerSpec, slots_of_runs: Callable[[], int]) -> None:
        self._spec = spec
        self._slots_of_runs = slots_of_runs
        self._tasks: dict[str, Task] = {}
        # Forgotten tasks still count in usage that is reported late.
        self._forgotten: list[Task] = []
        self._forgotten_fences: dict[str, int] = {}
        # The highest fence that each accelerator has seen: a lower one is of an older placement.
        self._fences: dict[int, int] = {}

    def running(self, now_ms: float) -> list[Task]:
        """Return the tasks that run now."""
        self._advance(now_ms)
        return [task for task in self._tasks.values() if task.state == RUNNING]

    def active_at(self, at_ms: float) -> list[Task]:
        """Return the tasks that ran at an earlier time; the times asked for must not go back."""
        self._forgotten = [task for task in self._forgotten if task.ended_ms > at_ms]
        every = [*self._tasks.values(), *self._forgotten]
        return [task for task in every if task.started_ms <= at_ms < task.ended_ms]

    def clear(self) -> None:
        """Lose everything, as a worker that crashed."""
        self._tasks.clear()
        self._forgotten.clear()
        self._forgotten_fences.clear()
        self._fences.clear()

    def sync(
        self, sync: Sync, faults: TaskFaults, now_ms: float
    ) -> tuple[list[Report], list[Start]]:
        """Apply one exchange; return all tasks with the refused ones, and what was started."""
        self._advance(now_ms)
        for renewal in sync.renew:
            task = self._tasks.get(renewal.task)
            if task is not None and not self._fenced(task.start.fence, renewal.fence):
                self._put_running(task, renew(task, renewal.lease_ms, now_ms))
        for name in sync.checkpoint:
            self._change(name, lambda one: take_checkpoint(one, self._spec.checkpoint_ms, now_ms))
        for order in sync.throttle:
            share = min(max(order.share, 0.0), 1.0)
            self._change(order.task, partial(throttle, share=share, now_ms=now_ms))
        for name in sync.stop:
            self._change(name, lambda one: end(one, "stopped", "stopped on request", now_ms))
        for name in sync.forget:
            self._forget(name)
        refused: list[Report] = []
        started: list[Start] = []
        for start in sync.start:
            if start.task in self._tasks:
                continue
            reason = self._refusal(start, now_ms)
            if reason:
                refused.append(Report(start.task, start.fence, "refused", detail=reason))
                continue
            self._begin(start, faults, now_ms)
            started.append(start)
        self._advance(now_ms)
        reports = [report(task, now_ms) for task in self._tasks.values()]
        return reports + refused, started

    def _begin(self, start: Start, faults: TaskFaults, now_ms: float) -> None:
        work = Work(run_ms=0, fail=True) if faults.fail_all else work_of(start.body)
        after_ms = fail_time_ms(start.task, faults.fail_tasks, work)
        self._tasks[start.task] = begin(start, work, after_ms, now_ms)
        for index in start.accelerators:
            self._fences[index] = max(start.fence, self._fences.get(index, start.fence))

    def _refusal(self, start: Start, now_ms: float) -> str:
        running = self.running(now_ms)
        if start.start_by_ms and now_ms > start.start_by_ms:
            return "late: the order was valid until an earlier time"
        if any(self._fenced(self._fences.get(i, -1), start.fence) for i in start.accelerators):
            return "fenced: a later placement used these accelerators"
        if self._fenced(self._forgotten_fences.get(start.task, -1) + 1, start.fence):
            return "fenced: this task has ended and was forgotten"
        if any(not 0 <= index < self._spec.accelerators for index in start.accelerators):
            return "no such accelerator"
        busy = {index for task in running for index in task.start.accelerators}
        if busy & set(start.accelerators):
            return "the accelerators are busy"
        if len(running) + self._slots_of_runs() >= self._spec.slots:
            return "no free slot"
        used = sum(task.start.processors for task in running)
        if used + start.processors > self._spec.processors:
            return "not enough processors"
        used = sum(task.start.memory_gb for task in running)
        if used + start.memory_gb > self._spec.memory_gb:
            return "not enough memory"
        return ""

    def _fenced(self, seen: int, fence: int) -> bool:
        return self._spec.supports_fencing and fence < seen

    def _change(self, name: str, change: Callable[[Task], Task]) -> None:
        task = self._tasks.get(name)
        if task is not None:
            self._put_running(task, change(task))

    def _put_running(self, task: Task, changed: Task) -> None:
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
