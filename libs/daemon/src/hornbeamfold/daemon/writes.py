"""Writes events to the log and waits until they are accepted or rejected."""

from hornbeamfold.logclient import LogWriter
from hornbeamfold.model.errors import ErrorKind, ExecutionStatus, Refused
from hornbeamfold.model.events import Applied, Event
from hornbeamfold.model.timing import LOG_WAIT_MS


def write_event(
    writer: LogWriter, event: Event, timeout_ms: int = LOG_WAIT_MS
) -> Applied | Refused:
    """Append one event and return its verdict, or a refusal if there is none in time.

    An event that was not sent yet is withdrawn and certainly has no effect. One that was sent may
    still take effect after the timeout, so its outcome is unknown.
    """
    ticket = writer.submit((event,))
    applied = ticket.wait(timeout_ms)
    if applied:
        return applied[0]
    if applied is None and ticket.withdraw():
        return Refused(
            ErrorKind.LOG_UNAVAILABLE, "The log service did not accept the write in time."
        )
    return Refused(
        ErrorKind.OUTCOME_UNKNOWN,
        "The log service did not confirm the write in time; it may still take effect.",
        ExecutionStatus.UNKNOWN,
    )


def rejection(applied: Applied) -> Refused:
    """Return the refusal for an event that was rejected when it was applied to the view."""
    return Refused(applied.kind or ErrorKind.CONFLICT, applied.detail)
