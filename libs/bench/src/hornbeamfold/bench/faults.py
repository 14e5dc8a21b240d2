"""Runs the fault matrix: python -m hornbeamfold.bench.faults [--row NAME] [--step NAME]."""

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
from hornbeamfold.bench.fault_checks import WHOLE_ROW, check_evidence, monitor
from hornbeamfold.bench.fault_evidence import Evidence, Fault
from hornbeamfold.bench.fault_scenario import Scenario
from hornbeamfold.bench.fault_steps import STEPS, Step
from hornbeamfold.bench.fault_table import FAULTS
from hornbeamfold.bench.fleet import Fleet, FleetOptions, running_fleet
from hornbeamfold.bench.topologies import rampes

HELD, VIOLATED, NOT_APPLICABLE = "held", "violated", "not applicable"
# A snapshot is due after a quarter of the retention, so each wave includes some snapshots.
LOG_RETENTION_MS = 40_000
FLEET_OPTIONS = FleetOptions(
    instances=4,
    log_arguments=("--max-age-ms", str(LOG_RETENTION_MS)),
    list_arguments=("--lag-ms", "1000"),
    settings=(("log_retention_ms", LOG_RETENTION_MS),),
)
WAVE_TIMEOUT_S = 110.0
# Each row runs 7 processes; on 10 processors, more rows at once would invalidate the time bounds.
MAX_PARALLEL_ROWS = 5


@dataclass(frozen=True)
class Cell:
    """The result of one fault (row) in one step (column)."""

    fault: str
    step: str
    result: str
    detail: str


async def run_wave(scenario: Scenario, steps: Iterable[Step]) -> None:
    """Start the steps of one wave, inject and end the fault, and wait until the steps finish."""
    scenario.start_wave()
    tasks: dict[str, asyncio.Task[None]] = {}
    for step in steps:
        scenario.step_ready.clear()
        tasks[step.name] = asyncio.create_task(step.run(scenario, step.name))
        ready = asyncio.create_task(scenario.step_ready.wait())
        await asyncio.wait((ready, tasks[step.name]), return_when=asyncio.FIRST_COMPLETED)
        ready.cancel()
    try:
        await scenario.fault.inject(scenario)
        scenario.fault_injected.set()
        await asyncio.sleep(scenario.fault.hold_s)
        await scenario.fault.end(scenario)
    finally:
        scenario.fault_injected.set()
        await scenario.end_faults()
        scenario.fault_ended.set()
        _, unfinished = await asyncio.wait(tasks.values(), timeout=WAVE_TIMEOUT_S)
        for task in unfinished:
            task.cancel()
    for name, task in tasks.items():
        if task.cancelled() or not task.done():
            scenario.evidence.add_problem(name, f"not finished within {WAVE_TIMEOUT_S} s")
            continue
        error = task.exception()
        if error is not None:
            scenario.evidence.add_problem(name, f"{type(error).__name__}: {error}")
            continue
        scenario.evidence.finished_steps.add(name)


async def run_row(fleet: Fleet, fault: Fault, steps: tuple[Step, ...]) -> Evidence:
    """Run all steps of one row on a fleet whose accelerators borrowing jobs occupy."""
    evidence = Evidence()
    scenario = Scenario(fleet, fault, evidence)
    await configure(scenario.healthy()[0].address, fleet.topology)
    await scenario.fill_with_borrowers(len(fleet.topology.workers))
    monitoring = asyncio.create_task(monitor(scenario))
    for wave in sorted({step.wave for step in steps}):
        wave_steps = [step for step in steps if step.wave == wave]
        try:
            await scenario.restore()
            await run_wave(scenario, wave_steps)
        except (TimeoutError, OSError, RuntimeError) as error:
            evidence.add_problem(WHOLE_ROW, f"wave {wave}: {type(error).__name__}: {error}")
            evidence.finished_steps.difference_update(step.name for step in wave_steps)
    for step in steps:
        if step.name not in evidence.finished_steps:
            evidence.add_problem(step.name, "did not run to completion")
    monitoring.cancel()
    check_evidence(evidence, fleet.starts())
    for line in fleet.violations():
        evidence.add_problem(WHOLE_ROW, line)
    return evidence


def run_row_on_new_fleet(fault: Fault, steps: tuple[Step, ...], logs: str = "") -> list[Cell]:
    """Run one row on a new fleet and return its cells."""
    chosen = tuple(step for step in steps if step.name not in fault.not_applicable)
    cells = [
        Cell(fault.name, step.name, NOT_APPLICABLE, fault.not_applicable[step.name])
        for step in steps
        if step not in chosen
    ]
    if not chosen:
        return cells
    try:
        with running_fleet(rampes(), FLEET_OPTIONS) as fleet:
            evidence = asyncio.run(run_row(fleet, fault, chosen))
            if logs and evidence.problems:
                save_logs(fleet, Path(logs) / fault.name.replace(" ", "-"))
    except Exception as error:  # The other rows continue.
        return [*cells, Cell(fault.name, WHOLE_ROW, VIOLATED, f"{type(error).__name__}: {error}")]
    for name in (*(step.name for step in chosen), WHOLE_ROW):
        problems = evidence.problems.get(name, [])
        notes = [*evidence.notes.get(name, ()), *((fault.note,) if fault.note else ())]
        detail = "; ".join(problems or dict.fromkeys(notes))
        cells.append(Cell(fault.name, name, VIOLATED if problems else HELD, detail))
    return cells


def save_logs(fleet: Fleet, folder: Path) -> None:
    """Write the logs of all instances of a row and its list of starts to files."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, daemon in fleet.daemons.items():
        (folder / f"{name}.log").write_text(daemon.all_logs())
    (folder / "starts.json").write_text("\n".join(dumps(one) for one in fleet.starts()))


def select_steps(names: list[str]) -> tuple[Step, ...]:
    """Return the steps with the given names, or all steps if there are none."""
    return tuple(step for step in STEPS if not names or step.name in names)


def parse_arguments() -> Namespace:
    """Parse the command-line arguments."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument(
        "--row", action="append", default=[], help="a fault to run; may be repeated"
    )
    parser.add_argument(
        "--step", action="append", default=[], help="a step to run; may be repeated"
    )
    parser.add_argument("--output", choices=("table", "json"), default="table")
    parser.add_argument("--logs", default="", help="folder for the logs of rows with violations")
    parser.add_argument(
        "--parallel", type=int, default=MAX_PARALLEL_ROWS, help="number of rows that run at once"
    )
    chosen = parser.parse_args()
    unknown = set(chosen.row) - {one.name for one in FAULTS}
    unknown |= set(chosen.step) - {one.name for one in STEPS}
    if unknown:
        parser.error(f"unknown rows or steps: {', '.join(sorted(unknown))}")
    return chosen


def print_cells(cells: Iterable[Cell]) -> None:
    """Print one line for each cell."""
    for cell in cells:
        where = f"{cell.fault} / {cell.step}"
        print(f"{cell.result:<14} {where:<38} {cell.detail[:400]}")


def main() -> int:
    """Run the selected rows; return 1 if a cell was violated."""
    chosen = parse_arguments()
    steps = select_steps(chosen.step)
    faults = [one for one in FAULTS if not chosen.row or one.name in chosen.row]
    # The longest rows start first, so that none of them runs alone at the end.
    faults.sort(key=lambda one: -one.hold_s)
    started = time.monotonic()
    cells: list[Cell] = []
    with ThreadPoolExecutor(chosen.parallel) as pool:
        for found in pool.map(lambda one: run_row_on_new_fleet(one, steps, chosen.logs), faults):
            cells += found
            if chosen.output == "table":
                print_cells(found)
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
