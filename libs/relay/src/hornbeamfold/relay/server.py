"""The relay's answers to reads of other instances, from its mirrors of the topics."""

from collections.abc import Mapping

from hornbeamfold.batch import Clock
from hornbeamfold.relay.codec import Page, encode_page
from hornbeamfold.relay.mirror import Mirror

RELAY_PATH = "/relay/"
# If the last confirmed read of the relay is older, its readers read from the store instead.
MAX_AGE_MS = 1_500
MAX_WAIT_MS = 2_000


def answer_read(
    mirrors: Mapping[str, Mirror], topic: str, query: Mapping[str, str], clock: Clock
) -> bytes | None:
    """Return an encoded page, or None if this instance cannot answer for the topic."""
    mirror = mirrors.get(topic)
    try:
        from_offset, wait_ms = int(query.get("from", "0")), int(query.get("wait_ms", "0"))
    except ValueError:
        return None
    if mirror is None or mirror.end is None:
        return None
    started_ms = clock()
    if wait_ms > 0:
        mirror.wait_beyond(from_offset, min(wait_ms, MAX_WAIT_MS))
    age_ms = mirror.age_ms()
    if age_ms is None or age_ms > MAX_AGE_MS:
        return None
    return encode_page(Page(mirror.since(from_offset), mirror.end, age_ms, clock() - started_ms))
