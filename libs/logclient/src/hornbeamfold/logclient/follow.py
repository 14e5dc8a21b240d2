"""Reads the log on and on in one green thread."""

from collections.abc import Callable
from typing import NoReturn

from eventlet import sleep

from hornbeamfold.logclient.outcomes import (
    Expired,
    FailureKind,
    LogFailure,
    ReadOutcome,
    ReadResult,
    Skipped,
)
from hornbeamfold.model.events import Entry

READ_LIMIT = 500
# Two waits and their exchanges stay below the freshness bound of 3,000 ms.
READ_WAIT_MS = 1_000
# At the log's end each read is followed by this pause: records that arrive within it come in
# one reply, which bounds the exchanges to 100 a second.
END_PAUSE_MS = 10
FIRST_FAILURE_PAUSE_MS = 50
FAILURE_PAUSE_BOUND_MS = 1_000

OnEntries = Callable[[tuple[Entry, ...], int, int], None]
OnFailure = Callable[[LogFailure | Expired], None]


def follow(
    read: Callable[[int, int, int], ReadOutcome],
    position: Callable[[], int],
    on_entries: OnEntries,
    on_failure: OnFailure,
    wait_ms: Callable[[], int] = lambda: READ_WAIT_MS,
    on_skipped: Callable[[tuple[Skipped, ...]], None] = lambda skipped: None,
) -> NoReturn:
    """Read from `position()` on and pass on what comes, until the green thread is killed.

    - `on_entries(entries, end, started_ms)` gets every read that worked, also an empty one; it
      must move the position past the entries.
    - `on_failure` gets each failed read. After `Expired` the position must be moved to what is
      still kept, for instance by loading a snapshot.
    - `wait_ms` says how long the next read may wait for records.
    """
    failures = 0
    while True:
        start = position()
        outcome = _checked(read(start, READ_LIMIT, wait_ms()), start)
        if not isinstance(outcome, ReadResult):
            on_failure(outcome)
            failures += 1
            sleep(_failure_pause_ms(failures) / 1000)
            continue
        if outcome.skipped:
            on_skipped(outcome.skipped)
        on_entries(outcome.entries, outcome.end, outcome.started_ms)
        if outcome.entries and position() <= start:
            # Without a pause, entries that are not folded would be read again at once.
            failures += 1
            sleep(_failure_pause_ms(failures) / 1000)
            continue
        failures = 0
        if position() >= outcome.end:
            sleep(END_PAUSE_MS / 1000)


def _checked(outcome: ReadOutcome, start: int) -> ReadOutcome:
    """Turn a reply that contradicts the position into a failure."""
    if isinstance(outcome, ReadResult) and outcome.end < start:
        detail = f"the log ends at {outcome.end}, before the reader's position {start}"
        return LogFailure(FailureKind.PROTOCOL, detail, may_have_happened=False)
    if isinstance(outcome, ReadResult) and not outcome.entries and outcome.end > start:
        detail = f"an empty read at {start} although the log ends at {outcome.end}"
        return LogFailure(FailureKind.PROTOCOL, detail, may_have_happened=False)
    return outcome


def _failure_pause_ms(failures: int) -> int:
    return min(FIRST_FAILURE_PAUSE_MS * 2 ** min(failures - 1, 10), FAILURE_PAUSE_BOUND_MS)
