"""Calls of one command: which address is tried, and how a command ends."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, NoReturn, TypeVar

from typer import Context, Exit, echo

from hornbeamfold.model.errors import ErrorKind, ExecutionStatus, Refused

DEFAULT_TIMEOUT_S = 30
# Another instance may answer a read that this one could not.
RETRIED_READS = frozenset({ErrorKind.DEADLINE_PASSED, ErrorKind.INTERNAL})
CONCLUSIONS = {
    ExecutionStatus.NOT_RUN: "Nothing was run or changed.",
    ExecutionStatus.RAN: "It ran.",
    ExecutionStatus.UNKNOWN: "It may have run or taken effect.",
}
NO_ADDRESS = Refused(
    ErrorKind.INVALID,
    "no address: give --address ip:port or set HORNBEAMFOLD_ADDRESS",
)

# What to do next, where a command knows it better than the table of errors.
Hints = Mapping[ErrorKind, str]
NO_HINTS: Hints = MappingProxyType({})

Result = TypeVar("Result")
# A call of an address with a timeout in milliseconds.
Call = Callable[[str, int], Awaitable[Result | Refused]]


@dataclass(frozen=True)
class Session:
    """The common options of one command."""

    addresses: tuple[str, ...]
    as_json: bool
    timeout_ms: int | None

    def timeout_or(self, default_ms: int) -> int:
        """Return the timeout that was given, or a default."""
        return self.timeout_ms if self.timeout_ms is not None else default_ms


def session_of(ctx: Context) -> Session:
    """Return the common options."""
    session = ctx.obj
    assert isinstance(session, Session)
    return session


def read(session: Session, call: Call[Result], hints: Hints = NO_HINTS) -> Result:
    """Return the answer of the first address that can give one; end the command otherwise."""
    return _first(session, call, may_retry_read, DEFAULT_TIMEOUT_S * 1_000, hints)


def change(
    session: Session,
    call: Call[Result],
    hints: Hints = NO_HINTS,
    default_ms: int = DEFAULT_TIMEOUT_S * 1_000,
) -> Result:
    """Return the answer to a call that changes something; end the command otherwise."""
    return _first(session, call, was_not_sent, default_ms, hints)


def was_not_sent(refused: Refused) -> bool:
    """Tell whether a call that changes something may go to the next address."""
    return (
        refused.kind is ErrorKind.UNREACHABLE and refused.effective_ran is ExecutionStatus.NOT_RUN
    )


def may_retry_read(refused: Refused) -> bool:
    """Tell whether a call that changes nothing may go to the next address."""
    return refused.response.retry or refused.kind in RETRIED_READS


def _first(
    session: Session,
    call: Call[Result],
    may_try_next: Callable[[Refused], bool],
    default_ms: int,
    hints: Hints,
) -> Result:
    outcome: Result | Refused = NO_ADDRESS
    for address in session.addresses:
        outcome = _run(call, address, session.timeout_or(default_ms))
        if not isinstance(outcome, Refused):
            return outcome
        if not may_try_next(outcome):
            break
    assert isinstance(outcome, Refused)
    fail(session, outcome, hints)


def _run(call: Call[Result], address: str, timeout_ms: int) -> Result | Refused:
    async def bounded() -> Result | Refused:
        return await call(address, timeout_ms)

    try:
        return asyncio.run(bounded())
    except ValueError as error:
        # A number or a text that no message can hold.
        return Refused(ErrorKind.INVALID, str(error))


def fail(session: Session, refused: Refused, hints: Hints = NO_HINTS) -> NoReturn:
    """Say what happened, what may be concluded and what to do next, and end the command."""
    answer = refused.response
    advice = hints.get(refused.kind, answer.advice)
    if session.as_json:
        error: dict[str, Any] = {
            "kind": refused.kind.value,
            "detail": refused.detail,
            "ran": refused.effective_ran.value,
            "retry": answer.retry,
            "advice": advice,
        }
        echo(json.dumps({"error": error}, ensure_ascii=False), err=True)
    else:
        echo(f"Error ({refused.kind.value}): {refused.detail}", err=True)
        echo(f"{CONCLUSIONS[refused.effective_ran]} {advice}", err=True)
    raise Exit(answer.exit_code)
