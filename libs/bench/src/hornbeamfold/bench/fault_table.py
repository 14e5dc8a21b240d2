"""The rows of the fault matrix: how each fault is put in force and ended."""

import asyncio
import time
from typing import Any

from hornbeamfold.bench.fault_scene import CALL_MS, Act, Excluded, Fault, Scene
from hornbeamfold.model.status import Change
from hornbeamfold.model.timing import ZONE_OUT_BOUND_MS
from hornbeamfold.rpc import client
from hornbeamfold.standins.launch import StandIn

# Longer than the gang lease of 8 s, so that leases lapse and others take over.
LAPSE_S = 9.5
OUTAGE_S = 5.0
# The bound of 5 s after which nothing starts, and a time in which a late start would show.
EXCLUDED_S = 7.5
NO_LEASE = "no lease of a task matters in this step"
NO_WORKER = "no worker is chosen yet in this step"
NO_OBJECT = "operators change nothing in this step"
RACERS = 6
LATE_REQUESTS = 16
# A member that is cut off must have lapsed long before the bound on partial gangs of 15 s.
LONG_CUT_S = 26.0


async def nothing(scene: Scene) -> None:
    """End a fault that ends by itself or is ended by the restore."""
    del scene


async def set_faults(standin: StandIn, **faults: Any) -> None:
    """Put faults of a stand-in in force without holding up the callers."""
    await asyncio.to_thread(lambda: standin.faults(**faults))


async def kill(scene: Scene) -> None:
    """Kill the victim; it may have ended by itself while it drained."""
    if scene.daemon.running():
        await asyncio.to_thread(scene.daemon.kill)


async def restart(scene: Scene) -> None:
    """Start the killed victim again."""
    if not scene.daemon.running():
        scene.daemon.restart()
        await asyncio.to_thread(scene.daemon.wait_serving)


async def freeze(scene: Scene) -> None:
    """Stop the victim's process in the middle of what it does."""
    scene.frozen.add(scene.victim)
    if scene.daemon.running():
        scene.daemon.freeze()


async def thaw(scene: Scene) -> None:
    """Let the victim run on."""
    if scene.daemon.running():
        scene.daemon.thaw()
    scene.frozen.discard(scene.victim)


def log_fault(**faults: Any) -> Act:
    """Return an act that puts faults of the log in force; `VICTIM` stands for the victim."""

    async def act(scene: Scene) -> None:
        await set_faults(scene.fleet.log, **_named(scene, faults))

    return act


def worker_cut(**faults: Any) -> Act:
    """Return an act that cuts the victim off from all workers."""

    async def act(scene: Scene) -> None:
        await set_faults(scene.fleet.workers, **_named(scene, faults))

    return act


def worker_fault(**faults: Any) -> Act:
    """Return an act that hits the workers that have the work of the wave."""

    async def act(scene: Scene) -> None:
        await set_faults(scene.fleet.workers, workers=sorted(scene.workers), **faults)

    return act


def _named(scene: Scene, faults: dict[str, Any]) -> dict[str, Any]:
    return {name: [scene.victim] if value == VICTIM else value for name, value in faults.items()}


VICTIM = ["victim"]


async def lapse(scene: Scene) -> None:
    """Cut all instances, but not the checks, off from the workers of the wave."""
    zones = sorted(set(scene.zones().values()))
    await worker_fault(cut_requests=zones)(scene)


async def stale_list(scene: Scene) -> None:
    """Show the list of this moment while the victim ends and comes back at another address."""
    await set_faults(scene.fleet.instance_list, stale_reads=True)
    if scene.draining:
        return
    await kill(scene)
    await restart(scene)


async def zone_out(scene: Scene) -> None:
    """Take the zone of the work out of service; nothing may start there after the bound."""
    name = _zone(scene)
    await scene.set_zone(name, False)
    since = int(time.time() * 1000) + ZONE_OUT_BOUND_MS
    scene.out = (name, since)


async def zone_back(scene: Scene) -> None:
    """End the watch of the zone and bring it back."""
    name, since = scene.out
    scene.evidence.excluded.append(Excluded(name, since, int(time.time() * 1000)))
    await scene.set_zone(name, True)


def _zone(scene: Scene) -> str:
    workers = scene.fleet.topology.workers
    return next(one.availability_zone for one in workers if one.name in scene.workers)


async def thaw_with_work(scene: Scene) -> None:
    """Thaw the victim with requests that arrived while it was frozen and its view grew old."""
    requests = [scene.request("accepted", 60, idempotent=True) for _ in range(LATE_REQUESTS)]
    calls = [scene.start_call("accepted", request) for request in requests]
    await asyncio.sleep(0.3)
    await thaw(scene)
    await asyncio.gather(*calls)


async def drain_workers(scene: Scene) -> None:
    """Drain the workers of the wave; nothing may start there after the bound."""
    for worker in sorted(scene.workers):
        await _set_drain(scene, worker, True)
    scene.out = ("", int(time.time() * 1000) + ZONE_OUT_BOUND_MS)


async def undrain_workers(scene: Scene) -> None:
    """End the watch of the drained workers and use them again."""
    _watch_workers(scene)
    for worker in sorted(scene.workers):
        await _set_drain(scene, worker, False)


async def leaving(scene: Scene) -> None:
    """Let the workers of the wave say that they leave."""
    await worker_fault(leaving=True)(scene)
    scene.out = ("", int(time.time() * 1000) + ZONE_OUT_BOUND_MS)


async def staying(scene: Scene) -> None:
    """End the watch of the leaving workers and use them again."""
    _watch_workers(scene)
    await worker_fault(leaving=False)(scene)


def _watch_workers(scene: Scene) -> None:
    now = int(time.time() * 1000)
    for worker in scene.workers:
        scene.evidence.excluded.append(Excluded(worker, scene.out[1], now))


async def _set_drain(scene: Scene, worker: str, draining: bool) -> None:
    for _ in range(5):
        held = await scene.configuration(scene.healthy()[0])
        if held is None:
            continue
        version = held.workers_version
        outcome = await scene.publish(
            lambda at, v=version: client.drain_target(at, worker, draining, v, CALL_MS)  # type: ignore[misc]
        )
        if isinstance(outcome, Change):
            return
    raise TimeoutError(f"the drain of {worker} always conflicted")


async def race(scene: Scene) -> None:
    """Let operators change one zone through all instances with the same expected version."""
    cell = "publishing"
    for _ in range(3):
        held = await scene.configuration(scene.healthy()[0])
        assert held is not None
        zone = held.zones[0]
        daemons = scene.healthy()
        outcomes = await asyncio.gather(
            *(
                client.set_zone(daemons[number % len(daemons)].address, zone, CALL_MS)
                for number in range(RACERS)
            )
        )
        won = [one for one in outcomes if isinstance(one, Change)]
        unknown = [one for one in outcomes if one not in won and one.effective_ran == "unknown"]
        scene.evidence.note(cell, f"{len(won)} of {RACERS} won")
        if len(won) > 1 or (not won and not unknown):
            scene.evidence.problem(cell, f"{len(won)} of {RACERS} operators won: {outcomes}")


async def region_cut(scene: Scene) -> None:
    """Cut the region without the store from the log, the list and the other region's workers."""
    topology = scene.fleet.topology
    regions = topology.regions
    home = regions[topology.store_zone]
    away = sorted(zone for zone in regions if regions[zone] != home)
    near = sorted(zone for zone in regions if regions[zone] == home)
    names = [one for one, zone in scene.zones().items() if zone in away]
    # The client of the list names only its instance, the others also name their zone.
    await set_faults(scene.fleet.log, cut_requests=away + names, cut_replies=away + names)
    await set_faults(scene.fleet.instance_list, cut_requests=names, cut_replies=names)
    for zones, cut in ((near, away), (away, near)):
        workers = [one.name for one in topology.workers if one.availability_zone in zones]
        await set_faults(scene.fleet.workers, workers=workers, cut_requests=cut, cut_replies=cut)


def both(first: Act, second: Act) -> Act:
    """Return an act that does two acts in order."""

    async def act(scene: Scene) -> None:
        await first(scene)
        await second(scene)

    return act


NOT_PLACED = {"publishing": NO_WORKER, "accepted": NO_WORKER, "snapshotting": NO_WORKER}
RACE_ONLY = dict.fromkeys(
    (
        "accepted",
        "running",
        "cancelling",
        "reclaiming",
        "answering",
        "dispatched",
        "claimed",
        "draining",
        "snapshotting",
    ),
    NO_OBJECT,
)
PEERS_NOT_CUT = "peer streams were not cut: the stand-ins are not on that path"
FAULTS = (
    Fault("kill", 3.0, kill, restart, kills=True),
    Fault("freeze", LAPSE_S, freeze, thaw),
    Fault("log requests cut", OUTAGE_S, log_fault(cut_requests=VICTIM), nothing),
    Fault("log replies cut", OUTAGE_S, log_fault(cut_replies=VICTIM), nothing),
    Fault(
        "log cut both ways",
        OUTAGE_S,
        log_fault(cut_requests=VICTIM, cut_replies=VICTIM),
        nothing,
    ),
    Fault("worker requests cut", LAPSE_S, worker_cut(cut_requests=VICTIM), nothing),
    Fault("worker replies cut", LAPSE_S, worker_cut(cut_replies=VICTIM), nothing),
    Fault(
        "workers cut both ways",
        LAPSE_S,
        worker_cut(cut_requests=VICTIM, cut_replies=VICTIM),
        nothing,
    ),
    Fault("log down", OUTAGE_S, log_fault(down="unavailable"), nothing, blocks_starts=True),
    Fault("log refuses", OUTAGE_S, log_fault(down="refuse"), nothing, blocks_starts=True),
    Fault("log slow", OUTAGE_S, log_fault(slow_ms=500), nothing, blocks_starts=True),
    Fault("log reply lost", 3.0, log_fault(lose_replies=6), nothing),
    Fault(
        "late duplicate append",
        4.0,
        log_fault(duplicate_appends=20, duplicate_after_ms=1_500),
        nothing,
    ),
    Fault("list stale", 4.0, stale_list, nothing),
    Fault(
        "worker dead",
        LAPSE_S,
        worker_fault(dead=True),
        nothing,
        hits_workers=True,
        not_applicable=NOT_PLACED,
    ),
    Fault(
        "worker fails all",
        6.0,
        worker_fault(fail_all=True),
        nothing,
        hits_workers=True,
        not_applicable=NOT_PLACED,
    ),
    Fault(
        "lease lapse",
        LONG_CUT_S,
        lapse,
        nothing,
        hits_workers=True,
        not_applicable=dict.fromkeys(("accepted", "publishing", "snapshotting"), NO_LEASE),
    ),
    Fault("worker leaving", EXCLUDED_S, leaving, staying, not_applicable=NOT_PLACED),
    Fault("worker drained", EXCLUDED_S, drain_workers, undrain_workers, not_applicable=NOT_PLACED),
    Fault("operators racing", 1.0, race, nothing, not_applicable=RACE_ONLY),
    Fault("zone out", EXCLUDED_S, zone_out, zone_back),
    Fault("region cut", LAPSE_S, region_cut, nothing, hits_workers=True, note=PEERS_NOT_CUT),
    Fault(
        "kill + reply lost",
        3.0,
        both(log_fault(lose_replies=6), kill),
        restart,
        kills=True,
    ),
    Fault(
        "freeze + log down",
        LAPSE_S,
        both(freeze, log_fault(down="unavailable")),
        thaw,
        blocks_starts=True,
    ),
    Fault(
        "freeze + zone out",
        LAPSE_S,
        both(freeze, zone_out),
        both(thaw_with_work, zone_back),
    ),
    Fault(
        "zone out + kill", EXCLUDED_S, both(zone_out, kill), both(zone_back, restart), kills=True
    ),
    Fault(
        "worker dead + kill",
        LAPSE_S,
        both(worker_fault(dead=True), kill),
        restart,
        kills=True,
        hits_workers=True,
        not_applicable=NOT_PLACED,
    ),
    Fault(
        "region cut + zone out",
        LAPSE_S,
        both(region_cut, zone_out),
        zone_back,
        hits_workers=True,
        note=PEERS_NOT_CUT,
    ),
)
