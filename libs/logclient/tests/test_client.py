"""Tests of the HTTP client against the stand-in of the log service."""

import unittest
from time import monotonic
from types import SimpleNamespace
from unittest import mock

from urllib3 import HTTPConnectionPool

from hornbeamfold.logclient.client import LogClient
from hornbeamfold.logclient.codec import MAX_RECORD_BYTES, encode_record
from hornbeamfold.logclient.entries import EMPTY_RECORD
from hornbeamfold.logclient.outcomes import (
    Appended,
    Expired,
    FailureKind,
    LogFailure,
    ReadResult,
)
from hornbeamfold.model.events import JobCancelled, Record
from hornbeamfold.standins.launch import StandIn

MAX_RECORDS = 5


def clock() -> int:
    """Return monotonic milliseconds."""
    return int(monotonic() * 1000)


def record(seq: int) -> str:
    """Return an encoded record."""
    return encode_record(Record("w", seq, (JobCancelled("o", str(seq)),)))


class LogClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = StandIn("log", "--max-records", str(MAX_RECORDS))
        self.addCleanup(self.log.stop)
        self.client = LogClient(self.log.url, clock, instance="i1", append_timeout_ms=300)
        self.addCleanup(self.client.close)

    def assert_failure(self, outcome: object, kind: FailureKind, may_have_happened: bool) -> None:
        assert isinstance(outcome, LogFailure), outcome
        self.assertEqual((outcome.kind, outcome.may_have_happened), (kind, may_have_happened))

    def test_a_lost_reply_is_not_sent_again(self) -> None:
        """Guards against retries in the HTTP library, which would store the record twice."""
        self.log.set_faults(lose_replies=1)
        self.assert_failure(self.client.append(record(1)), FailureKind.BROKEN, True)
        found = self.client.read(0, 10, 0)
        assert isinstance(found, ReadResult)
        self.assertEqual([entry.record.seq for entry in found.entries], [1])

    def test_failures_say_whether_the_append_may_have_happened(self) -> None:
        """Guards against reporting "not run" after an append that took effect, and the reverse."""
        self.log.set_faults(slow_ms=1_000)
        self.assert_failure(self.client.append(record(1)), FailureKind.TIMEOUT, True)
        self.log.reset()
        self.log.set_faults(down="unavailable")
        self.assert_failure(self.client.append(record(1)), FailureKind.UNAVAILABLE, True)
        self.log.set_faults(down="refuse")
        self.assert_failure(self.client.append(record(1)), FailureKind.NOT_CONNECTED, False)
        self.assert_failure(self.client.read(0, 1, 0), FailureKind.NOT_CONNECTED, False)
        self.log.reset()
        oversized = "x" * (MAX_RECORD_BYTES + 1)
        self.assert_failure(self.client.append(oversized), FailureKind.REJECTED, False)

    def test_expired_records_are_reported_with_what_is_kept(self) -> None:
        """Guards against a reader that mistakes a gap for the end of the log."""
        for seq in range(MAX_RECORDS + 3):
            self.assertEqual(self.client.append(record(seq)), Appended(seq))
        self.assertEqual(self.client.read(1, 10, 0), Expired(3, MAX_RECORDS + 3))

    def test_an_unreadable_record_keeps_its_offset(self) -> None:
        """Guards against a reader that never gets past a record of a newer version."""
        self.client.append('{"writer":"w","seq":1,"events":[{"Later":{}}]}')
        found = self.client.read(0, 10, 0)
        assert isinstance(found, ReadResult)
        self.assertEqual([entry.record for entry in found.entries], [EMPTY_RECORD])
        self.assertEqual([skipped.offset for skipped in found.skipped], [0])

    def test_odd_answers_are_failures(self) -> None:
        """Guards against an answer that ends the thread which reads or writes the log."""
        deep = b'{"odd":' + b"[" * 100_000
        answers = {
            "too deep": deep,
            "empty": b"",
            "negative": b'{"offset":-1,"records":[],"first":-1,"end":-1}',
            "huge": b'{"offset":%s,"records":[],"first":0,"end":%s}' % (b"9" * 30, b"9" * 30),
            "not UTF-8": b'{"offset":1,"records":[],"first":0,"end":0,"odd":"\xff"}',
        }
        for name, body in answers.items():
            for status in (200, 410):
                with self.subTest(name, status=status):
                    reply = SimpleNamespace(status=status, data=body)
                    with mock.patch.object(HTTPConnectionPool, "urlopen", return_value=reply):
                        read = self.client.read(0, 1, 0)
                        appended = self.client.append("{}")
                    self.assert_failure(read, FailureKind.PROTOCOL, False)
                    self.assert_failure(appended, FailureKind.PROTOCOL, True)

    def test_a_read_during_a_partition_times_out(self) -> None:
        """Guards against a reader that hangs during a network partition."""
        self.log.set_faults(cut_requests=["i1"])
        client = LogClient(self.log.url, clock, instance="i1", read_timeout_ms=100)
        self.addCleanup(client.close)
        self.assert_failure(client.read(0, 1, 0), FailureKind.TIMEOUT, False)
