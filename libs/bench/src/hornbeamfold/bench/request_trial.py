"""Trial of request routing on a virtual clock: the policy and a baseline on the same requests."""

from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from hashlib import blake2b
from heapq import heappop, heappush
from json import dumps
from random import Random
from statistics import median
from time import perf_counter_ns

from hornbeamfold.model.errors import Refused
from hornbeamfold.model.work import Request
from hornbeamfold.routing import (
    Blame,
    Candidate,
    Candidates,
    FairQueue,
    LatencyTable,
    Links,
    OutlierTable,
    RetryBudget,
    Router,
    Waiting,
)
from hornbeamfold.routing.router import BUSY_HOLD_MS

REGIONS = {"sousse": "east", "monastir": "east", "sfax": "south"}
ZONES = tuple(REGIONS)
INSTANCE_ZONES = ("sousse", "sousse", "sousse", "monastir", "monastir", "monastir", "sfax", "sfax")
WORKERS, SLOTS, CONNECTIONS = 24, 8, 7
SUBSET_OWNERS = 3
ORGANISATIONS = {"depot": 0.55, "annex": 0.25, "field": 0.15, "guest": 0.05}
DURATION_MS = 120_000
LOAD = 0.65
BURST_EVERY_MS, BURST_MS, BURST_FACTOR = 15_000, 3_000, 2.5
OUTAGE_MS, OUTAGE_ZONE = (60_000, 85_000), "monastir"
FAILING_MS, FAILING_WORKER = (20_000, 55_000), "w2"
DEATH_MS, DEAD_INSTANCE = 97_000, 4
LATE_REPORTS_MS, LATE_BY_MS = (35_000, 50_000), 2_000
URGENT_DEADLINE_MS, PATIENT_DEADLINE_MS = 10_000, 60_000
LINK_BYTES_PER_MS = 15_000_000 / 8 / 1000
CLAIM_MS, VIEW_LAG_MS, SUSPECT_MS, CALLER_RETRY_MS = 40.0, 100.0, 1_500.0, 50.0
SYNC_MS, DIGEST_MS = 2_000.0, 500.0
FAIL_FAST_MS, STRAGGLER_FACTOR, SIGMA = 20.0, 6.0, 0.5
LOST_REPLY_SHARE, POISON_SHARE, STRAGGLER_EVERY = 0.002, 0.002, 100
QUEUE_LIMIT = 2_000
BASELINE_RETRIES, BASELINE_PAUSE_MS = 3, 20.0


@dataclass(frozen=True)
class Kind:
    """A kind of request; `share` is its part of all requests."""

    name: str
    idempotent: bool
    urgent: bool
    median_ms: float
    request_bytes: int
    answer_bytes: int
    share: float


KINDS = (
    Kind("survey_render", True, True, 400.0, 2_000, 24_000, 0.4),
    Kind("quote_check", False, True, 150.0, 1_000, 1_000, 0.3),
    Kind("slope_audit", True, False, 1_500.0, 8_000, 4_000, 0.3),
)
MEAN_SERVICE_MS = sum(k.share * k.median_ms for k in KINDS) * 2.718281828 ** (SIGMA**2 / 2)


@dataclass(frozen=True)
class Result:
    """The figures of one policy for one seed; times in milliseconds, work in busy slots."""

    policy: str
    seed: int
    requests: int
    urgent_p50: float
    urgent_p95: float
    urgent_p99: float
    burst_urgent_p99: float
    burst_urgent_p99_with_refused: float
    patient_p50: float
    patient_p95: float
    patient_p99: float
    refused_urgent: int
    refused_patient: int
    failed: int
    retries: int
    busy_replies: int
    duplicates: int
    lost: int
    false_reports: int
    megabytes_across: float
    work_before: float
    work_out: float
    work_after: float
    work_out_share: float
    decision_us: float


@dataclass
class Job:
    """One request on its way through the trial."""

    number: int
    kind: Kind
    request: Request
    arrived_ms: float
    service_ms: float
    poison: bool
    run: tuple[float, float, str] = (0.0, 0.0, "")
    attempt: int = 0
    starts: int = 0
    sends: int = 0
    retries: int = 0
    copies: int = 0
    site: int = -1
    worker: str = ""
    outcome: str = ""
    ended_ms: float = 0.0
    ran: str = ""
    tried: set[str] = field(default_factory=set)


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
        self.router = Router(self.zone, region, Links(), CONNECTIONS, self.latencies, rng)
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
            begin = perf_counter_ns()
            picked = self.policy.pick(self, site)
            self.decision_ns += perf_counter_ns() - begin
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
        site.router.started(worker)
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
        site.router.ended(worker)
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


def refuse(world: World, job: Job) -> None:
    """Refuse a request; only one that no instance tried is certain not to have run."""
    world.end(job, "refused" if job.attempt == 1 and not job.tried else "unknown")


def waiting_of(site: Site, job: Job, now_ms: int) -> Waiting[Job]:
    """Return the queue entry of a request."""
    service_ms = site.latencies.typical_ms(job.kind.name, now_ms)
    request = job.request
    arrived_ms = int(job.arrived_ms)
    return Waiting(request.key, request.urgent, arrived_ms, request.deadline_ms, service_ms, job)


def routed_admit(world: World, site: Site, job: Job) -> None:
    """Queue a request fairly, or refuse it early."""
    site.budget.earn()
    waiting = waiting_of(site, job, world.now_ms)
    offered = site.queue.offer(waiting, site.running, world.now_ms)
    if isinstance(offered, Refused):
        refuse(world, job)
    elif offered.displaced is not None:
        refuse(world, offered.displaced.payload)


def routed_pick(world: World, site: Site) -> tuple[Job, str] | None:
    """Take the next request of the fair queue if a worker has room for it."""
    now_ms = world.now_ms
    for late in site.queue.expired(now_ms):
        refuse(world, late.payload)
    waiting_count = len(site.queue)
    if waiting_count and site.router.exceeds_share(site.candidates, waiting_count, now_ms):
        return None
    while (waiting := site.queue.take(now_ms)) is not None:
        job = waiting.payload
        if job.outcome:
            continue
        worker = routed_worker(site, job, now_ms, job.tried)
        if worker is None:
            site.queue.put_back(waiting)
            return None
        if job.kind.urgent and job.kind.idempotent:
            hedge_ms = site.latencies.hedge_after_ms(job.kind.name, now_ms)
            if hedge_ms is not None:
                world.after(hedge_ms, routed_hedge, world, site, job, worker)
        return job, worker
    return None


def routed_worker(site: Site, job: Job, now_ms: int, tried: set[str]) -> str | None:
    """Choose a worker that is not set aside."""
    kind = job.kind
    aside = site.outliers.excluded(now_ms, WORKERS, kind.idempotent, kind.urgent)
    choice = site.router.choose(job.request, site.candidates, now_ms, aside | tried)
    if isinstance(choice, Refused):
        return None
    site.outliers.started(choice.worker, now_ms)
    return choice.worker


def routed_hedge(world: World, site: Site, job: Job, first: str) -> None:
    """Start a second copy of a request that takes unusually long."""
    busy = bool(len(site.queue)) or not site.alive
    if busy or job.outcome or job.copies != 1 or job.worker != first:
        return
    worker = routed_worker(site, job, world.now_ms, job.tried | {first})
    if worker is not None and site.budget.spend(world.now_ms):
        job.retries += 1
        world.send(site, job, worker)


def routed_replied(
    world: World, site: Site, job: Job, worker: str, outcome: str, sent_ms: int
) -> None:
    """Learn from a reply; try again only what is safe, within the budget."""
    now_ms = world.now_ms
    if outcome == "done":
        elapsed_ms = now_ms - sent_ms
        site.router.answered(worker, job.kind.name, elapsed_ms, job.kind.answer_bytes, now_ms)
        site.outliers.succeeded(worker, sent_ms, now_ms)
        world.end(job, "done")
        return
    if outcome == "busy":
        site.router.busy(worker, now_ms)
        site.outliers.abandoned(worker)
        world.after(BUSY_HOLD_MS + 1, world.pump, site)
        if not job.outcome and not job.copies:
            site.queue.put_back(waiting_of(site, job, now_ms))
        return
    blame = site.outliers.failed(worker, job.request.key, now_ms)
    if job.outcome or job.copies:
        return
    if not job.kind.idempotent:
        # A lost reply is looked up on the worker; a failure is final because the request ran.
        world.after(40.0 if outcome == "lost" else 0.0, world.end, job, job.ran)
    elif blame is Blame.WORKER and site.budget.spend(now_ms):
        job.tried.add(worker)
        job.retries += 1
        site.queue.put_back(waiting_of(site, job, now_ms))
    else:
        world.end(job, "failed")


def plain_admit(world: World, site: Site, job: Job) -> None:
    """Append a request to the queue."""
    if len(site.fifo) >= QUEUE_LIMIT:
        refuse(world, job)
    else:
        site.fifo.append(job)


def plain_pick(world: World, site: Site) -> tuple[Job, str] | None:
    """Take the oldest request and the next worker in turn."""
    while site.fifo and site.fifo[0].request.deadline_ms <= world.now:
        refuse(world, site.fifo.popleft())
    workers = site.candidates.every
    if not site.fifo or world.now < site.paused_until:
        return None
    for _ in workers:
        site.turn += 1
        worker = workers[site.turn % len(workers)].worker
        if site.router.in_flight.get(worker, 0) < CONNECTIONS:
            return site.fifo.popleft(), worker
    return None


def plain_replied(
    world: World, site: Site, job: Job, worker: str, outcome: str, sent_ms: int
) -> None:
    """Try three times more; a request that found only busy workers waits at the head."""
    if outcome == "done":
        world.end(job, "done")
        return
    job.retries += 1
    if job.retries % (BASELINE_RETRIES + 1) == 0:
        if outcome != "busy":
            world.end(job, "failed")
            return
        site.paused_until = world.now + BASELINE_PAUSE_MS
        world.after(BASELINE_PAUSE_MS, world.pump, site)
    site.fifo.appendleft(job)


ROUTED = Policy("routing", True, routed_admit, routed_pick, routed_replied)
PLAIN = Policy("baseline", False, plain_admit, plain_pick, plain_replied)


def in_burst(at_ms: float) -> bool:
    """Return whether a burst is on; the first comes after one interval."""
    return at_ms >= BURST_EVERY_MS and at_ms % BURST_EVERY_MS < BURST_MS


def make_jobs(seed: int) -> list[Job]:
    """Return the requests of a seed; both policies get the same."""
    rng = Random(seed)
    jobs: list[Job] = []
    base_per_ms = LOAD * WORKERS * SLOTS / MEAN_SERVICE_MS
    at_ms = 0.0
    while True:
        rate = base_per_ms * (BURST_FACTOR if in_burst(at_ms) else 1.0)
        at_ms += rng.expovariate(rate)
        if at_ms >= DURATION_MS:
            return jobs
        kind = rng.choices(KINDS, [k.share for k in KINDS])[0]
        organisation = rng.choices(list(ORGANISATIONS), list(ORGANISATIONS.values()))[0]
        limit_ms = URGENT_DEADLINE_MS if kind.urgent else PATIENT_DEADLINE_MS
        request = Request(
            organisation,
            str(len(jobs)),
            kind.name,
            "x" * kind.request_bytes,
            kind.idempotent,
            kind.urgent,
            int(at_ms) + limit_ms,
        )
        service_ms = kind.median_ms * rng.lognormvariate(0.0, SIGMA)
        poison = rng.random() < POISON_SHARE
        jobs.append(Job(len(jobs), kind, request, at_ms, service_ms, poison))


def rendezvous(worker: Target) -> list[int]:
    """Return the instances in the order in which they prefer a worker, its region first."""

    def rank(number: int) -> tuple[bool, bytes]:
        other = REGIONS[INSTANCE_ZONES[number]] != REGIONS[worker.zone]
        return other, blake2b(f"{worker.name}/{number}".encode(), digest_size=8).digest()

    return sorted(range(len(INSTANCE_ZONES)), key=rank)


def set_candidates(world: World, out: str) -> None:
    """Put a view in force in which one zone, or none, is out of service."""
    for site in world.sites:
        every: list[Candidate] = []
        for target in world.targets.values():
            if target.zone == out:
                continue
            owners = [n for n in rendezvous(target) if world.sites[n].alive][:SUBSET_OWNERS]
            own = site.number in owners
            region = REGIONS[target.zone]
            every.append(Candidate(target.name, target.zone, region, SLOTS, own))
        site.candidates = Candidates(tuple(c for c in every if c.own), tuple(every))
        world.pump(site)


def send_digests(world: World, site: Site) -> None:
    """Tell the peers what is in flight, again and again."""
    if not site.alive or world.now > DURATION_MS + PATIENT_DEADLINE_MS:
        return
    late_ms = LATE_BY_MS if LATE_REPORTS_MS[0] <= world.now < LATE_REPORTS_MS[1] else 0.0
    digest = dict(site.router.in_flight)
    waiting = len(site.queue)
    aside = site.outliers.set_aside()
    for peer in world.sites:
        if peer is not site:
            travel_ms = world.travel_ms(site.zone, peer.zone, 400)
            world.after(late_ms + travel_ms, hear, world, peer, site.name, digest, waiting, aside)
    world.after(DIGEST_MS, send_digests, world, site)


def hear(
    world: World,
    site: Site,
    peer: str,
    digest: dict[str, int],
    waiting: int,
    aside: tuple[str, ...],
) -> None:
    """Take over a peer's digest."""
    site.router.peer_reported(peer, digest, waiting, world.now_ms)
    site.outliers.hint(peer, aside, world.now_ms)
    world.pump(site)


def sync_targets(world: World) -> None:
    """Report each worker's free slots to its keeper, again and again."""
    if world.now > DURATION_MS + PATIENT_DEADLINE_MS:
        return
    late_ms = LATE_BY_MS if LATE_REPORTS_MS[0] <= world.now < LATE_REPORTS_MS[1] else 1.0
    for target in world.targets.values():
        keeper = next(world.sites[n] for n in rendezvous(target) if world.sites[n].alive)
        free = SLOTS - target.busy
        reported = keeper.router.reported
        world.after(late_ms, lambda r=reported, t=target, f=free: r(t.name, SLOTS, f, world.now_ms))
    world.after(SYNC_MS, sync_targets, world)


def die(world: World) -> None:
    """Kill the instance; the others take over its subset when they notice."""
    world.kill(world.sites[DEAD_INSTANCE])
    world.after(SUSPECT_MS, set_candidates, world, "")


def run_one(seed: int, policy: Policy) -> Result:
    """Run the requests of a seed under one policy."""
    world = World(seed, policy)
    world.jobs = make_jobs(seed)
    set_candidates(world, "")
    for job in world.jobs:
        world.after(job.arrived_ms + 1.0, world.submit, job)
    world.after(OUTAGE_MS[0] + VIEW_LAG_MS, set_candidates, world, OUTAGE_ZONE)
    world.after(OUTAGE_MS[1] + VIEW_LAG_MS, set_candidates, world, "")
    world.after(DEATH_MS, die, world)
    if policy.claims:
        for site in world.sites:
            world.after(DIGEST_MS * (1 + site.number / 8), send_digests, world, site)
        sync_targets(world)
    world.run()
    return result_of(world, seed)


def share_at(values: list[float], share: float) -> float:
    """Return a quantile of the values."""
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 1) if ordered else 0.0


def slots_of(jobs: list[Job], begin_ms: float, end_ms: float, without: str = "") -> float:
    """Return the mean number of slots with work that was answered, all but one zone's.

    The work of a request is its first successful run, so repeated runs add nothing.
    """
    work_ms = 0.0
    for job in jobs:
        started_ms, ended_ms, zone = job.run
        if job.outcome == "done" and zone != without:
            work_ms += max(0.0, min(end_ms, ended_ms) - max(begin_ms, started_ms))
    return work_ms / (end_ms - begin_ms)


def possible_slots(jobs: list[Job]) -> float:
    """Return the slots that could be busy in the outage: what is offered, or all that remain."""
    begin, end = OUTAGE_MS
    offered = [j for j in jobs if j.arrived_ms < end and (j.ended_ms > begin or not j.outcome)]
    remaining = WORKERS * SLOTS * (1 - 1 / len(ZONES))
    return min(remaining, sum(j.service_ms for j in offered) / (end - begin))


def result_of(world: World, seed: int) -> Result:
    """Work out the figures of a finished run."""
    jobs = world.jobs
    done = [j for j in jobs if j.outcome == "done"]
    urgent = [j.ended_ms - j.arrived_ms for j in done if j.kind.urgent]
    patient = [j.ended_ms - j.arrived_ms for j in done if not j.kind.urgent]
    burst = [j for j in jobs if j.kind.urgent and in_burst(j.arrived_ms)]
    burst_done = [j.ended_ms - j.arrived_ms for j in burst if j.outcome == "done"]
    missed = [float(URGENT_DEADLINE_MS)] * (len(burst) - len(burst_done))
    refused = [j for j in jobs if j.outcome in ("refused", "unknown")]
    begin, end = OUTAGE_MS
    length = end - begin
    work_out = slots_of(jobs, begin, end, OUTAGE_ZONE)
    return Result(
        policy=world.policy.name,
        seed=seed,
        requests=len(jobs),
        urgent_p50=share_at(urgent, 0.5),
        urgent_p95=share_at(urgent, 0.95),
        urgent_p99=share_at(urgent, 0.99),
        burst_urgent_p99=share_at(burst_done, 0.99),
        burst_urgent_p99_with_refused=share_at(burst_done + missed, 0.99),
        patient_p50=share_at(patient, 0.5),
        patient_p95=share_at(patient, 0.95),
        patient_p99=share_at(patient, 0.99),
        refused_urgent=sum(1 for j in refused if j.kind.urgent),
        refused_patient=sum(1 for j in refused if not j.kind.urgent),
        failed=sum(1 for j in jobs if j.outcome == "failed"),
        retries=sum(j.retries for j in jobs),
        busy_replies=world.busy_replies,
        duplicates=sum(max(0, j.starts - 1) for j in jobs if not j.kind.idempotent),
        lost=sum(1 for j in jobs if not j.outcome),
        false_reports=sum(1 for j in jobs if j.outcome == "refused" and j.starts),
        megabytes_across=round(world.bytes_across / 1e6, 1),
        work_before=round(slots_of(jobs, begin - length, begin), 1),
        work_out=round(work_out, 1),
        work_after=round(slots_of(jobs, end, end + length), 1),
        work_out_share=round(work_out / possible_slots(jobs), 3),
        decision_us=round(world.decision_ns / max(1, world.decisions) / 1000, 1),
    )


@dataclass(frozen=True)
class Spread:
    """A figure over the seeds."""

    least: float
    middle: float
    most: float


def run_trial(seeds: tuple[int, ...]) -> dict[str, dict[str, Spread]]:
    """Run both policies for all seeds; return each figure of each policy."""
    figures: dict[str, dict[str, Spread]] = {}
    for policy in (ROUTED, PLAIN):
        results = [asdict(run_one(seed, policy)) for seed in seeds]
        names = [name for name in results[0] if name not in ("policy", "seed")]
        rows = {name: [row[name] for row in results] for name in names}
        figures[policy.name] = {
            name: Spread(min(row), median(row), max(row)) for name, row in rows.items()
        }
    return figures


def main() -> None:
    """Print the figures of five seeds as JSON."""
    figures = run_trial((1, 2, 3, 4, 5))
    for policy, rows in figures.items():
        print(policy)
        for name, spread in rows.items():
            print("  " + dumps({name: [spread.least, spread.middle, spread.most]}))


if __name__ == "__main__":
    main()
