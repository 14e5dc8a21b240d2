"""Makes the failure of a green thread or a handler visible."""

from collections.abc import Callable
from functools import wraps
from typing import ParamSpec, TypeVar

from hornbeamfold.telemetry.logs import get_logger
from hornbeamfold.telemetry.metrics import counter

_logger = get_logger("hornbeamfold.threads")
_failures = counter("hornbeamfold_unexpected_errors", "Errors that no code expected, by place.")

P = ParamSpec("P")
R = TypeVar("R")


def logged(function: Callable[P, R]) -> Callable[P, R]:
    """Return the function with unexpected errors logged and counted before they go on."""

    @wraps(function)
    def run(*args: P.args, **kwargs: P.kwargs) -> R:
        try:
            return function(*args, **kwargs)
        except Exception:
            place = getattr(function, "__qualname__", repr(function))
            _failures(1, place=place)
            _logger.exception("unexpected_error", extra={"place": place})
            raise

    return run
