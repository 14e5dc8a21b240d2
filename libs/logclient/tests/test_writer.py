"""Tests of the writer with an in-memory log."""

import unittest
from collections.abc import Callable
from time import monotonic

from eventlet import Timeout, sleep, spawn
from eventlet.hubs import use_hub

from hornbeamfold.logclient.codec import MAX_EVENTS_BYTES, decode_record
from hornbeamfold.logclient.outcomes import Appended, AppendOutcome, FailureKind, LogFailure
from hornbeamfold.logclient.writer import LogWriter
from hornbeamfold.model.events import Applied, Entry, Event, JobCancelled

use_hub("eventlet.hubs.asyncio")

TIMEOUT_MS = 5_000
REPLY_LOST = LogFailure(FailureKind.BROKEN, "lost", may_have_happened=True)
CONNECTION_REFUSED = LogFailure(FailureKind.NOT_CONNECTED, "refused", may_have_happened=False)
REJECTED = LogFailure(FailureKind.REJECTED, "too large", may_have_happened=False)


def clock() -> int:
    """Return monotonic milliseconds."""
    return int(monotonic() * 1000)


def event(name: str) -> JobCancelled:
    """Return an event with the name as its job id."""
    return JobCancelled("o", name)


class WriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stored: list[str] = []
        self.outcomes: list[tuple[bool, LogFailure]] = []
        self.folded = 0
        self.calls = 0
        self.accepted: list[Event] = []
        self.last_seq = 0
        self.writer = LogWriter("w", self.append, clock)
        thread = spawn(self.writer.run)
        self.addCleanup(thread.kill)

    def append(self, data: str) -> AppendOutcome:
        """Store the record, unless the next configured outcome differs."""
        self.calls += 1
        sleep(0)
        stores, failure = self.outcomes.pop(0) if self.outcomes else (True, None)
        if stores:
            self.stored.append(data)
        return failure or Appended(len(self.stored) - 1)

    def fold(self) -> None:
        """Read to the end of the log as the view does, and pass the results to the writer."""
        started_ms = clock()
        while self.folded < len(self.stored):
            record = decode_record(self.stored[self.folded])
            entry = Entry(self.folded, 0, record)
            self.folded += 1
            if record.seq <= self.last_seq:
                self.writer.folded(entry, ())
                continue
            self.last_seq = record.seq
            self.accepted.extend(record.events)
            self.writer.folded(entry, tuple(Applied(each, True) for each in record.events))
        self.writer.confirmed(started_ms)

    def fold_until(self, condition: Callable[[], bool]) -> None:
        """Fold repeatedly until the condition holds."""
        with Timeout(TIMEOUT_MS / 1000):
            while not condition():
                self.fold()
                sleep(0.002)

    def test_each_ticket_gets_its_own_results(self) -> None:
        """Guards against results mixed up between tickets, and against one record per ticket."""
        first = self.writer.submit((event("a"),))
        second = self.writer.submit((event("b"), event("c")))
        self.assertIsNone(first.wait(20))
        self.fold_until(lambda: self.writer.pending == 0)
        self.assertEqual(first.wait(0), (Applied(event("a"), True),))
        self.assertEqual([one.event for one in second.wait(0) or ()], [event("b"), event("c")])
        self.assertEqual(len(self.stored), 1)
        self.assertTrue(self.writer.drain(0))

    def test_a_lost_reply_has_one_effect(self) -> None:
        """Guards against a duplicate or a lost event after the reply to an append was lost."""
        for stores in (True, False):
            with self.subTest(stores=stores):
                self.outcomes.append((stores, REPLY_LOST))
                before = len(self.stored)
                ticket = self.writer.submit((event(f"a{stores}"),))
                self.fold_until(lambda one=ticket: one.done)
                self.assertEqual(len(self.stored), before + 1)
                self.assertEqual(self.accepted[-1], event(f"a{stores}"))

    def test_no_retry_before_a_read_that_started_after_the_failure(self) -> None:
        """Guards against a retry that relies on a read from before the append."""
        earlier_ms = clock()
        self.outcomes.append((False, REPLY_LOST))
        ticket = self.writer.submit((event("a"),))
        with Timeout(TIMEOUT_MS / 1000):
            while not self.writer.awaiting_confirmation:
                sleep(0.001)
        self.writer.confirmed(earlier_ms)
        self.assertIsNone(ticket.wait(50))
        self.assertEqual(self.calls, 1)
        self.fold_until(lambda: ticket.done)
        self.assertEqual(self.calls, 2)

    def test_a_delayed_duplicate_is_harmless(self) -> None:
        """Guards against a first copy that is stored after the retry."""
        self.outcomes.append((False, REPLY_LOST))
        ticket = self.writer.submit((event("a"),))
        self.fold_until(lambda: ticket.done)
        self.stored.append(self.stored[0])
        later = self.writer.submit((event("b"),))
        self.fold_until(lambda: later.done)
        self.assertEqual(self.accepted, [event("a"), event("b")])

    def test_withdrawal_is_refused_if_the_event_may_be_stored(self) -> None:
        """Guards against reporting "not run" for an event that can still take effect."""
        self.outcomes = [(False, CONNECTION_REFUSED)] * 1_000
        ticket = self.writer.submit((event("a"),))
        # While an append is in flight its outcome is unknown, so the withdrawal is refused.
        with Timeout(TIMEOUT_MS / 1000):
            while self.calls < 2 or not ticket.withdraw():
                sleep(0.001)
        self.outcomes = [(False, REPLY_LOST)]
        self.assertTrue(self.writer.drain(TIMEOUT_MS))
        other = self.writer.submit((event("b"),))
        with Timeout(TIMEOUT_MS / 1000):
            while not self.writer.awaiting_confirmation:
                sleep(0.001)
        self.assertFalse(
            other.withdraw(), "the append may have happened although its reply was lost"
        )
        self.fold_until(lambda: other.done)
        self.assertEqual(self.accepted, [event("b")])

    def test_a_rejected_record_does_not_block_the_next(self) -> None:
        """Guards against a writer that retries a rejected record forever."""
        self.outcomes.append((False, REJECTED))
        ticket = self.writer.submit((event("a"),))
        applied = ticket.wait(TIMEOUT_MS)
        assert applied is not None
        self.assertFalse(applied[0].accepted)
        later = self.writer.submit((event("b"),))
        self.fold_until(lambda: later.done)

    def test_a_large_ticket_spans_records(self) -> None:
        """Guards against a ticket that is done before all its records are folded."""
        events = tuple(event(str(n) * (MAX_EVENTS_BYTES // 2)) for n in range(3))
        ticket = self.writer.submit(events)
        self.fold_until(lambda: ticket.done)
        self.assertEqual([one.event for one in ticket.wait(0) or ()], list(events))
        self.assertGreater(len(self.stored), 1)
