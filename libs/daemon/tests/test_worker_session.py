"""Tests of a worker session: renewals without replies, and reports that are submitted again."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

from daemon_cases import Cluster, Writer, make_follower

from hornbeamfold.daemon.instance import Lifecycle, build
from hornbeamfold.daemon.worker_session import (
    PENDING_REPORT_RETRY_MS,
    REPORT_RETRY_MS,
    WorkerSession,
)
from hornbeamfold.membership import Permit
from hornbeamfold.model import Entry, MemberReport, MembersReported, MemberState, Record
from hornbeamfold.model.timing import LEASE_MS, LOST_MARGIN_MS
from hornbeamfold.settings import Settings
from hornbeamfold.workers import NoReply, NotSent, SyncReply, SyncRequest, TaskReport, TaskState

UNUSED_URL = "http://127.0.0.1:9"
ANY_PORT = "127.0.0.1:0"
REPORT = MemberReport("o", "j", 1, "w", MemberState.FINISHED)


class ManualClock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now_ms = 0


class ReportTest(unittest.TestCase):
    def setUp(self) -> None:
        settings = Settings("a", "z", "east", ANY_PORT, ANY_PORT, UNUSED_URL, UNUSED_URL, 3_600_000)
        self.clock = ManualClock()
        self.parts = build(settings, Lifecycle(), lambda: self.clock.now_ms)
        self.session = WorkerSession("w", self.parts.session_manager._context)

    def submit_for(self, duration_ms: int) -> int:
        """Report the same member every second; return the number of pending tickets."""
        end_ms = self.clock.now_ms + duration_ms
        while self.clock.now_ms < end_ms:
            self.session._submit_reports((REPORT,))
            self.clock.now_ms += 1_000
        return self.parts.writer.pending

    def acknowledge_pending(self) -> None:
        """Tell the writer that all pending events were applied and rejected."""
        writer = self.parts.writer
        parts = writer._next_batches()
        writer._seq += 1
        writer._awaiting_fold[writer._seq] = parts
        events = tuple(event for part in parts for event in part.events)
        entry = Entry(0, 0, Record(writer._writer_id, writer._seq, events))
        writer.folded(entry, ())

    def test_reports_do_not_pile_up_while_the_log_is_down(self) -> None:
        """Guards against thousands of equal reports that reach the log after an outage."""
        self.assertLessEqual(self.submit_for(3_600_000), 3_600_000 // PENDING_REPORT_RETRY_MS)

    def test_a_report_that_had_no_effect_is_written_again(self) -> None:
        """Guards against a member that stays running in the view indefinitely."""
        self.assertEqual(self.submit_for(2_000), 1)
        self.acknowledge_pending()
        self.assertEqual(self.submit_for(REPORT_RETRY_MS), 1)
        self.assertIsInstance(self.parts.writer._queue[0].events[0], MembersReported)


class UnansweredTest(unittest.TestCase):
    """A worker that receives exchanges and cannot answer them."""

    def setUp(self) -> None:
        settings = Settings("a", "z", "east", ANY_PORT, ANY_PORT, UNUSED_URL, UNUSED_URL, 3_600_000)
        self.clock = ManualClock()
        parts = build(settings, Lifecycle(), lambda: self.clock.now_ms)
        cluster = Cluster()
        job = cluster.run(workers=("w0",))
        self.task = TaskReport("job/a/j/1/w0", job.fence, TaskState.RUNNING)
        self.writer = Writer(cluster)
        self.requests: list[tuple[int, SyncRequest]] = []
        self.outcome: object = None
        granted = Permit(True, "fresh")
        context = replace(
            parts.session_manager._context,
            follower=make_follower(cluster),
            writer=self.writer,
            client=SimpleNamespace(sync=self.sync),
            freshness=SimpleNamespace(
                may_start=lambda _: granted,
                may_renew=lambda _: granted,
                lost_after=lambda *_: LEASE_MS + LOST_MARGIN_MS,
            ),
        )
        self.session = WorkerSession("w0", context)

    def sync(self, worker: object, request: SyncRequest, timeout_ms: int) -> object:
        self.requests.append((self.clock.now_ms, request))
        return self.outcome

    def exchange_until(self, end_ms: int, outcome: object) -> None:
        """Exchange until then; each exchange ends in this way."""
        self.outcome = outcome
        while self.clock.now_ms < end_ms and not self.writer.events:
            self.clock.now_ms += self.session.run_once()

    def reply(self) -> SyncReply:
        usage = SimpleNamespace()
        return SyncReply((self.task,), 0, 0, False, False, usage)  # type: ignore[arg-type]

    def test_leases_end_before_a_worker_counts_as_lost(self) -> None:
        """Guards against second runs on a worker that hears renewals and cannot answer.

        The same cause as of review/6, TWICE: the worker has a longer lease than is waited for.
        """
        cases = [("cannot answer", NoReply("timeout")), ("closes", NoReply("reset", closed=True))]
        for name, outcome in cases:
            with self.subTest(name):
                self.setUp()
                self.exchange_until(9_500, self.reply())
                self.exchange_until(300_000, outcome)
                renewed_ms = [at_ms for at_ms, request in self.requests if request.renew]
                self.assertTrue(self.writer.events)
                self.assertGreater(self.clock.now_ms, renewed_ms[-1] + LEASE_MS)

    def test_renewals_go_on_after_a_reply(self) -> None:
        self.exchange_until(1_000, self.reply())
        self.exchange_until(5_000, NoReply("timeout"))
        self.assertEqual(self.requests[-1][1].renew, ())
        self.exchange_until(10_000, self.reply())
        self.assertTrue(self.requests[-1][1].renew)

    def test_a_worker_that_cannot_be_reached_counts_as_lost(self) -> None:
        """Guards against waiting for ever for leases that no exchange has extended."""
        self.exchange_until(1_000, self.reply())
        last_reply_ms = self.requests[-1][0]
        self.exchange_until(300_000, NotSent("refused"))
        self.assertTrue(self.writer.events)
        self.assertLess(self.clock.now_ms, last_reply_ms + LEASE_MS + LOST_MARGIN_MS + 5_000)
