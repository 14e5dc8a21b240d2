"""The result of folding one event, and constructors of the common refusals."""

from hornbeamfold.model import ErrorKind, Refused

# None if the event took effect, else why it was refused.
FoldResult = Refused | None


def conflict(detail: str) -> Refused:
    """Refuse an event that conflicts with one earlier in log order."""
    return Refused(ErrorKind.CONFLICT, detail)


def invalid(detail: str) -> Refused:
    """Refuse an event that is malformed."""
    return Refused(ErrorKind.INVALID, detail)


def not_found(detail: str) -> Refused:
    """Refuse an event that refers to something that is not in the state."""
    return Refused(ErrorKind.NOT_FOUND, detail)


def unknown_organisation(name: str) -> Refused:
    """Refuse an event of an organisation that is not in the state."""
    return Refused(ErrorKind.UNKNOWN_ORGANISATION, f"organisation {name!r} does not exist")
