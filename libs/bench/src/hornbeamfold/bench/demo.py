"""The demonstration: one firm as processes, with requests, gang jobs and a zone taken out."""

import asyncio
import sys
import time
from dataclasses import dataclass, replace
from json import dumps

from hornbeamfold.bench.fleet import Fleet, running_fleet
from hornbeamfold.bench.topologies import Topology, rampes
from hornbeamfold.model.errors import Refused
from hornbeamfold.model.status import Change, Configuration, JobStatus, RequestAnswer
from hornbeamfold.model.topology import AvailabilityZone, Shape, Span
from hornbeamfold.model.work import JobSpec, JobState, Request
from hornbeamfold.rpc import client

CALL_MS = 5_000
REQUEST_MS = 15_000
ZONE_BOUND_S = 5.0
JOB_BOUND_S = 20.0
POLL_S = 0.05
RETRY_S = 0.2


@dataclass(frozen=True)
class Kind:
    """A kind of request of the planner service."""

    name: str
    idempotent: bool
    urgent: bool
    run_ms: int
    count: int


KINDS = (
    Kind("quote", False, True, 60, 24),
    Kind("render", True, False, 400, 16),
    Kind("audit", True, False, 150, 16),
)


@dataclass(frozen=True)
class Row:
    """One line of the closing table."""

    what: str
    count: int
    result: str
    ok: bool


async def configure(address: str, topology: Topology) -> None:
    """Publish zones, workers and organisations."""
    for zone in topology.zones:
        await expect(lambda zone=zone: client.set_zone(address, zone, CALL_MS))
    await expect(lambda: client.put_workers(address, topology.workers, (), 0, CALL_MS))
    for organisation in topology.organisations:
        await expect(lambda one=organisation: client.put_organisation(address, one, CALL_MS))


async def expect(call) -> Change:  # type: ignore[no-untyped-def]
    """Make a change, trying again while the instance says that it certainly did not happen."""
    deadline = time.monotonic() + 20.0
    while True:
        outcome = await call()
        if isinstance(outcome, Change):
            return outcome
        if not outcome.response.retry or time.monotonic() > deadline:
            raise RuntimeError(f"the change was refused: {outcome.kind.value}: {outcome.detail}")
        await asyncio.sleep(RETRY_S)


async def submit(addresses: list[str], request: Request, number: int) -> RequestAnswer | Refused:
    """Send a request through one instance, and through the next one if it certainly did not run."""
    outcome: RequestAnswer | Refused = await client.submit(
        addresses[number % len(addresses)], request, REQUEST_MS
    )
    for attempt in range(2, 5):
        if isinstance(outcome, RequestAnswer) or not outcome.response.retry:
            break
        await asyncio.sleep(RETRY_S)
        address = addresses[(number + attempt) % len(addresses)]
        outcome = await client.submit(address, replace(request, attempt=attempt), REQUEST_MS)
    return outcome


async def send_requests(fleet: Fleet, tag: str) -> list[Row]:
    """Send requests of all kinds through all instances at once and check each answer."""
    addresses = fleet.addresses()
    organisations = [one.name for one in fleet.topology.organisations]
    rows: list[Row] = []
    calls: list[tuple[Kind, Request, asyncio.Task[RequestAnswer | Refused]]] = []
    number = 0
    for kind in KINDS:
        for index in range(kind.count):
            number += 1
            request = Request(
                organisation=organisations[number % len(organisations)],
                request_id=f"{tag}-{kind.name}-{index}",
                kind=kind.name,
                body=dumps({"run_ms": kind.run_ms, "number": number}),
                idempotent=kind.idempotent,
                urgent=kind.urgent,
                deadline_ms=int(time.time() * 1000) + REQUEST_MS,
            )
            calls.append((kind, request, asyncio.create_task(submit(addresses, request, number))))
    outcomes = [(kind, request, await task) for kind, request, task in calls]
    starts = [start for start in fleet.starts() if start["request_id"]]
    for kind in KINDS:
        mine = [(request, outcome) for one, request, outcome in outcomes if one is kind]
        answered = [
            request
            for request, outcome in mine
            if isinstance(outcome, RequestAnswer) and outcome.request_id == request.request_id
        ]
        ids = {request.request_id for request, _ in mine}
        ran = [start["request_id"] for start in starts if start["request_id"] in ids]
        doubled = len(ran) - len(set(ran))
        ok = len(answered) == len(mine) and (kind.idempotent or doubled == 0)
        refused = {outcome.kind.value for _, outcome in mine if isinstance(outcome, Refused)}
        note = f"{len(answered)} answered, {doubled} run again"
        if refused:
            note += f", refused: {', '.join(sorted(refused))}"
        rows.append(Row(f"{kind.name} requests ({tag})", len(mine), note, ok))
    return rows


async def wait_job(address: str, key: tuple[str, str], states: set[JobState]) -> JobStatus:
    """Wait until a job is in one of the states."""
    deadline = time.monotonic() + JOB_BOUND_S
    while time.monotonic() < deadline:
        status = await client.get_job(address, key[0], key[1], CALL_MS)
        if isinstance(status, JobStatus) and status.job.state in states:
            return status
        await asyncio.sleep(POLL_S)
    raise TimeoutError(f"job {key} did not reach {sorted(states)}: {status}")


async def submit_gangs(fleet: Fleet) -> list[JobSpec]:
    """Submit two gang jobs of adjacent accelerators through different instances."""
    body = dumps({"run_ms": 4_000})
    specs = [
        JobSpec(
            "sousse-crew",
            "slope-model",
            "train",
            body,
            Shape(16, 64, 256, Span.RACK),
            4_000,
            urgent=False,
            checkpointable=True,
        ),
        JobSpec(
            "surveyors",
            "survey-render",
            "train",
            body,
            Shape(8, 32, 128, Span.WORKER),
            4_000,
            urgent=True,
            checkpointable=True,
        ),
    ]
    addresses = fleet.addresses()
    for number, spec in enumerate(specs):
        status = await client.submit_job(addresses[number % len(addresses)], spec, CALL_MS)
        if isinstance(status, Refused):
            raise RuntimeError(f"job refused: {status.kind.value}: {status.detail}")
    return specs


async def zone_of_job(fleet: Fleet, status: JobStatus) -> str:
    """Return the availability zone of a job's first member."""
    worker = status.job.members[0].member.worker
    zones = {one.name: one.availability_zone for one in fleet.topology.workers}
    return zones[worker]


async def zone_trip(fleet: Fleet, name: str) -> list[Row]:
    """Take a zone out, check that nothing starts there after the bound, and bring it back."""
    address = fleet.addresses()[0]
    zone = await present_zone(address, name)
    await expect(lambda: client.set_zone(address, replace(zone, in_service=False), CALL_MS))
    accepted_ms = int(time.time() * 1000)
    rows = await send_requests(fleet, "zone-out")
    await asyncio.sleep(max(0.0, ZONE_BOUND_S + 1.0 - (time.time() - accepted_ms / 1000)))
    late = [
        start
        for start in fleet.starts()
        if start["zone"] == name and start["at_ms"] > accepted_ms + ZONE_BOUND_S * 1000
    ]
    rows.append(Row(f"starts in {name} after {ZONE_BOUND_S:.0f} s", len(late), "", not late))
    back = await present_zone(address, name)
    await expect(lambda: client.set_zone(address, replace(back, in_service=True), CALL_MS))
    return rows


async def present_zone(address: str, name: str) -> AvailabilityZone:
    """Return a zone with its present version."""
    configuration = await client.get_configuration(address, CALL_MS)
    assert isinstance(configuration, Configuration), configuration
    return next(zone for zone in configuration.zones if zone.name == name)


async def run(fleet: Fleet) -> list[Row]:
    """Run the whole demonstration."""
    address = fleet.addresses()[0]
    await configure(address, fleet.topology)
    rows = [Row("entry instances", len(fleet.addresses()), "configured", True)]
    specs = await submit_gangs(fleet)
    running = [
        await wait_job(fleet.addresses()[-1], spec.key, {JobState.RUNNING}) for spec in specs
    ]
    rows += await send_requests(fleet, "normal")
    rows += await zone_trip(fleet, await zone_of_job(fleet, running[0]))
    for spec, status in zip(specs, running, strict=True):
        ended = await wait_job(address, spec.key, {JobState.FINISHED, JobState.FAILED})
        delay = status.job.running_ms - status.job.submitted_ms
        members = len(status.job.members)
        note = (
            f"{ended.job.state.value} on attempt {ended.job.attempt}, "
            f"{members} members, started after {delay} ms"
        )
        rows.append(Row(f"gang {spec.job_id}", 1, note, ended.job.state == JobState.FINISHED))
    violations = fleet.violations()
    rows.append(Row("invariant violations and faults", len(violations), "", not violations))
    for line in violations[:5]:
        print(line, file=sys.stderr)
    return rows


def main() -> int:
    """Run the demonstration and print its table."""
    started = time.monotonic()
    with running_fleet(rampes()) as fleet:
        rows = asyncio.run(run(fleet))
    width = max(len(row.what) for row in rows)
    for row in rows:
        print(f"{'ok ' if row.ok else 'BAD'} {row.what:<{width}} {row.count:>4}  {row.result}")
    print(f"took {time.monotonic() - started:.1f} s")
    return 0 if all(row.ok for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
