"""Writes snapshots of the view to the log before records expire."""

from collections.abc import Callable

import eventlet

from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.follower import LogFollower
from hornbeamfold.logclient import LogWriter
from hornbeamfold.membership import Freshness, PeerTable
from hornbeamfold.model.timing import LOG_WAIT_MS, SNAPSHOT_RANK_DELAY_MS
from hornbeamfold.telemetry import counter, get_logger
from hornbeamfold.view import View, snapshot_parts

SNAPSHOT_RANK_KEY = "snapshot"
MAX_RECORDS_SINCE_SNAPSHOT = 5_000
CHECK_INTERVAL_MS = 1_000

logger = get_logger("hornbeamfold.daemon.snapshots")
count_snapshots = counter("hornbeamfold_snapshots_written", "Snapshots written into the log")


def snapshot_due_reason(
    view: View, snapshot_offset: int, snapshot_ms: int, now_ms: int, retention_ms: int
) -> str:
    """Return why a snapshot is due, or an empty string; `now_ms` is a Unix time."""
    if view.offset == 0:
        return ""
    new_records = view.offset - snapshot_offset
    if new_records > MAX_RECORDS_SINCE_SNAPSHOT:
        return f"{new_records} records since the last snapshot"
    if new_records and now_ms - snapshot_ms > retention_ms // 4:
        return f"last snapshot is {now_ms - snapshot_ms} ms old"
    return ""


class Snapshotter:
    """Writes snapshots when they are due and no higher-ranked instance has done so."""

    def __init__(
        self,
        follower: LogFollower,
        writer: LogWriter,
        peers: PeerTable,
        freshness: Freshness,
        clock: Clock,
        wall_clock: Clock,
        retention_ms: int,
        sleep: Callable[[float], object] = eventlet.sleep,
    ) -> None:
        self._follower = follower
        self._writer = writer
        self._peers = peers
        self._freshness = freshness
        self._clock = clock
        self._wall_clock = wall_clock
        self._retention_ms = retention_ms
        self._sleep = sleep
        self._first_seen_ms = wall_clock()

    def run(self) -> None:
        """Periodically write a snapshot if one is due."""
        while True:
            self._sleep(min(CHECK_INTERVAL_MS, self._retention_ms // 16) / 1_000)
            try:
                self.write_if_due()
            except Exception:
                logger.exception("A snapshot failed")

    def write_if_due(self) -> bool:
        """Write a snapshot if one is still due after the wait for higher-ranked instances."""
        if not self._due_reason():
            return False
        rank = self._peers.rank(SNAPSHOT_RANK_KEY, self._clock())
        if rank > 0:
            self._sleep(rank * SNAPSHOT_RANK_DELAY_MS / 1_000)
        reason = self._due_reason()
        if not reason:
            return False
        parts = snapshot_parts(self._follower.view)
        # Each part is a separate record, because the size of a record is limited.
        tickets = [self._writer.submit((part,)) for part in parts]
        done = all(ticket.wait(5 * LOG_WAIT_MS) is not None for ticket in tickets)
        if not done:
            for ticket in tickets:
                ticket.withdraw()
        logger.info(
            "Snapshot written" if done else "Snapshot not written in time",
            extra={"reason": reason, "parts": len(parts), "offset": parts[0].as_of},
        )
        if done:
            count_snapshots(1)
        return done

    def _due_reason(self) -> str:
        if not self._follower.ready or not self._freshness.log_reachable:
            return ""
        # Before the first snapshot, the age counts from the start of this instance.
        snapshot_ms = self._follower.snapshot_ms or self._first_seen_ms
        return snapshot_due_reason(
            self._follower.view,
            self._follower.snapshot_offset,
            snapshot_ms,
            self._wall_clock(),
            self._retention_ms,
        )
