"""Tests of the log follower: confirmations, loading and relayed entries."""

import unittest
from types import SimpleNamespace

from daemon_cases import Clock, Cluster

from hornbeamfold.daemon.follower import LogFollower, load_view
from hornbeamfold.logclient import Expired, LogFailure, ReadResult
from hornbeamfold.model.events import Entry, OrganisationPut, Record
from hornbeamfold.view import snapshot_parts


class Log:
    """A log that retains the entries from `first` on."""

    def __init__(self, entries, first):
        self.entries = entries
        self.first = first

    def read(self, start, limit, wait_ms):
        """Return the entries from `start` on, or that they have expired."""
        if start < self.first:
            return Expired(self.first, len(self.entries))
        chosen = tuple(self.entries[start : start + limit])
        return ReadResult(chosen, self.first, len(self.entries), 0, ())


def accept_guarantees(organisations, workers):
    """Return that all guarantees fit."""
    return ""


def organisation_entry(offset, name):
    """Return the entry that creates an organisation."""
    return Entry(offset, 5, Record("w", offset + 1, (OrganisationPut(name, (), 1.0, 0),)))


class FollowerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.confirmed = []
        self.clock = Clock(100)
        freshness = SimpleNamespace(
            record_offset=lambda offset: None,
            record_confirmation=lambda started_ms, offset: self.confirmed.append(
                (started_ms, offset)
            ),
            record_read_failure=lambda: None,
            own_confirmed_age=lambda now_ms: 7,
        )
        writer = SimpleNamespace(confirmed=lambda started_ms: None)
        self.follower = LogFollower(accept_guarantees, writer, freshness, self.clock)
        self.entries = [organisation_entry(0, "a"), organisation_entry(1, "b")]

    def test_only_a_read_up_to_the_end_confirms(self) -> None:
        """Guards against starting tasks on a view that lags behind the log."""
        self.follower.on_entries(self.entries[:1], 2, 50)
        self.assertEqual((self.confirmed, self.follower.ready), ([], False))
        self.follower.on_entries(self.entries[1:], 2, 60)
        self.assertEqual((self.confirmed, self.follower.ready), ([(60, 2)], True))

    def test_relayed_entries_confirm_nothing(self) -> None:
        """Guards against a partitioned instance that takes relayed entries for the log's end."""
        self.follower.on_relayed(self.entries)
        self.assertEqual((self.follower.view.offset, self.confirmed), (2, []))
        relayed = self.follower.relay(1, 10)
        self.assertEqual([one.offset for one in relayed.entries], [1])
        self.assertEqual((relayed.first_offset, relayed.next_offset), (0, 2))

    def test_an_older_view_is_not_adopted(self) -> None:
        """Guards against a reload that returns to an earlier configuration."""
        self.follower.on_entries(self.entries, 2, 50)
        loaded = load_view(Log(self.entries[:1], 0), accept_guarantees, self.clock, True)
        self.follower.replace_view(loaded)
        self.assertEqual(self.follower.view.offset, 2)


class LoadTest(unittest.TestCase):
    def test_loading(self) -> None:
        """Guards against a view with missing entries, and against a bootstrap on an emptied log."""
        cluster = Cluster()
        parts = snapshot_parts(cluster.view)
        entries = [*([None] * cluster.view.offset), cluster.entry(*parts)]
        for name, log, bootstrap, offset in (
            ("from a snapshot", Log(entries, 1), False, cluster.view.offset),
            ("no snapshot", Log(entries[:1], 1), False, None),
            ("empty", Log([], 0), False, None),
            ("new system", Log([], 0), True, 0),
        ):
            with self.subTest(name):
                loaded = load_view(log, accept_guarantees, Clock(), bootstrap)
                if offset is None:
                    self.assertIsInstance(loaded, LogFailure)
                    continue
                self.assertEqual(loaded.view.offset, offset)


if __name__ == "__main__":
    unittest.main()
