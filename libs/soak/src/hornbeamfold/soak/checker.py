"""Checks the guarantees during the soak, from what callers and workers observe."""

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
from hornbeamfold.emulator.platform import REGISTRATION_INTERVAL_MS
from hornbeamfold.emulator.workers import Observer
from hornbeamfold.soak.ready_work import WaitingStep
from hornbeamfold.soak.records import (
    LiveRun,
    SubmissionResult,
    SubmittedJob,
    TaskKey,
    ViolationLog,
    live_run,
)

# The time bounds that the platform's sites require, in milliseconds.
ZONE_OUT_BOUND_MS = 5_000
DRAIN_BOUND_MS = 2_500
CANCEL_BOUND_MS = 3_000
REVOCATION_BOUND_MS = 5_000
VISIBILITY_BOUND_MS = 3_000
EARLY_START_TOLERANCE_MS = 250
FINAL_STATES = frozenset({"completed", "failed", "cancelled"})
# A smaller capacity of a worker binds after 4 s and one interval of its registration.
SHRINK_BOUND_MS = 4_000 + REGISTRATION_INTERVAL_MS
# A task may be given up after two workers have crashed under it; after three, it may be started
# twice more.
MIN_CRASHES_TO_GIVE_UP = 2
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 2
# After a crash an order that the worker has not answered may count as running until the lease of
# 6 s has expired, and a disturbance counts for another 4 s.
CRASH_ALLOWANCE_MS = 10_000


class Checker:
    """Follows the jobs on callers and workers, and reports violated guarantees."""

    def __init__(self, clock: Clock, wall_clock: Clock, violation_log: ViolationLog) -> None:
        self._clock = clock
        self._wall_clock = wall_clock
        self._violation_log = violation_log
        self._jobs: dict[str, SubmittedJob] = {}
        self._accepted_ms: dict[str, int] = {}
        self._refused_jobs: set[str] = set()
        self._started_jobs: set[str] = set()
        self._cancel_requested_jobs: set[str] = set()
        self._cancel_acknowledged_ms: dict[str, int] = {}
        self._live_runs: dict[TaskKey, list[LiveRun]] = {}
        self._done_tasks: set[TaskKey] = set()
        self._acknowledged_done_tasks: set[TaskKey] = set()
        self._failure_counts: dict[TaskKey, int] = {}
        self._acknowledged_failure_counts: dict[TaskKey, int] = {}
        self._crash_counts: dict[TaskKey, int] = {}
        self._starts_after_crashes: dict[TaskKey, int] = {}
        self._draining_ms: dict[tuple[str, int], int] = {}
        # Former capacities of each incarnation of a worker, with the time of their end.
        self._former_capacities: dict[tuple[str, int], list[tuple[int, Resources]]] = {}
        self._zones_out_ms: dict[str, int] = {}
        self._revoked_ms: dict[str, int] = {}
        self._ended_jobs: set[str] = set()
        self._last_crash_ms: int | None = None
        self._run_count = 0

    @property
    def observer(self) -> Observer:
        """The callbacks for the emulated workers."""
        return Observer(
            self._on_started,
            self._on_ended,
            self._on_acknowledged,
            self._on_lost,
            self._on_crashed,
        )

    @property
    def accepted_ms(self) -> Mapping[str, int]:
        """The time of the acceptance of each accepted job, by job id."""
        return self._accepted_ms

    @property
    def run_count(self) -> int:
        """The number of runs that were started."""
        return self._run_count

    def job(self, job_id: str) -> SubmittedJob:
        """Return a submitted job."""
        return self._jobs[job_id]

    # Observed by callers.

    def on_submit(self, job: SubmittedJob) -> None:
        """Record a job just before it is submitted."""
        self._jobs[job.job_id] = job

    def on_submission_result(self, job_id: str, result: SubmissionResult) -> None:
        """Record the final result of a submission, and check a refusal."""
        if result is SubmissionResult.ACCEPTED:
            self._accepted_ms.setdefault(job_id, self._clock())
        if result is SubmissionResult.REFUSED and job_id not in self._accepted_ms:
            self._refused_jobs.add(job_id)
            if job_id in self._started_jobs:
                self._violation_log.add("a refusal is true", f"{job_id} was refused but ran")

    def on_cancel_request(self, job_id: str) -> None:
        """Record a cancellation just before it is requested."""
        self._cancel_requested_jobs.add(job_id)

    def on_cancel_acknowledged(self, job_id: str) -> None:
        """Record that a cancellation was acknowledged."""
        self._cancel_acknowledged_ms.setdefault(job_id, self._clock())

    def check_state(self, job_id: str, state: str) -> None:
        """Check a job state that a caller received."""
        if state in FINAL_STATES:
            self._ended_jobs.add(job_id)
        job = self._jobs[job_id]
        keys = [TaskKey(job_id, ref) for ref in job.task_refs()]
        if state == "completed" and not all(key in self._done_tasks for key in keys):
            missing = [key.task for key in keys if key not in self._done_tasks]
            self._violation_log.add("completed is true", f"{job_id}: {missing} did not end as done")
        if state == "failed" and not any(self._may_be_given_up(job, key) for key in keys):
            self._violation_log.add("failed is true", f"{job_id} has attempts left")
        if state == "cancelled" and job_id not in self._cancel_requested_jobs:
            self._violation_log.add("cancelled is true", f"{job_id}: no caller cancelled it")

    def _may_be_given_up(self, job: SubmittedJob, key: TaskKey) -> bool:
        return (
            self._failure_counts.get(key, 0) >= job.max_attempts
            or self._crash_counts.get(key, 0) >= MIN_CRASHES_TO_GIVE_UP
        )

    def used_resources(self) -> dict[tuple[str, int], Resources]:
        """Return what the live runs on each incarnation of a worker use."""
        used: dict[tuple[str, int], Resources] = {}
        for runs in self._live_runs.values():
            for run in runs:
                demand = self._jobs[run.name.job_id].steps[run.name.task.step].demand
                key = (run.worker_id, run.born_ms)
                used[key] = used.get(key, Resources()) + demand
        return used

    def waiting_steps(self) -> list[WaitingStep]:
        """Return the steps whose turn has come, of accepted jobs that have nothing running.

        There are none for some time after a worker has crashed.
        """
        if (
            self._last_crash_ms is not None
            and self._clock() - self._last_crash_ms < CRASH_ALLOWANCE_MS
        ):
            return []
        live_jobs = {key.job_id for key, runs in self._live_runs.items() if runs}
        excluded = live_jobs | self._ended_jobs | self._cancel_requested_jobs
        found: list[WaitingStep] = []
        for job_id in self._accepted_ms:
            if job_id in excluded:
                continue
            job = self._jobs[job_id]
            keys = [TaskKey(job_id, ref) for ref in job.task_refs()]
            if self._wall_clock() < job.due_ms or any(
                self._may_be_given_up(job, key) for key in keys
            ):
                continue
            for index, step in enumerate(job.steps):
                waiting = [
                    key for key in keys if key.task.step == index and key not in self._done_tasks
                ]
                ready = all(
                    key in self._acknowledged_done_tasks
                    for key in keys
                    if key.task.step in step.after
                )
                if waiting and ready:
                    tasks = step.count if step.gang else len(waiting)
                    found.append(WaitingStep(job_id, index, tasks, step.demand))
        return found

    def check_unknown_job(self, job_id: str, asked_ms: int) -> None:
        """Check an answer that a job is unknown."""
        accepted = self._accepted_ms.get(job_id)
        if accepted is None or job_id in self._cancel_requested_jobs:
            return
        if asked_ms - accepted > VISIBILITY_BOUND_MS:
            self._violation_log.add(
                "no job is lost", f"{job_id} unknown {asked_ms - accepted} ms after its answer"
            )

    def check_key_use(self, key: str, sent_ms: int) -> None:
        """Check a call that was served under an API key."""
        revoked = self._revoked_ms.get(key)
        if revoked is not None and sent_ms - revoked > REVOCATION_BOUND_MS:
            self._violation_log.add(
                "a key that was taken away is refused", f"{key} served {sent_ms - revoked} ms after"
            )

    # Actions of operators.

    def on_key_revoked(self, key: str) -> None:
        """Record that the published configuration lacks the key."""
        self._revoked_ms[key] = self._clock()

    def on_key_restored(self, key: str) -> None:
        """Record that the key is about to become valid again."""
        self._revoked_ms.pop(key, None)

    def on_zone_out_of_service(self, zone: str) -> None:
        """Record that the store has a zone out of service."""
        self._zones_out_ms[zone] = self._clock()

    def on_zone_in_service(self, zone: str) -> None:
        """Record that the zone is about to return to service."""
        self._zones_out_ms.pop(zone, None)

    def on_worker_draining(self, worker: Worker) -> None:
        """Record that a worker has reported that it is draining."""
        self._draining_ms[worker.worker_id, worker.born_ms] = self._clock()

    def on_capacity_change(self, worker: Worker) -> None:
        """Record that the capacity in this description of a worker is about to change."""
        former = self._former_capacities.setdefault((worker.worker_id, worker.born_ms), [])
        former.append((self._clock(), worker.capacity))

    # Observed on workers.

    def _on_started(self, worker: Worker, order: StartOrder) -> None:
        now_ms = self._clock()
        self._run_count += 1
        key = TaskKey(order.name.job_id, order.name.task)
        self._started_jobs.add(key.job_id)
        job = self._jobs.get(key.job_id)
        description = f"{key} run {order.name.run} on {worker.worker_id}"
        if job is None or job.payload != order.payload:
            self._violation_log.add("only what was sent runs", description)
            return
        self._check_single_run(key, order.name, description)
        self._check_preconditions(job, key, description)
        self._check_forbidden_starts(worker, key, description, now_ms)
        long_running = job.steps[key.task.step].long_running
        if self._acknowledged_failure_counts.get(key, 0) >= job.max_attempts and not long_running:
            self._violation_log.add("attempts are bounded", description)
        self._check_crash_budget(job, key, description)
        if key.job_id in self._refused_jobs:
            self._violation_log.add("a refusal is true", description)
        self._live_runs.setdefault(key, []).append(live_run(worker, order, now_ms))
        self._check_capacity(worker, job.steps[key.task.step].demand, description)

    def _check_single_run(self, key: TaskKey, name: RunName, description: str) -> None:
        if key in self._acknowledged_done_tasks:
            self._violation_log.add("a task runs once", f"{description} after its end was recorded")
        live_runs = self._live_runs.get(key, ())
        if live_runs:
            self._violation_log.add("a task runs once", f"{description} beside {list(live_runs)}")

    def _check_crash_budget(self, job: SubmittedJob, key: TaskKey, description: str) -> None:
        if not job.crashes or self._crash_counts.get(key, 0) < MAX_CRASHES:
            return
        starts = self._starts_after_crashes.get(key, 0) + 1
        self._starts_after_crashes[key] = starts
        if starts > MAX_STARTS_AFTER_CRASHES:
            self._violation_log.add(
                "crashing tasks are bounded",
                f"{description}: start {starts} after {MAX_CRASHES} crashes",
            )

    def _check_preconditions(self, job: SubmittedJob, key: TaskKey, description: str) -> None:
        for dependency in job.steps[key.task.step].after:
            for index in range(job.steps[dependency].count):
                if TaskKey(job.job_id, TaskRef(0, dependency, index)) not in self._done_tasks:
                    self._violation_log.add(
                        "steps keep their order", f"{description}: {dependency}.{index}"
                    )
        if job.due_ms and self._wall_clock() < job.due_ms - EARLY_START_TOLERANCE_MS:
            self._violation_log.add("no start before its time", description)

    def _check_forbidden_starts(
        self, worker: Worker, key: TaskKey, description: str, now_ms: int
    ) -> None:
        forbidden_since = {
            "nothing starts in a zone that is out": (
                self._zones_out_ms.get(worker.availability_zone),
                ZONE_OUT_BOUND_MS,
            ),
            "nothing starts on a draining worker": (
                self._draining_ms.get((worker.worker_id, worker.born_ms)),
                DRAIN_BOUND_MS,
            ),
            "nothing starts for a cancelled job": (
                self._cancel_acknowledged_ms.get(key.job_id),
                CANCEL_BOUND_MS,
            ),
        }
        for guarantee, (since_ms, bound_ms) in forbidden_since.items():
            if since_ms is not None and now_ms - since_ms > bound_ms:
                self._violation_log.add(guarantee, f"{description} {now_ms - since_ms} ms after")

    def _check_capacity(self, worker: Worker, demand: Resources, description: str) -> None:
        used = self.used_resources()[worker.worker_id, worker.born_ms]
        # Where the worker has shrunk below what it runs, a start only adds to what it demands.
        added = Resources(
            used.cpu_millis if demand.cpu_millis else 0,
            used.memory_mb if demand.memory_mb else 0,
            used.accelerators if demand.accelerators else 0,
        )
        capacity = self._binding_capacity(worker)
        if not added.fits(capacity):
            self._violation_log.add("no worker is overfull", f"{description}: {used} of {capacity}")

    def _binding_capacity(self, worker: Worker) -> Resources:
        """Return the largest amount of each resource that the worker had until the bound."""
        since_ms = self._clock() - SHRINK_BOUND_MS
        former = self._former_capacities.get((worker.worker_id, worker.born_ms), ())
        recent = [capacity for until_ms, capacity in former if until_ms >= since_ms]
        capacities = (worker.capacity, *recent)
        return Resources(
            max(each.cpu_millis for each in capacities),
            max(each.memory_mb for each in capacities),
            max(each.accelerators for each in capacities),
        )

    def _on_ended(self, worker: Worker, ended: EndedTask) -> None:
        key = TaskKey(ended.name.job_id, ended.name.task)
        self._remove_live(worker, key, ended.name)
        if ended.end is RunEnd.DONE:
            job = self._jobs.get(key.job_id)
            if job is not None and job.steps[key.task.step].gang:
                # A gang reports one end for all its members.
                for index in range(job.steps[key.task.step].count):
                    self._done_tasks.add(TaskKey(key.job_id, TaskRef(0, key.task.step, index)))
            self._done_tasks.add(key)
        if ended.end is RunEnd.FAILED:
            self._failure_counts[key] = self._failure_counts.get(key, 0) + 1

    def _on_acknowledged(self, worker: Worker, ended: EndedTask) -> None:
        key = TaskKey(ended.name.job_id, ended.name.task)
        if ended.end is RunEnd.DONE:
            self._acknowledged_done_tasks.add(key)
        if ended.end is RunEnd.FAILED:
            self._acknowledged_failure_counts[key] = (
                self._acknowledged_failure_counts.get(key, 0) + 1
            )

    def _on_lost(self, worker: Worker, name: RunName) -> None:
        self._remove_live(worker, TaskKey(name.job_id, name.task), name)

    def _on_crashed(self, worker: Worker, names: tuple[RunName, ...]) -> None:
        self._last_crash_ms = self._clock()
        for name in names:
            key = TaskKey(name.job_id, name.task)
            self._crash_counts[key] = self._crash_counts.get(key, 0) + 1

    def _remove_live(self, worker: Worker, key: TaskKey, name: RunName) -> None:
        self._live_runs[key] = [
            run
            for run in self._live_runs.get(key, ())
            if (run.name, run.worker_id, run.born_ms) != (name, worker.worker_id, worker.born_ms)
        ]
