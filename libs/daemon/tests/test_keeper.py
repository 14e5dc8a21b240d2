"""Tests of the keeper's timing."""

import unittest

from hornbeamfold.daemon.keeper import routine_sync_ms
from hornbeamfold.model.timing import LEASE_MS


class RoutineSyncTest(unittest.TestCase):
    def test_few_workers_keep_the_configured_interval(self) -> None:
        """Guards against small firms that learn late of tasks that ended."""
        for kept in (0, 1, 3, 24, 40):
            self.assertEqual(routine_sync_ms(2_000, kept), 2_000)

    def test_many_workers_share_a_bounded_number_of_exchanges(self) -> None:
        """Guards against renewals that use more processor time than all control may."""
        for kept in (41, 106, 200):
            self.assertLessEqual(kept * 1_000 / routine_sync_ms(2_000, kept), 21)

    def test_two_lost_exchanges_lapse_no_lease(self) -> None:
        """Guards against running tasks that stop because their instance keeps many workers."""
        for kept in (211, 1_900, 100_000):
            self.assertLessEqual(3 * routine_sync_ms(2_000, kept), LEASE_MS)
