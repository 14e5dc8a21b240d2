"""Answers the reads of other instances from the mirrors."""

from collections.abc import Mapping

from hornbeamfold.batch import Clock
from hornbeamfold.relay.codec import Page, encode_page
from hornbeamfold.relay.mirror import Mirror

PATH = "/relay/"
# A relay whose own reads are older sends its readers to the store.
MAX_AGE_MS = 1_500
MAX_WAIT_MS = 2_000


def answer(
    mirrors: Mapping[str, Mirror], topic: str, query: Mapping[str, str], clock: Clock
) -> bytes | None:
    """Return the body of a page, or None if this instance cannot answer for the topic."""
    mirror = mirrors.get(topic)
    try:
        start, wait_ms = int(query.get("from", "0")), int(query.get("wait_ms", "0"))
    except ValueError:
        return None
    if mirror is None or mirror.end is None:
        return None
    began = clock()
    if wait_ms > 0:
        mirror.wait_beyond(start, min(wait_ms, MAX_WAIT_MS))
    age_ms = mirror.age_ms()
    if age_ms is None or age_ms > MAX_AGE_MS:
        return None
    return encode_page(Page(mirror.since(start), mirror.end, age_ms, clock() - began))
