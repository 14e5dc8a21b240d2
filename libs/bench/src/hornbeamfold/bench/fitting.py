"""Fits lines through measured points, and reads and writes the points as CSV."""

from collections.abc import Callable, Iterable
from csv import DictReader, DictWriter
from dataclasses import asdict, dataclass
from io import StringIO
from statistics import median
from time import process_time

REPEATS = 3


@dataclass(frozen=True)
class Point:
    """A measured value at a size; `repeat` numbers the runs at that size."""

    measure: str
    unit: str
    size: float
    repeat: int
    value: float


@dataclass(frozen=True)
class Line:
    """A line through the medians; `least` and `most` are the extreme slopes of single repeats."""

    slope: float
    intercept: float
    least: float
    most: float


def fit_line(points: Iterable[Point]) -> Line:
    """Return the least-squares line through the medians, with the spread over the repeats.

    A repeat that lacks a size does not count for the spread.
    """
    all_points = list(points)
    sizes = sorted({point.size for point in all_points})
    medians = [median(point.value for point in all_points if point.size == size) for size in sizes]
    slope, intercept = least_squares(sizes, medians)
    slopes: list[float] = []
    for repeat in sorted({point.repeat for point in all_points}):
        repeat_points = [point for point in all_points if point.repeat == repeat]
        if {point.size for point in repeat_points} != set(sizes):
            continue
        slopes.append(
            least_squares([p.size for p in repeat_points], [p.value for p in repeat_points])[0]
        )
    return Line(slope, intercept, min(slopes, default=slope), max(slopes, default=slope))


def least_squares(sizes: list[float], values: list[float]) -> tuple[float, float]:
    """Return slope and intercept; a single size gives a line through the origin."""
    if len(sizes) != len(values) or not sizes:
        raise ValueError("a line needs as many values as sizes, and at least one")
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    variance = sum((size - mean_size) ** 2 for size in sizes)
    if variance == 0:
        return (mean_value / mean_size if mean_size else 0.0), 0.0
    pairs = zip(sizes, values, strict=True)
    slope = sum((size - mean_size) * (value - mean_value) for size, value in pairs) / variance
    return slope, mean_value - slope * mean_size


def processor_ms(call: Callable[[], object], times: int = 1) -> float:
    """Return the processor time of this process for one call, as the mean over `times` calls."""
    started = process_time()
    for _ in range(times):
        call()
    return (process_time() - started) * 1_000 / times


def write_csv(points: Iterable[Point]) -> str:
    """Return the points as CSV with a header."""
    text = StringIO()
    writer = DictWriter(text, list(Point.__dataclass_fields__), lineterminator="\n")
    writer.writeheader()
    for point in points:
        writer.writerow(asdict(point) | {"value": f"{point.value:.6g}", "size": f"{point.size:g}"})
    return text.getvalue()


def read_csv(text: str) -> list[Point]:
    """Return the points of a CSV text."""
    return [
        Point(
            row["measure"],
            row["unit"],
            float(row["size"]),
            int(row["repeat"]),
            float(row["value"]),
        )
        for row in DictReader(StringIO(text))
    ]
