"""The policies of the request trial: routing as in the daemon, and a round-robin baseline."""

from hornbeamfold.bench.request_simulation import (
    CONNECTIONS,
    QUEUE_LIMIT,
    Policy,
    SimulatedInstance,
    Simulation,
)
from hornbeamfold.bench.request_stream import WORKERS, Job
from hornbeamfold.model.errors import Refused
from hornbeamfold.routing import Blame, QueuedRequest
from hornbeamfold.routing.router import BUSY_BACKOFF_MS

BASELINE_RETRIES, BASELINE_BACKOFF_MS = 3, 20.0


def refuse(simulation: Simulation, job: Job) -> None:
    """Refuse a request; the outcome is unknown if an earlier attempt may have run it."""
    simulation.complete(job, "refused" if job.attempt == 1 and not job.tried_workers else "unknown")


def make_queue_entry(instance: SimulatedInstance, job: Job, now_ms: int) -> QueuedRequest[Job]:
    """Return the queue entry of a request, with its expected service time."""
    service_ms = instance.latencies.typical_ms(job.kind.name, now_ms)
    request = job.request
    arrived_ms = int(job.arrived_ms)
    return QueuedRequest(
        request.key, request.urgent, arrived_ms, request.deadline_ms, service_ms, job
    )


def routed_admit(simulation: Simulation, instance: SimulatedInstance, job: Job) -> None:
    """Put a request into the fair queue, or refuse it; a request evicted by it is refused too."""
    instance.budget.deposit()
    entry = make_queue_entry(instance, job, simulation.now_ms)
    admission = instance.queue.offer(entry, instance.running, simulation.now_ms)
    if isinstance(admission, Refused):
        refuse(simulation, job)
    elif admission.evicted is not None:
        refuse(simulation, admission.evicted.payload)


def routed_pick(simulation: Simulation, instance: SimulatedInstance) -> tuple[Job, str] | None:
    """Take the next request from the fair queue if a worker has room for it."""
    now_ms = simulation.now_ms
    for expired in instance.queue.pop_expired(now_ms):
        refuse(simulation, expired.payload)
    waiting_count = len(instance.queue)
    if waiting_count and instance.router.exceeds_fair_share(
        instance.candidates, waiting_count, now_ms
    ):
        return None
    while (entry := instance.queue.take(now_ms)) is not None:
        job = entry.payload
        if job.outcome:
            continue
        worker = choose_routed_worker(instance, job, now_ms, job.tried_workers)
        if worker is None:
            instance.queue.put_back(entry)
            return None
        if job.kind.urgent and job.kind.idempotent:
            hedge_ms = instance.latencies.hedge_after_ms(job.kind.name, now_ms)
            if hedge_ms is not None:
                simulation.after(hedge_ms, routed_hedge, simulation, instance, job, worker)
        return job, worker
    return None


def choose_routed_worker(
    instance: SimulatedInstance, job: Job, now_ms: int, tried: set[str]
) -> str | None:
    """Choose a worker that is neither ejected as an outlier nor already tried."""
    kind = job.kind
    excluded = instance.outliers.excluded(now_ms, WORKERS, kind.idempotent, kind.urgent)
    choice = instance.router.choose(job.request, instance.candidates, now_ms, excluded | tried)
    if isinstance(choice, Refused):
        return None
    instance.outliers.record_start(choice.worker, now_ms)
    return choice.worker


def routed_hedge(
    simulation: Simulation, instance: SimulatedInstance, job: Job, first_worker: str
) -> None:
    """Send a second copy of a request that takes unusually long, within the retry budget."""
    busy = bool(len(instance.queue)) or not instance.alive
    if busy or job.outcome or job.copies_in_flight != 1 or job.worker != first_worker:
        return
    worker = choose_routed_worker(
        instance, job, simulation.now_ms, job.tried_workers | {first_worker}
    )
    if worker is not None and instance.budget.try_withdraw(simulation.now_ms):
        job.retries += 1
        simulation.send(instance, job, worker)


def routed_on_reply(
    simulation: Simulation,
    instance: SimulatedInstance,
    job: Job,
    worker: str,
    outcome: str,
    sent_ms: int,
) -> None:
    """Record a reply; retry an idempotent request whose worker is at fault, within the budget."""
    now_ms = simulation.now_ms
    if outcome == "done":
        elapsed_ms = now_ms - sent_ms
        instance.router.record_answer(
            worker, job.kind.name, elapsed_ms, job.kind.answer_bytes, now_ms
        )
        instance.outliers.record_success(worker, sent_ms, now_ms)
        simulation.complete(job, "done")
        return
    if outcome == "busy":
        instance.router.record_busy(worker, now_ms)
        instance.outliers.record_abandoned(worker)
        simulation.after(BUSY_BACKOFF_MS + 1, simulation.dispatch_waiting, instance)
        if not job.outcome and not job.copies_in_flight:
            instance.queue.put_back(make_queue_entry(instance, job, now_ms))
        return
    blame = instance.outliers.record_failure(worker, job.request.key, now_ms)
    if job.outcome or job.copies_in_flight:
        return
    if not job.kind.idempotent:
        # After a lost reply the worker is asked for the result. A failure is final, because the
        # request has run.
        simulation.after(
            40.0 if outcome == "lost" else 0.0, simulation.complete, job, job.run_state
        )
    elif blame is Blame.WORKER and instance.budget.try_withdraw(now_ms):
        job.tried_workers.add(worker)
        job.retries += 1
        instance.queue.put_back(make_queue_entry(instance, job, now_ms))
    else:
        simulation.complete(job, "failed")


def baseline_admit(simulation: Simulation, instance: SimulatedInstance, job: Job) -> None:
    """Append a request to the queue, or refuse it if the queue is full."""
    if len(instance.fifo) >= QUEUE_LIMIT:
        refuse(simulation, job)
    else:
        instance.fifo.append(job)


def baseline_pick(simulation: Simulation, instance: SimulatedInstance) -> tuple[Job, str] | None:
    """Take the oldest request and the next worker in round-robin order."""
    while instance.fifo and instance.fifo[0].request.deadline_ms <= simulation.now:
        refuse(simulation, instance.fifo.popleft())
    workers = instance.candidates.all
    if not instance.fifo or simulation.now < instance.paused_until_ms:
        return None
    for _ in workers:
        instance.next_worker_index += 1
        worker = workers[instance.next_worker_index % len(workers)].worker
        if instance.router.in_flight.get(worker, 0) < CONNECTIONS:
            return instance.fifo.popleft(), worker
    return None


def baseline_on_reply(
    simulation: Simulation,
    instance: SimulatedInstance,
    job: Job,
    worker: str,
    outcome: str,
    sent_ms: int,
) -> None:
    """Retry up to three times; a request that found only busy workers waits at the queue's head."""
    if outcome == "done":
        simulation.complete(job, "done")
        return
    job.retries += 1
    if job.retries % (BASELINE_RETRIES + 1) == 0:
        if outcome != "busy":
            simulation.complete(job, "failed")
            return
        instance.paused_until_ms = simulation.now + BASELINE_BACKOFF_MS
        simulation.after(BASELINE_BACKOFF_MS, simulation.dispatch_waiting, instance)
    instance.fifo.appendleft(job)


ROUTED = Policy("routing", True, routed_admit, routed_pick, routed_on_reply)
BASELINE = Policy("baseline", False, baseline_admit, baseline_pick, baseline_on_reply)
