"""The load of the soak: callers that submit jobs, cancel some, and poll the states of all."""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

import eventlet
import msgspec

from hornbeamfold.batch import Resources, Step, elapsed_ms, unix_ms
from hornbeamfold.emulator.callers import batch_document, call
from hornbeamfold.emulator.platform import QUEUES
from hornbeamfold.platform.http import HttpClient
from hornbeamfold.soak.checker import FINAL_STATES
from hornbeamfold.soak.cluster import DISTURBANCE_WINDOW_MS, SPARE_KEY, Cluster, Instance
from hornbeamfold.soak.records import SubmissionResult, SubmittedJob, SubmittedStep

CALLER_COUNT = 6
SUBMIT_ATTEMPTS = 4
RETRY_DELAY_S = 0.1
# Interval between two jobs of a caller; it keeps the workers about half full.
SUBMIT_INTERVAL_S = (0.2, 0.9)
POLL_INTERVAL_S = 0.4
MAX_JOBS_PER_POLL = 12
MAX_ATTEMPTS_BY_QUEUE = {str(queue["name"]): int(queue["max_attempts"]) for queue in QUEUES}
CANCEL_PROBABILITY = 0.12
CANCEL_DELAY_S = (0.1, 4.0)
SCHEDULED_PROBABILITY = 0.1
LONG_RUNNING_PROBABILITY = 0.06
FAILING_PROBABILITY = 0.05
# Newer runs have fewer callers of the usual jobs, so that accelerators stay idle.
NEWER_CALLER_COUNT = 2
# Interval between two jobs of the kinds that only newer runs have.
NEWER_SUBMIT_INTERVAL_S = (0.8, 3.0)
# Cumulative probabilities of these kinds; the remaining jobs prefer a rack.
CRASHING_PROBABILITY = 0.1
ONE_RACK_PROBABILITY = 0.4
# Steps wait for a rack in proportion to their estimates, which are their run times.
LOCAL_RUN_MS = (3_000, 8_000)
# By default the last rack has one worker, so that it is often full.
RACKS = ("r-1", "r-2", "r-2")
# Jobs whose ends come by the hundred.
WIDE_TASKS = (40, 300)
WIDE_RUN_MS = (1_000, 5_000)
WIDE_SUBMIT_INTERVAL_S = (1.5, 4.0)
# Just below the workers' bound of 200 ms.
SLOW_STOP_MS = 180
REFUSAL_STATUSES = frozenset({400, 401, 404, 429, 503})
# A graceful stop violates nothing by aborting a call that was sent at most this long before.
ABORT_TOLERANCE_MS = 200


JobSource = Callable[[Random, str], tuple[SubmittedJob, dict[str, Any]]]


def random_job(rng: Random, job_id: str) -> tuple[SubmittedJob, dict[str, Any]]:
    """Return a random job and the body of its submission."""
    queue = rng.choice(sorted(MAX_ATTEMPTS_BY_QUEUE))
    gang = rng.random() < 0.3
    long_running = not gang and rng.random() < LONG_RUNNING_PROBABILITY
    run_ms = rng.randint(100, 1_500)
    first_step = SubmittedStep(
        rng.randint(1, 4),
        Resources(rng.choice((1_000, 8_000, 16_000)), 4_096, rng.choice((0, 1, 2, 4))),
        (),
        gang,
        long_running,
    )
    steps = [first_step]
    if not gang and not long_running and rng.random() < 0.3:
        steps.append(SubmittedStep(rng.randint(1, 3), Resources(2_000, 1_024, 0), (0,)))
    due_ms = unix_ms() + rng.randint(500, 3_000) if rng.random() < SCHEDULED_PROBABILITY else 0
    work = {
        "run_ms": 10**9 if long_running else run_ms,
        "gang": first_step.count if gang else 1,
        "fails": rng.random() < FAILING_PROBABILITY and not long_running,
    }
    payload = msgspec.json.encode(work).decode()
    job = SubmittedJob(
        job_id, f"/{queue}/{job_id}", payload, tuple(steps), MAX_ATTEMPTS_BY_QUEUE[queue], due_ms
    )
    declared_steps = [declared_step(step, run_ms) for step in steps]
    return job, batch_document(payload, declared_steps, due_ms)


def newer_job(crashing: bool, rng: Random, job_id: str) -> tuple[SubmittedJob, dict[str, Any]]:
    """Return a random job of the kinds that only newer runs have, and its submission's body.

    Without `crashing`, no job crashes its workers.
    """
    queue = rng.choice(sorted(MAX_ATTEMPTS_BY_QUEUE))
    kind = rng.random()
    run_ms = rng.randint(*LOCAL_RUN_MS)
    demand = Resources(32_000, 4_096, rng.choice((0, 1)))
    crashes = crashing and kind < CRASHING_PROBABILITY
    if crashes:
        step = SubmittedStep(1, Resources(1_000, 1_024, rng.choice((0, 1))))
    elif kind < ONE_RACK_PROBABILITY:
        step = SubmittedStep(rng.randint(3, 4), demand, gang=True, one_rack=True)
    else:
        step = SubmittedStep(rng.randint(1, 2), demand, preferred_rack=rng.choice(RACKS))
    work = {
        "run_ms": run_ms,
        "gang": step.count if step.gang else 1,
        "crashes": crashes,
        "stop_ms": rng.choice((0, SLOW_STOP_MS)),
    }
    payload = msgspec.json.encode(work).decode()
    job = SubmittedJob(
        job_id,
        f"/{queue}/{job_id}",
        payload,
        (step,),
        MAX_ATTEMPTS_BY_QUEUE[queue],
        crashes=crashes,
    )
    return job, batch_document(payload, [declared_step(step, run_ms)])


def wide_job(rng: Random, job_id: str) -> tuple[SubmittedJob, dict[str, Any]]:
    """Return a job of many small tasks that end at about the same time, and its submission."""
    queue = rng.choice(sorted(MAX_ATTEMPTS_BY_QUEUE))
    run_ms = rng.randint(*WIDE_RUN_MS)
    step = SubmittedStep(rng.randint(*WIDE_TASKS), Resources(100, 256, 0))
    payload = msgspec.json.encode({"run_ms": run_ms}).decode()
    job = SubmittedJob(job_id, f"/{queue}/{job_id}", payload, (step,), MAX_ATTEMPTS_BY_QUEUE[queue])
    return job, batch_document(payload, [declared_step(step, run_ms)])


def declared_step(step: SubmittedStep, estimate_ms: int) -> Step:
    """Return the declaration of a step in a submission."""
    return Step(
        count=step.count,
        demand=step.demand,
        estimate_ms=estimate_ms,
        after=step.after,
        gang=step.gang,
        long_running=step.long_running,
        one_rack=step.one_rack,
        preferred_rack=step.preferred_rack,
    )


class LoadGenerator:
    """Callers that keep their connections open until the instance's process exits."""

    def __init__(
        self, cluster: Cluster, seed: int, newer: bool = False, wide: bool = False
    ) -> None:
        self._cluster = cluster
        self._newer = newer
        self._wide = wide
        self._seed = seed
        self._rng = Random(seed)
        self._last_job_number = 0
        self._submitting = True
        self._active_callers = 0
        self._final_states: dict[str, str] = {}
        self._to_cancel: set[str] = set()

    @property
    def final_states(self) -> dict[str, str]:
        """The final state of each finished job, by job id."""
        return self._final_states

    @property
    def active_callers(self) -> int:
        """The number of callers that still submit."""
        return self._active_callers

    def unfinished_jobs(self) -> list[str]:
        """Return the ids of accepted jobs whose final state is not known yet."""
        return [
            each for each in self._cluster.checker.accepted_ms if each not in self._final_states
        ]

    def start(self) -> None:
        """Start all callers."""
        for _ in range(NEWER_CALLER_COUNT if self._newer else CALLER_COUNT):
            eventlet.spawn(
                self._submit_loop, Random(self._rng.random()), random_job, SUBMIT_INTERVAL_S
            )
        eventlet.spawn(self._poll_loop, Random(self._rng.random()))
        eventlet.spawn(self._spare_key_loop, Random(self._rng.random()))
        if self._newer:
            # Crashes disturb the calm spells, so only odd seeds have them.
            eventlet.spawn(
                self._submit_loop,
                Random(self._rng.random()),
                partial(newer_job, self._seed % 2 == 1),
                NEWER_SUBMIT_INTERVAL_S,
            )

        if self._wide:
            eventlet.spawn(
                self._submit_loop, Random(self._rng.random()), wide_job, WIDE_SUBMIT_INTERVAL_S
            )

    def stop(self) -> None:
        """Submit no more jobs and cancel long-running ones; polling goes on."""
        self._submitting = False
        for job_id in self.unfinished_jobs():
            if self._cluster.checker.job(job_id).long_running:
                self._to_cancel.add(job_id)

    def _submit_loop(
        self, rng: Random, job_source: JobSource, interval_s: tuple[float, float]
    ) -> None:
        http = HttpClient()
        self._active_callers += 1
        while self._submitting:
            self._last_job_number += 1
            job, document = job_source(rng, f"{self._last_job_number:016x}")
            self._cluster.checker.on_submit(job)
            answer = self._submit(http, rng, job, document)
            self._cluster.checker.on_submission_result(job.job_id, answer)
            if answer is SubmissionResult.ACCEPTED and (
                job.long_running or rng.random() < CANCEL_PROBABILITY
            ):
                eventlet.spawn_after(rng.uniform(*CANCEL_DELAY_S), self._to_cancel.add, job.job_id)
            eventlet.sleep(rng.uniform(*interval_s))
        self._active_callers -= 1

    def _submit(
        self, http: HttpClient, rng: Random, job: SubmittedJob, document: dict[str, Any]
    ) -> SubmissionResult:
        """Submit a job at random instances until one accepts it or no attempt is left."""
        refused = True
        for _ in range(SUBMIT_ATTEMPTS):
            status, _ = self._call(
                http, rng.choice(self._cluster.instances), "POST", job.path, document
            )
            if status == 200:
                return SubmissionResult.ACCEPTED
            refused = refused and status in REFUSAL_STATUSES
            eventlet.sleep(RETRY_DELAY_S)
        return SubmissionResult.REFUSED if refused else SubmissionResult.UNKNOWN

    def _call(
        self, http: HttpClient, instance: Instance, method: str, path: str, document: Any = None
    ) -> tuple[int, Any]:
        """Call through an instance's link; check that a graceful stop aborts no call."""
        started_ms = elapsed_ms()
        process = instance.process
        status, answer = call(http, instance.caller_link.address, method, path, document)
        ended_ms = elapsed_ms()
        stop_requested_ms = instance.stop_requested_ms
        stopping_gracefully = (
            stop_requested_ms is not None
            and stop_requested_ms <= ended_ms
            and process is instance.process
        )
        undisturbed = started_ms - instance.disturbed_ms > DISTURBANCE_WINDOW_MS
        if (
            status == 0
            and stopping_gracefully
            and undisturbed
            and ended_ms - started_ms > ABORT_TOLERANCE_MS
        ):
            self._cluster.violation_log.add(
                "planned stops break nothing off",
                f"{method} {path} at {instance.name} after {ended_ms - started_ms} ms",
            )
        return status, answer

    def _poll_loop(self, rng: Random) -> None:
        """Poll the states of unfinished jobs, and send the cancellations that are due."""
        http = HttpClient()
        while True:
            open_jobs = self.unfinished_jobs()
            for job_id in rng.sample(open_jobs, min(len(open_jobs), MAX_JOBS_PER_POLL)):
                self._poll_job(http, rng, job_id)
            for job_id in tuple(self._to_cancel):
                self._cancel(http, rng, job_id)
            eventlet.sleep(POLL_INTERVAL_S)

    def _poll_job(self, http: HttpClient, rng: Random, job_id: str) -> None:
        sent_ms = elapsed_ms()
        instance = rng.choice(self._cluster.instances)
        status, answer = self._call(http, instance, "GET", self._cluster.checker.job(job_id).path)
        if status == 410:
            self._cluster.checker.check_unknown_job(job_id, sent_ms)
        if status != 200:
            return
        state = answer["state"]
        self._cluster.checker.check_state(job_id, state)
        if state in FINAL_STATES:
            self._final_states[job_id] = state

    def _cancel(self, http: HttpClient, rng: Random, job_id: str) -> None:
        self._cluster.checker.on_cancel_request(job_id)
        instance = rng.choice(self._cluster.instances)
        status, _ = self._call(http, instance, "DELETE", self._cluster.checker.job(job_id).path)
        if status == 200:
            self._cluster.checker.on_cancel_acknowledged(job_id)
        if status in (200, 410):
            self._to_cancel.discard(job_id)

    def _spare_key_loop(self, rng: Random) -> None:
        """Call with the key that is revoked now and then, on open connections."""
        http = HttpClient()
        while True:
            instance = rng.choice(self._cluster.instances)
            sent_ms = elapsed_ms()
            status, _ = call(
                http, instance.caller_link.address, "GET", "/urgent/", api_key=SPARE_KEY
            )
            if status == 200:
                self._cluster.checker.check_key_use(SPARE_KEY, sent_ms)
            eventlet.sleep(POLL_INTERVAL_S)
