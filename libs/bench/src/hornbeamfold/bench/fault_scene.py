"""The running fleet of one row of the fault matrix, with callers and operators at work on it."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import replace
from functools import partial
from http.client import HTTPException
from json import dumps, loads
from typing import Any
from urllib.request import Request as Post
from urllib.request import urlopen

from hornbeamfold.bench.fault_evidence import Evidence, Fault, Outcome, Sent
from hornbeamfold.bench.fleet import Daemon, Fleet
from hornbeamfold.membership import rank_names
from hornbeamfold.model.errors import ErrorKind, ExecutionStatus, Refused
from hornbeamfold.model.status import (
    Change,
    Configuration,
    InstanceStatus,
    JobStatus,
    RequestAnswer,
)
from hornbeamfold.model.topology import AvailabilityZone, Organisation, Shape, Span
from hornbeamfold.model.work import JobSpec, JobState, Request
from hornbeamfold.rpc import client

CALL_MS = 3_000
# A caller's patience for its attempts: a later one has to outlast the resolving of a dead holder.
ATTEMPT_MS = (5_000, 9_000, 16_000)
DEADLINE_MS = 32_000
RETRY_PAUSE_S = 0.15
POLL_S = 0.1
# A restarted instance accepts changes 15 s after its start at the latest.
RESTORE_BOUND_S = 20.0
# Reads of the log wait for 1 s, and heartbeats that carry the age come every 500 ms.
CONFIRMED_MS = 3_000
BORROWERS = "borrowers"


class Scene:
    """One row: its fleet, the instance and the workers that the fault hits, and the evidence."""

    def __init__(
        self, fleet: Fleet, fault: Fault, evidence: Evidence, row: str = "", victim: str = ""
    ) -> None:
        self.fleet = fleet
        self.fault = fault
        self.row = row or fault.name.replace(" ", "-")
        self.evidence = evidence
        # The first-ranked proposer of placements is hit, because most depends on it.
        self.victim = victim or rank_names("placement", fleet.daemons)[0]
        self.workers: set[str] = set()
        self.frozen: set[str] = set()
        # The zone that is out, and the time after which nothing may start there.
        self.out = ("", 0)
        self.draining = False
        self.arrived = asyncio.Event()
        self.injected = asyncio.Event()
        self.healed = asyncio.Event()
        self._number = 0

    @property
    def daemon(self) -> Daemon:
        """The instance that the fault hits."""
        return self.fleet.daemons[self.victim]

    def new_wave(self) -> None:
        """Forget the fault and the work of the wave before."""
        self.workers.clear()
        self.draining = False
        self.injected, self.healed = asyncio.Event(), asyncio.Event()

    async def strike(self) -> None:
        """Wait for the fault: the work of this step is in place."""
        self.arrived.set()
        await self.injected.wait()

    def running_tasks(self) -> set[str]:
        """Return the ids of the job tasks that run on workers now, as the workers say."""
        running: set[str] = set()
        for worker in self.fleet.topology.workers:
            call = Post(
                f"http://{worker.address}/v1/sync",
                data=b'{"instance": "probe"}',
                headers={"Content-Type": "application/json"},
            )
            try:
                with urlopen(call, timeout=2.0) as reply:
                    tasks = loads(reply.read())["tasks"]
            except (OSError, HTTPException):
                # A worker that is dead runs nothing.
                continue
            running.update(one["task"] for one in tasks if one["state"] == "running")
        return running

    def snapshots(self) -> int:
        """Return how many snapshots the instances have written."""
        return sum(
            one.all_logs().count('"Snapshot written"') for one in self.fleet.daemons.values()
        )

    def healthy(self) -> list[Daemon]:
        """Return the instances that run now and are not frozen, the victim last."""
        found = [
            one
            for name, one in self.fleet.daemons.items()
            if one.running() and name not in self.frozen
        ]
        return sorted(found, key=lambda one: one.name == self.victim)

    def request(self, cell: str, run_ms: int, idempotent: bool = False) -> Request:
        """Return a request of a cell with an id of its own."""
        self._number += 1
        return Request(
            "accounts",
            f"{self.row}.{cell}.{self._number}",
            "quote",
            dumps({"run_ms": run_ms, "number": self._number}),
            idempotent,
            True,
            int(time.time() * 1000) + DEADLINE_MS,
        )

    def spec(
        self, cell: str, organisation: str, shape: Shape, run_ms: int, body: dict[str, Any]
    ) -> JobSpec:
        """Return a checkpointable job of a cell."""
        self._number += 1
        name = f"{self.row}.{cell}.{self._number}"
        text = dumps({"run_ms": run_ms, **body})
        spec = JobSpec(organisation, name, "train", text, shape, run_ms, True, True)
        self.evidence.shapes[spec.key] = shape.accelerators
        return spec

    async def call(self, cell: str, request: Request) -> Outcome:
        """Send a request through the victim, and each retry through another instance."""
        names = [self.victim, *(name for name in self.fleet.daemons if name != self.victim)]
        outcome: Outcome = Refused(ErrorKind.UNREACHABLE, "not sent", ExecutionStatus.NOT_RUN)
        for attempt, patience_ms in enumerate(ATTEMPT_MS, start=1):
            address = self.fleet.daemons[names[(attempt - 1) % len(names)]].address
            request = replace(request, attempt=attempt)
            outcome = await client.submit(address, request, patience_ms)
            final = isinstance(outcome, RequestAnswer) or outcome.kind in (
                ErrorKind.FAILED,
                ErrorKind.DUPLICATE_REQUEST,
                ErrorKind.CANCELLED,
            )
            ended = int(time.time() * 1000)
            last = final or attempt == len(ATTEMPT_MS)
            unsettled = (
                isinstance(outcome, Refused) and outcome.effective_ran is ExecutionStatus.UNKNOWN
            )
            self.evidence.sent.append(Sent(cell, request, outcome, ended, last and not unsettled))
            if last:
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        return outcome

    def start_call(self, cell: str, request: Request) -> "asyncio.Task[Outcome]":
        """Send a request and go on."""
        return asyncio.create_task(self.call(cell, request))

    async def settled(self, cell: str, request: Request, outcome: Outcome) -> None:
        """Check that a request has an end that its caller can rely on."""
        if isinstance(outcome, RequestAnswer):
            self.evidence.note(cell, "answered")
            return
        if outcome.effective_ran != ExecutionStatus.UNKNOWN:
            self.evidence.note(cell, f"{outcome.kind.value} ({outcome.effective_ran.value})")
            return
        await self.healed.wait()
        # The caller comes back once more: the request has an answer, or it is free to run.
        again = replace(request, attempt=len(ATTEMPT_MS) + 1)
        address = self.healthy()[0].address
        outcome = await client.submit(address, again, ATTEMPT_MS[-1])
        ended = int(time.time() * 1000)
        self.evidence.sent.append(Sent(cell, again, outcome, ended, True))
        if isinstance(outcome, RequestAnswer):
            self.evidence.note(cell, "answered late")
            return
        self.evidence.note(cell, f"{outcome.kind.value}: {outcome.detail[:60]}")
        if not self.fault.hits_workers and not request.idempotent:
            self.evidence.problem(
                cell, f"{request.request_id} has no end although its worker lives: {outcome}"
            )

    async def started(self, request_id: str) -> dict[str, Any]:
        """Wait for the start of a request and return it."""
        found: list[dict[str, Any]] = []

        def seen() -> bool:
            found[:] = [one for one in self.fleet.starts() if one["request_id"] == request_id]
            return bool(found)

        await until(seen, 8.0, f"start of {request_id}")
        return found[0]

    async def claimed(self, request: Request) -> str:
        """Wait until another instance knows the open claim of a request; return its worker."""
        address = self.healthy()[0].address
        deadline = time.monotonic() + 6.0
        while time.monotonic() < deadline:
            found = await client.get_answer(
                address, request.organisation, request.request_id, 0, CALL_MS
            )
            if isinstance(found, RequestAnswer) and found.worker:
                return found.worker
            await asyncio.sleep(POLL_S / 2)
        raise TimeoutError(f"no claim of {request.request_id}")

    async def submit_job(self, spec: JobSpec, daemon: Daemon | None = None) -> JobStatus:
        """Submit a job, again through another instance as long as it is not known."""
        chosen = [daemon] if daemon is not None else []
        outcome: JobStatus | Refused = Refused(ErrorKind.UNREACHABLE, "no instance")
        deadline = time.monotonic() + 20.0
        while time.monotonic() < deadline:
            for one in [*chosen, *self.healthy()]:
                outcome = await client.submit_job(one.address, spec, CALL_MS)
                if isinstance(outcome, JobStatus):
                    return outcome
            await asyncio.sleep(RETRY_PAUSE_S)
        raise TimeoutError(f"job {spec.key} was not taken: {outcome}")

    async def job(self, key: tuple[str, str], states: set[JobState], bound_s: float) -> JobStatus:
        """Wait until a job is in one of the states."""
        deadline = time.monotonic() + bound_s
        status: JobStatus | Refused | None = None
        while time.monotonic() < deadline:
            status = await client.get_job(self.healthy()[0].address, key[0], key[1], CALL_MS)
            if isinstance(status, JobStatus) and status.job.state in states:
                return status
            await asyncio.sleep(POLL_S)
        shown = status.job if isinstance(status, JobStatus) else status
        raise TimeoutError(f"job {key} not {sorted(states)} within {bound_s} s: {shown}")

    async def configuration(self, daemon: Daemon) -> Configuration | None:
        """Return the configuration that an instance has, if it answers."""
        found = await client.get_configuration(daemon.address, 1_000)
        return found if isinstance(found, Configuration) else None

    async def publish(self, change: Callable[[str], Coroutine[Any, Any, Change | Refused]]) -> Any:
        """Make a change through some instance; try others while it certainly did not happen."""
        deadline = time.monotonic() + RESTORE_BOUND_S
        while True:
            for daemon in self.healthy():
                outcome = await change(daemon.address)
                if isinstance(outcome, Change) or outcome.kind is ErrorKind.CONFLICT:
                    return outcome
            if time.monotonic() > deadline:
                raise TimeoutError(f"no instance took a change: {outcome}")
            await asyncio.sleep(RETRY_PAUSE_S)

    async def set_zone(self, name: str, in_service: bool) -> None:
        """Take a zone out or bring it back, with its present version."""
        while True:
            held = await self.configuration(self.healthy()[0])
            assert held is not None
            zone = next(one for one in held.zones if one.name == name)
            if zone.in_service == in_service:
                return
            wanted = replace(zone, in_service=in_service)
            outcome = await self.publish(partial(_set_zone, wanted))
            if isinstance(outcome, Change):
                return

    async def fill(self, count: int) -> None:
        """Fill all accelerators with borrowing jobs."""
        await self.publish(lambda at: client.put_organisation(at, Organisation(BORROWERS), CALL_MS))
        shape = Shape(8, 8, 16, Span.WORKER)
        body = dumps({"run_ms": 900_000})
        for number in range(count):
            name = f"fill-{number}"
            await self.submit_job(
                JobSpec(BORROWERS, name, "fill", body, shape, 900_000, False, True)
            )

    def zones(self) -> dict[str, str]:
        """Return the zone of each instance."""
        return dict(zip(self.fleet.daemons, self.fleet.topology.entry_zones, strict=False))

    async def end_faults(self) -> None:
        """End all faults of the stand-ins and thaw all instances."""
        for standin in (self.fleet.log, self.fleet.instance_list, self.fleet.workers):
            await asyncio.to_thread(standin.reset)
        for daemon in self.fleet.daemons.values():
            if daemon.running():
                daemon.thaw()
        self.frozen.clear()

    async def restore(self) -> None:
        """End all faults and wait until all instances hear one another and have settled."""
        fleet = self.fleet
        await self.end_faults()
        for daemon in fleet.daemons.values():
            if daemon.running():
                continue
            daemon.restart()
            await asyncio.to_thread(daemon.wait_serving)
        deadline = time.monotonic() + RESTORE_BOUND_S
        while not await self._whole():
            if time.monotonic() > deadline:
                raise TimeoutError("the instances did not find one another again")
            await asyncio.sleep(POLL_S)

    async def _whole(self) -> bool:
        offsets = set()
        for daemon in self.fleet.daemons.values():
            listed = await client.list_instances(daemon.address, CALL_MS)
            held = await self.configuration(daemon)
            if isinstance(listed, Refused) or held is None:
                return False
            live = [one for one in listed if _fresh(one)]
            if len(live) != len(self.fleet.daemons):
                return False
            offsets.add(held.offset)
        return len(offsets) == 1


async def _set_zone(zone: AvailabilityZone, address: str) -> Change | Refused:
    return await client.set_zone(address, zone, CALL_MS)


def _fresh(status: InstanceStatus) -> bool:
    return status.state in ("self", "live") and status.confirmed_age_ms < CONFIRMED_MS


async def until(condition: Callable[[], bool], bound_s: float, what: str) -> None:
    """Wait for a condition that is seen on the stand-ins."""
    deadline = time.monotonic() + bound_s
    while not await asyncio.to_thread(condition):
        if time.monotonic() > deadline:
            raise TimeoutError(f"not within {bound_s} s: {what}")
        await asyncio.sleep(POLL_S / 2)
