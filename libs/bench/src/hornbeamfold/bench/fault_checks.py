"""The promises, checked on what workers, callers and operators saw."""

import asyncio
import time
from collections import Counter
from collections.abc import Iterable
from typing import Any

from hornbeamfold.bench.fault_evidence import Evidence, Excluded, Sent
from hornbeamfold.bench.fault_scene import Scene
from hornbeamfold.model.errors import ExecutionStatus, Refused
from hornbeamfold.model.status import Configuration
from hornbeamfold.model.timing import PARTIAL_GANG_BOUND_MS
from hornbeamfold.rpc import client
from hornbeamfold.standins.worker_data import answer_of

WATCH_S = 0.5
# A round of polls and the start of the poll that first saw the gang partial.
POLL_MARGIN_S = 1.5
WHOLE_ROW = "whole row"

Start = dict[str, Any]


def duplicates(sent: Iterable[Sent], starts: Iterable[Start]) -> list[tuple[str, str]]:
    """Return (cell, problem) for each non-idempotent request that ran more than once (P6)."""
    cells = {one.request.request_id: one.cell for one in sent if not one.request.idempotent}
    counts = Counter(start["request_id"] for start in starts if start["request_id"] in cells)
    return [
        (cells[name], f"{name} ran {count} times") for name, count in counts.items() if count > 1
    ]


def false_refusals(sent: Iterable[Sent], starts: Iterable[Start]) -> list[tuple[str, str]]:
    """Return (cell, problem) for each "not run" of a request that had a start (P5).

    After the last attempt no start may follow either; an earlier one is followed by a retry.
    """
    times: dict[str, list[int]] = {}
    for start in starts:
        times.setdefault(start["request_id"], []).append(start["at_ms"])
    problems = []
    for one in sent:
        if (
            not isinstance(one.outcome, Refused)
            or one.outcome.effective_ran != ExecutionStatus.NOT_RUN
        ):
            continue
        ran = [at for at in times.get(one.request.request_id, ()) if one.last or at < one.ended_ms]
        if ran:
            text = f"{one.request.request_id} attempt {one.request.attempt} said not run"
            problems.append((one.cell, f"{text}: {one.outcome.kind.value}, starts at {ran}"))
    return problems


def wrong_answers(sent: Iterable[Sent]) -> list[tuple[str, str]]:
    """Return (cell, problem) for each answer that is not the whole one of its request (P4)."""
    problems = []
    for one in sent:
        if isinstance(one.outcome, Refused):
            continue
        request = one.request
        right = answer_of(request.organisation, request.request_id, request.body)
        named = (one.outcome.organisation, one.outcome.request_id)
        if one.outcome.answer != right or named != request.key:
            problems.append((one.cell, f"{request.request_id} got another answer"))
    return problems


def late_starts(excluded: Iterable[Excluded], starts: Iterable[Start]) -> list[tuple[str, str]]:
    """Return (cell, problem) for each start in a place that was out by then (P3, P7)."""
    problems = []
    every = list(starts)
    for out in excluded:
        for start in every:
            if out.place not in (start["zone"], start["worker"]):
                continue
            if out.since_ms < start["at_ms"] < out.until_ms:
                late = start["at_ms"] - out.since_ms
                text = f"{start['task']} started in {out.place} {late} ms after the bound"
                problems.append((cell_of(start["task"]), text))
    return problems


def cell_of(task: str) -> str:
    """Return the step in the id of a task, `<kind>/<organisation>/<row>.<step>.<n>/...`."""
    parts = task.split("/")
    named = parts[2].split(".") if len(parts) > 2 else []
    return named[1] if len(named) == 3 else WHOLE_ROW


def check_evidence(evidence: Evidence, starts: list[Start]) -> None:
    """Check all that was seen of a row, and note each broken promise."""
    found = [
        *duplicates(evidence.sent, starts),
        *false_refusals(evidence.sent, starts),
        *wrong_answers(evidence.sent),
        *late_starts(evidence.excluded, starts),
    ]
    for cell, text in found:
        if text not in evidence.problems.get(cell, ()):
            evidence.problem(cell, text)


async def watch(scene: Scene) -> None:
    """Poll until cancelled: configuration offsets never go back, no gang runs partly for long."""
    offsets: dict[int, int] = {}
    partial: dict[str, float] = {}
    while True:
        await asyncio.sleep(WATCH_S)
        await _watch_offsets(scene, offsets)
        await _watch_gangs(scene, partial)


async def _watch_offsets(scene: Scene, offsets: dict[int, int]) -> None:
    for daemon in scene.healthy():
        pid = daemon.pid
        held = await client.get_configuration(daemon.address, 1_000)
        if not isinstance(held, Configuration):
            continue
        before = offsets.get(pid, -1)
        if held.offset < before:
            text = f"{daemon.name} went back from {before} to {held.offset}"
            scene.evidence.problem(WHOLE_ROW, text)
        offsets[pid] = max(before, held.offset)


async def _watch_gangs(scene: Scene, partial: dict[str, float]) -> None:
    """Note the time since when a gang runs partly; its bound is 15 s (P2)."""
    began = time.monotonic()
    running = await asyncio.to_thread(scene.running_tasks)
    sizes = {one["task"]: len(one["accelerators"]) for one in scene.fleet.starts()}
    held: Counter[str] = Counter()
    for task in running:
        held[task.rpartition("/")[0]] += sizes.get(task, 0)
    for gang, accelerators in held.items():
        _, organisation, job, _ = gang.split("/")
        wanted = scene.evidence.shapes.get((organisation, job), accelerators)
        if accelerators >= wanted:
            partial.pop(gang, None)
            continue
        since = partial.setdefault(gang, began)
        if began - since > PARTIAL_GANG_BOUND_MS / 1_000 + POLL_MARGIN_S:
            text = f"{gang} ran with {accelerators} of {wanted} for {began - since:.1f} s"
            scene.evidence.problem(cell_of(gang), text)
            partial[gang] = time.monotonic()
    for gang in set(partial) - set(held):
        del partial[gang]
