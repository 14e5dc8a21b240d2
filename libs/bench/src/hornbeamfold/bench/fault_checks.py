"""Checks of the system's promises (P2 to P7) against what workers, callers and operators saw."""

import asyncio
import time
from collections import Counter
from collections.abc import Iterable
from typing import Any

from hornbeamfold.bench.fault_evidence import Attempt, Evidence, ExclusionWindow
from hornbeamfold.bench.fault_scenario import Scenario
from hornbeamfold.model.errors import ExecutionStatus, Refused
from hornbeamfold.model.status import Configuration
from hornbeamfold.model.timing import PARTIAL_GANG_BOUND_MS
from hornbeamfold.rpc import client
from hornbeamfold.standins.worker_data import answer_of

MONITOR_INTERVAL_S = 0.5
# Allows for one round of polls, and for the time from the start of the poll that first saw the
# partial gang.
POLL_MARGIN_S = 1.5
WHOLE_ROW = "whole row"

Start = dict[str, Any]


def find_duplicate_runs(
    attempts: Iterable[Attempt], starts: Iterable[Start]
) -> list[tuple[str, str]]:
    """Return (cell, problem) for each non-idempotent request that ran more than once (P6)."""
    cells = {one.request.request_id: one.cell for one in attempts if not one.request.idempotent}
    counts = Counter(start["request_id"] for start in starts if start["request_id"] in cells)
    return [
        (cells[name], f"{name} ran {count} times") for name, count in counts.items() if count > 1
    ]


def find_false_refusals(
    attempts: Iterable[Attempt], starts: Iterable[Start]
) -> list[tuple[str, str]]:
    """Return (cell, problem) for each request reported as not run that had a start (P5).

    After the last attempt, later starts count too; after an earlier one they may be the retry's.
    """
    times: dict[str, list[int]] = {}
    for start in starts:
        times.setdefault(start["request_id"], []).append(start["at_ms"])
    problems = []
    for one in attempts:
        if (
            not isinstance(one.outcome, Refused)
            or one.outcome.effective_ran != ExecutionStatus.NOT_RUN
        ):
            continue
        ran = [at for at in times.get(one.request.request_id, ()) if one.last or at < one.ended_ms]
        if ran:
            text = f"{one.request.request_id} attempt {one.request.attempt} was reported as not run"
            problems.append((one.cell, f"{text}: {one.outcome.kind.value}, starts at {ran}"))
    return problems


def find_wrong_answers(attempts: Iterable[Attempt]) -> list[tuple[str, str]]:
    """Return (cell, problem) for each answer that is not the complete one of its request (P4)."""
    problems = []
    for one in attempts:
        if isinstance(one.outcome, Refused):
            continue
        request = one.request
        right = answer_of(request.organisation, request.request_id, request.body)
        named = (one.outcome.organisation, one.outcome.request_id)
        if one.outcome.answer != right or named != request.key:
            problems.append((one.cell, f"{request.request_id} got a wrong answer"))
    return problems


def find_late_starts(
    exclusions: Iterable[ExclusionWindow], starts: Iterable[Start]
) -> list[tuple[str, str]]:
    """Return (cell, problem) for each start within an exclusion window of its place (P3, P7)."""
    problems = []
    all_starts = list(starts)
    for window in exclusions:
        for start in all_starts:
            if window.place not in (start["zone"], start["worker"]):
                continue
            if window.since_ms < start["at_ms"] < window.until_ms:
                late = start["at_ms"] - window.since_ms
                text = f"{start['task']} started in {window.place} {late} ms after the bound"
                problems.append((cell_of_task(start["task"]), text))
    return problems


def cell_of_task(task: str) -> str:
    """Return the step named in a task id, `<kind>/<organisation>/<row>.<step>.<n>/...`."""
    parts = task.split("/")
    named = parts[2].split(".") if len(parts) > 2 else []
    return named[1] if len(named) == 3 else WHOLE_ROW


def check_evidence(evidence: Evidence, starts: list[Start]) -> None:
    """Check the evidence of a row and add a problem for each broken promise."""
    found = [
        *find_duplicate_runs(evidence.attempts, starts),
        *find_false_refusals(evidence.attempts, starts),
        *find_wrong_answers(evidence.attempts),
        *find_late_starts(evidence.exclusions, starts),
    ]
    for cell, text in found:
        if text not in evidence.problems.get(cell, ()):
            evidence.add_problem(cell, text)


async def monitor(scenario: Scenario) -> None:
    """Check until cancelled that no configuration offset decreases and no gang stays partial."""
    offsets: dict[int, int] = {}
    partial: dict[str, float] = {}
    while True:
        await asyncio.sleep(MONITOR_INTERVAL_S)
        await _check_offsets(scenario, offsets)
        await _check_gangs(scenario, partial)


async def _check_offsets(scenario: Scenario, offsets: dict[int, int]) -> None:
    for daemon in scenario.healthy():
        pid = daemon.pid
        configuration = await client.get_configuration(daemon.address, 1_000)
        if not isinstance(configuration, Configuration):
            continue
        before = offsets.get(pid, -1)
        if configuration.offset < before:
            text = f"{daemon.name} went back from offset {before} to {configuration.offset}"
            scenario.evidence.add_problem(WHOLE_ROW, text)
        offsets[pid] = max(before, configuration.offset)


async def _check_gangs(scenario: Scenario, partial: dict[str, float]) -> None:
    """Add a problem for each gang that runs only in part for longer than the bound, 15 s (P2)."""
    began = time.monotonic()
    running = await asyncio.to_thread(scenario.running_tasks)
    sizes = {one["task"]: len(one["accelerators"]) for one in scenario.fleet.starts()}
    held: Counter[str] = Counter()
    for task in running:
        held[task.rpartition("/")[0]] += sizes.get(task, 0)
    for gang, accelerators in held.items():
        _, organisation, job, _ = gang.split("/")
        wanted = scenario.evidence.job_accelerators.get((organisation, job), accelerators)
        if accelerators >= wanted:
            partial.pop(gang, None)
            continue
        since = partial.setdefault(gang, began)
        if began - since > PARTIAL_GANG_BOUND_MS / 1_000 + POLL_MARGIN_S:
            text = (
                f"{gang} ran with {accelerators} of {wanted} accelerators for {began - since:.1f} s"
            )
            scenario.evidence.add_problem(cell_of_task(gang), text)
            partial[gang] = time.monotonic()
    for gang in set(partial) - set(held):
        del partial[gang]
