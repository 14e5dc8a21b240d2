"""Tests of a worker session: when member reports are submitted again."""

import unittest

from hornbeamfold.daemon.instance import Lifecycle, build
from hornbeamfold.daemon.worker_session import (
    PENDING_REPORT_RETRY_MS,
    REPORT_RETRY_MS,
    WorkerSession,
)
from hornbeamfold.model import Entry, MemberReport, MembersReported, MemberState, Record
from hornbeamfold.settings import Settings

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
