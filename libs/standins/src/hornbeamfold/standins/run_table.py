"""The short requests of one worker stand-in: run, look-up and void."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from eventlet import sleep

from hornbeamfold.standins.http import Reply, refusal
from hornbeamfold.standins.worker_data import Run, answer_of, work_of

# Ended requests are kept for look-ups; the oldest go first.
MAX_KEPT = 20_000


@dataclass(frozen=True)
class Ran:
    """One request that was started."""

    run: Run
    started_ms: float
    state: str = "running"
    answer: str = ""
    detail: str = ""


class RunTable:
    """The requests of one worker; a task id that is sent twice runs twice.

    Workers of the platform do not detect duplicates, and tests count the starts.
    """

    def __init__(self, supports_void: bool, slots: int, slots_of_tasks: Callable[[], int]) -> None:
        self._supports_void = supports_void
        self._slots = slots
        self._slots_of_tasks = slots_of_tasks
        self._running = 0
        self._generation = 0
        self._known: dict[str, Ran] = {}
        self._voided: set[str] = set()
        # Since when every request is remembered, as a Unix time.
        self._complete_since_ms = 0

    @property
    def running(self) -> int:
        """The number of requests that run now."""
        return self._running

    def clear(self, now_ms: float) -> None:
        """Lose everything, as a worker that crashed."""
        self._complete_since_ms = int(now_ms)
        self._generation += 1
        self._running = 0
        self._known.clear()
        self._voided.clear()

    def run(self, run: Run, now_ms: float, fails: bool, started: Callable[[Run], None]) -> Reply:
        """Run one request to its end and return its answer, or why it was not run."""
        if run.task in self._voided:
            return Reply(409, {"state": "voided", "detail": "the task was voided, not run"})
        if run.deadline_ms < now_ms:
            return Reply(409, {"state": "refused", "detail": "the deadline has passed, not run"})
        if run.start_by_ms and now_ms > run.start_by_ms:
            return Reply(409, {"state": "refused", "detail": "the order arrived late, not run"})
        if self._running + self._slots_of_tasks() >= self._slots:
            return Reply(429, {"state": "busy", "detail": "no free slot, not run"})
        started(run)
        self._running += 1
        generation = self._generation
        ran = Ran(run, now_ms)
        self._known.pop(run.task, None)
        self._known[run.task] = ran
        self._trim()
        work = work_of(run.body)
        failing = fails or work.fail or work.fail_after_ms is not None
        run_ms = work.run_ms if work.fail_after_ms is None else work.fail_after_ms
        if not fails:
            sleep(run_ms / 1000)
        if generation != self._generation:
            return refusal(500, "the worker lost the task")
        self._running -= 1
        if failing:
            self._known[run.task] = replace(ran, state="failed", detail="the task failed")
            return Reply(422, {"state": "failed", "detail": "the task failed"}, wrote=True)
        answer = answer_of(run.organisation, run.request_id, run.body)
        self._known[run.task] = replace(ran, state="finished", answer=answer)
        return Reply(200, _answer(run, answer), wrote=True)

    def look_up(self, task: str) -> Reply:
        """Return what is known of a task."""
        ran = self._known.get(task)
        if ran is None:
            return Reply(200, self._memory("unknown"))
        body = self._memory(ran.state)
        if ran.state == "finished":
            body |= _answer(ran.run, ran.answer)
        if ran.state == "failed":
            body["detail"] = ran.detail
        return Reply(200, body)

    def void(self, task: str) -> Reply:
        """Refuse any later start of a task that was never seen; otherwise return its state."""
        if not self._supports_void:
            return refusal(404, "this worker does not support void")
        ran = self._known.get(task)
        if ran is not None:
            return Reply(200, self._memory(ran.state))
        self._voided.add(task)
        return Reply(200, self._memory("voided"), wrote=True)

    def _memory(self, state: str) -> dict[str, Any]:
        return {"state": state, "complete_since_ms": self._complete_since_ms}

    def _trim(self) -> None:
        if len(self._known) <= MAX_KEPT:
            return
        oldest = next(iter(self._known))
        ran = self._known[oldest]
        if ran.state != "running":
            del self._known[oldest]
            self._complete_since_ms = max(self._complete_since_ms, int(ran.started_ms) + 1)


def _answer(run: Run, answer: str) -> dict[str, Any]:
    return {"answer": answer, "request_id": run.request_id, "digest": run.digest}
