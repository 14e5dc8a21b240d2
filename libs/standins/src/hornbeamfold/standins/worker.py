"""One worker stand-in: the protocol of a worker for its tasks and requests."""

from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from msgspec import ValidationError, convert

from hornbeamfold.standins.faults import Faults
from hornbeamfold.standins.http import Call, Reply, error_reply
from hornbeamfold.standins.run_table import RunTable
from hornbeamfold.standins.task_table import TaskFaults, TaskTable
from hornbeamfold.standins.worker_data import (
    RunOrder,
    StartRecord,
    SyncOrder,
    WorkerSpec,
    organisation_of,
)

RUN_PREFIX = "/v1/run/"
VOID_SUFFIX = "/void"


class Worker:
    """The tasks, requests and starts of one worker."""

    def __init__(
        self,
        spec: WorkerSpec,
        faults: Callable[[], Faults],
        connections: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self._spec = spec
        self._faults = faults
        self._connections = connections
        self._clock = clock
        self._starts: list[StartRecord] = []
        self._runs = RunTable(
            spec.supports_void, spec.slots, lambda: len(self._tasks.running(clock()))
        )
        self._tasks = TaskTable(spec, lambda: self._runs.running)

    @property
    def starts(self) -> tuple[StartRecord, ...]:
        """All starts since the process began, including those lost in a simulated crash."""
        return tuple(self._starts)

    def crash(self) -> None:
        """Drop all tasks and requests, like a worker that crashed."""
        self._tasks.clear()
        self._runs.clear(self._clock())

    def handle(self, call: Call) -> Reply:
        """Handle one call of the worker protocol."""
        if self._connections() > self._spec.connections:
            return Reply(429, {"state": "busy", "detail": "too many connections, not run"})
        if (call.method, call.path) == ("POST", "/v1/sync"):
            return self._sync(call)
        if (call.method, call.path) == ("POST", "/v1/run"):
            return self._run(call)
        if not call.path.startswith(RUN_PREFIX):
            return error_reply(404, "no such path")
        task = call.path.removeprefix(RUN_PREFIX)
        if call.method == "GET":
            return self._runs.look_up(task)
        if call.method == "POST" and task.endswith(VOID_SUFFIX):
            return self._runs.void(task.removesuffix(VOID_SUFFIX))
        return error_reply(404, "no such path")

    def _sync(self, call: Call) -> Reply:
        try:
            sync = convert(call.body, SyncOrder)
        except ValidationError as error:
            return error_reply(400, str(error))
        now_ms = self._clock()
        faults = self._faults()
        reports, started = self._tasks.sync(
            sync, TaskFaults(faults.fail_all, faults.fail_tasks), now_ms
        )
        for start in started:
            self._starts.append(
                StartRecord(
                    self._spec.name,
                    self._spec.availability_zone,
                    start.task,
                    organisation_of(start.task),
                    "",
                    start.kind,
                    start.fence,
                    int(now_ms),
                    start.accelerators,
                )
            )
        used = len(self._tasks.running(now_ms)) + self._runs.running
        body = {
            "tasks": [asdict(report) for report in reports],
            "free_slots": max(self._spec.slots - used, 0),
            "connections": self._connections(),
            "leaving": faults.leaving,
            "supports_void": self._spec.supports_void,
            "usage": self._usage(now_ms),
        }
        return Reply(200, body, wrote=True)

    def _run(self, call: Call) -> Reply:
        try:
            run = convert(call.body, RunOrder)
        except ValidationError as error:
            return error_reply(400, str(error))
        return self._runs.run(run, self._clock(), self._faults().fail_all, self._record_run)

    def _record_run(self, run: RunOrder) -> None:
        self._starts.append(
            StartRecord(
                self._spec.name,
                self._spec.availability_zone,
                run.task,
                run.organisation,
                run.request_id,
                run.kind,
                -1,
                int(self._clock()),
            )
        )

    def _usage(self, now_ms: float) -> dict[str, Any]:
        as_of_ms = int(now_ms - self._spec.usage_lag_ms)
        processors = memory_gb = 0.0
        for task in self._tasks.active_at(as_of_ms):
            work, start = task.work, task.start
            processors += start.processors if work.uses_processors is None else work.uses_processors
            memory_gb += start.memory_gb if work.uses_memory_gb is None else work.uses_memory_gb
        return {"as_of_ms": as_of_ms, "processors": processors, "memory_gb": memory_gb}
