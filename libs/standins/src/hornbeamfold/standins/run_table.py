"""The short requests of one worker stand-in: run, look-up and void."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from eventlet import sleep

from hornbeamfold.standins.http import Reply, error_reply
from hornbeamfold.standins.worker_data import RunOrder, answer_of, work_of

# Ended requests are kept for look-ups; the oldest are evicted first.
MAX_RETAINED_RUNS = 20_000


@dataclass(frozen=True)
class StartedRun:
    """A request that was started, with its state."""

    run: RunOrder
    started_ms: float
    state: str = "running"
    answer: str = ""
    detail: str = ""


class RunTable:
    """The requests of one worker; a task id that is sent twice runs twice.

    The platform's workers do not detect duplicates either, and tests count the starts.
    """

    def __init__(
        self, supports_void: bool, slots: int, slots_used_by_tasks: Callable[[], int]
    ) -> None:
        self._supports_void = supports_void
        self._slots = slots
        self._slots_used_by_tasks = slots_used_by_tasks
        self._running = 0
        self._crash_count = 0
        self._retained: dict[str, StartedRun] = {}
        self._voided: set[str] = set()
        # The Unix time since when every request has been kept.
        self._complete_since_ms = 0

    @property
    def running(self) -> int:
        """The number of requests that are running."""
        return self._running

    def clear(self, now_ms: float) -> None:
        """Drop everything, like a worker that crashed."""
        self._complete_since_ms = int(now_ms)
        self._crash_count += 1
        self._running = 0
        self._retained.clear()
        self._voided.clear()

    def run(
        self, run: RunOrder, now_ms: float, fail_now: bool, on_start: Callable[[RunOrder], None]
    ) -> Reply:
        """Run one request to completion and return its answer, or the reason why it did not run."""
        if run.task in self._voided:
            return Reply(409, {"state": "voided", "detail": "the task was voided, not run"})
        if run.deadline_ms < now_ms:
            return Reply(409, {"state": "refused", "detail": "the deadline has passed, not run"})
        if run.start_by_ms and now_ms > run.start_by_ms:
            return Reply(409, {"state": "refused", "detail": "the order arrived late, not run"})
        if self._running + self._slots_used_by_tasks() >= self._slots:
            return Reply(429, {"state": "busy", "detail": "no free slot, not run"})
        on_start(run)
        self._running += 1
        crash_count = self._crash_count
        started_run = StartedRun(run, now_ms)
        self._retained.pop(run.task, None)
        self._retained[run.task] = started_run
        self._evict_oldest()
        work = work_of(run.body)
        will_fail = fail_now or work.fail or work.fail_after_ms is not None
        run_ms = work.run_ms if work.fail_after_ms is None else work.fail_after_ms
        if not fail_now:
            sleep(run_ms / 1000)
        if crash_count != self._crash_count:
            return error_reply(500, "the worker lost the task")
        self._running -= 1
        if will_fail:
            self._retained[run.task] = replace(
                started_run, state="failed", detail="the task failed"
            )
            return Reply(422, {"state": "failed", "detail": "the task failed"}, wrote=True)
        answer = answer_of(run.organisation, run.request_id, run.body)
        self._retained[run.task] = replace(started_run, state="finished", answer=answer)
        return Reply(200, _answer_body(run, answer), wrote=True)

    def look_up(self, task: str) -> Reply:
        """Return the state of a task, with its answer or failure."""
        started_run = self._retained.get(task)
        if started_run is None:
            return Reply(200, self._state_body("unknown"))
        body = self._state_body(started_run.state)
        if started_run.state == "finished":
            body |= _answer_body(started_run.run, started_run.answer)
        if started_run.state == "failed":
            body["detail"] = started_run.detail
        return Reply(200, body)

    def void(self, task: str) -> Reply:
        """Refuse later starts of a task that was never started; otherwise return its state."""
        if not self._supports_void:
            return error_reply(404, "this worker does not support void")
        started_run = self._retained.get(task)
        if started_run is not None:
            return Reply(200, self._state_body(started_run.state))
        self._voided.add(task)
        return Reply(200, self._state_body("voided"), wrote=True)

    def _state_body(self, state: str) -> dict[str, Any]:
        return {"state": state, "complete_since_ms": self._complete_since_ms}

    def _evict_oldest(self) -> None:
        if len(self._retained) <= MAX_RETAINED_RUNS:
            return
        oldest = next(iter(self._retained))
        started_run = self._retained[oldest]
        if started_run.state != "running":
            del self._retained[oldest]
            self._complete_since_ms = max(self._complete_since_ms, int(started_run.started_ms) + 1)


def _answer_body(run: RunOrder, answer: str) -> dict[str, Any]:
    return {"answer": answer, "request_id": run.request_id, "digest": run.digest}
