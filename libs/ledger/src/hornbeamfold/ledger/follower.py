"""Follows one partition of a keyed topic: loads the newest record of each key, then reads on."""

from collections.abc import Callable, Sequence

import eventlet
from eventlet.event import Event

from hornbeamfold.batch import Clock, KeyedRecord, ReadFailed, Records, TopicPort, Trimmed
from hornbeamfold.telemetry import get_logger, report_unexpected

logger = get_logger("hornbeamfold.ledger.follower")

# Delay before a failed read is retried. The store limits the rate of calls, so a retry is not
# immediate.
RETRY_MS = 150

# Records may be applied again after an error, with the later ones following.
ApplyRecords = Callable[[Sequence[KeyedRecord]], None]
# Called after each read with the time at which all records were last known, or with None if the
# read failed.
ReadHook = Callable[[int | None], None]


class Follower:
    """Reads a topic continuously in one green thread and applies all records in log order.

    `pace_ms` returns the delay after a read that returned records, so that further records are
    read in one larger batch. `wait_ms` is how long the store may block a read that has no records
    (long polling). `on_reload` is called before the newest records of all keys are applied: a key
    that is not among them has been removed.
    """

    def __init__(
        self,
        name: str,
        topic: TopicPort,
        apply: ApplyRecords,
        clock: Clock,
        pace_ms: Callable[[], int],
        wait_ms: int,
        on_reload: Callable[[], None] = lambda: None,
    ) -> None:
        self._name = name
        self._topic = topic
        self._apply = apply
        self._clock = clock
        self._pace_ms = pace_ms
        self._wait_ms = wait_ms
        self._on_reload = on_reload
        self._next_offset: int | None = None
        self._confirmed_ms: int | None = None
        self._failing_since: int | None = None
        self._wake: Event = Event()
        self._read_hooks: list[ReadHook] = []
        self._end_offset = 0

    @property
    def loaded(self) -> bool:
        """Whether the newest records have been loaded."""
        return self._next_offset is not None

    @property
    def failing(self) -> bool:
        """Whether the last read failed."""
        return self._failing_since is not None

    @property
    def confirmed_ms(self) -> int | None:
        """The latest local time at which all records of the topic were known."""
        return self._confirmed_ms

    def age_ms(self) -> float:
        """Return the time since `confirmed_ms`; infinite before the first confirmation."""
        if self._confirmed_ms is None:
            return float("inf")
        return self._clock() - self._confirmed_ms

    @property
    def end_offset(self) -> int:
        """One past the last record that was applied."""
        return self._end_offset

    def on_read(self, hook: ReadHook) -> None:
        """Register a hook that is called after each read."""
        self._read_hooks.append(hook)

    def wake(self) -> None:
        """End the current delay between two reads."""
        if not self._wake.ready():
            self._wake.send(None)

    def run(self) -> None:
        """Follow the topic indefinitely."""
        self.follow(lambda: True)

    def follow(self, keep_running: Callable[[], bool]) -> None:
        """Follow the topic while `keep_running` returns true, from where the last read ended."""
        while keep_running():
            # After a failure, a read that does not wait detects sooner that the store is back.
            wait_ms = 0 if self.failing else self._wait_ms
            end = self._end_offset
            if not (self.loaded or self.load()) or not self.read(wait_ms):
                eventlet.sleep(RETRY_MS / 1_000)
                continue
            pace_ms = self._pace_ms()
            # No delay after an empty read: the store already blocks the next one.
            if pace_ms > 0 and self._end_offset > end:
                self._wake = Event()
                self._wake.wait(timeout=pace_ms / 1_000)

    def load(self) -> bool:
        """Load the newest record of each key; return whether that succeeded."""
        after = ""
        snapshot_end: int | None = None
        confirmed_ms = 0
        records: list[KeyedRecord] = []
        while True:
            page = self._topic.newest(after)
            if isinstance(page, ReadFailed):
                self._record_failure(page.reason)
                return False
            if snapshot_end is None and page.end < self._end_offset:
                self._record_failure(
                    "the loaded newest records are older than the records already read"
                )
                return False
            if snapshot_end is None:
                # The pages may lack records written after the first page was read, so the next read
                # starts at the end that the first page reported.
                snapshot_end, confirmed_ms = page.end, page.confirmed_ms
            records.extend(page.records)
            if not page.has_more:
                break
            after = page.records[-1].key
        self._on_reload()
        self._apply_each(records)
        self._next_offset = self._end_offset = snapshot_end
        self._record_success(confirmed_ms)
        logger.info("topic_loaded", extra={"topic": self._name, "next_offset": snapshot_end})
        return True

    def confirm(self) -> bool:
        """Read without waiting, outside the loop of `follow`; return whether the read succeeded."""
        if not self.loaded:
            return False
        return self.read(0)

    def read(self, wait_ms: int) -> bool:
        """Read once and apply the records; return whether the read succeeded."""
        assert self._next_offset is not None
        outcome = self._topic.read(self._next_offset, wait_ms)
        if isinstance(outcome, ReadFailed):
            self._record_failure(outcome.reason)
            return False
        if isinstance(outcome, Trimmed):
            logger.warning(
                "records_expired",
                extra={"topic": self._name, "at": self._next_offset, "first": outcome.first},
            )
            self._next_offset = None
            return self.load()
        self._apply_records(outcome)
        return True

    def _apply_records(self, outcome: Records) -> None:
        if outcome.records:
            self._apply_each(outcome.records)
        if self._next_offset is None or outcome.next_offset > self._next_offset:
            self._next_offset = self._end_offset = outcome.next_offset
        confirmed = outcome.confirmed_ms if outcome.next_offset >= outcome.end else None
        self._record_success(confirmed)

    def _apply_each(self, records: Sequence[KeyedRecord]) -> None:
        """Apply records; one that raises an error is logged and keeps no other from being applied.

        Most records raise none, so they are applied one by one only after an error.
        """
        try:
            self._apply(records)
            return
        except Exception:
            logger.warning(
                "records_applied_singly",
                extra={"topic": self._name, "records": len(records)},
                exc_info=True,
            )
        for record in records:
            try:
                self._apply((record,))
            except Exception:
                report_unexpected(
                    "apply_record", topic=self._name, key=record.key, offset=record.offset
                )

    def _record_success(self, confirmed_ms: int | None) -> None:
        if confirmed_ms is not None and confirmed_ms > (self._confirmed_ms or 0):
            self._confirmed_ms = confirmed_ms
        if self._failing_since is not None:
            logger.info(
                "store_regained",
                extra={"topic": self._name, "away_ms": self._clock() - self._failing_since},
            )
            self._failing_since = None
        for hook in self._read_hooks:
            hook(self._confirmed_ms)

    def _record_failure(self, reason: str) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock()
            logger.warning("store_lost", extra={"topic": self._name, "reason": reason})
        for hook in self._read_hooks:
            hook(None)
