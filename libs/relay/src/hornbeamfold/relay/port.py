"""A topic that is read from the region's relay where possible, else from the store."""

from collections.abc import Callable
from dataclasses import replace

import msgspec

from hornbeamfold.batch import (
    Clock,
    NewestPage,
    ReadFailed,
    ReadOutcome,
    Records,
    TopicPort,
)
from hornbeamfold.relay.codec import Page, decode_page
from hornbeamfold.relay.directory import Directory
from hornbeamfold.relay.server import MAX_AGE_MS, PATH

# Address, path, query, time limit in ms: the body of a response, or None without a good one.
Fetch = Callable[[str, str, dict[str, object], int], bytes | None]

# Within a region an answer takes a few milliseconds beyond the wait.
FETCH_TIMEOUT_MS = 500


def relayed_port(
    direct: TopicPort,
    topic: str,
    directory: Directory,
    fetch: Fetch,
    wants_direct: Callable[[], bool],
    clock: Clock,
) -> TopicPort:
    """Return the port; appends always go to the store, and so does all if `wants_direct`."""

    def ask(address: str, start: int, wait_ms: int) -> tuple[Page, int] | None:
        """Return a page and the local time at which the relay had all that was stored."""
        sent_ms = clock()
        query: dict[str, object] = {"from": start, "wait_ms": wait_ms}
        body = fetch(address, PATH + topic, query, wait_ms + FETCH_TIMEOUT_MS)
        try:
            page = None if body is None else decode_page(body)
        except msgspec.MsgspecError:
            page = None
        if page is None or page.age_ms > MAX_AGE_MS:
            directory.failed("no answer" if body is None else "unreadable or too old")
            return None
        directory.answered()
        # The answer was given no sooner than the call was sent and held.
        return page, sent_ms + page.held_ms - page.age_ms

    def read(from_offset: int, wait_ms: int) -> ReadOutcome:
        address = "" if wants_direct() else directory.relay_address()
        answer = ask(address, from_offset, wait_ms) if address else None
        if answer is None:
            return direct.read(from_offset, wait_ms)
        page, confirmed_ms = answer
        # A reader that is ahead of the relay had all that the relay had.
        end = max(page.end, from_offset)
        return Records(page.records, end, end, confirmed_ms)

    def newest(after: str) -> NewestPage | ReadFailed:
        address = "" if wants_direct() else directory.relay_address()
        answer = ask(address, 0, 0) if address and not after else None
        if answer is None:
            return direct.newest(after)
        page, confirmed_ms = answer
        present = tuple(record for record in page.records if record.value)
        return NewestPage(present, False, page.end, confirmed_ms)

    return replace(direct, read=read, newest=newest)
