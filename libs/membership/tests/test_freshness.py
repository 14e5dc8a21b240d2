"""Tests of the freshness rule."""

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
    def test_own_confirmation_expires(self) -> None:
        """Guards against starts by an instance that was paused or cannot reach the log."""
        freshness = Freshness(self.table("a", "b"), "east")
        self.assertFalse(freshness.may_start(0).granted)
        freshness.record_confirmation(1_000, 5)
        self.assertTrue(freshness.may_start(1_000 + MAX_VIEW_AGE_MS).granted)
        self.assertFalse(freshness.may_start(1_001 + MAX_VIEW_AGE_MS).granted)

    def test_the_confirmation_of_a_peer_counts_only_if_its_records_are_folded(self) -> None:
        """Guards against starts on a view that lacks a change that the peer has read."""
        table = self.table("a", "b")
        freshness = Freshness(table, "east")
        freshness.record_confirmation(0, 5)
        self.exchange(table, 9_000, "b", confirmed_age_ms=100, log_offset=6, log_reachable=True)
        self.assertFalse(freshness.may_start(9_000).granted)
        freshness.record_offset(6)
        self.assertTrue(freshness.may_start(9_000).granted)

    def test_a_delayed_heartbeat_is_not_taken_as_recent(self) -> None:
        """Guards against starts by an instance that reads heartbeats buffered during its pause."""
        table = self.table("a", "b")
        freshness = Freshness(table, "east")
        freshness.record_confirmation(0, 5)
        seq = table.next_seq(1_000)
        table.record_heartbeat(
            self.heartbeat("b", 1, acknowledged_seq=seq, confirmed_age_ms=0, log_offset=5), 60_000
        )
        self.assertFalse(freshness.may_start(60_000).granted)

    def test_log_outage(self) -> None:
        """Guards against refused starts in a log outage, and against starts in a partition."""
        cases = [
            # (peers heard, with changes to their heartbeats; listed instances; may start)
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
                freshness = Freshness(table, "east")
                freshness.record_confirmation(0, 5)
                freshness.record_read_failure()
                for name, changes in peers.items():
                    self.exchange(table, 20_000, name, **changes)
                self.assertEqual(freshness.may_start(20_000).granted, granted)

    def test_log_outage_needs_a_recent_list(self) -> None:
        """Guards against missing an instance that joined while the instance list was down too."""
        table = self.table("a", "b", at_ms=14_999)
        freshness = Freshness(table, "east")
        freshness.record_confirmation(0, 5)
        freshness.record_read_failure()
        self.exchange(table, 20_000, "b")
        self.assertFalse(freshness.may_start(20_000).granted)

    def test_a_peer_that_does_not_hear_this_instance_forbids_starts_in_an_outage(self) -> None:
        """Guards against starts in a one-way partition: the peer may have accepted a change."""
        table = self.table("a", "b")
        freshness = Freshness(table, "east")
        freshness.record_confirmation(0, 5)
        freshness.record_read_failure()
        table.next_seq(20_000)
        table.record_heartbeat(self.heartbeat("b", 1), 20_000)
        self.assertFalse(freshness.may_start(20_000).granted)


class ChangeAndRenewTest(PeerMixin, unittest.TestCase):
    def test_a_joining_instance_waits_for_the_listed_ones(self) -> None:
        """Guards against a change accepted by an instance that the others do not know yet."""
        table = self.table("a", "b")
        freshness = Freshness(table, "east")
        freshness.record_confirmation(1_000, 0)
        self.assertFalse(freshness.may_accept_change(1_000).granted)
        self.exchange(table, 1_500, "b")
        self.assertTrue(freshness.may_accept_change(1_500).granted)

    def test_a_joining_instance_settles_after_the_lag_of_the_list(self) -> None:
        """Guards against a dead instance in the list that blocks all changes."""
        freshness = Freshness(self.table("a", "b"), "east")
        freshness.record_confirmation(JOIN_SETTLE_MS, 0)
        self.assertFalse(freshness.may_accept_change(JOIN_SETTLE_MS).granted)
        freshness.record_announcement(1_000)
        self.assertFalse(freshness.may_accept_change(JOIN_SETTLE_MS).granted)
        freshness.record_confirmation(JOIN_SETTLE_MS + 1_000, 0)
        self.assertTrue(freshness.may_accept_change(JOIN_SETTLE_MS + 1_000).granted)

    def test_an_isolated_keeper_stops_renewing_before_its_members_count_as_lost(self) -> None:
        """Guards against a job that is placed again while its first run still gets renewals."""
        freshness = Freshness(self.table("a", "b"), "east")
        freshness.record_confirmation(0, 0)
        freshness.record_read_failure()
        self.assertTrue(freshness.may_renew(ISOLATED_RENEW_MS).granted)
        self.assertFalse(freshness.may_renew(ISOLATED_RENEW_MS + 1).granted)
        # The other side counts the members as lost only after that time and a whole lease.
        self.assertGreaterEqual(
            freshness.lost_after("east", ISOLATED_RENEW_MS), ISOLATED_RENEW_MS + LEASE_MS
        )

    def test_a_region_partition_keeps_running_jobs(self) -> None:
        """Guards against an hour's partition of regions that stops or duplicates running jobs."""
        table = self.table("a", "b", "far")
        freshness = Freshness(table, "east")
        freshness.record_confirmation(0, 0)
        freshness.record_read_failure()
        hour_ms = 3_600_000
        self.exchange(table, hour_ms, "b")
        self.assertFalse(freshness.may_start(hour_ms).granted)
        self.assertTrue(freshness.may_renew(hour_ms).granted)
        self.assertEqual(
            freshness.lost_after("south", hour_ms), LEASE_MS + LOST_MARGIN_MS + REGION_PARTITION_MS
        )
