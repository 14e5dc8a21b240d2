"""The actions of the fault matrix, which inject and end faults."""

import asyncio
import time
from typing import Any

from hornbeamfold.bench.fault_evidence import Action, ExclusionWindow
from hornbeamfold.bench.fault_scenario import CALL_TIMEOUT_MS, Scenario
from hornbeamfold.model.errors import ExecutionStatus, Refused
from hornbeamfold.model.status import Change
from hornbeamfold.model.timing import ZONE_OUT_BOUND_MS
from hornbeamfold.rpc import client
from hornbeamfold.standins.launch import StandIn

RACING_OPERATORS = 6
LATE_REQUESTS = 16


async def do_nothing(scenario: Scenario) -> None:
    """Do nothing, for a fault that ends by itself or that `Scenario.end_faults` ends."""
    del scenario


async def set_faults(standin: StandIn, **faults: Any) -> None:
    """Activate faults of a stand-in without blocking the event loop."""
    await asyncio.to_thread(lambda: standin.set_faults(**faults))


async def kill(scenario: Scenario) -> None:
    """Kill the victim unless it has already exited, as it does at the end of a drain."""
    if scenario.victim_daemon.running():
        await asyncio.to_thread(scenario.victim_daemon.kill)


async def restart(scenario: Scenario) -> None:
    """Restart the victim if it is not running, and wait until it serves."""
    if not scenario.victim_daemon.running():
        scenario.victim_daemon.restart()
        await asyncio.to_thread(scenario.victim_daemon.wait_serving)


async def freeze(scenario: Scenario) -> None:
    """Suspend the victim's process."""
    scenario.frozen.add(scenario.victim)
    if scenario.victim_daemon.running():
        scenario.victim_daemon.freeze()


async def thaw(scenario: Scenario) -> None:
    """Resume the victim's process."""
    if scenario.victim_daemon.running():
        scenario.victim_daemon.thaw()
    scenario.frozen.discard(scenario.victim)


def log_fault(**faults: Any) -> Action:
    """Return an action that activates faults of the log; `VICTIM` stands for the victim's name."""

    async def act(scenario: Scenario) -> None:
        await set_faults(scenario.fleet.log, **_with_victim_name(scenario, faults))

    return act


def worker_calls_fault(**faults: Any) -> Action:
    """Return an action that activates faults of all workers; `VICTIM` is replaced likewise."""

    async def act(scenario: Scenario) -> None:
        await set_faults(scenario.fleet.workers, **_with_victim_name(scenario, faults))

    return act


def busy_worker_fault(**faults: Any) -> Action:
    """Return an action that activates faults of the workers that run the work of the wave."""

    async def act(scenario: Scenario) -> None:
        await set_faults(scenario.fleet.workers, workers=sorted(scenario.busy_workers), **faults)

    return act


def _with_victim_name(scenario: Scenario, faults: dict[str, Any]) -> dict[str, Any]:
    return {name: [scenario.victim] if value == VICTIM else value for name, value in faults.items()}


VICTIM = ["victim"]


async def cut_off_busy_workers(scenario: Scenario) -> None:
    """Cut all instances off from the busy workers; the probes of the checks still reach them."""
    zones = sorted(set(scenario.instance_zones().values()))
    await busy_worker_fault(cut_requests=zones)(scenario)


async def restart_with_stale_list(scenario: Scenario) -> None:
    """Freeze the instance list, then restart the victim, which gets another address."""
    await set_faults(scenario.fleet.instance_list, stale_reads=True)
    if scenario.victim_draining:
        return
    await kill(scenario)
    await restart(scenario)


async def take_zone_out(scenario: Scenario) -> None:
    """Take the zone of the work out of service; after the bound nothing may start there."""
    name = _zone_of_work(scenario)
    await scenario.set_zone(name, False)
    since = int(time.time() * 1000) + ZONE_OUT_BOUND_MS
    scenario.exclusion = (name, since)


async def bring_zone_back(scenario: Scenario) -> None:
    """Record the window in which nothing may start in the zone, and return it to service."""
    name, since = scenario.exclusion
    scenario.evidence.exclusions.append(ExclusionWindow(name, since, int(time.time() * 1000)))
    await scenario.set_zone(name, True)


def _zone_of_work(scenario: Scenario) -> str:
    """Return the zone of a busy worker, or any zone if no step has a worker yet."""
    workers = scenario.fleet.topology.workers
    mine = [one.availability_zone for one in workers if one.name in scenario.busy_workers]
    return (mine or [workers[0].availability_zone])[0]


async def thaw_with_work(scenario: Scenario) -> None:
    """Thaw the victim after requests have arrived; its view has become stale while frozen."""
    requests = [scenario.new_request("accepted", 60, idempotent=True) for _ in range(LATE_REQUESTS)]
    calls = [scenario.start_sending("accepted", request) for request in requests]
    await asyncio.sleep(0.3)
    await thaw(scenario)
    await asyncio.gather(*calls)


async def drain_workers(scenario: Scenario) -> None:
    """Drain the busy workers; after the bound nothing may start there."""
    for worker in sorted(scenario.busy_workers):
        await _set_drain(scenario, worker, True)
    scenario.exclusion = ("", int(time.time() * 1000) + ZONE_OUT_BOUND_MS)


async def undrain_workers(scenario: Scenario) -> None:
    """Record the window in which nothing may start on the drained workers, and undrain them."""
    _record_worker_exclusions(scenario)
    for worker in sorted(scenario.busy_workers):
        await _set_drain(scenario, worker, False)


async def announce_leaving(scenario: Scenario) -> None:
    """Let the busy workers announce that they leave; after the bound nothing may start there."""
    await busy_worker_fault(leaving=True)(scenario)
    scenario.exclusion = ("", int(time.time() * 1000) + ZONE_OUT_BOUND_MS)


async def withdraw_leaving(scenario: Scenario) -> None:
    """Record the window in which nothing may start on leaving workers; end the announcement."""
    _record_worker_exclusions(scenario)
    await busy_worker_fault(leaving=False)(scenario)


def _record_worker_exclusions(scenario: Scenario) -> None:
    now = int(time.time() * 1000)
    for worker in scenario.busy_workers:
        scenario.evidence.exclusions.append(ExclusionWindow(worker, scenario.exclusion[1], now))


async def _set_drain(scenario: Scenario, worker: str, draining: bool) -> None:
    for _ in range(5):
        configuration = await scenario.configuration(scenario.healthy()[0])
        if configuration is None:
            continue
        version = configuration.workers_version
        outcome = await scenario.publish(
            lambda at, v=version: client.drain_target(at, worker, draining, v, CALL_TIMEOUT_MS)  # type: ignore[misc]
        )
        if isinstance(outcome, Change):
            return
    raise TimeoutError(f"could not change the drain of {worker} in 5 attempts")


async def race_operators(scenario: Scenario) -> None:
    """Let operators change one zone at once, all with the same expected version.

    At most one of them may succeed, and one must if no outcome is unknown.
    """
    cell = "publishing"
    for _ in range(3):
        configuration = await scenario.configuration(scenario.healthy()[0])
        assert configuration is not None
        zone = configuration.zones[0]
        daemons = scenario.healthy()
        outcomes = await asyncio.gather(
            *(
                client.set_zone(daemons[number % len(daemons)].address, zone, CALL_TIMEOUT_MS)
                for number in range(RACING_OPERATORS)
            )
        )
        winners = [one for one in outcomes if isinstance(one, Change)]
        unknown = [
            one
            for one in outcomes
            if isinstance(one, Refused) and one.effective_ran is ExecutionStatus.UNKNOWN
        ]
        scenario.evidence.add_note(cell, f"{len(winners)} of {RACING_OPERATORS} won")
        if len(winners) > 1 or (not winners and not unknown):
            scenario.evidence.add_problem(
                cell, f"{len(winners)} of {RACING_OPERATORS} operators won: {outcomes}"
            )


async def cut_region(scenario: Scenario) -> None:
    """Cut the region without the store off from log and list, and cut cross-region worker calls."""
    topology = scenario.fleet.topology
    regions = topology.regions
    home = regions[topology.store_zone]
    away = sorted(zone for zone in regions if regions[zone] != home)
    near = sorted(zone for zone in regions if regions[zone] == home)
    names = [one for one, zone in scenario.instance_zones().items() if zone in away]
    # Clients of the list send only the name of the instance; all other clients also send the zone.
    await set_faults(scenario.fleet.log, cut_requests=away + names, cut_replies=away + names)
    await set_faults(scenario.fleet.instance_list, cut_requests=names, cut_replies=names)
    for zones, cut in ((near, away), (away, near)):
        workers = [one.name for one in topology.workers if one.availability_zone in zones]
        await set_faults(scenario.fleet.workers, workers=workers, cut_requests=cut, cut_replies=cut)


def in_sequence(first: Action, second: Action) -> Action:
    """Return an action that performs two actions in order."""

    async def act(scenario: Scenario) -> None:
        await first(scenario)
        await second(scenario)

    return act
