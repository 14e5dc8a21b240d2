"""Tests of the peer table and the ranking."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from mixins import PeerMixin

from hornbeamfold.membership import ListedInstance, keeper_of, rank_names
from hornbeamfold.model.timing import PEER_RETENTION_MS, SUSPICION_TIMEOUT_MS

NAMES = st.sets(st.text("abcdefgh", min_size=1, max_size=3), min_size=2, max_size=9)


class RankingTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200)
    @given(st.text(max_size=8), NAMES)
    def test_removing_a_name_keeps_the_order_of_the_others(self, key: str, names: set[str]) -> None:
        """Guards against reassigning all keys when one instance dies."""
        ranked = rank_names(key, names)
        remaining = rank_names(key, names - {ranked[0]})
        self.assertEqual(remaining, ranked[1:])

    def test_the_keeper_is_in_the_region_of_the_worker(self) -> None:
        """Guards against renewals over the slow link between regions without need."""
        peers = [("a", "east"), ("b", "east"), ("c", "south")]
        for number in range(50):
            self.assertEqual(keeper_of(f"w{number}", "south", peers), "c")
            self.assertIn(keeper_of(f"w{number}", "north", peers), {"a", "b", "c"})
        self.assertEqual(keeper_of("w", "east", []), "")


class PeerTableTest(PeerMixin, unittest.TestCase):
    def test_a_silent_peer_leaves_the_ranking_but_stays_known(self) -> None:
        """Guards against treating a silent instance as one that has stopped."""
        table = self.table()
        self.exchange(table, 0, "b")
        self.assertEqual(len(table.live(SUSPICION_TIMEOUT_MS)), 2)
        self.assertEqual(len(table.live(SUSPICION_TIMEOUT_MS + 1)), 1)
        self.assertEqual(table.known(PEER_RETENTION_MS), {"b"})
        self.assertEqual(table.known(PEER_RETENTION_MS + 1), frozenset())

    def test_a_broken_stream_suspects_immediately_and_a_heartbeat_restores(self) -> None:
        """Guards against waiting for the suspicion time after an instance was killed."""
        table = self.table()
        self.exchange(table, 0, "b")
        table.record_disconnect("b")
        self.assertEqual(table.live(1), (("a", "east"),))
        self.exchange(table, 2, "b")
        self.assertEqual(len(table.live(2)), 2)

    def test_an_old_heartbeat_is_ignored(self) -> None:
        """Guards against reordered heartbeats that make a leaving instance live again."""
        table = self.table()
        table.record_heartbeat(self.heartbeat("b", 2, leaving=True), 10)
        table.record_heartbeat(self.heartbeat("b", 1), 11)
        self.assertEqual(table.live(11), (("a", "east"),))

    def test_a_leaving_instance_ranks_last(self) -> None:
        """Guards against keys and workers that stay assigned to a draining instance."""
        table = self.table()
        self.exchange(table, 0, "b")
        table.set_leaving()
        self.assertEqual(table.rank("key", 0), 1)
        self.assertFalse(table.is_keeper("w", "east", 0))

    def test_leaving_workers_follow_each_reading_of_the_list(self) -> None:
        """Guards against new tasks on a leaving worker, and against none after it is live again."""
        table = self.table("b")
        self.assertEqual(table.leaving_workers, frozenset())
        for state, expected in (("leaving", {"w1"}), ("live", set())):
            table.update_list(
                [
                    ListedInstance("b", "entry", "", "", "leaving"),
                    ListedInstance("w1", "worker", "", "", state),
                    ListedInstance("w2", "worker", "", "", "live"),
                ],
                1,
            )
            self.assertEqual(table.leaving_workers, expected)
