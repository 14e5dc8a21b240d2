"""Tests of outlier ejection."""

import unittest

from hornbeamfold.routing import Blame, OutlierTable
from hornbeamfold.routing.outliers import FIRST_EJECTION_MS, MAX_EJECTION_MS, PROBE_WAIT_MS

WORKERS = 24


class OutlierTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = OutlierTable()
        self.number = 0

    def fail(self, worker: str, now_ms: int, times: int = 1) -> None:  # type: ignore[override]
        """Record failures of new requests."""
        for _ in range(times):
            self.number += 1
            self.table.record_failure(worker, ("o", str(self.number)), now_ms)

    def excluded(self, now_ms: int, idempotent: bool = True, urgent: bool = False) -> bool:
        return "bad" in self.table.excluded(now_ms, WORKERS, idempotent, urgent)

    def test_three_different_requests_eject(self) -> None:
        """Guards against ejection because of one request that is retried."""
        for _ in range(5):
            self.table.record_failure("bad", ("o", "same"), 0)
        self.fail("bad", 0)
        self.assertFalse(self.excluded(0))
        self.fail("bad", 0)
        self.assertTrue(self.excluded(0))
        self.assertEqual(self.table.ejected_workers(), ("bad",))

    def test_a_success_ends_the_run_of_failures(self) -> None:
        """Guards against ejection of a worker that fails only occasionally."""
        for now_ms in range(10):
            self.fail("bad", now_ms * 10, 2)
            self.table.record_success("bad", now_ms * 10 + 1, now_ms * 10 + 2)
        self.assertFalse(self.excluded(100))

    def test_a_success_that_started_before_the_failures_does_not_count(self) -> None:
        """Guards against long requests that keep a worker in use that fails all new ones."""
        self.fail("bad", 100, 2)
        self.table.record_success("bad", 50, 150)
        self.fail("bad", 200)
        self.table.record_success("bad", 60, 250)
        self.assertTrue(self.excluded(300))

    def test_one_probe_at_a_time_and_doubling_of_the_ejection(self) -> None:
        """Guards against a burst of requests to a worker that is still broken."""
        self.fail("bad", 0, 3)
        now_ms, ejection_ms = 0, FIRST_EJECTION_MS
        for _ in range(8):
            self.assertTrue(self.excluded(now_ms + ejection_ms - 1))
            now_ms += ejection_ms
            self.assertFalse(self.excluded(now_ms))
            self.table.record_start("bad", now_ms)
            self.assertTrue(self.excluded(now_ms))
            self.fail("bad", now_ms)
            ejection_ms = min(MAX_EJECTION_MS, 2 * ejection_ms)
        now_ms += ejection_ms
        self.table.record_start("bad", now_ms)
        self.table.record_success("bad", now_ms, now_ms + 1)
        self.assertFalse(self.excluded(now_ms + 1, idempotent=False, urgent=True))

    def test_the_probe_is_a_request_that_can_be_repeated(self) -> None:
        """Guards against a probe that is billed if it is repeated, or that somebody waits for."""
        self.fail("bad", 0, 3)
        later = FIRST_EJECTION_MS + PROBE_WAIT_MS
        self.assertTrue(self.excluded(FIRST_EJECTION_MS, urgent=True))
        self.assertTrue(self.excluded(later, idempotent=False))
        self.assertFalse(self.excluded(later, urgent=True))
        self.table.record_start("bad", later)
        self.table.record_abandoned("bad")
        self.assertFalse(self.excluded(later, urgent=True))

    def test_a_request_that_fails_on_all_workers_is_blamed(self) -> None:
        """Guards against one bad request that causes the ejection of worker after worker."""
        for worker in ("w1", "w2", "w3"):
            self.table.record_success(worker, 0, 1)
        self.assertEqual(self.table.record_failure("w1", ("o", "poison"), 2), Blame.WORKER)
        self.assertEqual(self.table.record_failure("w2", ("o", "poison"), 3), Blame.REQUEST)
        for number in range(2):
            self.table.record_failure("w1", ("o", f"{number}"), 4)
        self.assertEqual(self.table.ejected_workers(), ())

    def test_workers_that_fail_everything_do_not_blame_requests(self) -> None:
        """Guards against two broken workers whose failures are attributed to the requests."""
        for worker in ("w1", "w2"):
            self.table.record_success(worker, 0, 1)
            self.fail(worker, 2, 2)
        self.table.record_failure("w1", ("o", "good"), 3)
        self.assertEqual(self.table.record_failure("w2", ("o", "good"), 4), Blame.WORKER)
        self.assertEqual(set(self.table.ejected_workers()), {"w1", "w2"})

    def test_the_ejection_by_a_peer_alone_ejects_no_worker(self) -> None:
        """Guards against one faulty instance that makes all instances eject all workers."""
        self.table.set_peer_ejections("peer", ["bad"], 0)
        self.assertFalse(self.excluded(0))
        self.fail("bad", 10)
        self.assertTrue(self.excluded(10))

    def test_at_most_half_of_the_workers_are_ejected(self) -> None:
        """Guards against ejecting all workers when the cause is elsewhere."""
        for number in range(WORKERS):
            self.fail(f"w{number}", 0, 3)
        self.assertEqual(len(self.table.excluded(1, WORKERS, False, True)), WORKERS // 2)
