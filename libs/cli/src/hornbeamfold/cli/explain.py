"""The command that traces one request or job through the logs of all instances."""

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from typer import Argument, Context, Exit, Option

from hornbeamfold.cli.output import emit, format_table
from hornbeamfold.cli.session import Session

EXIT_NOT_FOUND = 3
# Fields of every log line; all others are details, such as a decision and its inputs.
COMMON_FIELDS = frozenset({"time", "instance", "event", "level", "logger", "request", "requests"})
# Events that may affect any request.
CONTEXT_EVENTS = frozenset(
    {"term_began", "term_ended", "store_lost", "store_regained", "journal_held_up", "zones_out"}
)
# Events of a worker that hold until its next one.
WORKER_EVENTS = frozenset({"worker_speed_changed"})


@dataclass(frozen=True)
class LogLine:
    """One line of the log of an instance."""

    time: str  # ISO 8601
    instance: str
    event: str
    details: Mapping[str, Any]


def read_lines(paths: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Yield the JSON objects in log files; text before the object on a line is ignored."""
    for path in paths:
        for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
            start = text.find("{")
            if start < 0:
                continue
            try:
                document = json.loads(text[start:])
            except (ValueError, RecursionError):
                # The line was truncated when its process was killed, or is none of a process.
                continue
            if isinstance(document, dict):
                yield document


def select_lines(request: str, documents: Iterable[Mapping[str, Any]]) -> list[LogLine]:
    """Return the lines that name a request, and the context events that may explain a delay.

    Of each event of a worker that the request ran on, the last one is included.
    """
    matching: list[LogLine] = []
    context: list[LogLine] = []
    of_workers: list[LogLine] = []
    for document in documents:
        line = LogLine(
            str(document.get("time", "")),
            str(document.get("instance", "")),
            str(document.get("event", document.get("message", ""))),
            {key: value for key, value in document.items() if key not in COMMON_FIELDS},
        )
        request_ids = document.get("requests")
        if document.get("request") == request or (
            isinstance(request_ids, list) and request in request_ids
        ):
            matching.append(line)
        elif line.event in CONTEXT_EVENTS:
            context.append(line)
        elif line.event in WORKER_EVENTS:
            of_workers.append(line)
    if not matching:
        return []
    first, last = min(line.time for line in matching), max(line.time for line in matching)
    context_in_range = [line for line in context if first <= line.time <= last]
    workers = _workers(matching)
    latest: dict[tuple[str, str], LogLine] = {}
    for line in sorted(of_workers, key=lambda line: line.time):
        worker = str(line.details.get("worker", ""))
        if worker in workers and line.time <= last:
            latest[line.event, worker] = line
    return sorted([*matching, *context_in_range, *latest.values()], key=lambda line: line.time)


def _workers(lines: Iterable[LogLine]) -> set[str]:
    """Return the ids of the workers that are named in lines."""
    found: set[str] = set()
    for line in lines:
        found.add(str(line.details.get("worker", "")))
        workers = line.details.get("workers")
        if isinstance(workers, list):
            found.update(str(each) for each in workers)
    return found - {""}


def explain(
    ctx: Context,
    request: Annotated[str, Argument(help="Id of a request or job.")],
    logs: Annotated[
        list[Path],
        Option(help="Log file of an instance; can be repeated.", exists=True, dir_okay=False),
    ],
) -> None:
    """Print the events of one request on all instances in chronological order."""
    session: Session = ctx.obj
    lines = select_lines(request, read_lines(logs))
    rows = [
        (
            line.time,
            line.instance,
            line.event,
            " ".join(f"{k}={v}" for k, v in line.details.items()),
        )
        for line in lines
    ]
    emit(session, tuple(lines), format_table(("time", "instance", "event", "details"), rows))
    if not lines:
        raise Exit(EXIT_NOT_FOUND)
