"""Routes a call to its queue and authorises its API key, by the configuration known here."""

from collections.abc import Callable
from dataclasses import dataclass

from hornbeamfold.batch import Bounds, OperatorState, Queue
from hornbeamfold.model import ErrorKind, Refused

# Calls with a key are refused when the configuration is this close to the bound on its age.
REVOCATION_MARGIN_MS = 600


@dataclass(frozen=True)
class Access:
    """The queue of an authorised call, the rest of its path, and the organisation of its key.

    `organisation` is empty if a call to a public queue has no key, or an unknown one.
    """

    queue: Queue
    organisation: str
    rest: str


def authorise(
    operator: OperatorState, age_ms: float, bounds: Bounds, host: str, path: str, api_key: str
) -> Access | Refused:
    """Return the access of a call, or why it is refused.

    `age_ms` is the age of the last confirmed read of the configuration. A key may have been revoked
    since then, so an old configuration admits calls to public queues only.
    """
    configuration = operator.configuration
    if configuration is None:
        return Refused(ErrorKind.STALE_VIEW, "no configuration has been read yet")
    queue = configuration.queue_for(host, path)
    if queue is None:
        return Refused(ErrorKind.NOT_FOUND, "no queue serves this host and path")
    rest = path[len(queue.path_prefix) :]
    if queue.public:
        return Access(queue, configuration.key_owners.get(api_key, ""), rest)
    if age_ms > bounds.revoke_ms - REVOCATION_MARGIN_MS:
        return Refused(ErrorKind.STALE_VIEW, f"the configuration was confirmed {age_ms:.0f} ms ago")
    owner = configuration.key_owners.get(api_key)
    if owner is None:
        return Refused(ErrorKind.UNAUTHENTICATED, "no organisation has this key")
    return Access(queue, owner, rest)


Authorise = Callable[[str, str, str], Access | Refused]
