"""The policies of the request trial: routing as the daemon uses it, and the baseline."""

from hornbeamfold.bench.request_stream import WORKERS, Job
from hornbeamfold.bench.request_world import CONNECTIONS, QUEUE_LIMIT, Policy, Site, World
from hornbeamfold.model.errors import Refused
from hornbeamfold.routing import Blame, QueuedRequest
from hornbeamfold.routing.router import BUSY_BACKOFF_MS

BASELINE_RETRIES, BASELINE_PAUSE_MS = 3, 20.0


def refuse(world: World, job: Job) -> None:
    """Refuse a request; only one that no instance tried is certain not to have run."""
    world.end(job, "refused" if job.attempt == 1 and not job.tried else "unknown")


def waiting_of(site: Site, job: Job, now_ms: int) -> QueuedRequest[Job]:
    """Return the queue entry of a request."""
    service_ms = site.latencies.typical_ms(job.kind.name, now_ms)
    request = job.request
    arrived_ms = int(job.arrived_ms)
    return QueuedRequest(
        request.key, request.urgent, arrived_ms, request.deadline_ms, service_ms, job
    )


def routed_admit(world: World, site: Site, job: Job) -> None:
    """Queue a request fairly, or refuse it early."""
    site.budget.deposit()
    waiting = waiting_of(site, job, world.now_ms)
    offered = site.queue.offer(waiting, site.running, world.now_ms)
    if isinstance(offered, Refused):
        refuse(world, job)
    elif offered.evicted is not None:
        refuse(world, offered.evicted.payload)


def routed_pick(world: World, site: Site) -> tuple[Job, str] | None:
    """Take the next request of the fair queue if a worker has room for it."""
    now_ms = world.now_ms
    for late in site.queue.pop_expired(now_ms):
        refuse(world, late.payload)
    waiting_count = len(site.queue)
    if waiting_count and site.router.exceeds_fair_share(site.candidates, waiting_count, now_ms):
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
    site.outliers.record_start(choice.worker, now_ms)
    return choice.worker


def routed_hedge(world: World, site: Site, job: Job, first: str) -> None:
    """Start a second copy of a request that takes unusually long."""
    busy = bool(len(site.queue)) or not site.alive
    if busy or job.outcome or job.copies != 1 or job.worker != first:
        return
    worker = routed_worker(site, job, world.now_ms, job.tried | {first})
    if worker is not None and site.budget.try_withdraw(world.now_ms):
        job.retries += 1
        world.send(site, job, worker)


def routed_replied(
    world: World, site: Site, job: Job, worker: str, outcome: str, sent_ms: int
) -> None:
    """Learn from a reply; try again only what is safe, within the budget."""
    now_ms = world.now_ms
    if outcome == "done":
        elapsed_ms = now_ms - sent_ms
        site.router.record_answer(worker, job.kind.name, elapsed_ms, job.kind.answer_bytes, now_ms)
        site.outliers.record_success(worker, sent_ms, now_ms)
        world.end(job, "done")
        return
    if outcome == "busy":
        site.router.record_busy(worker, now_ms)
        site.outliers.record_abandoned(worker)
        world.after(BUSY_BACKOFF_MS + 1, world.pump, site)
        if not job.outcome and not job.copies:
            site.queue.put_back(waiting_of(site, job, now_ms))
        return
    blame = site.outliers.record_failure(worker, job.request.key, now_ms)
    if job.outcome or job.copies:
        return
    if not job.kind.idempotent:
        # A lost reply is looked up on the worker; a failure is final because the request ran.
        world.after(40.0 if outcome == "lost" else 0.0, world.end, job, job.ran)
    elif blame is Blame.WORKER and site.budget.try_withdraw(now_ms):
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
    workers = site.candidates.all
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
