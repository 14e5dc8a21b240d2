"""Logs and counts unexpected exceptions of green threads and handlers."""

from collections.abc import Callable
from functools import wraps
from typing import ParamSpec, TypeVar

from hornbeamfold.telemetry.logs import get_logger
from hornbeamfold.telemetry.metrics import counter

_logger = get_logger("hornbeamfold.threads")
_unexpected_errors = counter(
    "hornbeamfold_unexpected_errors", "Errors that no code expected, by place."
)

P = ParamSpec("P")
R = TypeVar("R")


def log_exceptions(function: Callable[P, R]) -> Callable[P, R]:
    """Decorate a function so that its exceptions are logged and counted before they propagate."""

    @wraps(function)
    def wrapper(*args: P.args, **kwargs: P.kwargs) -> R:
        try:
            return function(*args, **kwargs)
        except Exception:
            place = getattr(function, "__qualname__", repr(function))
            _unexpected_errors(1, place=place)
            _logger.exception("unexpected_error", extra={"place": place})
            raise

    return wrapper
