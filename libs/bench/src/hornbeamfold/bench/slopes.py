"""Measures how cost grows with size: python -m hornbeamfold.bench.slopes [--write].

The parts run one after the other, each in a separate process.
"""

import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Annotated

from typer import Option, Typer

from hornbeamfold.bench.fitting import Point, fit_line, read_csv, write_csv

CSV_PATH = Path("docs/slopes.csv")
PART_TIMEOUT_S = 110


def part_points(part: str) -> Iterator[Point]:
    """Return the points of one part, measured in this process."""
    # Imported only in the process that runs the part, because some parts monkey-patch sockets.
    if part == "state":
        from hornbeamfold.bench.slopes_state import state_points as points
    elif part == "decide":
        from hornbeamfold.bench.slopes_decide import decide_points as points
    elif part == "exchange":
        from hornbeamfold.bench.slopes_exchange import exchange_points as points
    elif part == "keepers":
        from hornbeamfold.bench.slopes_keepers import keeper_points as points
    elif part == "fleet":
        from hornbeamfold.bench.slopes_fleet import fleet_points as points
    else:
        raise ValueError(f"there is no part {part}")
    found: Callable[[], Iterator[Point]] = points
    return found()


PARTS = ("state", "decide", "exchange", "keepers", "fleet")


def measure_part(part: str) -> list[Point]:
    """Run one part in a subprocess and return its points."""
    completed = subprocess.run(
        [sys.executable, "-m", "hornbeamfold.bench.slopes", "--part", part],
        capture_output=True,
        text=True,
        timeout=PART_TIMEOUT_S,
        check=False,
    )
    if completed.returncode:
        raise RuntimeError(f"the part {part} failed:\n{completed.stderr[-2_000:]}")
    return read_csv(completed.stdout)


def table(points: Iterable[Point]) -> str:
    """Return a table with one line for each measure: slope, its spread, intercept and sizes."""
    by_measure: dict[str, list[Point]] = {}
    for point in points:
        by_measure.setdefault(point.measure, []).append(point)
    lines = [f"{'measure':<52} {'slope':>11} {'least':>11} {'most':>11} {'at 0':>11}  unit, sizes"]
    for measure, measure_points in by_measure.items():
        line = fit_line(measure_points)
        sizes = " ".join(f"{size:g}" for size in sorted({point.size for point in measure_points}))
        figures = (line.slope, line.least, line.most, line.intercept)
        columns = " ".join(f"{figure:>11.4g}" for figure in figures)
        lines.append(f"{measure:<52} {columns}  {measure_points[0].unit}, {sizes}")
    return "\n".join(lines)


def main(
    write: Annotated[bool, Option("--write", help="Write the points to docs/slopes.csv.")] = False,
    part: Annotated[str, Option(help="Measure one part here and print its points.")] = "",
    only: Annotated[str, Option(help="Measure only this part and print its table.")] = "",
) -> None:
    """Measure the slopes and print them."""
    if part == "peer":
        from hornbeamfold.bench.slopes_exchange import serve_peer

        serve_peer()
    if part:
        print(write_csv(part_points(part)), end="", flush=True)
        return
    points: list[Point] = []
    for name in (only,) if only else PARTS:
        started = time.monotonic()
        points += measure_part(name)
        print(f"{name}: {time.monotonic() - started:.0f} s", flush=True)
    print(table(points))
    if write:
        CSV_PATH.write_text(write_csv(points))


if __name__ == "__main__":
    app = Typer(add_completion=False, pretty_exceptions_enable=False)
    app.command()(main)
    app()
