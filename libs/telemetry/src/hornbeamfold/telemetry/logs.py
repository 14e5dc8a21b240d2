"""JSON log lines, one object a line."""

import logging
import sys
from collections.abc import Mapping

from pythonjsonlogger.json import JsonFormatter

from hornbeamfold.telemetry.bounded import BoundedHandler

DECISIONS = "hornbeamfold.decision"


def configure_logging(instance: str, level: str, descriptor: int | None = None) -> None:
    """Write all log records of this process as JSON lines, to stderr unless a descriptor is given.

    Writing to a descriptor is bounded and never blocks.

    Each line has `time` (UTC), `instance`, `level`, `logger`, `event` and the extra fields.
    """
    formatter = JsonFormatter(
        "%(levelname)s %(name)s %(message)s",
        rename_fields={"levelname": "level", "name": "logger", "message": "event"},
        static_fields={"instance": instance},
        timestamp="time",
    )
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    if descriptor is not None:
        handler = BoundedHandler(descriptor)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    logging.captureWarnings(True)


def get_logger(name: str) -> logging.Logger:
    """Return the logger of a module; fields go into `extra`, the event into the message."""
    return logging.getLogger(name)


def log_decision(kind: str, choice: object, reason: str, **inputs: object) -> None:
    """Write one line that says what was decided, from which inputs and why."""
    # The inputs are nested because logging refuses extra fields named like its own attributes.
    fields = {
        "decision": kind,
        "choice": _with_text_keys(choice),
        "reason": reason,
        "inputs": _with_text_keys(inputs),
    }
    logging.getLogger(DECISIONS).info("decision", extra=fields)


def _with_text_keys(value: object) -> object:
    """Return a mapping with keys that JSON can hold; the keys of jobs and requests are tuples."""
    if not isinstance(value, Mapping):
        return value
    fields: dict[str, object] = {}
    for key, item in value.items():
        text = "/".join(str(part) for part in key) if isinstance(key, tuple) else str(key)
        fields[text] = _with_text_keys(item)
    return fields
