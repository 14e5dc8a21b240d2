"""The fleet of one row of the fault matrix, with the calls that callers and operators make."""

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

from hornbeamfold.bench.fault_evidence import Attempt, Evidence, Fault, Outcome
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

CALL_TIMEOUT_MS = 3_000
# Timeouts of a caller's successive attempts. A later attempt must outlast the time that it takes
# to resolve the claim of a dead holder.
ATTEMPT_TIMEOUTS_MS = (5_000, 9_000, 16_000)
REQUEST_DEADLINE_MS = 32_000
RETRY_PAUSE_S = 0.15
POLL_INTERVAL_S = 0.1
# A restarted instance accepts changes within 15 s of its start.
RESTORE_TIMEOUT_S = 20.0
# Reads of the log wait for up to 1 s, and heartbeats, which carry the age, are sent every 500 ms.
MAX_CONFIRMED_AGE_MS = 3_000
BORROWERS = "borrowers"


class Scenario:
    """State of one row: the fleet, the instance and workers that the fault hits, the evidence."""

    def __init__(
        self, fleet: Fleet, fault: Fault, evidence: Evidence, row: str = "", victim: str = ""
    ) -> None:
        self.fleet = fleet
        self.fault = fault
        self.row = row or fault.name.replace(" ", "-")
        self.evidence = evidence
        # The default is the first-ranked proposer of placements, because most work depends on it.
        self.victim = victim or rank_names("placement", fleet.daemons)[0]
        self.busy_workers: set[str] = set()
        self.frozen: set[str] = set()
        # The zone that is out of service (empty if the busy workers are excluded instead), and the
        # Unix time in milliseconds from which nothing may start there.
        self.exclusion = ("", 0)
        self.victim_draining = False
        self.step_ready = asyncio.Event()
        self.fault_injected = asyncio.Event()
        self.fault_ended = asyncio.Event()
        self._number = 0

    @property
    def victim_daemon(self) -> Daemon:
        """The process of the instance that the fault hits."""
        return self.fleet.daemons[self.victim]

    def start_wave(self) -> None:
        """Reset the state that belongs to the previous wave."""
        self.busy_workers.clear()
        self.victim_draining = False
        self.fault_injected, self.fault_ended = asyncio.Event(), asyncio.Event()

    async def wait_for_fault(self) -> None:
        """Report that the work of this step is in progress, and wait for the fault."""
        self.step_ready.set()
        await self.fault_injected.wait()

    def running_tasks(self) -> set[str]:
        """Return the ids of the tasks that the workers report as running."""
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
                # A dead worker runs nothing.
                continue
            running.update(one["task"] for one in tasks if one["state"] == "running")
        return running

    def count_snapshots(self) -> int:
        """Return the number of snapshots that the instances have logged as written."""
        return sum(
            one.all_logs().count('"Snapshot written"') for one in self.fleet.daemons.values()
        )

    def healthy(self) -> list[Daemon]:
        """Return the running instances that are not frozen, the victim last."""
        found = [
            one
            for name, one in self.fleet.daemons.items()
            if one.running() and name not in self.frozen
        ]
        return sorted(found, key=lambda one: one.name == self.victim)

    def new_request(self, cell: str, run_ms: int, idempotent: bool = False) -> Request:
        """Return a request of a cell with a new id."""
        self._number += 1
        return Request(
            "accounts",
            f"{self.row}.{cell}.{self._number}",
            "quote",
            dumps({"run_ms": run_ms, "number": self._number}),
            idempotent,
            True,
            int(time.time() * 1000) + REQUEST_DEADLINE_MS,
        )

    def new_job_spec(
        self, cell: str, organisation: str, shape: Shape, run_ms: int, body: dict[str, Any]
    ) -> JobSpec:
        """Return a checkpointable job of a cell with a new id."""
        self._number += 1
        name = f"{self.row}.{cell}.{self._number}"
        text = dumps({"run_ms": run_ms, **body})
        spec = JobSpec(organisation, name, "train", text, shape, run_ms, True, True)
        self.evidence.job_accelerators[spec.key] = shape.accelerators
        return spec

    async def send_with_retries(self, cell: str, request: Request) -> Outcome:
        """Send a request through the victim, and each retry through another instance."""
        names = [self.victim, *(name for name in self.fleet.daemons if name != self.victim)]
        outcome: Outcome = Refused(ErrorKind.UNREACHABLE, "not sent", ExecutionStatus.NOT_RUN)
        for attempt, timeout_ms in enumerate(ATTEMPT_TIMEOUTS_MS, start=1):
            address = self.fleet.daemons[names[(attempt - 1) % len(names)]].address
            request = replace(request, attempt=attempt)
            outcome = await client.submit(address, request, timeout_ms)
            final = isinstance(outcome, RequestAnswer) or outcome.kind in (
                ErrorKind.FAILED,
                ErrorKind.DUPLICATE_REQUEST,
                ErrorKind.CANCELLED,
            )
            ended = int(time.time() * 1000)
            last = final or attempt == len(ATTEMPT_TIMEOUTS_MS)
            outcome_unknown = (
                isinstance(outcome, Refused) and outcome.effective_ran is ExecutionStatus.UNKNOWN
            )
            self.evidence.attempts.append(
                Attempt(cell, request, outcome, ended, last and not outcome_unknown)
            )
            if last:
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        return outcome

    def start_sending(self, cell: str, request: Request) -> "asyncio.Task[Outcome]":
        """Send a request, with retries, in a new task."""
        return asyncio.create_task(self.send_with_retries(cell, request))

    async def check_outcome(self, cell: str, request: Request, outcome: Outcome) -> None:
        """Check that the outcome of a request is known, at the latest after the fault."""
        if isinstance(outcome, RequestAnswer):
            self.evidence.add_note(cell, "answered")
            return
        if outcome.effective_ran != ExecutionStatus.UNKNOWN:
            self.evidence.add_note(cell, f"{outcome.kind.value} ({outcome.effective_ran.value})")
            return
        await self.fault_ended.wait()
        # One more attempt: the request has an answer by now, or it can run.
        again = replace(request, attempt=len(ATTEMPT_TIMEOUTS_MS) + 1)
        address = self.healthy()[0].address
        outcome = await client.submit(address, again, ATTEMPT_TIMEOUTS_MS[-1])
        ended = int(time.time() * 1000)
        self.evidence.attempts.append(Attempt(cell, again, outcome, ended, True))
        if isinstance(outcome, RequestAnswer):
            self.evidence.add_note(cell, "answered late")
            return
        self.evidence.add_note(cell, f"{outcome.kind.value}: {outcome.detail[:60]}")
        if not self.fault.hits_workers and not request.idempotent:
            self.evidence.add_problem(
                cell,
                f"{request.request_id} has no known outcome although its worker lives: {outcome}",
            )

    async def wait_started(self, request_id: str) -> dict[str, Any]:
        """Wait until a worker starts a request, and return the start."""
        found: list[dict[str, Any]] = []

        def seen() -> bool:
            found[:] = [one for one in self.fleet.starts() if one["request_id"] == request_id]
            return bool(found)

        await wait_until(seen, 8.0, f"start of {request_id}")
        return found[0]

    async def wait_claimed(self, request: Request) -> str:
        """Wait until another instance sees the open claim of a request; return its worker."""
        address = self.healthy()[0].address
        deadline = time.monotonic() + 6.0
        while time.monotonic() < deadline:
            found = await client.get_answer(
                address, request.organisation, request.request_id, 0, CALL_TIMEOUT_MS
            )
            if isinstance(found, RequestAnswer) and found.worker:
                return found.worker
            await asyncio.sleep(POLL_INTERVAL_S / 2)
        raise TimeoutError(f"no claim of {request.request_id} became visible")

    async def submit_job(self, spec: JobSpec, daemon: Daemon | None = None) -> JobStatus:
        """Submit a job; retry through the other instances until one accepts it."""
        preferred = [daemon] if daemon is not None else []
        outcome: JobStatus | Refused = Refused(ErrorKind.UNREACHABLE, "no instance")
        deadline = time.monotonic() + 20.0
        while time.monotonic() < deadline:
            for one in [*preferred, *self.healthy()]:
                outcome = await client.submit_job(one.address, spec, CALL_TIMEOUT_MS)
                if isinstance(outcome, JobStatus):
                    return outcome
            await asyncio.sleep(RETRY_PAUSE_S)
        raise TimeoutError(f"job {spec.key} was not accepted: {outcome}")

    async def wait_job(
        self, key: tuple[str, str], states: set[JobState], timeout_s: float
    ) -> JobStatus:
        """Wait until a job is in one of the given states and return its status."""
        deadline = time.monotonic() + timeout_s
        status: JobStatus | Refused | None = None
        while time.monotonic() < deadline:
            status = await client.get_job(
                self.healthy()[0].address, key[0], key[1], CALL_TIMEOUT_MS
            )
            if isinstance(status, JobStatus) and status.job.state in states:
                return status
            await asyncio.sleep(POLL_INTERVAL_S)
        shown = status.job if isinstance(status, JobStatus) else status
        raise TimeoutError(f"job {key} not {sorted(states)} within {timeout_s} s: {shown}")

    async def configuration(self, daemon: Daemon) -> Configuration | None:
        """Return the configuration of an instance, or None if it does not answer."""
        found = await client.get_configuration(daemon.address, 1_000)
        return found if isinstance(found, Configuration) else None

    async def publish(self, change: Callable[[str], Coroutine[Any, Any, Change | Refused]]) -> Any:
        """Make a change; retry through all instances until one applies it or reports a conflict."""
        deadline = time.monotonic() + RESTORE_TIMEOUT_S
        while True:
            for daemon in self.healthy():
                outcome = await change(daemon.address)
                if isinstance(outcome, Change) or outcome.kind is ErrorKind.CONFLICT:
                    return outcome
            if time.monotonic() > deadline:
                raise TimeoutError(f"no instance accepted the change: {outcome}")
            await asyncio.sleep(RETRY_PAUSE_S)

    async def set_zone(self, name: str, in_service: bool) -> None:
        """Take a zone out of service or return it to service; retry on conflicts."""
        while True:
            configuration = await self.configuration(self.healthy()[0])
            assert configuration is not None
            zone = next(one for one in configuration.zones if one.name == name)
            if zone.in_service == in_service:
                return
            wanted = replace(zone, in_service=in_service)
            outcome = await self.publish(partial(_set_zone, wanted))
            if isinstance(outcome, Change):
                return

    async def fill_with_borrowers(self, count: int) -> None:
        """Submit borrowing jobs, one for each worker of 8 accelerators, to fill the fleet."""
        await self.publish(
            lambda at: client.put_organisation(at, Organisation(BORROWERS), CALL_TIMEOUT_MS)
        )
        shape = Shape(8, 8, 16, Span.WORKER)
        body = dumps({"run_ms": 900_000})
        for number in range(count):
            name = f"fill-{number}"
            await self.submit_job(
                JobSpec(BORROWERS, name, "fill", body, shape, 900_000, False, True)
            )

    def instance_zones(self) -> dict[str, str]:
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
        """End all faults, restart instances and wait until all see one another and agree."""
        fleet = self.fleet
        await self.end_faults()
        for daemon in fleet.daemons.values():
            if daemon.running():
                continue
            daemon.restart()
            await asyncio.to_thread(daemon.wait_serving)
        deadline = time.monotonic() + RESTORE_TIMEOUT_S
        while not await self._converged():
            if time.monotonic() > deadline:
                raise TimeoutError(
                    "the instances did not all become live with the same configuration"
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _converged(self) -> bool:
        offsets = set()
        for daemon in self.fleet.daemons.values():
            listed = await client.list_instances(daemon.address, CALL_TIMEOUT_MS)
            configuration = await self.configuration(daemon)
            if isinstance(listed, Refused) or configuration is None:
                return False
            live = [one for one in listed if _is_live(one)]
            if len(live) != len(self.fleet.daemons):
                return False
            offsets.add(configuration.offset)
        return len(offsets) == 1


async def _set_zone(zone: AvailabilityZone, address: str) -> Change | Refused:
    return await client.set_zone(address, zone, CALL_TIMEOUT_MS)


def _is_live(status: InstanceStatus) -> bool:
    return status.state in ("self", "live") and status.confirmed_age_ms < MAX_CONFIRMED_AGE_MS


async def wait_until(condition: Callable[[], bool], timeout_s: float, description: str) -> None:
    """Wait for a condition, which is evaluated in a thread because it calls stand-ins."""
    deadline = time.monotonic() + timeout_s
    while not await asyncio.to_thread(condition):
        if time.monotonic() > deadline:
            raise TimeoutError(f"not within {timeout_s} s: {description}")
        await asyncio.sleep(POLL_INTERVAL_S / 2)
