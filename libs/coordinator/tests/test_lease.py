"""Tests for the lease deadlines of orders to a worker."""

import unittest

from coordinator_cases import BOUNDS, ManualClock

from hornbeamfold.batch import Bounds
from hornbeamfold.coordinator.lease import MIN_CLOCK_RATE, WorkerLease

WORKER_CLOCK_MS = 500


class WorkerLeaseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()

    def lease(self, bounds: Bounds = BOUNDS) -> WorkerLease:
        """Return the lease of a worker whose clock was read just now."""
        lease = WorkerLease(bounds, self.clock, self.clock())
        lease.set_worker_clock(WORKER_CLOCK_MS)
        return lease

    def test_nothing_is_granted_before_the_workers_clock_is_known(self) -> None:
        lease = WorkerLease(BOUNDS, self.clock, self.clock())
        self.assertIsNone(lease.grant_renewal())
        self.assertIsNone(lease.grant_start(self.clock() + 1_000))
        self.assertEqual(lease.expired_by_ms, self.clock())

    def test_a_start_is_granted_no_more_than_the_last_renewal(self) -> None:
        lease = self.lease()
        renewed_ms = lease.grant_renewal()
        expired_by_ms = lease.expired_by_ms
        self.clock.move(3_000)
        self.assertEqual(lease.grant_start(self.clock() + 20_000), renewed_ms)
        short_ms = lease.grant_start(self.clock() + 1_000)
        self.assertEqual(short_ms, WORKER_CLOCK_MS + int(3_000 * MIN_CLOCK_RATE) + 1_000)
        self.assertEqual(lease.expired_by_ms, expired_by_ms)

    def test_a_start_before_the_first_renewal_extends_the_lease(self) -> None:
        lease = self.lease()
        self.assertEqual(lease.grant_start(self.clock() + 20_000), WORKER_CLOCK_MS + 6_000)
        self.assertGreater(lease.expired_by_ms, self.clock() + 6_000 / MIN_CLOCK_RATE)

    def test_a_start_that_is_no_longer_valid_is_not_granted(self) -> None:
        lease = self.lease()
        self.assertIsNone(lease.grant_start(self.clock()))
        lease.grant_renewal()
        self.clock.move(7_000)
        self.assertIsNone(lease.grant_start(self.clock() + 1_000))

    def test_another_incarnation_has_no_lease_yet(self) -> None:
        lease = self.lease(Bounds(lease_max_ms=10_000))
        lease.grant_renewal()
        lease.begin_incarnation()
        self.assertIsNone(lease.grant_start(self.clock() + 1_000))
        # A late start order may have begun a run on it, with any lease that it allows.
        self.assertGreater(lease.expired_by_ms, self.clock() + 10_000 / MIN_CLOCK_RATE)
        lease.set_worker_clock(20)
        self.assertEqual(lease.grant_start(self.clock() + 1_000), 1_020)


if __name__ == "__main__":
    unittest.main()
