"""The steps of the fault matrix: work that is at a known point when the fault is injected."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any

from hornbeamfold.bench.fault_scenario import CALL_TIMEOUT_MS, POLL_INTERVAL_S, Scenario, wait_until
from hornbeamfold.bench.fleet import Daemon
from hornbeamfold.model.errors import ExecutionStatus, Refused
from hornbeamfold.model.status import Change
from hornbeamfold.model.timing import STOP_BOUND_MS, ZONE_OUT_BOUND_MS
from hornbeamfold.model.topology import Organisation, Shape, Span
from hornbeamfold.model.work import ENDED_JOBS, Job, JobState
from hornbeamfold.rpc import client

GANG_SHAPE = Shape(16, 32, 64, Span.RACK)
SINGLE_WORKER_SHAPE = Shape(8, 16, 32, Span.WORKER)
# Checkpoint 5 s, stop 5 s and placement 1.4 s, plus the time of a start and of the poll.
RECLAIM_BOUND_S = 12.4
JOB_TIMEOUT_S = 90.0
# Time in which a call passes its checks and reaches the claim, the log or the worker.
IN_FLIGHT_S = 0.03
HELD_CALL_S = 0.25

StepFunction = Callable[[Scenario, str], Coroutine[Any, Any, None]]


@dataclass(frozen=True)
class Step:
    """One step; the steps of a wave run at the same time, under the same fault."""

    name: str
    wave: int
    run: StepFunction


async def accepted(scenario: Scenario, cell: str) -> None:
    """Send idempotent and other requests just before and just after the fault is injected."""
    requests = [scenario.new_request(cell, 60, idempotent=number % 2 == 0) for number in range(6)]
    calls = [scenario.start_sending(cell, request) for request in requests]
    await asyncio.sleep(IN_FLIGHT_S / 2)
    await scenario.wait_for_fault()
    late = [scenario.new_request(cell, 60, idempotent=number % 2 == 0) for number in range(6)]
    calls += [scenario.start_sending(cell, request) for request in late]
    for request, call in zip([*requests, *late], calls, strict=True):
        await scenario.check_outcome(cell, request, await call)


async def running(scenario: Scenario, cell: str) -> None:
    """Have a request and a gang running on workers when the fault is injected."""
    # The gang must not finish before the fault ends, or the effect of a long fault is missed.
    run_ms = max(8_000, int(scenario.fault.hold_s * 1_000))
    spec = scenario.new_job_spec(cell, "sousse-crew", GANG_SHAPE, run_ms, {})
    await scenario.submit_job(spec)
    status = await scenario.wait_job(spec.key, {JobState.RUNNING}, RECLAIM_BOUND_S)
    request = scenario.new_request(cell, 1_500)
    call = scenario.start_sending(cell, request)
    start = await scenario.wait_started(request.request_id)
    scenario.busy_workers.add(start["worker"])
    scenario.busy_workers.add(status.job.members[0].member.worker)
    await scenario.wait_for_fault()
    await scenario.check_outcome(cell, request, await call)
    await check_job_finishes(scenario, cell, spec.key)


async def check_job_finishes(scenario: Scenario, cell: str, key: tuple[str, str]) -> None:
    """Wait until a job ends and check that it finished."""
    status = await scenario.wait_job(key, set(ENDED_JOBS), JOB_TIMEOUT_S)
    scenario.evidence.add_note(cell, f"{status.job.state.value} on attempt {status.job.attempt}")
    if status.job.state is not JobState.FINISHED:
        scenario.evidence.add_problem(cell, f"job {key} ended as {_describe(status.job)}")


async def cancelling(scenario: Scenario, cell: str) -> None:
    """Cancel a running gang; retry a lost cancellation through another instance."""
    spec = scenario.new_job_spec(cell, "sfax-crew", GANG_SHAPE, 600_000, {})
    await scenario.submit_job(spec)
    status = await scenario.wait_job(spec.key, {JobState.RUNNING}, RECLAIM_BOUND_S)
    scenario.busy_workers.add(status.job.members[0].member.worker)
    call = asyncio.create_task(
        client.cancel_job(
            scenario.victim_daemon.address, spec.organisation, spec.job_id, CALL_TIMEOUT_MS
        )
    )
    await asyncio.sleep(IN_FLIGHT_S / 2)
    await scenario.wait_for_fault()
    outcome = await call
    deadline = time.monotonic() + 20.0
    while isinstance(outcome, Refused) and time.monotonic() < deadline:
        address = scenario.healthy()[0].address
        outcome = await client.cancel_job(address, spec.organisation, spec.job_id, CALL_TIMEOUT_MS)
        await asyncio.sleep(POLL_INTERVAL_S)
    if isinstance(outcome, Refused):
        scenario.evidence.add_problem(cell, f"the cancellation was never accepted: {outcome}")
        return
    status = await scenario.wait_job(spec.key, set(ENDED_JOBS), JOB_TIMEOUT_S)
    scenario.evidence.add_note(cell, status.job.state.value)
    if status.job.state is not JobState.CANCELLED:
        scenario.evidence.add_problem(cell, f"ended as {_describe(status.job)}")
    await _check_no_member_runs(scenario, cell, status.job)


async def _check_no_member_runs(scenario: Scenario, cell: str, job: Job) -> None:
    """Check that no member of an ended job keeps running."""
    prefix = f"job/{job.key[0]}/{job.key[1]}/"

    def idle() -> bool:
        return not any(one.startswith(prefix) for one in scenario.running_tasks())

    try:
        await wait_until(idle, 12.0, f"members of {job.key} stop")
    except TimeoutError as error:
        scenario.evidence.add_problem(cell, str(error))


async def reclaiming(scenario: Scenario, cell: str) -> None:
    """Submit an entitled job whose guaranteed accelerators borrowing jobs occupy."""
    spec = scenario.new_job_spec(cell, "surveyors", SINGLE_WORKER_SHAPE, 4_000, {})
    began = time.monotonic()
    status = await scenario.submit_job(spec, scenario.victim_daemon)
    if not status.entitled:
        scenario.evidence.add_problem(cell, "the job is not entitled to its guaranteed shape")
    await asyncio.sleep(IN_FLIGHT_S)
    await scenario.wait_for_fault()
    bound = RECLAIM_BOUND_S + (scenario.fault.hold_s if scenario.fault.blocks_starts else 0.0)
    status = await scenario.wait_job(spec.key, {JobState.RUNNING, JobState.FINISHED}, 60.0)
    took = time.monotonic() - began
    scenario.evidence.add_note(cell, f"ran after {took:.1f} s")
    if took > bound:
        scenario.evidence.add_problem(
            cell, f"{spec.key} ran after {took:.1f} s, bound {bound:.1f} s"
        )
    await check_job_finishes(scenario, cell, spec.key)


async def publishing(scenario: Scenario, cell: str) -> None:
    """Publish changes before and during the fault through the victim, and one after its end."""
    before = await _accounts_organisation(scenario)
    calls = [asyncio.create_task(_put_through_victim(scenario, before))]
    await asyncio.sleep(IN_FLIGHT_S / 2)
    await scenario.wait_for_fault()
    outcomes = [await calls[0]]
    outcomes.append(await _put_through_victim(scenario, await _accounts_organisation(scenario)))
    for outcome in outcomes:
        if isinstance(outcome, Change):
            scenario.evidence.add_note(cell, "accepted")
            await _check_in_force_everywhere(scenario, cell, outcome.offset)
            continue
        scenario.evidence.add_note(cell, f"{outcome.kind.value} ({outcome.effective_ran.value})")
    await scenario.fault_ended.wait()
    await asyncio.sleep(1.0)
    after = await _accounts_organisation(scenario)
    sure = sum(isinstance(one, Change) for one in outcomes)
    unknown = sum(
        isinstance(one, Refused) and one.effective_ran is ExecutionStatus.UNKNOWN
        for one in outcomes
    )
    changes = after.version - before.version
    if not sure <= changes <= sure + unknown:
        text = f"{changes} changes in force, {sure} accepted, {unknown} unknown: {outcomes}"
        scenario.evidence.add_problem(cell, text)
    again = await scenario.publish(lambda at: client.put_organisation(at, after, CALL_TIMEOUT_MS))
    if isinstance(again, Change):
        await _check_in_force_everywhere(scenario, cell, again.offset)
        return
    scenario.evidence.add_note(cell, "changed late")


async def _accounts_organisation(scenario: Scenario) -> Organisation:
    configuration = await scenario.configuration(scenario.healthy()[0])
    assert configuration is not None
    return next(one for one in configuration.organisations if one.name == "accounts")


async def _put_through_victim(scenario: Scenario, before: Organisation) -> Change | Refused:
    wanted = replace(before, weight=before.weight + 0.25)
    return await client.put_organisation(scenario.victim_daemon.address, wanted, CALL_TIMEOUT_MS)


async def _check_in_force_everywhere(scenario: Scenario, cell: str, offset: int) -> None:
    """Check that an accepted change comes into force on all healthy instances in time."""
    began = time.monotonic()
    behind = [daemon.name for daemon in scenario.healthy()]
    while behind and time.monotonic() - began < ZONE_OUT_BOUND_MS / 1_000:
        behind = [one.name for one in scenario.healthy() if await _is_behind(scenario, one, offset)]
        await asyncio.sleep(POLL_INTERVAL_S / 2)
    if behind:
        scenario.evidence.add_problem(cell, f"the change at {offset} is not in force on {behind}")
        return
    scenario.evidence.add_note(cell, f"everywhere after {time.monotonic() - began:.1f} s")


async def _is_behind(scenario: Scenario, daemon: Daemon, offset: int) -> bool:
    configuration = await scenario.configuration(daemon)
    return configuration is None or configuration.offset < offset


async def answering(scenario: Scenario, cell: str) -> None:
    """Have a request run whose worker's reply does not reach the victim."""
    await asyncio.to_thread(scenario.fleet.workers.set_faults, cut_replies=[scenario.victim])
    request = scenario.new_request(cell, 50)
    call = scenario.start_sending(cell, request)
    start = await scenario.wait_started(request.request_id)
    scenario.busy_workers.add(start["worker"])
    await asyncio.sleep(HELD_CALL_S)
    await scenario.wait_for_fault()
    await scenario.check_outcome(cell, request, await call)


async def dispatched(scenario: Scenario, cell: str) -> None:
    """Have a request claimed that does not reach its worker."""
    await asyncio.to_thread(scenario.fleet.workers.set_faults, cut_requests=[scenario.victim])
    request = scenario.new_request(cell, 50)
    call = scenario.start_sending(cell, request)
    scenario.busy_workers.add(await scenario.wait_claimed(request))
    await asyncio.sleep(HELD_CALL_S)
    await scenario.wait_for_fault()
    await scenario.check_outcome(cell, request, await call)


async def claimed(scenario: Scenario, cell: str) -> None:
    """Have a request claimed in the log while the victim gets no replies of the log."""
    await asyncio.to_thread(scenario.fleet.log.set_faults, cut_replies=[scenario.victim])
    request = scenario.new_request(cell, 50)
    call = scenario.start_sending(cell, request)
    scenario.busy_workers.add(await scenario.wait_claimed(request))
    await scenario.wait_for_fault()
    await scenario.check_outcome(cell, request, await call)


async def draining(scenario: Scenario, cell: str) -> None:
    """Drain the victim with a request in flight and a gang to hand over."""
    spec = scenario.new_job_spec(cell, "sousse-crew", GANG_SHAPE, 9_000, {})
    await scenario.submit_job(spec)
    status = await scenario.wait_job(spec.key, {JobState.RUNNING}, RECLAIM_BOUND_S)
    request = scenario.new_request(cell, 1_200)
    call = scenario.start_sending(cell, request)
    start = await scenario.wait_started(request.request_id)
    scenario.busy_workers.update((start["worker"], status.job.members[0].member.worker))
    daemon = scenario.victim_daemon
    scenario.victim_draining = True
    began = time.monotonic()
    daemon.request_stop()
    await asyncio.sleep(HELD_CALL_S)
    await scenario.wait_for_fault()
    await wait_until(
        lambda: not daemon.running(), STOP_BOUND_MS / 1_000 + 20, "the end of the drain"
    )
    took = time.monotonic() - began
    code = daemon.wait_exit()
    scenario.evidence.add_note(cell, f"exit {code} after {took:.1f} s")
    if not scenario.fault.kills and (code != 0 or took > STOP_BOUND_MS / 1_000):
        scenario.evidence.add_problem(cell, f"exit code {code} {took:.1f} s after SIGTERM")
    await scenario.check_outcome(cell, request, await call)
    await check_job_finishes(scenario, cell, spec.key)


async def snapshotting(scenario: Scenario, cell: str) -> None:
    """Wait for a snapshot after the fault, and have a restarted instance load it."""
    await scenario.wait_for_fault()
    await scenario.fault_ended.wait()
    since = scenario.count_snapshots()
    await wait_until(lambda: scenario.count_snapshots() > since, 25.0, "a snapshot after the fault")
    daemon = scenario.fleet.daemons[sorted(set(scenario.fleet.daemons) - {scenario.victim})[-1]]
    code = await asyncio.to_thread(daemon.terminate)
    if code != 0:
        scenario.evidence.add_problem(cell, f"{daemon.name} exited with code {code} after SIGTERM")
    daemon.restart()
    await asyncio.to_thread(daemon.wait_serving)
    deadline = time.monotonic() + 10.0
    while time.monotonic() < deadline:
        mine = await scenario.configuration(daemon)
        other = await scenario.configuration(scenario.healthy()[0])
        if mine and other and replace(mine, instances={}) == replace(other, instances={}):
            scenario.evidence.add_note(cell, "loaded the same configuration")
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    scenario.evidence.add_problem(cell, "a restarted instance has a different configuration")


def _describe(job: Job) -> str:
    return f"{job.state.value} ({job.stop_reason.value}, {job.failures} failures): {job.detail}"


STEPS = (
    Step("accepted", 1, accepted),
    Step("running", 1, running),
    Step("cancelling", 1, cancelling),
    Step("reclaiming", 1, reclaiming),
    Step("publishing", 1, publishing),
    Step("answering", 2, answering),
    Step("dispatched", 2, dispatched),
    Step("claimed", 2, claimed),
    Step("draining", 3, draining),
    Step("snapshotting", 3, snapshotting),
)
