"""Tests of when snapshots are written, and by which instance."""

import unittest
from types import SimpleNamespace

from daemon_cases import WALL_MS, Clock, Cluster, Writer

from hornbeamfold.daemon.snapshots import (
    MAX_RECORDS_SINCE_SNAPSHOT,
    Snapshotter,
    snapshot_due_reason,
)
from hornbeamfold.model.events import SnapshotPart

RETENTION_MS = 40_000


class SnapshotDueTest(unittest.TestCase):
    def test_due(self) -> None:
        """Guards against records that expire before a snapshot, and against needless snapshots."""
        quarter = RETENTION_MS // 4
        for name, offset, snapshot_offset, age_ms, due in (
            ("empty", 0, 0, 10 * quarter, False),
            ("young", 9, 0, quarter, False),
            ("old", 9, 0, quarter + 1, True),
            ("nothing new", 9, 9, 10 * quarter, False),
            ("long tail", MAX_RECORDS_SINCE_SNAPSHOT + 1, 0, 0, True),
        ):
            with self.subTest(name):
                view = SimpleNamespace(offset=offset)
                reason = snapshot_due_reason(view, snapshot_offset, 0, age_ms, RETENTION_MS)
                self.assertEqual(bool(reason), due)


class SnapshotterTest(unittest.TestCase):
    def make_snapshotter(self, rank=0, during_wait=lambda follower: None, down=False):
        cluster = Cluster()
        self.writer = Writer(cluster)
        self.writer.down = down
        follower = SimpleNamespace(
            ready=True, view=cluster.view, snapshot_offset=0, snapshot_ms=WALL_MS - RETENTION_MS
        )
        return Snapshotter(
            follower,
            self.writer,
            SimpleNamespace(rank=lambda key, now_ms: rank),
            SimpleNamespace(log_reachable=True),
            Clock(),
            Clock(WALL_MS),
            RETENTION_MS,
            lambda seconds: during_wait(follower),
        )

    def test_turns(self) -> None:
        """Guards against a snapshot by every instance, and by none if the first-ranked one dies."""

        def another_wrote(follower):
            follower.snapshot_offset = follower.view.offset

        for name, rank, during_wait, down, written, done in (
            ("first", 0, lambda follower: None, False, True, True),
            ("second, the first is dead", 1, lambda follower: None, False, True, True),
            ("second, the first wrote", 1, another_wrote, False, False, False),
            ("log down", 0, lambda follower: None, True, True, False),
        ):
            with self.subTest(name):
                snapshotter = self.make_snapshotter(rank, during_wait, down)
                self.assertEqual(snapshotter.write_if_due(), done)
                kinds = {type(event) for event in self.writer.events}
                self.assertEqual(kinds, {SnapshotPart} if written else set())


if __name__ == "__main__":
    unittest.main()
