"""Trial of request routing on a virtual clock: the policy and a baseline on the same requests."""

from hashlib import blake2b

from hornbeamfold.bench.request_figures import OUTAGE_MS, OUTAGE_ZONE, Result, result_of
from hornbeamfold.bench.request_stream import (
    DURATION_MS,
    PATIENT_DEADLINE_MS,
    SLOTS,
    make_jobs,
)
from hornbeamfold.bench.request_world import (
    INSTANCE_ZONES,
    REGIONS,
    SUSPECT_MS,
    Policy,
    Site,
    Target,
    World,
)
from hornbeamfold.routing import Candidate, Candidates

SUBSET_OWNERS = 3
DEATH_MS, DEAD_INSTANCE = 97_000, 4
LATE_REPORTS_MS, LATE_BY_MS = (35_000, 50_000), 2_000
VIEW_LAG_MS = 100.0
SYNC_MS, DIGEST_MS = 2_000.0, 500.0


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
        site.candidates = Candidates(tuple(c for c in every if c.in_own_subset), tuple(every))
        world.pump(site)


def send_digests(world: World, site: Site) -> None:
    """Tell the peers what is in flight, again and again."""
    if not site.alive or world.now > DURATION_MS + PATIENT_DEADLINE_MS:
        return
    late_ms = LATE_BY_MS if LATE_REPORTS_MS[0] <= world.now < LATE_REPORTS_MS[1] else 0.0
    digest = dict(site.router.in_flight)
    waiting = len(site.queue)
    aside = site.outliers.ejected_workers()
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
    site.router.record_peer_digest(peer, digest, waiting, world.now_ms)
    site.outliers.set_peer_ejections(peer, aside, world.now_ms)
    world.pump(site)


def sync_targets(world: World) -> None:
    """Report each worker's free slots to its keeper, again and again."""
    if world.now > DURATION_MS + PATIENT_DEADLINE_MS:
        return
    late_ms = LATE_BY_MS if LATE_REPORTS_MS[0] <= world.now < LATE_REPORTS_MS[1] else 1.0
    for target in world.targets.values():
        keeper = next(world.sites[n] for n in rendezvous(target) if world.sites[n].alive)
        free = SLOTS - target.busy
        reported = keeper.router.record_load_report
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
