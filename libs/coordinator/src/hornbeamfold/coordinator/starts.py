"""Carries planned starts out: recorded first, then sent, and checked again when they are sent."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from hornbeamfold.batch import Clock, OperatorState, RunEnd, RunName, TaskRef, Worker
from hornbeamfold.coordinator.book import Book, Run
from hornbeamfold.coordinator.session import Session
from hornbeamfold.scheduling import Assignment
from hornbeamfold.telemetry import get_logger

logger = get_logger("hornbeamfold.coordinator.starts")


@dataclass(frozen=True)
class StartParts:
    """What starts need of their term."""

    book: Book
    sessions: Mapping[str, Session]
    operator: Callable[[], OperatorState]
    registry: Callable[[], Mapping[str, Worker]]
    after_store: Callable[[Callable[[], None]], None]
    is_active: Callable[[], bool]
    end: Callable[[RunName, RunEnd], None]
    clock: Clock


class Starts:
    """The starts of one term."""

    def __init__(self, parts: StartParts) -> None:
        self._parts = parts

    def begin(self, assignments: Iterable[Assignment]) -> None:
        """Record the runs of planned tasks, and send their orders once they are in the store."""
        groups: dict[tuple[str, int, int], list[Assignment]] = {}
        for assignment in assignments:
            key = (assignment.job_id, assignment.task.occurrence, assignment.task.step)
            groups.setdefault(key, []).append(assignment)
        begun: list[Run] = []
        for (job_id, _, _), group in groups.items():
            begun.extend(self._begin(job_id, group))
        if begun:
            self._parts.after_store(lambda: self._send(begun))

    def _begin(self, job_id: str, group: Sequence[Assignment]) -> list[Run]:
        tracked = self._parts.book.jobs[job_id]
        step = tracked.job.steps[group[0].task.step]
        workers = {each.worker_id: self._parts.sessions[each.worker_id].worker for each in group}
        logger.info(
            "placed",
            extra={
                "request": job_id,
                "step": group[0].task.step,
                "tasks": [each.task.index for each in group],
                "workers": [each.worker_id for each in group],
                "reason": group[0].reason,
                "priority": tracked.job.priority,
                "waited_ms": self._parts.clock()
                - tracked.ready_since(group[0].task.occurrence, group[0].task.step, 0),
            },
        )
        if step.gang:
            refs: list[TaskRef] = [each.task for each in group]
            return self._parts.book.begin(job_id, refs, [workers[each.worker_id] for each in group])
        runs: list[Run] = []
        for each in group:
            runs.extend(self._parts.book.begin(job_id, [each.task], [workers[each.worker_id]]))
        return runs

    def may_start(self, run: Run, worker: Worker) -> bool:
        """Tell whether a recorded run may still start, by what is known now."""
        current = self._parts.book.runs.get(run.name)
        if current is None or current.stop_reason or run.name.job_id not in self._parts.book.jobs:
            return False
        if worker.draining or worker.worker_id not in self._parts.registry():
            return False
        return worker.availability_zone not in self._parts.operator().zones_out

    def _send(self, runs: Sequence[Run]) -> None:
        """Send the start orders of runs that are now in the store."""
        if not self._parts.is_active():
            return
        for run in runs:
            tracked = self._parts.book.jobs.get(run.name.job_id)
            session = self._parts.sessions.get(run.worker_id)
            current = self._parts.book.runs.get(run.name)
            if current is None:
                continue
            if tracked is None or session is None:
                self._parts.end(run.name, RunEnd.LOST)
                continue
            session.orders.start(current, tracked.job.payload)
