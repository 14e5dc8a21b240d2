"""Follows one partition of a keyed topic: loads the newest records, then reads on."""

from collections.abc import Callable, Sequence

import eventlet
from eventlet.event import Event

from hornbeamfold.batch import Clock, KeyedRecord, ReadFailed, Records, TopicPort, Trimmed
from hornbeamfold.telemetry import get_logger

logger = get_logger("hornbeamfold.ledger.follower")

# Pause after a failed read. The store refuses calls beyond its rate, so a retry is not immediate.
RETRY_MS = 150

Apply = Callable[[Sequence[KeyedRecord]], None]
# Told after each read when all records were known last, or None if the read failed.
ReadHook = Callable[[int | None], None]


class Follower:
    """Reads a topic for ever in one green thread and hands all records on in log order.

    `pace_ms` is the pause after a read with records, in which more collect into one larger read,
    and `wait_ms` is how long an empty read waits at the store. `on_reload` is called before the
    newest records of all keys are applied: a key that is not among them has been removed.
    """

    def __init__(
        self,
        name: str,
        topic: TopicPort,
        apply: Apply,
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
        self._known_end = 0

    @property
    def loaded(self) -> bool:
        """Whether the newest records have been loaded once."""
        return self._next_offset is not None

    @property
    def failing(self) -> bool:
        """Whether the last read failed."""
        return self._failing_since is not None

    @property
    def confirmed_ms(self) -> int | None:
        """The last time of the local clock at which all records of the topic were known."""
        return self._confirmed_ms

    def age_ms(self) -> float:
        """Return how old the last confirmation is; infinite before the first one."""
        if self._confirmed_ms is None:
            return float("inf")
        return self._clock() - self._confirmed_ms

    @property
    def known_end(self) -> int:
        """One past the last record that was applied."""
        return self._known_end

    def on_read(self, hook: ReadHook) -> None:
        """Call a hook after each read."""
        self._read_hooks.append(hook)

    def wake(self) -> None:
        """End the present pause between two reads."""
        if not self._wake.ready():
            self._wake.send(None)

    def run(self) -> None:
        """Follow the topic for ever."""
        self.follow(lambda: True)

    def follow(self, wanted: Callable[[], bool]) -> None:
        """Follow the topic while wanted; what was missed since the last time is read first."""
        while wanted():
            # A read that does not wait tells sooner that the store is back.
            wait_ms = 0 if self.failing else self._wait_ms
            end = self._known_end
            if not (self.loaded or self.load()) or not self.read(wait_ms):
                eventlet.sleep(RETRY_MS / 1_000)
                continue
            pace_ms = self._pace_ms()
            # After a read without records the next one waits at the store.
            if pace_ms > 0 and self._known_end > end:
                self._wake = Event()
                self._wake.wait(timeout=pace_ms / 1_000)

    def load(self) -> bool:
        """Load the newest record of each key; return whether that was possible."""
        after = ""
        first_end: int | None = None
        confirmed_ms = 0
        records: list[KeyedRecord] = []
        while True:
            page = self._topic.newest(after)
            if isinstance(page, ReadFailed):
                self._failed(page.reason)
                return False
            if first_end is None and page.end < self._known_end:
                self._failed("the newest records are older than those read before")
                return False
            if first_end is None:
                # Records written after the first page was read may be missing from the pages.
                first_end, confirmed_ms = page.end, page.confirmed_ms
            records.extend(page.records)
            if not page.has_more:
                break
            after = page.records[-1].key
        self._on_reload()
        self._apply(records)
        self._next_offset = self._known_end = first_end
        self._succeeded(confirmed_ms)
        logger.info("topic_loaded", extra={"topic": self._name, "next_offset": first_end})
        return True

    def confirm(self) -> bool:
        """Read to the end at once, beside the loop; return whether all records are known."""
        if not self.loaded:
            return False
        return self.read(0)

    def read(self, wait_ms: int) -> bool:
        """Read once and apply what came; return whether the read succeeded."""
        assert self._next_offset is not None
        outcome = self._topic.read(self._next_offset, wait_ms)
        if isinstance(outcome, ReadFailed):
            self._failed(outcome.reason)
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
            self._apply(outcome.records)
        if self._next_offset is None or outcome.next_offset > self._next_offset:
            self._next_offset = self._known_end = outcome.next_offset
        confirmed = outcome.confirmed_ms if outcome.next_offset >= outcome.end else None
        self._succeeded(confirmed)

    def _succeeded(self, confirmed_ms: int | None) -> None:
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

    def _failed(self, reason: str) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock()
            logger.warning("store_lost", extra={"topic": self._name, "reason": reason})
        for hook in self._read_hooks:
            hook(None)
