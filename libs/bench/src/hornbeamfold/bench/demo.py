"""The demo: runs requests and gang jobs on one deployment and takes a zone out of service."""

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

CALL_TIMEOUT_MS = 5_000
REQUEST_TIMEOUT_MS = 15_000
ZONE_OUT_BOUND_S = 5.0
JOB_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
RETRY_INTERVAL_S = 0.2


@dataclass(frozen=True)
class RequestKind:
    """A kind of request, with the run time and the number of requests to send."""

    name: str
    idempotent: bool
    urgent: bool
    run_ms: int
    count: int


REQUEST_KINDS = (
    RequestKind("quote", False, True, 60, 24),
    RequestKind("render", True, False, 400, 16),
    RequestKind("audit", True, False, 150, 16),
)


@dataclass(frozen=True)
class ResultRow:
    """One line of the result table."""

    label: str
    count: int
    result: str
    passed: bool


async def configure(address: str, topology: Topology) -> None:
    """Publish the zones, workers and organisations of a topology through one instance."""
    for zone in topology.zones:
        await apply_change(lambda zone=zone: client.set_zone(address, zone, CALL_TIMEOUT_MS))
    await apply_change(
        lambda: client.put_workers(address, topology.workers, (), 0, CALL_TIMEOUT_MS)
    )
    for organisation in topology.organisations:
        await apply_change(
            lambda one=organisation: client.put_organisation(address, one, CALL_TIMEOUT_MS)
        )


async def apply_change(change) -> Change:  # type: ignore[no-untyped-def]
    """Apply a change; retry while the instance reports that it was certainly not applied."""
    deadline = time.monotonic() + 20.0
    while True:
        outcome = await change()
        if isinstance(outcome, Change):
            return outcome
        if not outcome.response.retry or time.monotonic() > deadline:
            raise RuntimeError(f"the change was refused: {outcome.kind.value}: {outcome.detail}")
        await asyncio.sleep(RETRY_INTERVAL_S)


async def submit(addresses: list[str], request: Request, number: int) -> RequestAnswer | Refused:
    """Send a request; retry through the next instance if it certainly did not run."""
    outcome: RequestAnswer | Refused = await client.submit(
        addresses[number % len(addresses)], request, REQUEST_TIMEOUT_MS
    )
    for attempt in range(2, 5):
        if isinstance(outcome, RequestAnswer) or not outcome.response.retry:
            break
        await asyncio.sleep(RETRY_INTERVAL_S)
        address = addresses[(number + attempt) % len(addresses)]
        outcome = await client.submit(
            address, replace(request, attempt=attempt), REQUEST_TIMEOUT_MS
        )
    return outcome


async def send_requests(fleet: Fleet, tag: str) -> list[ResultRow]:
    """Send requests of all kinds concurrently through all instances and check each answer."""
    addresses = fleet.addresses()
    organisations = [one.name for one in fleet.topology.organisations]
    rows: list[ResultRow] = []
    calls: list[tuple[RequestKind, Request, asyncio.Task[RequestAnswer | Refused]]] = []
    number = 0
    for kind in REQUEST_KINDS:
        for index in range(kind.count):
            number += 1
            request = Request(
                organisation=organisations[number % len(organisations)],
                request_id=f"{tag}-{kind.name}-{index}",
                kind=kind.name,
                body=dumps({"run_ms": kind.run_ms, "number": number}),
                idempotent=kind.idempotent,
                urgent=kind.urgent,
                deadline_ms=int(time.time() * 1000) + REQUEST_TIMEOUT_MS,
            )
            calls.append((kind, request, asyncio.create_task(submit(addresses, request, number))))
    outcomes = [(kind, request, await task) for kind, request, task in calls]
    starts = [start for start in fleet.starts() if start["request_id"]]
    for kind in REQUEST_KINDS:
        of_kind = [(request, outcome) for one, request, outcome in outcomes if one is kind]
        answered = [
            request
            for request, outcome in of_kind
            if isinstance(outcome, RequestAnswer) and outcome.request_id == request.request_id
        ]
        ids = {request.request_id for request, _ in of_kind}
        ran = [start["request_id"] for start in starts if start["request_id"] in ids]
        repeated = len(ran) - len(set(ran))
        ok = len(answered) == len(of_kind) and (kind.idempotent or repeated == 0)
        refused = {outcome.kind.value for _, outcome in of_kind if isinstance(outcome, Refused)}
        note = f"{len(answered)} answered, {repeated} run again"
        if refused:
            note += f", refused: {', '.join(sorted(refused))}"
        rows.append(ResultRow(f"{kind.name} requests ({tag})", len(of_kind), note, ok))
    return rows


async def wait_job(address: str, key: tuple[str, str], states: set[JobState]) -> JobStatus:
    """Wait until a job is in one of the given states and return its status."""
    deadline = time.monotonic() + JOB_TIMEOUT_S
    while time.monotonic() < deadline:
        status = await client.get_job(address, key[0], key[1], CALL_TIMEOUT_MS)
        if isinstance(status, JobStatus) and status.job.state in states:
            return status
        await asyncio.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"job {key} did not reach {sorted(states)}: {status}")


async def submit_gangs(fleet: Fleet) -> list[JobSpec]:
    """Submit two gang jobs, one within a rack and one on a worker, through different instances."""
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
        status = await client.submit_job(addresses[number % len(addresses)], spec, CALL_TIMEOUT_MS)
        if isinstance(status, Refused):
            raise RuntimeError(f"job refused: {status.kind.value}: {status.detail}")
    return specs


async def zone_of_job(fleet: Fleet, status: JobStatus) -> str:
    """Return the availability zone of a job's first member."""
    worker = status.job.members[0].member.worker
    zones = {one.name: one.availability_zone for one in fleet.topology.workers}
    return zones[worker]


async def take_zone_out_and_back(fleet: Fleet, name: str) -> list[ResultRow]:
    """Take a zone out of service, check that nothing starts there after the bound, and undo it."""
    address = fleet.addresses()[0]
    zone = await current_zone(address, name)
    await apply_change(
        lambda: client.set_zone(address, replace(zone, in_service=False), CALL_TIMEOUT_MS)
    )
    accepted_ms = int(time.time() * 1000)
    rows = await send_requests(fleet, "zone-out")
    await asyncio.sleep(max(0.0, ZONE_OUT_BOUND_S + 1.0 - (time.time() - accepted_ms / 1000)))
    late = [
        start
        for start in fleet.starts()
        if start["zone"] == name and start["at_ms"] > accepted_ms + ZONE_OUT_BOUND_S * 1000
    ]
    rows.append(
        ResultRow(f"starts in {name} after {ZONE_OUT_BOUND_S:.0f} s", len(late), "", not late)
    )
    zone_out = await current_zone(address, name)
    await apply_change(
        lambda: client.set_zone(address, replace(zone_out, in_service=True), CALL_TIMEOUT_MS)
    )
    return rows


async def current_zone(address: str, name: str) -> AvailabilityZone:
    """Return a zone with its current version, which a change must name."""
    configuration = await client.get_configuration(address, CALL_TIMEOUT_MS)
    assert isinstance(configuration, Configuration), configuration
    return next(zone for zone in configuration.zones if zone.name == name)


async def run(fleet: Fleet) -> list[ResultRow]:
    """Run the demo and return its result table."""
    address = fleet.addresses()[0]
    await configure(address, fleet.topology)
    rows = [ResultRow("entry instances", len(fleet.addresses()), "configured", True)]
    specs = await submit_gangs(fleet)
    running = [
        await wait_job(fleet.addresses()[-1], spec.key, {JobState.RUNNING}) for spec in specs
    ]
    rows += await send_requests(fleet, "normal")
    rows += await take_zone_out_and_back(fleet, await zone_of_job(fleet, running[0]))
    for spec, status in zip(specs, running, strict=True):
        ended = await wait_job(address, spec.key, {JobState.FINISHED, JobState.FAILED})
        delay = status.job.running_ms - status.job.submitted_ms
        members = len(status.job.members)
        note = (
            f"{ended.job.state.value} on attempt {ended.job.attempt}, "
            f"{members} members, started after {delay} ms"
        )
        rows.append(ResultRow(f"gang {spec.job_id}", 1, note, ended.job.state == JobState.FINISHED))
    violations = fleet.violations()
    rows.append(ResultRow("invariant violations and faults", len(violations), "", not violations))
    for line in violations[:5]:
        print(line, file=sys.stderr)
    return rows


def main() -> int:
    """Run the demo and print its result table; return 1 if a row failed."""
    started = time.monotonic()
    with running_fleet(rampes()) as fleet:
        rows = asyncio.run(run(fleet))
    width = max(len(row.label) for row in rows)
    for row in rows:
        print(f"{'ok ' if row.passed else 'BAD'} {row.label:<{width}} {row.count:>4}  {row.result}")
    print(f"took {time.monotonic() - started:.1f} s")
    return 0 if all(row.passed for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
