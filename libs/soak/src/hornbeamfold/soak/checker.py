"""Checks the promises while the soak runs, from what callers and workers see."""

from collections.abc import Mapping

from hornbeamfold.batch import (
    Clock,
    EndedTask,
    Resources,
    RunEnd,
    RunName,
    StartOrder,
    TaskRef,
    Worker,
)
from hornbeamfold.emulator.workers import Observer
from hornbeamfold.soak.records import (
    Answer,
    LiveRun,
    SentJob,
    TaskKey,
    Violations,
    live_run,
)

# The bounds of the platform's sites, in milliseconds.
ZONE_OUT_MS = 5_000
DRAIN_MS = 2_500
CANCEL_MS = 3_000
REVOKE_MS = 5_000
VISIBLE_MS = 3_000
EARLY_MS = 250


class Witness:
    """All that callers sent and workers did, and what of it breaks a promise."""

    def __init__(self, clock: Clock, wall: Clock, violations: Violations) -> None:
        self._clock = clock
        self._wall = wall
        self._violations = violations
        self._jobs: dict[str, SentJob] = {}
        self._accepted_ms: dict[str, int] = {}
        self._refused: set[str] = set()
        self._started: set[str] = set()
        self._cancel_sent: set[str] = set()
        self._cancelled_ms: dict[str, int] = {}
        self._live: dict[TaskKey, list[LiveRun]] = {}
        self._done: set[TaskKey] = set()
        self._recorded_done: set[TaskKey] = set()
        self._failures: dict[TaskKey, int] = {}
        self._recorded_failures: dict[TaskKey, int] = {}
        self._draining_ms: dict[tuple[str, int], int] = {}
        self._zones_out_ms: dict[str, int] = {}
        self._revoked_ms: dict[str, int] = {}
        self._starts = 0

    @property
    def observer(self) -> Observer:
        """The hooks for the emulated workers."""
        return Observer(self._on_started, self._on_ended, self._on_acknowledged, self._on_vanished)

    @property
    def accepted(self) -> Mapping[str, int]:
        """The accepted jobs with the time of the answer."""
        return self._accepted_ms

    @property
    def starts(self) -> int:
        """How many runs have begun."""
        return self._starts

    def job(self, job_id: str) -> SentJob:
        """Return a job that was sent."""
        return self._jobs[job_id]

    # What callers see.

    def sending(self, job: SentJob) -> None:
        """Note that a job is about to be sent."""
        self._jobs[job.job_id] = job

    def answered(self, job_id: str, answer: Answer) -> None:
        """Note the final answer to a submission."""
        if answer is Answer.ACCEPTED:
            self._accepted_ms.setdefault(job_id, self._clock())
        if answer is Answer.REFUSED and job_id not in self._accepted_ms:
            self._refused.add(job_id)
            if job_id in self._started:
                self._violations.add("a refusal is true", f"{job_id} was refused and has run")

    def cancelling(self, job_id: str) -> None:
        """Note that a cancellation is about to be sent."""
        self._cancel_sent.add(job_id)

    def cancelled(self, job_id: str) -> None:
        """Note that a cancellation was acknowledged."""
        self._cancelled_ms.setdefault(job_id, self._clock())

    def state_seen(self, job_id: str, state: str) -> None:
        """Check a state that a caller was told."""
        job = self._jobs[job_id]
        keys = [TaskKey(job_id, ref) for ref in job.refs()]
        if state == "completed" and not all(key in self._done for key in keys):
            missing = [key.task for key in keys if key not in self._done]
            self._violations.add("completed is true", f"{job_id}: {missing} have not ended done")
        if state == "failed" and not any(
            self._failures.get(key, 0) >= job.max_attempts for key in keys
        ):
            self._violations.add("failed is true", f"{job_id} has attempts left")
        if state == "cancelled" and job_id not in self._cancel_sent:
            self._violations.add("cancelled is true", f"{job_id}: nobody cancelled it")

    def unknown_seen(self, job_id: str, asked_ms: int) -> None:
        """Check the answer that a job is not known."""
        accepted = self._accepted_ms.get(job_id)
        if accepted is None or job_id in self._cancel_sent:
            return
        if asked_ms - accepted > VISIBLE_MS:
            self._violations.add(
                "no job is lost", f"{job_id} unknown {asked_ms - accepted} ms after its answer"
            )

    def key_served(self, key: str, sent_ms: int) -> None:
        """Check a call that was served with a key."""
        revoked = self._revoked_ms.get(key)
        if revoked is not None and sent_ms - revoked > REVOKE_MS:
            self._violations.add(
                "a key that was taken away is refused", f"{key} served {sent_ms - revoked} ms after"
            )

    # What operators do.

    def key_revoked(self, key: str) -> None:
        """Note that the store has a configuration without the key."""
        self._revoked_ms[key] = self._clock()

    def key_returns(self, key: str) -> None:
        """Note that the key is about to hold again."""
        self._revoked_ms.pop(key, None)

    def zone_out(self, zone: str) -> None:
        """Note that the store has taken a zone out of service."""
        self._zones_out_ms[zone] = self._clock()

    def zone_back(self, zone: str) -> None:
        """Note that the zone is about to be in service again."""
        self._zones_out_ms.pop(zone, None)

    def draining(self, worker: Worker) -> None:
        """Note that a worker has reported that it drains."""
        self._draining_ms[worker.worker_id, worker.born_ms] = self._clock()

    # What workers see.

    def _on_started(self, worker: Worker, order: StartOrder) -> None:
        now = self._clock()
        self._starts += 1
        key = TaskKey(order.name.job_id, order.name.task)
        self._started.add(key.job_id)
        job = self._jobs.get(key.job_id)
        where = f"{key} run {order.name.run} on {worker.worker_id}"
        if job is None or job.payload != order.payload:
            self._violations.add("only what was sent runs", where)
            return
        self._check_once(key, order.name, where)
        self._check_order(job, key, where)
        self._check_late(worker, key, where, now)
        lasting = job.steps[key.task.step].long_running
        if self._recorded_failures.get(key, 0) >= job.max_attempts and not lasting:
            self._violations.add("attempts are bounded", where)
        if key.job_id in self._refused:
            self._violations.add("a refusal is true", where)
        self._live.setdefault(key, []).append(live_run(worker, order, now))
        self._check_room(worker, where)

    def _check_once(self, key: TaskKey, name: RunName, where: str) -> None:
        if key in self._recorded_done:
            self._violations.add("a task runs once", f"{where} after its end was recorded")
        others = self._live.get(key, ())
        if others:
            self._violations.add("a task runs once", f"{where} beside {list(others)}")

    def _check_order(self, job: SentJob, key: TaskKey, where: str) -> None:
        for before in job.steps[key.task.step].after:
            for index in range(job.steps[before].count):
                if TaskKey(job.job_id, TaskRef(0, before, index)) not in self._done:
                    self._violations.add("steps keep their order", f"{where}: {before}.{index}")
        if job.due_ms and self._wall() < job.due_ms - EARLY_MS:
            self._violations.add("no start before its time", where)

    def _check_late(self, worker: Worker, key: TaskKey, where: str, now: int) -> None:
        since = {
            "nothing starts in a zone that is out": (
                self._zones_out_ms.get(worker.availability_zone),
                ZONE_OUT_MS,
            ),
            "nothing starts on a draining worker": (
                self._draining_ms.get((worker.worker_id, worker.born_ms)),
                DRAIN_MS,
            ),
            "nothing starts for a cancelled job": (self._cancelled_ms.get(key.job_id), CANCEL_MS),
        }
        for promise, (began_ms, bound_ms) in since.items():
            if began_ms is not None and now - began_ms > bound_ms:
                self._violations.add(promise, f"{where} {now - began_ms} ms after")

    def _check_room(self, worker: Worker, where: str) -> None:
        used = Resources()
        for runs in self._live.values():
            for run in runs:
                if (run.worker_id, run.born_ms) == (worker.worker_id, worker.born_ms):
                    job = self._jobs[run.name.job_id]
                    used = used + job.steps[run.name.task.step].demand
        if not used.fits(worker.capacity):
            self._violations.add("no worker is overfull", f"{where}: {used}")

    def _on_ended(self, worker: Worker, ended: EndedTask) -> None:
        key = TaskKey(ended.name.job_id, ended.name.task)
        self._remove_live(worker, key, ended.name)
        if ended.end is RunEnd.DONE:
            job = self._jobs.get(key.job_id)
            if job is not None and job.steps[key.task.step].gang:
                # One end represents all members.
                for index in range(job.steps[key.task.step].count):
                    self._done.add(TaskKey(key.job_id, TaskRef(0, key.task.step, index)))
            self._done.add(key)
        if ended.end is RunEnd.FAILED:
            self._failures[key] = self._failures.get(key, 0) + 1

    def _on_acknowledged(self, worker: Worker, ended: EndedTask) -> None:
        key = TaskKey(ended.name.job_id, ended.name.task)
        if ended.end is RunEnd.DONE:
            self._recorded_done.add(key)
        if ended.end is RunEnd.FAILED:
            self._recorded_failures[key] = self._recorded_failures.get(key, 0) + 1

    def _on_vanished(self, worker: Worker, name: RunName) -> None:
        self._remove_live(worker, TaskKey(name.job_id, name.task), name)

    def _remove_live(self, worker: Worker, key: TaskKey, name: RunName) -> None:
        self._live[key] = [
            run
            for run in self._live.get(key, ())
            if (run.name, run.worker_id, run.born_ms) != (name, worker.worker_id, worker.born_ms)
        ]
