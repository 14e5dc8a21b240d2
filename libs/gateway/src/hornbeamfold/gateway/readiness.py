"""Whether an instance is ready for new connections."""

from collections.abc import Iterable

from hornbeamfold.ledger import Follower

# An instance that has not read from the store for this long is not ready.
MAX_AGE_MS = 2_500


def not_ready_reason(
    draining: bool, followers: Iterable[tuple[str, Follower]], store_suspected_ms: int = 0
) -> str:
    """Return why the instance is not ready, or an empty string if it is.

    `store_suspected_ms` is for how long the store has not answered this instance.
    """
    if draining:
        return "draining"
    for name, follower in followers:
        if not follower.loaded:
            return f"{name} has not been read yet"
        if follower.age_ms() > MAX_AGE_MS:
            return f"{name} was confirmed {follower.age_ms():.0f} ms ago"
    if store_suspected_ms > MAX_AGE_MS:
        return f"the store has not answered for {store_suspected_ms} ms"
    return ""
