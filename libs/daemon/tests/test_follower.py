"""Tests of following the log: confirmations, loading and relaying."""

import unittest
from types import SimpleNamespace

from daemon_cases import Clock, Cluster

from hornbeamfold.daemon.follower import LogFollower, load
from hornbeamfold.logclient import Expired, LogFailure, ReadResult
from hornbeamfold.model.events import Entry, OrganisationPut, Record
from hornbeamfold.view import snapshot_parts


class Log:
    """Keeps entries from `first` on and answers reads of any start."""

    def __init__(self, entries, first):
        self.entries = entries
        self.first = first

    def read(self, start, limit, wait_ms):
        """Return the entries from `start` on."""
        if start < self.first:
            return Expired(self.first, len(self.entries))
        chosen = tuple(self.entries[start : start + limit])
        return ReadResult(chosen, self.first, len(self.entries), 0, ())


def fit(organisations, workers):
    """Accept all guarantees."""
    return ""


def organisation(offset, name):
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
        self.follower = LogFollower(fit, writer, freshness, self.clock)
        self.entries = [organisation(0, "a"), organisation(1, "b")]

    def test_only_a_read_up_to_the_end_confirms(self) -> None:
        """Guards against starts on a view that lags behind the log."""
        self.follower.on_entries(self.entries[:1], 2, 50)
        self.assertEqual((self.confirmed, self.follower.ready), ([], False))
        self.follower.on_entries(self.entries[1:], 2, 60)
        self.assertEqual((self.confirmed, self.follower.ready), ([(60, 2)], True))

    def test_relayed_entries_confirm_nothing(self) -> None:
        """Guards against a cut-off instance that takes a peer's entries for the log's end."""
        self.follower.on_relayed(self.entries)
        self.assertEqual((self.follower.view.offset, self.confirmed), (2, []))
        relayed = self.follower.relay(1, 10)
        self.assertEqual([one.offset for one in relayed.entries], [1])
        self.assertEqual((relayed.first_offset, relayed.next_offset), (0, 2))

    def test_an_older_view_is_not_adopted(self) -> None:
        """Guards against a configuration that goes back after a reload."""
        self.follower.on_entries(self.entries, 2, 50)
        loaded = load(Log(self.entries[:1], 0), fit, self.clock, True)
        self.follower.adopt(loaded)
        self.assertEqual(self.follower.view.offset, 2)


class LoadTest(unittest.TestCase):
    def test_loading(self) -> None:
        """Guards against a view with a gap, and against a new start on an emptied log."""
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
                loaded = load(log, fit, Clock(), bootstrap)
                if offset is None:
                    self.assertIsInstance(loaded, LogFailure)
                    continue
                self.assertEqual(loaded.view.offset, offset)


if __name__ == "__main__":
    unittest.main()
