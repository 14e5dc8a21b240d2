"""Logs and counts unexpected exceptions of green threads and handlers; keeps threads running."""

from collections.abc import Callable
from functools import wraps
from typing import ParamSpec, TypeVar

from eventlet import sleep

from hornbeamfold.telemetry.logs import get_logger
from hornbeamfold.telemetry.metrics import counter

_logger = get_logger("hornbeamfold.threads")
_unexpected_errors = counter(
    "hornbeamfold_unexpected_errors", "Errors that no code expected, by place."
)

# Bounds the log of a thread that fails each time, and leaves time for the cause to pass.
RESTART_DELAY_MS = 1_000

P = ParamSpec("P")
R = TypeVar("R")


def report_unexpected(place: str, **fields: object) -> None:
    """Log the exception that is being handled with its traceback, and count it by place."""
    _unexpected_errors(1, place=place)
    _logger.exception("unexpected_error", extra={"place": place, **fields})


def log_exceptions(function: Callable[P, R]) -> Callable[P, R]:
    """Decorate a function so that its exceptions are logged and counted before they propagate."""

    @wraps(function)
    def wrapper(*args: P.args, **kwargs: P.kwargs) -> R:
        try:
            return function(*args, **kwargs)
        except Exception:
            report_unexpected(_place(function))
            raise

    return wrapper


def keep_running(function: Callable[P, R]) -> Callable[P, R]:
    """Decorate the function of a long-lived thread so that it is called again after an exception.

    The function must be able to go on from the state that it left. Each exception is logged and
    counted, and the next call follows after `RESTART_DELAY_MS`.
    """

    @wraps(function)
    def wrapper(*args: P.args, **kwargs: P.kwargs) -> R:
        while True:
            try:
                return function(*args, **kwargs)
            except Exception:
                report_unexpected(_place(function))
            sleep(RESTART_DELAY_MS / 1_000)

    return wrapper


def _place(function: Callable[..., object]) -> str:
    return getattr(function, "__qualname__", repr(function))
