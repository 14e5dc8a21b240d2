"""Follows the log: applies entries to the view, loads snapshots and relays entries to peers."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from eventlet import sleep

from hornbeamfold.daemon.clock import Clock
from hornbeamfold.logclient import (
    Expired,
    FailureKind,
    LogClient,
    LogFailure,
    LogWriter,
    ReadOutcome,
    ReadResult,
    Signal,
    SkippedRecord,
    encode_record,
)
from hornbeamfold.membership import Freshness
from hornbeamfold.model.events import (
    Applied,
    Entry,
    JobCancelled,
    JobPlaced,
    JobStopping,
    MembersReported,
    SnapshotPart,
)
from hornbeamfold.model.status import RelayedEntries, RelayedEntry
from hornbeamfold.telemetry import counter, get_logger
from hornbeamfold.view import (
    GuaranteesFit,
    SnapshotCollector,
    View,
    may_replace,
    verify_snapshot,
)

# Number of recent entries kept for peers that cannot read the log themselves.
MAX_RELAY_ENTRIES = 4_096
LOAD_BATCH = 500
CONFIRM_BATCH = 500
CONFIRM_RETRY_MS = 200

logger = get_logger("hornbeamfold.daemon.follower")
count_entries = counter("hornbeamfold_log_entries_folded", "Log entries folded into the view")
count_rejected = counter("hornbeamfold_events_rejected", "Events that the fold rejected")

Read = Callable[[int, int, int], ReadOutcome]
# Confirms that the view is up to date, by a log read that starts after the given time; the second
# argument is the timeout in ms.
Confirm = Callable[[int, int], bool]
Listener = Callable[[Entry, tuple[Applied, ...]], None]


@dataclass(frozen=True)
class LoadedView:
    """A view restored from the log, the end of the log, and the time at which its read started."""

    view: View
    end: int
    read_started_ms: int


class LogFollower:
    """Maintains the view of this instance and the entries that were applied to it most recently."""

    def __init__(
        self, guarantees_fit: GuaranteesFit, writer: LogWriter, freshness: Freshness, clock: Clock
    ) -> None:
        self._guarantees_fit = guarantees_fit
        self._view = View(guarantees_fit)
        self._writer = writer
        self._freshness = freshness
        self._clock = clock
        self._ready = False
        self._recent: deque[Entry] = deque(maxlen=MAX_RELAY_ENTRIES)
        self._collector = SnapshotCollector(guarantees_fit)
        self._listeners: list[Listener] = []
        self._changed = Signal()
        self._snapshot_offset = 0
        self._snapshot_ms = 0
        self._confirming = False

    @property
    def view(self) -> View:
        """The state that results from all entries applied so far."""
        return self._view

    @property
    def ready(self) -> bool:
        """Whether the view has reached the end of the log at least once."""
        return self._ready

    @property
    def guarantees_fit(self) -> GuaranteesFit:
        """The guarantee check that is passed to every view of this instance."""
        return self._guarantees_fit

    @property
    def changed(self) -> Signal:
        """Notified after entries are applied and after each read that reaches the log's end."""
        return self._changed

    @property
    def snapshot_offset(self) -> int:
        """The log offset of the state in the newest complete snapshot."""
        return self._snapshot_offset

    @property
    def snapshot_ms(self) -> int:
        """The log time of the newest complete snapshot, 0 if there is none."""
        return self._snapshot_ms

    def add_listener(self, listener: Listener) -> None:
        """Register a function that is called with each applied entry and its verdicts."""
        self._listeners.append(listener)

    def replace_view(self, loaded: LoadedView) -> None:
        """Replace the view by a loaded one, unless that is older than the current view."""
        if not may_replace(self._view, loaded.view):
            return
        self._view = loaded.view
        self._recent.clear()
        self._collector = SnapshotCollector(self._guarantees_fit)
        self._snapshot_offset = loaded.view.offset
        self._snapshot_ms = loaded.view.at_ms
        self._confirm(loaded.read_started_ms, loaded.end)

    def on_entries(self, entries: Iterable[Entry], end: int, started_ms: int) -> None:
        """Apply the entries of a read that started at `started_ms`; the log ended at `end` then."""
        for entry in entries:
            self._apply(entry)
        self._confirm(started_ms, end)

    def next_offset(self) -> int:
        """Return the offset to read next; entries relayed by peers advance it too."""
        return self._view.offset

    def on_failure(self, failure: LogFailure) -> None:
        """Record and log a failed read."""
        self._freshness.record_read_failure()
        logger.warning("The log was not read", extra={"detail": failure.detail})

    def on_skipped(self, skipped: tuple[SkippedRecord, ...]) -> None:
        """Log records that could not be decoded; every instance skips the same ones."""
        for record in skipped:
            logger.error(
                "A log record cannot be decoded",
                extra={"offset": record.offset, "detail": record.detail},
            )

    def on_relayed(self, entries: Iterable[Entry]) -> None:
        """Apply entries that a peer relayed; they do not confirm the end of the log."""
        for entry in entries:
            self._apply(entry)
        self._freshness.record_offset(self._view.offset)
        self._changed.notify()

    def relay(self, start: int, limit: int) -> RelayedEntries:
        """Return up to `limit` entries from an offset on, for a peer that cannot read the log."""
        first = self._recent[0].offset if self._recent else self._view.offset
        relayed: list[RelayedEntry] = []
        for entry in self._recent:
            if entry.offset < start or len(relayed) >= limit:
                continue
            relayed.append(RelayedEntry(entry.offset, entry.at_ms, encode_record(entry.record)))
        age = self._freshness.own_confirmed_age(self._clock())
        return RelayedEntries(tuple(relayed), self._view.offset, first, age)

    def confirm(self, read: Read, since_ms: int, timeout_ms: int) -> bool:
        """Confirm the end of the log by a read that starts after `since_ms`; return success.

        The follow loop may be in a long poll that started earlier, so this issues a read of its
        own. Callers that arrive during that read share the next one.
        """
        deadline = self._clock() + timeout_ms
        while self._freshness.own_confirmed_age(self._clock()) > self._clock() - since_ms:
            if self._clock() >= deadline:
                return False
            if self._confirming:
                self._changed.wait(deadline - self._clock())
                continue
            self._read_once(read)
        return True

    def _read_once(self, read: Read) -> None:
        self._confirming = True
        try:
            outcome = read(self._view.offset, CONFIRM_BATCH, 0)
        finally:
            self._confirming = False
        if isinstance(outcome, ReadResult):
            self.on_entries(outcome.entries, outcome.end, outcome.started_ms)
            return
        # Wake the callers that share this read; they would otherwise wait until their deadlines.
        self._changed.notify()
        sleep(CONFIRM_RETRY_MS / 1_000)

    def _apply(self, entry: Entry) -> None:
        if entry.offset < self._view.offset:
            return
        applied = self._view.apply(entry)
        self._recent.append(entry)
        count_entries(1)
        for verdict in applied:
            if verdict.accepted:
                continue
            count_rejected(1, event=type(verdict.event).__name__)
        self._collect_snapshot_parts(entry, applied)
        for listener in self._listeners:
            listener(entry, applied)

    def _collect_snapshot_parts(self, entry: Entry, applied: tuple[Applied, ...]) -> None:
        for verdict in applied:
            if not isinstance(verdict.event, SnapshotPart):
                continue
            restored = self._collector.add(verdict.event)
            if restored is None:
                continue
            self._snapshot_offset = verdict.event.as_of
            self._snapshot_ms = entry.at_ms
            self._verify_snapshot(restored, verdict.event.as_of)

    def _verify_snapshot(self, restored: View, as_of: int) -> None:
        """Apply the entries after a snapshot to it and compare the result with the view."""
        if not self._recent or self._recent[0].offset > as_of:
            return
        verify_snapshot(
            self._view, restored, (entry for entry in self._recent if entry.offset >= as_of)
        )

    def _confirm(self, started_ms: int, end: int) -> None:
        self._freshness.record_offset(self._view.offset)
        if self._view.offset >= end:
            self._freshness.record_confirmation(started_ms, self._view.offset)
            self._writer.confirmed(started_ms)
            self._ready = True
        self._changed.notify()


def load_view(
    client: LogClient, guarantees_fit: GuaranteesFit, clock: Clock, bootstrap: bool
) -> LoadedView | LogFailure:
    """Build a view from the newest complete snapshot in the log.

    An empty log counts as a new system only if `bootstrap` is set. The log may also have lost its
    records, and then a configuration that is in force elsewhere must not be replaced by a new one.
    """
    started = clock()
    head = client.read(0, 1, 0)
    if isinstance(head, LogFailure):
        return head
    first, end = head.first, head.end
    if end == 0 and not bootstrap:
        detail = "the log is empty; set bootstrap: true for the first start of a system"
        return LogFailure(FailureKind.PROTOCOL, detail, may_have_happened=False)
    if first == 0:
        return LoadedView(View(guarantees_fit), end, started)
    collector = SnapshotCollector(guarantees_fit)
    restored: View | None = None
    start = first
    while start < end:
        result = client.read(start, LOAD_BATCH, 0)
        if isinstance(result, LogFailure):
            return result
        if isinstance(result, Expired):
            start = result.first
            continue
        for entry in result.entries:
            restored = _collect_newest_snapshot(collector, entry, first) or restored
        start = result.entries[-1].offset + 1 if result.entries else end
    if restored is None:
        detail = f"no complete snapshot is among the records {first} to {end - 1}"
        return LogFailure(FailureKind.PROTOCOL, detail, may_have_happened=False)
    return LoadedView(restored, end, started)


def _collect_newest_snapshot(collector: SnapshotCollector, entry: Entry, first: int) -> View | None:
    newest = None
    for event in entry.record.events:
        # Entries are missing after a snapshot that is older than the first retained entry.
        if not isinstance(event, SnapshotPart) or event.as_of < first:
            continue
        newest = collector.add(event) or newest
    return newest


def affected_jobs(applied: Iterable[Applied]) -> set[tuple[str, str]]:
    """Return the keys of the jobs whose members may be changed by the applied events."""
    keys: set[tuple[str, str]] = set()
    for verdict in applied:
        event = verdict.event
        if not verdict.accepted:
            continue
        if isinstance(event, JobPlaced | JobStopping | JobCancelled):
            keys.add((event.organisation, event.job_id))
        if isinstance(event, MembersReported):
            keys.update((report.organisation, report.job_id) for report in event.reports)
    return keys
