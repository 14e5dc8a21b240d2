"""The output of commands as text for people or JSON for programs."""

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import fields, is_dataclass
from enum import Enum, IntEnum
from typing import Any

from typer import echo

from hornbeamfold.cli.session import Session
from hornbeamfold.model.topology import Shape


def emit(session: Session, value: object, lines: Iterable[str]) -> None:
    """Print a value as one line of JSON, or the lines of text that describe it."""
    if session.as_json:
        echo(json.dumps(to_json_value(value), ensure_ascii=False))
        return
    for line in lines:
        echo(line)


def to_json_value(value: object) -> Any:
    """Convert a value to types that JSON supports; integer enums become their names."""
    if is_dataclass(value):
        return {field.name: to_json_value(getattr(value, field.name)) for field in fields(value)}
    if isinstance(value, IntEnum):
        return value.name.lower()
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, Mapping):
        return {str(key): to_json_value(item) for key, item in value.items()}
    if isinstance(value, frozenset):
        return sorted(to_json_value(item) for item in value)
    if isinstance(value, tuple | list):
        return [to_json_value(item) for item in value]
    return value


def format_table(titles: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Return the lines of a table with titles and aligned columns."""
    cells = [[str(title).upper() for title in titles]]
    cells += [[str(cell) for cell in row] for row in rows]
    widths = [max(len(line[column]) for line in cells) for column in range(len(titles))]
    lines: list[str] = []
    for line in cells:
        padded = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        lines.append("  ".join(padded).rstrip())
    return lines


def format_shape(shape: Shape) -> str:
    """Return a shape in the format of the option --guarantee."""
    return (
        f"accelerators={shape.accelerators},processors={shape.processors},"
        f"memory_gb={shape.memory_gb},span={shape.span.name.lower()}"
    )


def format_indices(indices: Iterable[int]) -> str:
    """Return indices with consecutive ones as ranges, for example "0-3,6"."""
    ranges: list[list[int]] = []
    for index in sorted(indices):
        if ranges and index == ranges[-1][1] + 1:
            ranges[-1][1] = index
            continue
        ranges.append([index, index])
    return ",".join(str(a) if a == b else f"{a}-{b}" for a, b in ranges)


def format_examples(*lines: str) -> str:
    """Return a help epilog with examples; the backspace keeps click from joining the lines."""
    return "\n".join(["\b", "Examples:", *(f"  {line}" for line in lines)])
