"""The life of one request or job, from the logs of all instances."""

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from typer import Argument, Context, Exit, Option

from hornbeamfold.cli.output import emit, table
from hornbeamfold.cli.session import Session

EXIT_NOT_FOUND = 3
# Fields of every line; what is left says what was decided, and from what.
COMMON = frozenset({"time", "instance", "event", "level", "logger", "request", "requests"})
# Events that change what every request meets.
SURROUNDINGS = frozenset(
    {"term_began", "term_ended", "store_lost", "store_regained", "journal_held_up", "zones_out"}
)


@dataclass(frozen=True)
class LogLine:
    """One line of an instance's log."""

    time: str  # ISO 8601
    instance: str
    event: str
    details: Mapping[str, Any]


def read_lines(paths: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Return the JSON objects of log files; text before an object on its line is passed over."""
    for path in paths:
        for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
            start = text.find("{")
            if start < 0:
                continue
            try:
                document = json.loads(text[start:])
            except json.JSONDecodeError:
                # A line that was cut off when its process was killed.
                continue
            if isinstance(document, dict):
                yield document


def life_of(request: str, documents: Iterable[Mapping[str, Any]]) -> list[LogLine]:
    """Return the lines that name a request, and those around them that may explain a wait."""
    own: list[LogLine] = []
    around: list[LogLine] = []
    for document in documents:
        line = LogLine(
            str(document.get("time", "")),
            str(document.get("instance", "")),
            str(document.get("event", document.get("message", ""))),
            {key: value for key, value in document.items() if key not in COMMON},
        )
        named = document.get("requests")
        if document.get("request") == request or (isinstance(named, list) and request in named):
            own.append(line)
        elif line.event in SURROUNDINGS:
            around.append(line)
    if not own:
        return []
    first, last = min(line.time for line in own), max(line.time for line in own)
    within = [line for line in around if first <= line.time <= last]
    return sorted([*own, *within], key=lambda line: line.time)


def explain(
    ctx: Context,
    request: Annotated[str, Argument(help="The id of a request or job.")],
    logs: Annotated[
        list[Path],
        Option(help="A log file of an instance; repeat it.", exists=True, dir_okay=False),
    ],
) -> None:
    """Print the life of one request across instances, in order of time."""
    session: Session = ctx.obj
    lines = life_of(request, read_lines(logs))
    rows = [
        (
            line.time,
            line.instance,
            line.event,
            " ".join(f"{k}={v}" for k, v in line.details.items()),
        )
        for line in lines
    ]
    emit(session, tuple(lines), table(("time", "instance", "event", "details"), rows))
    if not lines:
        raise Exit(EXIT_NOT_FOUND)
