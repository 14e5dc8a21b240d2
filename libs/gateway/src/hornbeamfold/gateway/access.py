"""Which queue a call belongs to and whether its key allows it, by the configuration known here."""

from collections.abc import Callable
from dataclasses import dataclass

from hornbeamfold.batch import Bounds, OperatorState, Queue
from hornbeamfold.model import ErrorKind, Refused

# A key is refused this long before the bound on what is known of it runs out.
KEY_AGE_MARGIN_MS = 600


@dataclass(frozen=True)
class Access:
    """A call's queue, the caller's organisation, if it gave a key, and the rest of its path."""

    queue: Queue
    organisation: str
    rest: str


def authorise(
    operator: OperatorState, age_ms: float, bounds: Bounds, host: str, path: str, api_key: str
) -> Access | Refused:
    """Return a call's access, or why it has none.

    `age_ms` is the age of the last confirmed read of the configuration. A key may have been taken
    away since then, so an old configuration admits no call with a key.
    """
    configuration = operator.configuration
    if configuration is None:
        return Refused(ErrorKind.STALE_VIEW, "no configuration has been read yet")
    queue = configuration.queue_for(host, path)
    if queue is None:
        return Refused(ErrorKind.NOT_FOUND, "no queue has this host and path")
    rest = path[len(queue.path_prefix) :]
    if queue.public:
        return Access(queue, configuration.key_owners.get(api_key, ""), rest)
    if age_ms > bounds.revoke_ms - KEY_AGE_MARGIN_MS:
        return Refused(ErrorKind.STALE_VIEW, f"the configuration was confirmed {age_ms:.0f} ms ago")
    owner = configuration.key_owners.get(api_key)
    if owner is None:
        return Refused(ErrorKind.UNAUTHENTICATED, "no organisation holds this key")
    return Access(queue, owner, rest)


Authorise = Callable[[str, str, str], Access | Refused]
