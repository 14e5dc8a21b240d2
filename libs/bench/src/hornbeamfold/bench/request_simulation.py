"""Simulation for the request trial: a virtual clock, instances, workers and links."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random
from time import process_time_ns

from hornbeamfold.bench.request_stream import SLOTS, WORKERS, Job
from hornbeamfold.routing import (
    Candidates,
    FairQueue,
    LatencyTable,
    LinkCosts,
    OutlierTable,
    RetryBudget,
    Router,
)

REGIONS = {"sousse": "east", "monastir": "east", "sfax": "south"}
ZONES = tuple(REGIONS)
# The zone of each instance.
INSTANCE_ZONES = ("sousse", "sousse", "sousse", "monastir", "monastir", "monastir", "sfax", "sfax")
# Connections of one instance to one worker.
CONNECTIONS = 7
# In this window all requests on this worker fail after FAIL_FAST_MS.
FAILING_WINDOW_MS, FAILING_WORKER = (20_000, 55_000), "w2"
# 15 Mbit/s between regions.
LINK_BYTES_PER_MS = 15_000_000 / 8 / 1000
CLAIM_DELAY_MS, FAILURE_DETECTION_MS, CALLER_RETRY_MS = 40.0, 1_500.0, 50.0
# One run in STRAGGLER_INTERVAL takes STRAGGLER_FACTOR times its service time.
FAIL_FAST_MS, STRAGGLER_FACTOR = 20.0, 6.0
LOST_REPLY_SHARE, STRAGGLER_INTERVAL = 0.002, 100
QUEUE_LIMIT = 2_000


class SimulatedInstance:
    """The state of one simulated instance."""

    def __init__(self, number: int, seed: int) -> None:
        self.number = number
        self.name = f"i{number}"
        self.zone = INSTANCE_ZONES[number]
        self.alive = True
        self.jobs: dict[int, Job] = {}
        self.running = 0
        self.latencies = LatencyTable()
        rng = Random(seed * 100 + number)
        region = REGIONS[self.zone]
        self.router = Router(self.zone, region, LinkCosts(), CONNECTIONS, self.latencies, rng)
        self.queue: FairQueue[Job] = FairQueue(QUEUE_LIMIT, lambda organisation: 1.0)
        self.budget = RetryBudget(0)
        self.outliers = OutlierTable()
        self.fifo: deque[Job] = deque()
        self.next_worker_index = number
        self.paused_until_ms = 0.0
        self.candidates = Candidates((), ())


class SimulatedWorker:
    """The state of one simulated worker; `busy` counts its slots in use."""

    def __init__(self, number: int) -> None:
        self.name = f"w{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.busy = 0


class Simulation:
    """Discrete-event simulation of the network and the workers; a policy drives the instances."""

    def __init__(self, seed: int, policy: "Policy") -> None:
        self.now = 0.0
        self.policy = policy
        self.rng = Random(seed)
        self.instances = [SimulatedInstance(n, seed) for n in range(len(INSTANCE_ZONES))]
        self.workers = {f"w{n}": SimulatedWorker(n) for n in range(WORKERS)}
        self.jobs: list[Job] = []
        self.cross_region_bytes = 0
        self.busy_replies = 0
        self.decisions = 0
        self.decision_ns = 0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._event_sequence = 0
        self._link_free_at_ms = {"east": 0.0, "south": 0.0}

    @property
    def now_ms(self) -> int:
        """The virtual time in whole milliseconds, as the libraries expect it."""
        return int(self.now)

    def after(self, delay_ms: float, function: Callable[..., None], *arguments: object) -> None:
        """Schedule a call after a delay."""
        self._event_sequence += 1
        heappush(self._events, (self.now + delay_ms, self._event_sequence, function, arguments))

    def run(self) -> None:
        """Process events until none are left."""
        while self._events:
            self.now, _, function, arguments = heappop(self._events)
            function(*arguments)

    def transfer_ms(self, source: str, destination: str, size: int) -> float:
        """Return the transfer time between zones; each region has one slow outgoing link."""
        region = REGIONS[source]
        if region == REGIONS[destination]:
            return 0.1 if source == destination else 1.0
        self.cross_region_bytes += size
        begin = max(self.now, self._link_free_at_ms[region])
        self._link_free_at_ms[region] = begin + size / LINK_BYTES_PER_MS
        return self._link_free_at_ms[region] - self.now + 20.0

    def submit(self, job: Job) -> None:
        """Pass a request to a random live instance, as a load balancer does."""
        if job.outcome:
            return
        instance = self.instances[self.rng.randrange(len(self.instances))]
        if not instance.alive:
            self.submit(job)
            return
        job.attempt += 1
        # Replies to a dead instance are dropped without being counted, so the count starts anew.
        job.copies_in_flight = 0
        job.instance = instance.number
        instance.jobs[job.number] = job
        self.policy.admit(self, instance, job)
        self.dispatch_waiting(instance)

    def dispatch_waiting(self, instance: SimulatedInstance) -> None:
        """Send waiting requests to workers until the policy picks none."""
        while instance.alive:
            begin = process_time_ns()
            picked = self.policy.pick(self, instance)
            self.decision_ns += process_time_ns() - begin
            self.decisions += 1
            if picked is None:
                return
            self.send(instance, *picked)

    def send(self, instance: SimulatedInstance, job: Job, worker: str) -> None:
        """Send a request; if the policy uses claims, a non-idempotent one is claimed first."""
        job.sends += 1
        job.copies_in_flight += 1
        job.worker = worker
        job.run_state = ""
        instance.running += 1
        instance.router.request_started(worker)
        claims = self.policy.claims and not job.kind.idempotent
        self.after(
            CLAIM_DELAY_MS if claims else 0.0, self._transmit, instance, job, worker, self.now
        )

    def _transmit(self, instance: SimulatedInstance, job: Job, worker: str, sent_ms: float) -> None:
        if not instance.alive:
            return
        destination = self.workers[worker]
        transfer_ms = self.transfer_ms(instance.zone, destination.zone, job.kind.request_bytes)
        self.after(transfer_ms, self._receive, instance, job, destination, sent_ms)

    def _receive(
        self, instance: SimulatedInstance, job: Job, worker: SimulatedWorker, sent_ms: float
    ) -> None:
        if worker.busy >= SLOTS:
            self.busy_replies += 1
            transfer_ms = self.transfer_ms(worker.zone, instance.zone, 200)
            self.after(transfer_ms, self._reply, instance, job, worker.name, "busy", sent_ms)
            return
        worker.busy += 1
        job.starts += 1
        if job.starts == 1:
            job.started_ms = self.now
        job.run_state = "running"
        service_ms, result = job.service_ms, "failed" if job.poison else "done"
        if (job.number * 7 + job.starts) % STRAGGLER_INTERVAL == 0:
            service_ms *= STRAGGLER_FACTOR
        if (
            worker.name == FAILING_WORKER
            and FAILING_WINDOW_MS[0] <= self.now < FAILING_WINDOW_MS[1]
        ):
            service_ms, result = FAIL_FAST_MS, "failed"
        self.after(service_ms, self._finish, instance, job, worker, result, service_ms, sent_ms)

    def _finish(
        self,
        instance: SimulatedInstance,
        job: Job,
        worker: SimulatedWorker,
        result: str,
        ran_ms: float,
        sent_ms: float,
    ) -> None:
        worker.busy -= 1
        job.run_state = result
        if result == "done" and not job.first_success[2]:
            job.first_success = (self.now - ran_ms, self.now, worker.zone)
        transfer_ms = self.transfer_ms(worker.zone, instance.zone, job.kind.answer_bytes)
        outcome = "lost" if self.rng.random() < LOST_REPLY_SHARE else result
        self.after(transfer_ms, self._reply, instance, job, worker.name, outcome, sent_ms)

    def _reply(
        self, instance: SimulatedInstance, job: Job, worker: str, outcome: str, sent_ms: float
    ) -> None:
        if not instance.alive:
            return
        job.copies_in_flight -= 1
        instance.running -= 1
        instance.router.request_ended(worker)
        self.policy.on_reply(self, instance, job, worker, outcome, int(sent_ms))
        self.dispatch_waiting(instance)

    def complete(self, job: Job, outcome: str) -> None:
        """Answer the caller, unless the request already has an outcome."""
        if job.outcome:
            return
        self.instances[job.instance].jobs.pop(job.number, None)
        job.outcome = outcome
        job.ended_ms = self.now + 1.0

    def kill(self, instance: SimulatedInstance) -> None:
        """Stop an instance; its callers see a broken connection and retry on another instance."""
        instance.alive = False
        for job in list(instance.jobs.values()):
            if self.policy.claims and not job.kind.idempotent and job.sends:
                self.after(FAILURE_DETECTION_MS, self.resolve_claim, job)
                continue
            self.after(CALLER_RETRY_MS, self.submit, job)

    def resolve_claim(self, job: Job) -> None:
        """Resolve a claim held by a dead instance from the state of the task on its worker."""
        if job.run_state == "running":
            self.after(100.0, self.resolve_claim, job)
        elif job.run_state:
            self.complete(job, job.run_state)
        else:
            self.submit(job)


@dataclass(frozen=True)
class Policy:
    """The behaviour that is compared: admission, choice of the next request, and retries."""

    name: str
    claims: bool
    admit: Callable[[Simulation, SimulatedInstance, Job], None]
    pick: Callable[[Simulation, SimulatedInstance], tuple[Job, str] | None]
    on_reply: Callable[[Simulation, SimulatedInstance, Job, str, str, int], None]
