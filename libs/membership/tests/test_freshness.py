"""Tests of the rule by which an instance may start tasks."""

import unittest

from mixins import PeerMixin

from hornbeamfold.membership import Freshness
from hornbeamfold.model.timing import (
    ISOLATED_RENEW_MS,
    JOIN_SETTLE_MS,
    LEASE_MS,
    LOST_MARGIN_MS,
    MAX_VIEW_AGE_MS,
    REGION_PARTITION_MS,
)


class MayStartTest(PeerMixin, unittest.TestCase):
    def test_own_confirmation_lapses(self) -> None:
        """Guards against starts by an instance that was paused or cut off from the log."""
        fresh = Freshness(self.table("a", "b"), "east")
        self.assertFalse(fresh.may_start(0).granted)
        fresh.confirmed(1_000, 5)
        self.assertTrue(fresh.may_start(1_000 + MAX_VIEW_AGE_MS).granted)
        self.assertFalse(fresh.may_start(1_001 + MAX_VIEW_AGE_MS).granted)

    def test_a_fresh_peer_helps_only_if_its_records_are_folded(self) -> None:
        """Guards against starts on a view that lacks a change which the peer has seen."""
        table = self.table("a", "b")
        fresh = Freshness(table, "east")
        fresh.confirmed(0, 5)
        self.exchange(table, 9_000, "b", confirmed_age_ms=100, log_offset=6, log_reachable=True)
        self.assertFalse(fresh.may_start(9_000).granted)
        fresh.advanced(6)
        self.assertTrue(fresh.may_start(9_000).granted)

    def test_a_delayed_heartbeat_is_not_taken_as_recent(self) -> None:
        """Guards against an instance that wakes and reads heartbeats buffered while it slept."""
        table = self.table("a", "b")
        fresh = Freshness(table, "east")
        fresh.confirmed(0, 5)
        seq = table.next_seq(1_000)
        table.heard(self.heartbeat("b", 1, echo=seq, confirmed_age_ms=0, log_offset=5), 60_000)
        self.assertFalse(fresh.may_start(60_000).granted)

    def test_plain_outage(self) -> None:
        """Guards against a stop in an outage of the log alone, and against starts in a cut."""
        cases = [
            # (peers heard with their state, listed, may start)
            ({"b": {}, "c": {}}, ("a", "b", "c"), True),
            ({"b": {}}, ("a", "b", "c"), False),
            ({"b": {}, "c": {"log_reachable": True}}, ("a", "b", "c"), False),
            ({"b": {}, "c": {"log_offset": 99}}, ("a", "b", "c"), False),
            ({"b": {"leaving": True}, "c": {}}, ("a", "b", "c"), True),
            ({}, ("a",), True),
        ]
        for peers, listed, granted in cases:
            with self.subTest(peers=peers, listed=listed):
                table = self.table(*listed, at_ms=19_000)
                fresh = Freshness(table, "east")
                fresh.confirmed(0, 5)
                fresh.log_failed()
                for name, changes in peers.items():
                    self.exchange(table, 20_000, name, **changes)
                self.assertEqual(fresh.may_start(20_000).granted, granted)

    def test_plain_outage_needs_a_recent_list(self) -> None:
        """Guards against an instance that joined unseen while the list was down, too."""
        table = self.table("a", "b", at_ms=14_999)
        fresh = Freshness(table, "east")
        fresh.confirmed(0, 5)
        fresh.log_failed()
        self.exchange(table, 20_000, "b")
        self.assertFalse(fresh.may_start(20_000).granted)

    def test_a_peer_that_does_not_hear_this_instance_ends_the_outage_rule(self) -> None:
        """Guards against a one-way cut: the peer may have accepted a change meanwhile."""
        table = self.table("a", "b")
        fresh = Freshness(table, "east")
        fresh.confirmed(0, 5)
        fresh.log_failed()
        table.next_seq(20_000)
        table.heard(self.heartbeat("b", 1), 20_000)
        self.assertFalse(fresh.may_start(20_000).granted)


class ChangeAndRenewTest(PeerMixin, unittest.TestCase):
    def test_a_joining_instance_waits_for_the_listed_ones(self) -> None:
        """Guards against a change accepted by an instance that the others don't know yet."""
        table = self.table("a", "b")
        fresh = Freshness(table, "east")
        fresh.confirmed(1_000, 0)
        self.assertFalse(fresh.may_accept_change(1_000).granted)
        self.exchange(table, 1_500, "b")
        self.assertTrue(fresh.may_accept_change(1_500).granted)

    def test_a_joining_instance_settles_after_the_lag_of_the_list(self) -> None:
        """Guards against a listed but dead instance that blocks all changes."""
        fresh = Freshness(self.table("a", "b"), "east")
        fresh.confirmed(JOIN_SETTLE_MS, 0)
        self.assertFalse(fresh.may_accept_change(JOIN_SETTLE_MS).granted)
        fresh.announced(1_000)
        self.assertFalse(fresh.may_accept_change(JOIN_SETTLE_MS).granted)
        fresh.confirmed(JOIN_SETTLE_MS + 1_000, 0)
        self.assertTrue(fresh.may_accept_change(JOIN_SETTLE_MS + 1_000).granted)

    def test_an_isolated_keeper_stops_renewing_before_its_members_count_as_lost(self) -> None:
        """Guards against a job that is placed again while its first run is still renewed."""
        alone = Freshness(self.table("a", "b"), "east")
        alone.confirmed(0, 0)
        alone.log_failed()
        self.assertTrue(alone.may_renew(ISOLATED_RENEW_MS).granted)
        self.assertFalse(alone.may_renew(ISOLATED_RENEW_MS + 1).granted)
        # The other side counts the members as lost only after that and the whole lease.
        self.assertGreaterEqual(
            alone.lost_after("east", ISOLATED_RENEW_MS), ISOLATED_RENEW_MS + LEASE_MS
        )

    def test_a_region_cut_keeps_running_work(self) -> None:
        """Guards against an hour's cut between regions that stops or doubles running jobs."""
        table = self.table("a", "b", "far")
        fresh = Freshness(table, "east")
        fresh.confirmed(0, 0)
        fresh.log_failed()
        hour = 3_600_000
        self.exchange(table, hour, "b")
        self.assertFalse(fresh.may_start(hour).granted)
        self.assertTrue(fresh.may_renew(hour).granted)
        self.assertEqual(
            fresh.lost_after("south", hour), LEASE_MS + LOST_MARGIN_MS + REGION_PARTITION_MS
        )
