"""The output of commands: text for people, JSON for programs."""

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import fields, is_dataclass
from enum import Enum, IntEnum
from typing import Any

from typer import echo

from hornbeamfold.cli.session import Session
from hornbeamfold.model.topology import Shape


def emit(session: Session, value: object, lines: Iterable[str]) -> None:
    """Print a value as one line of JSON, or its lines of text."""
    if session.as_json:
        echo(json.dumps(to_plain(value), ensure_ascii=False))
        return
    for line in lines:
        echo(line)


def to_plain(value: object) -> Any:
    """Return a data class as what JSON can hold; enums of numbers become their names."""
    if is_dataclass(value):
        return {field.name: to_plain(getattr(value, field.name)) for field in fields(value)}
    if isinstance(value, IntEnum):
        return value.name.lower()
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, Mapping):
        return {str(key): to_plain(item) for key, item in value.items()}
    if isinstance(value, frozenset):
        return sorted(to_plain(item) for item in value)
    if isinstance(value, tuple | list):
        return [to_plain(item) for item in value]
    return value


def table(titles: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Return the lines of a table with aligned columns."""
    cells = [[str(title).upper() for title in titles]]
    cells += [[str(cell) for cell in row] for row in rows]
    widths = [max(len(line[column]) for line in cells) for column in range(len(titles))]
    lines: list[str] = []
    for line in cells:
        padded = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        lines.append("  ".join(padded).rstrip())
    return lines


def describe_shape(shape: Shape) -> str:
    """Return a shape in the form that --guarantee takes."""
    return (
        f"accelerators={shape.accelerators},processors={shape.processors},"
        f"memory_gb={shape.memory_gb},span={shape.span.name.lower()}"
    )


def describe_indices(indices: Iterable[int]) -> str:
    """Return indices with runs joined, for instance "0-3,6"."""
    runs: list[list[int]] = []
    for index in sorted(indices):
        if runs and index == runs[-1][1] + 1:
            runs[-1][1] = index
            continue
        runs.append([index, index])
    return ",".join(str(a) if a == b else f"{a}-{b}" for a, b in runs)


def examples(*lines: str) -> str:
    """Return the end of a help text; the mark keeps the line breaks."""
    return "\n".join(["\b", "Examples:", *(f"  {line}" for line in lines)])
