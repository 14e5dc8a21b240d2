"""A topic port that reads from the relay of the region if possible, else from the store."""

from collections.abc import Callable
from dataclasses import replace

from hornbeamfold.batch import (
    Clock,
    NewestPage,
    ReadFailed,
    ReadOutcome,
    Records,
    TopicPort,
)
from hornbeamfold.decoding import DecodeError
from hornbeamfold.relay.codec import Page, decode_page
from hornbeamfold.relay.directory import Directory
from hornbeamfold.relay.server import MAX_AGE_MS, RELAY_PATH

# Takes an address, a path, a query and a timeout in ms. Returns the body of a successful response,
# or None.
Fetch = Callable[[str, str, dict[str, object], int], bytes | None]

# Added to the wait: within a region an answer takes only a few milliseconds longer than that.
FETCH_TIMEOUT_MS = 500


def relayed_port(
    direct: TopicPort,
    topic: str,
    directory: Directory,
    fetch: Fetch,
    wants_direct: Callable[[], bool],
    clock: Clock,
) -> TopicPort:
    """Return the port; appends always go to the store, and so do reads if `wants_direct`."""

    def fetch_page(address: str, from_offset: int, wait_ms: int) -> tuple[Page, int] | None:
        """Return a page and a local time at which the relay had all stored records."""
        sent_ms = clock()
        query: dict[str, object] = {"from": from_offset, "wait_ms": wait_ms}
        body = fetch(address, RELAY_PATH + topic, query, wait_ms + FETCH_TIMEOUT_MS)
        try:
            page = None if body is None else decode_page(body)
        except DecodeError:
            page = None
        if page is None or page.age_ms > MAX_AGE_MS:
            directory.record_failure(
                "no response" if body is None else "response is invalid or too old"
            )
            return None
        directory.record_success()
        # The relay answered no earlier than `held_ms` after the call was sent.
        return page, min(clock(), sent_ms + page.held_ms) - page.age_ms

    def read(from_offset: int, wait_ms: int) -> ReadOutcome:
        address = "" if wants_direct() else directory.relay_address()
        fetched = fetch_page(address, from_offset, wait_ms) if address else None
        if fetched is None:
            return direct.read(from_offset, wait_ms)
        page, confirmed_ms = fetched
        # A reader that is ahead of the relay has all records of the relay, and keeps its offset.
        end = max(page.end, from_offset)
        return Records(page.records, end, end, confirmed_ms)

    def newest(after: str) -> NewestPage | ReadFailed:
        address = "" if wants_direct() else directory.relay_address()
        fetched = fetch_page(address, 0, 0) if address and not after else None
        if fetched is None:
            return direct.newest(after)
        page, confirmed_ms = fetched
        present = tuple(record for record in page.records if record.value)
        return NewestPage(present, False, page.end, confirmed_ms)

    return replace(direct, read=read, newest=newest)
