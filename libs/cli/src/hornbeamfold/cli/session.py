"""The calls of one command: which addresses are tried, and how errors are reported."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, NoReturn, TypeVar

from typer import Context, Exit, echo

from hornbeamfold.model.errors import ErrorKind, ExecutionStatus, Refused

DEFAULT_TIMEOUT_S = 30
# Another instance may be able to answer a read that failed with one of these errors.
RETRYABLE_READ_ERRORS = frozenset({ErrorKind.DEADLINE_PASSED, ErrorKind.INTERNAL})
EXECUTION_MESSAGES = {
    ExecutionStatus.NOT_RUN: "Nothing was run or changed.",
    ExecutionStatus.RAN: "It ran.",
    ExecutionStatus.UNKNOWN: "It may have run or taken effect.",
}
NO_ADDRESS = Refused(
    ErrorKind.INVALID,
    "no address: give --address ip:port or set HORNBEAMFOLD_ADDRESS",
)

# Advice of a command that replaces the general advice for an error kind.
Hints = Mapping[ErrorKind, str]
NO_HINTS: Hints = MappingProxyType({})

Result = TypeVar("Result")
# A call with an address and a timeout in milliseconds.
Call = Callable[[str, int], Awaitable[Result | Refused]]


@dataclass(frozen=True)
class Session:
    """The global options of the command line."""

    addresses: tuple[str, ...]
    as_json: bool
    timeout_ms: int | None

    def timeout_or(self, default_timeout_ms: int) -> int:
        """Return the timeout of the command line, or a default."""
        return self.timeout_ms if self.timeout_ms is not None else default_timeout_ms


def get_session(ctx: Context) -> Session:
    """Return the global options of the command line."""
    session = ctx.obj
    assert isinstance(session, Session)
    return session


def read(session: Session, call: Call[Result], hints: Hints = NO_HINTS) -> Result:
    """Return the reply of the first address that can answer a read; exit if none can."""
    return _try_addresses(session, call, may_retry_read, DEFAULT_TIMEOUT_S * 1_000, hints)


def change(
    session: Session,
    call: Call[Result],
    hints: Hints = NO_HINTS,
    default_timeout_ms: int = DEFAULT_TIMEOUT_S * 1_000,
) -> Result:
    """Return the reply to a call that changes something; exit with an error if it fails."""
    return _try_addresses(session, call, was_not_sent, default_timeout_ms, hints)


def was_not_sent(refused: Refused) -> bool:
    """Return whether a call that changes something may be sent to the next address."""
    return (
        refused.kind is ErrorKind.UNREACHABLE and refused.effective_ran is ExecutionStatus.NOT_RUN
    )


def may_retry_read(refused: Refused) -> bool:
    """Return whether a read may be sent to the next address."""
    return refused.response.retry or refused.kind in RETRYABLE_READ_ERRORS


def _try_addresses(
    session: Session,
    call: Call[Result],
    may_try_next: Callable[[Refused], bool],
    default_timeout_ms: int,
    hints: Hints,
) -> Result:
    outcome: Result | Refused = NO_ADDRESS
    for address in session.addresses:
        outcome = _run_call(call, address, session.timeout_or(default_timeout_ms))
        if not isinstance(outcome, Refused):
            return outcome
        if not may_try_next(outcome):
            break
    assert isinstance(outcome, Refused)
    exit_with_error(session, outcome, hints)


def _run_call(call: Call[Result], address: str, timeout_ms: int) -> Result | Refused:
    async def run() -> Result | Refused:
        return await call(address, timeout_ms)

    try:
        return asyncio.run(run())
    except ValueError as error:
        # A number or a string cannot be encoded in its message field.
        return Refused(ErrorKind.INVALID, str(error))


def exit_with_error(session: Session, refused: Refused, hints: Hints = NO_HINTS) -> NoReturn:
    """Print an error, whether the work ran and what to do next, then exit."""
    response = refused.response
    advice = hints.get(refused.kind, response.advice)
    if session.as_json:
        error: dict[str, Any] = {
            "kind": refused.kind.value,
            "detail": refused.detail,
            "ran": refused.effective_ran.value,
            "retry": response.retry,
            "advice": advice,
        }
        echo(json.dumps({"error": error}, ensure_ascii=False), err=True)
    else:
        echo(f"Error ({refused.kind.value}): {refused.detail}", err=True)
        echo(f"{EXECUTION_MESSAGES[refused.effective_ran]} {advice}", err=True)
    raise Exit(response.exit_code)
