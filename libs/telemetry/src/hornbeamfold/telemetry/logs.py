"""Logging as JSON, one object per line."""

import logging
import sys
from collections.abc import Mapping

from pythonjsonlogger.json import JsonFormatter

from hornbeamfold.telemetry.bounded import BoundedHandler

DECISION_LOGGER = "hornbeamfold.decision"


def configure_logging(instance: str, level: str, descriptor: int | None = None) -> None:
    """Write all log records of this process as JSON lines, to stderr unless a descriptor is given.

    Writing to a descriptor never blocks; lines over the limits of `BoundedHandler` are dropped.

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
    """Return the logger of a module; pass the event as the message and its fields as `extra`."""
    return logging.getLogger(name)


def log_decision(kind: str, choice: object, reason: str, **inputs: object) -> None:
    """Log a decision with its inputs and its reason on one line."""
    # The inputs are nested because logging rejects extra fields named like its own attributes.
    fields = {
        "decision": kind,
        "choice": _with_string_keys(choice),
        "reason": reason,
        "inputs": _with_string_keys(inputs),
    }
    logging.getLogger(DECISION_LOGGER).info("decision", extra=fields)


def _with_string_keys(value: object) -> object:
    """Convert the keys of a mapping to strings for JSON; jobs and requests have tuples as keys."""
    if not isinstance(value, Mapping):
        return value
    fields: dict[str, object] = {}
    for key, item in value.items():
        text = "/".join(str(part) for part in key) if isinstance(key, tuple) else str(key)
        fields[text] = _with_string_keys(item)
    return fields
