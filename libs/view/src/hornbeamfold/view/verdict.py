"""The refusals that the fold answers invalid events with."""

from hornbeamfold.model import ErrorKind, Refused

# The verdict on one event: None if it took effect.
Verdict = Refused | None


def conflict(detail: str) -> Refused:
    """Refuse an event that lost against an earlier one in log order."""
    return Refused(ErrorKind.CONFLICT, detail)


def invalid(detail: str) -> Refused:
    """Refuse an event that no state would accept."""
    return Refused(ErrorKind.INVALID, detail)


def not_found(detail: str) -> Refused:
    """Refuse an event about something that the view does not hold."""
    return Refused(ErrorKind.NOT_FOUND, detail)


def unknown_organisation(name: str) -> Refused:
    """Refuse work of an organisation that the view does not hold."""
    return Refused(ErrorKind.UNKNOWN_ORGANISATION, f"organisation {name!r} does not exist")
