"""Tests of the writer of a topic: which records share an append, and which are left out."""

import unittest
from collections.abc import Sequence
from itertools import pairwise
from unittest import mock

from coordinator_cases import ManualClock

from hornbeamfold.batch import (
    AppendOutcome,
    Fence,
    Fenced,
    KeyedRecord,
    NotStored,
    ReadFailed,
    Rejected,
    Stored,
    StoreUnknown,
    TopicLimits,
    TopicPort,
    stored_bytes,
)
from hornbeamfold.coordinator.fenced_writer import MAX_REJECTIONS, FencedWriter

LIMITS = TopicLimits(record_bytes=100, call_bytes=250)
REJECTED = Rejected("status 400")


def record(key: str, size: int = 10) -> KeyedRecord:
    """Return a record with a value of this size."""
    return KeyedRecord(key, b"x" * size)


class FencedWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.appends: list[list[str]] = []
        self.sequences: list[int] = []
        self.stored: list[str] = []
        self.odd_keys: set[str] = set()
        self.failures: list[AppendOutcome] = []
        self.rejected: list[str] = []
        self.fenced: list[str] = []
        topic = TopicPort(self.append, lambda *_: ReadFailed(""), lambda _: ReadFailed(""), LIMITS)
        self.writer = FencedWriter(
            "progress",
            topic,
            3,
            10,
            self.fenced.append,
            ManualClock(),
            lambda record: self.rejected.append(record.key),
        )
        patch = mock.patch("hornbeamfold.coordinator.fenced_writer.eventlet.sleep")
        patch.start()
        self.addCleanup(patch.stop)

    def append(
        self, records: Sequence[KeyedRecord], fence: Fence | None, timeout_ms: int
    ) -> AppendOutcome:
        assert fence is not None
        self.appends.append([each.key for each in records])
        if self.failures:
            return self.failures.pop(0)
        if any(each.key in self.odd_keys for each in records):
            return REJECTED
        self.assertLessEqual(sum(stored_bytes(each) for each in records), LIMITS.call_bytes)
        self.sequences.append(fence.sequence)
        self.stored.extend(each.key for each in records)
        return Stored(0)

    def test_an_append_stays_within_the_stores_limit(self) -> None:
        """Guards against appends that are refused as their keys and lengths were not counted."""
        keys = [f"{number:040}" for number in range(9)]
        self.assertTrue(self.writer.write([record(key, 30) for key in keys]))
        self.assertEqual(self.stored, keys)
        self.assertEqual([len(each) for each in self.appends], [3, 3, 3])
        self.assertEqual(self.sequences, [11, 12, 13])

    def test_a_record_that_is_too_large_holds_up_no_other(self) -> None:
        """Guards against one job that stops the scheduling of all others.

        Found by: review/4, LOST. The store refuses such a record each time with 400.
        """
        records = [record("a"), record("large", LIMITS.record_bytes), record("b")]
        self.assertTrue(self.writer.write(records))
        self.assertEqual((self.stored, self.rejected), (["a", "b"], ["large"]))
        self.assertEqual(len(self.appends), 1)

    def test_a_record_that_is_always_rejected_holds_up_no_other(self) -> None:
        self.odd_keys = {"c"}
        self.assertTrue(self.writer.write([record(key) for key in "abcde"]))
        self.assertEqual((self.stored, self.rejected), (list("abde"), ["c"]))
        # A rejected append uses no sequence number.
        self.assertEqual(self.sequences, list(range(11, 11 + len(self.sequences))))
        self.assertTrue(self.writer.write([record("f")]))

    def test_a_single_rejection_is_no_proof(self) -> None:
        for failures in (
            [REJECTED] * (MAX_REJECTIONS - 1),
            [NotStored("status 503"), REJECTED, StoreUnknown("timeout"), REJECTED, REJECTED],
            [NotStored("status 403"), NotStored("status 412"), NotStored("status 507")],
        ):
            with self.subTest(failures):
                self.failures = list(failures)
                with self.assertLogs("hornbeamfold.coordinator.fenced_writer") as logs:
                    self.assertTrue(self.writer.write([record("a")]))
                self.assertEqual(self.rejected, [])
                reasons = [each.__dict__.get("reason") for each in logs.records[:-1]]
                self.assertEqual(reasons[0], failures[0].reason)  # type: ignore[union-attr]
                self.assertTrue(all(a != b for a, b in pairwise(reasons)))

    def test_a_higher_epoch_ends_the_writing(self) -> None:
        self.failures = [Fenced("fenced")]
        self.assertFalse(self.writer.write([record("a")]))
        self.assertEqual(self.fenced, ["progress: fenced"])

    def test_a_stopped_writer_appends_nothing(self) -> None:
        self.writer.stop()
        self.assertFalse(self.writer.write([record("a")]))
        self.assertEqual(self.appends, [])


if __name__ == "__main__":
    unittest.main()
