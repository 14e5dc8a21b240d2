"""The loop in which one green thread reads new log entries."""

from collections.abc import Callable
from typing import NoReturn

from eventlet import sleep

from hornbeamfold.logclient.outcomes import (
    Expired,
    FailureKind,
    LogFailure,
    ReadOutcome,
    ReadResult,
    SkippedRecord,
)
from hornbeamfold.model.events import Entry

READ_LIMIT = 500
# Two long polls with their round trips take less than the maximum view age of 3,000 ms.
READ_WAIT_MS = 1_000
# Delay after a read that reached the end of the log: records appended meanwhile arrive in one
# reply, which limits the reads to 100 per second.
LOG_END_DELAY_MS = 10
INITIAL_RETRY_DELAY_MS = 50
MAX_RETRY_DELAY_MS = 1_000

OnEntries = Callable[[tuple[Entry, ...], int, int], None]
OnFailure = Callable[[LogFailure | Expired], None]


def follow(
    read: Callable[[int, int, int], ReadOutcome],
    position: Callable[[], int],
    on_entries: OnEntries,
    on_failure: OnFailure,
    wait_ms: Callable[[], int] = lambda: READ_WAIT_MS,
    on_skipped: Callable[[tuple[SkippedRecord, ...]], None] = lambda skipped: None,
) -> NoReturn:
    """Read entries from `position()` onwards until the green thread is killed.

    - `on_entries(entries, end, started_ms)` is called after every successful read, also an empty
      one; it must move the position past the entries.
    - `on_failure` is called after each failed read. After `Expired` it must move the position to
      an offset that the log still has, for instance by loading a snapshot.
    - `wait_ms` returns how long the next read may wait for records.
    - `on_skipped` is called with the records that could not be decoded.
    """
    failures = 0
    while True:
        start = position()
        outcome = _validate(read(start, READ_LIMIT, wait_ms()), start)
        if not isinstance(outcome, ReadResult):
            on_failure(outcome)
            failures += 1
            sleep(_retry_delay_ms(failures) / 1000)
            continue
        if outcome.skipped:
            on_skipped(outcome.skipped)
        on_entries(outcome.entries, outcome.end, outcome.started_ms)
        if outcome.entries and position() <= start:
            # Back off: entries that were not folded would otherwise be read again at once.
            failures += 1
            sleep(_retry_delay_ms(failures) / 1000)
            continue
        failures = 0
        if position() >= outcome.end:
            sleep(LOG_END_DELAY_MS / 1000)


def _validate(outcome: ReadOutcome, start: int) -> ReadOutcome:
    """Return a failure for a reply that is inconsistent with the start of the read."""
    if isinstance(outcome, ReadResult) and outcome.end < start:
        detail = f"the log ends at {outcome.end}, before the reader's position {start}"
        return LogFailure(FailureKind.PROTOCOL, detail, may_have_happened=False)
    if isinstance(outcome, ReadResult) and not outcome.entries and outcome.end > start:
        detail = f"an empty read at {start} although the log ends at {outcome.end}"
        return LogFailure(FailureKind.PROTOCOL, detail, may_have_happened=False)
    return outcome


def _retry_delay_ms(failures: int) -> int:
    return min(INITIAL_RETRY_DELAY_MS * 2 ** min(failures - 1, 10), MAX_RETRY_DELAY_MS)
