"""The world of the request trial: a virtual clock, instances, workers and links."""

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
INSTANCE_ZONES = ("sousse", "sousse", "sousse", "monastir", "monastir", "monastir", "sfax", "sfax")
CONNECTIONS = 7
FAILING_MS, FAILING_WORKER = (20_000, 55_000), "w2"
LINK_BYTES_PER_MS = 15_000_000 / 8 / 1000
CLAIM_MS, SUSPECT_MS, CALLER_RETRY_MS = 40.0, 1_500.0, 50.0
FAIL_FAST_MS, STRAGGLER_FACTOR = 20.0, 6.0
LOST_REPLY_SHARE, STRAGGLER_EVERY = 0.002, 100
QUEUE_LIMIT = 2_000


class Site:
    """The state of one instance."""

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
        self.turn = number
        self.paused_until = 0.0
        self.candidates = Candidates((), ())


class Target:
    """The state of one worker."""

    def __init__(self, number: int) -> None:
        self.name = f"w{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.busy = 0


class World:
    """The event heap, the network and the workers; a policy drives the instances."""

    def __init__(self, seed: int, policy: "Policy") -> None:
        self.now = 0.0
        self.policy = policy
        self.rng = Random(seed)
        self.sites = [Site(n, seed) for n in range(len(INSTANCE_ZONES))]
        self.targets = {f"w{n}": Target(n) for n in range(WORKERS)}
        self.jobs: list[Job] = []
        self.bytes_across = 0
        self.busy_replies = 0
        self.decisions = 0
        self.decision_ns = 0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._count = 0
        self._link_free = {"east": 0.0, "south": 0.0}

    @property
    def now_ms(self) -> int:
        """The time as the libraries take it."""
        return int(self.now)

    def after(self, delay_ms: float, call: Callable[..., None], *arguments: object) -> None:
        """Call later."""
        self._count += 1
        heappush(self._events, (self.now + delay_ms, self._count, call, arguments))

    def run(self) -> None:
        """Run until nothing more happens."""
        while self._events:
            self.now, _, call, arguments = heappop(self._events)
            call(*arguments)

    def travel_ms(self, source: str, target: str, size: int) -> float:
        """Return the time that bytes take between zones; regions share one slow link each way."""
        region = REGIONS[source]
        if region == REGIONS[target]:
            return 0.1 if source == target else 1.0
        self.bytes_across += size
        begin = max(self.now, self._link_free[region])
        self._link_free[region] = begin + size / LINK_BYTES_PER_MS
        return self._link_free[region] - self.now + 20.0

    def submit(self, job: Job) -> None:
        """Hand a request to the next live instance, as the balancer does."""
        if job.outcome:
            return
        site = self.sites[self.rng.randrange(len(self.sites))]
        if not site.alive:
            self.submit(job)
            return
        job.attempt += 1
        # Replies to a dead instance are never counted.
        job.copies = 0
        job.site = site.number
        site.jobs[job.number] = job
        self.policy.admit(self, site, job)
        self.pump(site)

    def pump(self, site: Site) -> None:
        """Start waiting requests while there is room."""
        while site.alive:
            begin = process_time_ns()
            picked = self.policy.pick(self, site)
            self.decision_ns += process_time_ns() - begin
            self.decisions += 1
            if picked is None:
                return
            self.send(site, *picked)

    def send(self, site: Site, job: Job, worker: str) -> None:
        """Send a request; a non-idempotent one is claimed first if the policy claims."""
        job.sends += 1
        job.copies += 1
        job.worker = worker
        job.ran = ""
        site.running += 1
        site.router.request_started(worker)
        claims = self.policy.claims and not job.kind.idempotent
        self.after(CLAIM_MS if claims else 0.0, self._transmit, site, job, worker, self.now)

    def _transmit(self, site: Site, job: Job, worker: str, sent_ms: float) -> None:
        if not site.alive:
            return
        target = self.targets[worker]
        travel_ms = self.travel_ms(site.zone, target.zone, job.kind.request_bytes)
        self.after(travel_ms, self._receive, site, job, target, sent_ms)

    def _receive(self, site: Site, job: Job, target: Target, sent_ms: float) -> None:
        if target.busy >= SLOTS:
            self.busy_replies += 1
            travel_ms = self.travel_ms(target.zone, site.zone, 200)
            self.after(travel_ms, self._reply, site, job, target.name, "busy", sent_ms)
            return
        target.busy += 1
        job.starts += 1
        if job.starts == 1:
            job.started_ms = self.now
        job.ran = "running"
        service_ms, result = job.service_ms, "failed" if job.poison else "done"
        if (job.number * 7 + job.starts) % STRAGGLER_EVERY == 0:
            service_ms *= STRAGGLER_FACTOR
        if target.name == FAILING_WORKER and FAILING_MS[0] <= self.now < FAILING_MS[1]:
            service_ms, result = FAIL_FAST_MS, "failed"
        self.after(service_ms, self._finish, site, job, target, result, service_ms, sent_ms)

    def _finish(
        self, site: Site, job: Job, target: Target, result: str, ran_ms: float, sent_ms: float
    ) -> None:
        target.busy -= 1
        job.ran = result
        if result == "done" and not job.run[2]:
            job.run = (self.now - ran_ms, self.now, target.zone)
        travel_ms = self.travel_ms(target.zone, site.zone, job.kind.answer_bytes)
        outcome = "lost" if self.rng.random() < LOST_REPLY_SHARE else result
        self.after(travel_ms, self._reply, site, job, target.name, outcome, sent_ms)

    def _reply(self, site: Site, job: Job, worker: str, outcome: str, sent_ms: float) -> None:
        if not site.alive:
            return
        job.copies -= 1
        site.running -= 1
        site.router.request_ended(worker)
        self.policy.replied(self, site, job, worker, outcome, int(sent_ms))
        self.pump(site)

    def end(self, job: Job, outcome: str) -> None:
        """Answer the caller, once."""
        if job.outcome:
            return
        self.sites[job.site].jobs.pop(job.number, None)
        job.outcome = outcome
        job.ended_ms = self.now + 1.0

    def kill(self, site: Site) -> None:
        """Stop an instance; its callers see a broken connection and try elsewhere."""
        site.alive = False
        for job in list(site.jobs.values()):
            if self.policy.claims and not job.kind.idempotent and job.sends:
                self.after(SUSPECT_MS, self.resolve, job)
                continue
            self.after(CALLER_RETRY_MS, self.submit, job)

    def resolve(self, job: Job) -> None:
        """Settle the claim of a dead holder by what its worker says of the task."""
        if job.ran == "running":
            self.after(100.0, self.resolve, job)
        elif job.ran:
            self.end(job, job.ran)
        else:
            self.submit(job)


@dataclass(frozen=True)
class Policy:
    """What varies between the runs: admission, the next start, and what follows a reply."""

    name: str
    claims: bool
    admit: Callable[[World, Site, Job], None]
    pick: Callable[[World, Site], tuple[Job, str] | None]
    replied: Callable[[World, Site, Job, str, str, int], None]
