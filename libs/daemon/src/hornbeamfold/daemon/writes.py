"""Writes events and waits for the verdict of the fold, with truthful answers on timeouts."""

from hornbeamfold.logclient import LogWriter
from hornbeamfold.model.errors import ErrorKind, ExecutionStatus, Refused
from hornbeamfold.model.events import Applied, Event
from hornbeamfold.model.timing import LOG_WAIT_MS


def write_event(
    writer: LogWriter, event: Event, timeout_ms: int = LOG_WAIT_MS
) -> Applied | Refused:
    """Append one event and return its verdict, or why there is none.

    An event that was never sent is withdrawn and certainly has no effect. One that was sent may
    still take effect after the timeout, so its outcome is unknown.
    """
    ticket = writer.submit((event,))
    applied = ticket.wait(timeout_ms)
    if applied:
        return applied[0]
    if applied is None and ticket.withdraw():
        return Refused(ErrorKind.LOG_UNAVAILABLE, "The log service took nothing in time.")
    return Refused(
        ErrorKind.OUTCOME_UNKNOWN,
        "The log service did not confirm the write in time; it may still take effect.",
        ExecutionStatus.UNKNOWN,
    )


def rejection(applied: Applied) -> Refused:
    """Return the refusal for an event that the fold rejected."""
    return Refused(applied.kind or ErrorKind.CONFLICT, applied.detail)
