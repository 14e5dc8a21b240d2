"""Simulates request routing with a virtual clock: one policy on the requests of a seed."""

from hashlib import blake2b

from hornbeamfold.bench.request_figures import OUTAGE_MS, OUTAGE_ZONE, Result, summarise
from hornbeamfold.bench.request_simulation import (
    FAILURE_DETECTION_MS,
    INSTANCE_ZONES,
    REGIONS,
    Policy,
    SimulatedInstance,
    SimulatedWorker,
    Simulation,
)
from hornbeamfold.bench.request_stream import (
    DURATION_MS,
    NON_URGENT_DEADLINE_MS,
    SLOTS,
    make_jobs,
)
from hornbeamfold.routing import Candidate, Candidates

SUBSET_OWNERS = 3
KILL_AT_MS, KILLED_INSTANCE = 97_000, 4
DELAYED_REPORTS_MS, REPORT_DELAY_MS = (35_000, 50_000), 2_000
VIEW_DELAY_MS = 100.0
SYNC_INTERVAL_MS, DIGEST_INTERVAL_MS = 2_000.0, 500.0


def rendezvous(worker: SimulatedWorker) -> list[int]:
    """Return the instances by rendezvous hashing for a worker, those in its region first."""

    def rank(number: int) -> tuple[bool, bytes]:
        other_region = REGIONS[INSTANCE_ZONES[number]] != REGIONS[worker.zone]
        return other_region, blake2b(f"{worker.name}/{number}".encode(), digest_size=8).digest()

    return sorted(range(len(INSTANCE_ZONES)), key=rank)


def set_candidates(simulation: Simulation, zone_out: str) -> None:
    """Give all instances a view in which one zone, or none (""), is out of service."""
    for instance in simulation.instances:
        all_candidates: list[Candidate] = []
        for worker in simulation.workers.values():
            if worker.zone == zone_out:
                continue
            owners = [n for n in rendezvous(worker) if simulation.instances[n].alive][
                :SUBSET_OWNERS
            ]
            own = instance.number in owners
            region = REGIONS[worker.zone]
            all_candidates.append(Candidate(worker.name, worker.zone, region, SLOTS, own))
        instance.candidates = Candidates(
            tuple(c for c in all_candidates if c.in_own_subset), tuple(all_candidates)
        )
        simulation.dispatch_waiting(instance)


def send_digests(simulation: Simulation, instance: SimulatedInstance) -> None:
    """Send the instance's load and ejected workers to its peers, periodically."""
    if not instance.alive or simulation.now > DURATION_MS + NON_URGENT_DEADLINE_MS:
        return
    delay_ms = (
        REPORT_DELAY_MS if DELAYED_REPORTS_MS[0] <= simulation.now < DELAYED_REPORTS_MS[1] else 0.0
    )
    digest = dict(instance.router.in_flight)
    waiting = len(instance.queue)
    ejected = instance.outliers.ejected_workers()
    for peer in simulation.instances:
        if peer is not instance:
            transfer_ms = simulation.transfer_ms(instance.zone, peer.zone, 400)
            simulation.after(
                delay_ms + transfer_ms,
                receive_digest,
                simulation,
                peer,
                instance.name,
                digest,
                waiting,
                ejected,
            )
    simulation.after(DIGEST_INTERVAL_MS, send_digests, simulation, instance)


def receive_digest(
    simulation: Simulation,
    instance: SimulatedInstance,
    peer: str,
    digest: dict[str, int],
    waiting: int,
    ejected: tuple[str, ...],
) -> None:
    """Record a digest from a peer."""
    instance.router.record_peer_digest(peer, digest, waiting, simulation.now_ms)
    instance.outliers.set_peer_ejections(peer, ejected, simulation.now_ms)
    simulation.dispatch_waiting(instance)


def report_free_slots(simulation: Simulation) -> None:
    """Report each worker's free slots to the instance that syncs it, periodically."""
    if simulation.now > DURATION_MS + NON_URGENT_DEADLINE_MS:
        return
    delay_ms = (
        REPORT_DELAY_MS if DELAYED_REPORTS_MS[0] <= simulation.now < DELAYED_REPORTS_MS[1] else 1.0
    )
    for worker in simulation.workers.values():
        owner = next(
            simulation.instances[n] for n in rendezvous(worker) if simulation.instances[n].alive
        )
        free = SLOTS - worker.busy
        reported = owner.router.record_load_report
        simulation.after(
            delay_ms, lambda r=reported, t=worker, f=free: r(t.name, SLOTS, f, simulation.now_ms)
        )
    simulation.after(SYNC_INTERVAL_MS, report_free_slots, simulation)


def kill_instance(simulation: Simulation) -> None:
    """Kill an instance; the others take over its subset after they detect the failure."""
    simulation.kill(simulation.instances[KILLED_INSTANCE])
    simulation.after(FAILURE_DETECTION_MS, set_candidates, simulation, "")


def run_one(seed: int, policy: Policy) -> Result:
    """Run the requests for a seed under one policy."""
    simulation = Simulation(seed, policy)
    simulation.jobs = make_jobs(seed)
    set_candidates(simulation, "")
    for job in simulation.jobs:
        simulation.after(job.arrived_ms + 1.0, simulation.submit, job)
    simulation.after(OUTAGE_MS[0] + VIEW_DELAY_MS, set_candidates, simulation, OUTAGE_ZONE)
    simulation.after(OUTAGE_MS[1] + VIEW_DELAY_MS, set_candidates, simulation, "")
    simulation.after(KILL_AT_MS, kill_instance, simulation)
    if policy.claims:
        for instance in simulation.instances:
            simulation.after(
                DIGEST_INTERVAL_MS * (1 + instance.number / 8), send_digests, simulation, instance
            )
        report_free_slots(simulation)
    simulation.run()
    return summarise(simulation, seed)
