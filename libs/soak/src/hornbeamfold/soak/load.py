"""The soak's callers: they submit jobs, cancel some, and ask for the states of all."""

from functools import partial
from random import Random
from typing import Any

import eventlet
import msgspec

from hornbeamfold.batch import Resources, Step, elapsed_ms, unix_ms
from hornbeamfold.emulator.callers import batch_document, call
from hornbeamfold.emulator.platform import QUEUES
from hornbeamfold.platform.http import HttpClient
from hornbeamfold.soak.cluster import CONTACT_WINDOW_MS, SPARE_KEY, Node, Scene
from hornbeamfold.soak.records import Answer, SentJob, SentStep

CALLERS = 6
TRIES = 4
RETRY_S = 0.1
# Pause of one caller between two jobs, so that the workers are about half full.
PAUSE_S = (0.2, 0.9)
ASK_PAUSE_S = 0.4
STATES_AT_ONCE = 12
ATTEMPTS = {str(queue["name"]): int(queue["max_attempts"]) for queue in QUEUES}
CANCEL_SHARE = 0.12
CANCEL_AFTER_S = (0.1, 4.0)
SCHEDULED_SHARE = 0.1
LASTING_SHARE = 0.06
HOPELESS_SHARE = 0.05
FINAL = frozenset({"completed", "failed", "cancelled"})
REFUSALS = frozenset({400, 401, 404, 429, 503})
# A planned stop may break a call off so soon after it was sent.
LOSS_SLACK_MS = 200


def random_job(rng: Random, job_id: str) -> tuple[SentJob, dict[str, Any]]:
    """Return a job and the body of its submission."""
    queue = rng.choice(sorted(ATTEMPTS))
    gang = rng.random() < 0.3
    lasting = not gang and rng.random() < LASTING_SHARE
    run_ms = rng.randint(100, 1_500)
    first = SentStep(
        rng.randint(1, 4),
        Resources(rng.choice((1_000, 8_000, 16_000)), 4_096, rng.choice((0, 1, 2, 4))),
        (),
        gang,
        lasting,
    )
    steps = [first]
    if not gang and not lasting and rng.random() < 0.3:
        steps.append(SentStep(rng.randint(1, 3), Resources(2_000, 1_024, 0), (0,)))
    due_ms = unix_ms() + rng.randint(500, 3_000) if rng.random() < SCHEDULED_SHARE else 0
    work = {
        "run_ms": 10**9 if lasting else run_ms,
        "gang": first.count if gang else 1,
        "fails": rng.random() < HOPELESS_SHARE and not lasting,
    }
    payload = msgspec.json.encode(work).decode()
    job = SentJob(job_id, f"/{queue}/{job_id}", payload, tuple(steps), ATTEMPTS[queue], due_ms)
    specs = [step_spec(step, run_ms) for step in steps]
    return job, batch_document(payload, specs, due_ms)


def step_spec(step: SentStep, estimate_ms: int) -> Step:
    """Return a step as callers declare it."""
    return Step(
        count=step.count,
        demand=step.demand,
        estimate_ms=estimate_ms,
        after=step.after,
        gang=step.gang,
        long_running=step.long_running,
    )


class Load:
    """Callers that keep their connections open until the process at the other end is gone."""

    def __init__(self, scene: Scene, seed: int) -> None:
        self._scene = scene
        self._rng = Random(seed)
        self._number = 0
        self._wanted = True
        self._running = 0
        self._final: dict[str, str] = {}
        self._to_cancel: set[str] = set()

    @property
    def final(self) -> dict[str, str]:
        """The final states of the jobs that have one."""
        return self._final

    @property
    def callers_left(self) -> int:
        """How many callers are still in a call."""
        return self._running

    def open_jobs(self) -> list[str]:
        """Return the accepted jobs whose final state is not known yet."""
        return [each for each in self._scene.witness.accepted if each not in self._final]

    def start(self) -> None:
        """Begin to send."""
        for _ in range(CALLERS):
            eventlet.spawn(self._submit_for_ever, Random(self._rng.random()))
        eventlet.spawn(self._ask_for_ever, Random(self._rng.random()))
        eventlet.spawn(self._try_spare_key, Random(self._rng.random()))

    def stop(self) -> None:
        """Submit nothing more; states are still asked for, and lasting jobs are cancelled."""
        self._wanted = False
        for job_id in self.open_jobs():
            if self._scene.witness.job(job_id).lasting:
                self._to_cancel.add(job_id)

    def _submit_for_ever(self, rng: Random) -> None:
        http = HttpClient()
        self._running += 1
        while self._wanted:
            self._number += 1
            job, document = random_job(rng, f"{self._number:016x}")
            self._scene.witness.sending(job)
            answer = self._submit(http, rng, job, document)
            self._scene.witness.answered(job.job_id, answer)
            if answer is Answer.ACCEPTED and (job.lasting or rng.random() < CANCEL_SHARE):
                self._scene.later(
                    rng.uniform(*CANCEL_AFTER_S), partial(self._to_cancel.add, job.job_id)
                )
            eventlet.sleep(rng.uniform(*PAUSE_S))
        self._running -= 1

    def _submit(
        self, http: HttpClient, rng: Random, job: SentJob, document: dict[str, Any]
    ) -> Answer:
        """Submit a job, at other instances again if the outcome is not known."""
        refused = True
        for _ in range(TRIES):
            status, _ = self._call(http, rng.choice(self._scene.nodes), "POST", job.path, document)
            if status == 200:
                return Answer.ACCEPTED
            refused = refused and status in REFUSALS
            eventlet.sleep(RETRY_S)
        return Answer.REFUSED if refused else Answer.UNKNOWN

    def _call(
        self, http: HttpClient, node: Node, method: str, path: str, document: Any = None
    ) -> tuple[int, Any]:
        """Call through an instance's link; check that a planned stop breaks nothing off."""
        began = elapsed_ms()
        process = node.process
        status, answer = call(http, node.caller_link.address, method, path, document)
        ended = elapsed_ms()
        stopping = node.stopping_ms
        planned = stopping is not None and stopping <= ended and process is node.process
        calm = began - node.disturbed_ms > CONTACT_WINDOW_MS
        if status == 0 and planned and calm and ended - began > LOSS_SLACK_MS:
            self._scene.violations.add(
                "planned stops break nothing off",
                f"{method} {path} at {node.name} after {ended - began} ms",
            )
        return status, answer

    def _ask_for_ever(self, rng: Random) -> None:
        """Ask for the states of open jobs, and cancel those that are to be cancelled."""
        http = HttpClient()
        while True:
            open_jobs = self.open_jobs()
            for job_id in rng.sample(open_jobs, min(len(open_jobs), STATES_AT_ONCE)):
                self._ask(http, rng, job_id)
            for job_id in tuple(self._to_cancel):
                self._cancel(http, rng, job_id)
            eventlet.sleep(ASK_PAUSE_S)

    def _ask(self, http: HttpClient, rng: Random, job_id: str) -> None:
        asked_ms = elapsed_ms()
        node = rng.choice(self._scene.nodes)
        status, answer = self._call(http, node, "GET", self._scene.witness.job(job_id).path)
        if status == 410:
            self._scene.witness.unknown_seen(job_id, asked_ms)
        if status != 200:
            return
        state = answer["state"]
        self._scene.witness.state_seen(job_id, state)
        if state in FINAL:
            self._final[job_id] = state

    def _cancel(self, http: HttpClient, rng: Random, job_id: str) -> None:
        self._scene.witness.cancelling(job_id)
        node = rng.choice(self._scene.nodes)
        status, _ = self._call(http, node, "DELETE", self._scene.witness.job(job_id).path)
        if status == 200:
            self._scene.witness.cancelled(job_id)
        if status in (200, 410):
            self._to_cancel.discard(job_id)

    def _try_spare_key(self, rng: Random) -> None:
        """Use the key that is taken away now and then, on open connections."""
        http = HttpClient()
        while True:
            node = rng.choice(self._scene.nodes)
            sent_ms = elapsed_ms()
            status, _ = call(http, node.caller_link.address, "GET", "/urgent/", api_key=SPARE_KEY)
            if status == 200:
                self._scene.witness.key_served(SPARE_KEY, sent_ms)
            eventlet.sleep(ASK_PAUSE_S)
