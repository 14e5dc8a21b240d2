"""The fault matrix: python -m hornbeamfold.bench.faults [--row NAME] [--step NAME]."""

import asyncio
import sys
import time
from argparse import ArgumentParser, Namespace
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from json import dumps
from pathlib import Path

from hornbeamfold.bench.demo import configure
from hornbeamfold.bench.fault_checks import WHOLE_ROW, check_evidence, watch
from hornbeamfold.bench.fault_evidence import Evidence, Fault
from hornbeamfold.bench.fault_scene import Scene
from hornbeamfold.bench.fault_steps import STEPS, Step
from hornbeamfold.bench.fault_table import FAULTS
from hornbeamfold.bench.fleet import Fleet, FleetOptions, running_fleet
from hornbeamfold.bench.topologies import rampes

HELD, VIOLATED, SKIPPED = "held", "violated", "not applicable"
# Snapshots fall due after a quarter of the retention, so every wave meets some.
RETENTION_MS = 40_000
OPTIONS = FleetOptions(
    instances=4,
    log_arguments=("--max-age-ms", str(RETENTION_MS)),
    list_arguments=("--lag-ms", "1000"),
    settings=(("log_retention_ms", RETENTION_MS),),
)
WAVE_BOUND_S = 110.0
# Each row has 7 processes; more rows at once make the time bounds meaningless on 10 processors.
PARALLEL = 5


@dataclass(frozen=True)
class Cell:
    """The result of one fault in one step."""

    fault: str
    step: str
    result: str
    detail: str


async def run_wave(scene: Scene, steps: Iterable[Step]) -> None:
    """Put the work of all steps in place, let the fault strike and see how the work ends."""
    scene.new_wave()
    tasks: dict[str, asyncio.Task[None]] = {}
    for step in steps:
        scene.arrived.clear()
        tasks[step.name] = asyncio.create_task(step.run(scene, step.name))
        arrived = asyncio.create_task(scene.arrived.wait())
        await asyncio.wait((arrived, tasks[step.name]), return_when=asyncio.FIRST_COMPLETED)
        arrived.cancel()
    try:
        await scene.fault.inject(scene)
        scene.injected.set()
        await asyncio.sleep(scene.fault.hold_s)
        await scene.fault.end(scene)
    finally:
        scene.injected.set()
        await scene.end_faults()
        scene.healed.set()
        _, late = await asyncio.wait(tasks.values(), timeout=WAVE_BOUND_S)
        for task in late:
            task.cancel()
    for name, task in tasks.items():
        if task.cancelled() or not task.done():
            scene.evidence.problem(name, f"not done after {WAVE_BOUND_S} s")
            continue
        error = task.exception()
        if error is not None:
            scene.evidence.problem(name, f"{type(error).__name__}: {error}")
            continue
        scene.evidence.finished.add(name)


async def run_row(fleet: Fleet, fault: Fault, steps: tuple[Step, ...]) -> Evidence:
    """Run all steps of one row on a fleet that borrowers fill."""
    evidence = Evidence()
    scene = Scene(fleet, fault, evidence)
    await configure(scene.healthy()[0].address, fleet.topology)
    await scene.fill(len(fleet.topology.workers))
    watching = asyncio.create_task(watch(scene))
    for wave in sorted({step.wave for step in steps}):
        mine = [step for step in steps if step.wave == wave]
        try:
            await scene.restore()
            await run_wave(scene, mine)
        except (TimeoutError, OSError, RuntimeError) as error:
            evidence.problem(WHOLE_ROW, f"wave {wave}: {type(error).__name__}: {error}")
            evidence.finished.difference_update(step.name for step in mine)
    for step in steps:
        if step.name not in evidence.finished:
            evidence.problem(step.name, "not run to its end")
    watching.cancel()
    check_evidence(evidence, fleet.starts())
    for line in fleet.violations():
        evidence.problem(WHOLE_ROW, line)
    return evidence


def row(fault: Fault, steps: tuple[Step, ...], logs: str = "") -> list[Cell]:
    """Run one row on a fleet of its own and return its cells."""
    chosen = tuple(step for step in steps if step.name not in fault.not_applicable)
    cells = [
        Cell(fault.name, step.name, SKIPPED, fault.not_applicable[step.name])
        for step in steps
        if step not in chosen
    ]
    if not chosen:
        return cells
    try:
        with running_fleet(rampes(), OPTIONS) as fleet:
            evidence = asyncio.run(run_row(fleet, fault, chosen))
            if logs and evidence.problems:
                keep_logs(fleet, Path(logs) / fault.name.replace(" ", "-"))
    except Exception as error:  # The other rows go on.
        return [*cells, Cell(fault.name, WHOLE_ROW, VIOLATED, f"{type(error).__name__}: {error}")]
    for name in (*(step.name for step in chosen), WHOLE_ROW):
        problems = evidence.problems.get(name, [])
        notes = [*evidence.notes.get(name, ()), *((fault.note,) if fault.note else ())]
        detail = "; ".join(problems or dict.fromkeys(notes))
        cells.append(Cell(fault.name, name, VIOLATED if problems else HELD, detail))
    return cells


def keep_logs(fleet: Fleet, folder: Path) -> None:
    """Write the logs of all instances and the list of starts of a row."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, daemon in fleet.daemons.items():
        (folder / f"{name}.log").write_text(daemon.all_logs())
    (folder / "starts.json").write_text("\n".join(dumps(one) for one in fleet.starts()))


def chosen_steps(names: list[str]) -> tuple[Step, ...]:
    """Return the steps with these names, or all."""
    return tuple(step for step in STEPS if not names or step.name in names)


def arguments() -> Namespace:
    """Return the arguments of the command."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--row", action="append", default=[], help="a fault; again for more")
    parser.add_argument("--step", action="append", default=[], help="a step; again for more")
    parser.add_argument("--output", choices=("table", "json"), default="table")
    parser.add_argument("--logs", default="", help="a folder for the logs of violated rows")
    parser.add_argument("--parallel", type=int, default=PARALLEL, help="rows at once")
    chosen = parser.parse_args()
    unknown = set(chosen.row) - {one.name for one in FAULTS}
    unknown |= set(chosen.step) - {one.name for one in STEPS}
    if unknown:
        parser.error(f"unknown: {', '.join(sorted(unknown))}")
    return chosen


def show(cells: Iterable[Cell]) -> None:
    """Print the table."""
    for cell in cells:
        where = f"{cell.fault} / {cell.step}"
        print(f"{cell.result:<14} {where:<38} {cell.detail[:400]}")


def main() -> int:
    """Run the chosen rows; return 1 if a cell was violated."""
    chosen = arguments()
    steps = chosen_steps(chosen.step)
    faults = [one for one in FAULTS if not chosen.row or one.name in chosen.row]
    # The longest rows first, so that none is left alone at the end.
    faults.sort(key=lambda one: -one.hold_s)
    started = time.monotonic()
    cells: list[Cell] = []
    with ThreadPoolExecutor(chosen.parallel) as pool:
        for found in pool.map(lambda one: row(one, steps, chosen.logs), faults):
            cells += found
            if chosen.output == "table":
                show(found)
                sys.stdout.flush()
    violated = sum(cell.result == VIOLATED for cell in cells)
    held = sum(cell.result == HELD for cell in cells)
    took = round(time.monotonic() - started, 1)
    if chosen.output == "json":
        print(dumps({"cells": [asdict(cell) for cell in cells], "seconds": took}, indent=1))
    else:
        print(f"{held} held, {violated} violated, {len(cells) - held - violated} not applicable")
        print(f"took {took} s")
    return 1 if violated else 0


if __name__ == "__main__":
    sys.exit(main())
