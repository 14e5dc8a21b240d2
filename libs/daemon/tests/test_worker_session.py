"""Tests of a keeper's exchanges with one worker: the reports that it writes, and silence."""

import unittest

from hornbeamfold.daemon.instance import Lifecycle, build
from hornbeamfold.daemon.worker_session import (
    PENDING_AGAIN_MS,
    REPORT_AGAIN_MS,
    WorkerSession,
)
from hornbeamfold.model import Entry, MemberReport, MembersReported, MemberState, Record
from hornbeamfold.settings import Settings

NOWHERE = "http://127.0.0.1:9"
FREE = "127.0.0.1:0"
REPORT = MemberReport("o", "j", 1, "w", MemberState.FINISHED)


class Time:
    """A clock that the test moves."""

    def __init__(self) -> None:
        self.now_ms = 0


class ReportTest(unittest.TestCase):
    def setUp(self) -> None:
        settings = Settings("a", "z", "east", FREE, FREE, NOWHERE, NOWHERE, 3_600_000)
        self.time = Time()
        self.parts = build(settings, Lifecycle(), lambda: self.time.now_ms)
        self.session = WorkerSession("w", self.parts.keepers._parts)

    def report_for(self, duration_ms: int) -> int:
        """Report the same member every second; return the tickets that wait then."""
        ends_ms = self.time.now_ms + duration_ms
        while self.time.now_ms < ends_ms:
            self.session._report((REPORT,))
            self.time.now_ms += 1_000
        return self.parts.writer.pending

    def fold_waiting(self) -> None:
        """Let the writer learn that the reader folded all that waits; the fold rejects it."""
        writer = self.parts.writer
        parts = writer._next_parts()
        writer._seq += 1
        writer._unfolded[writer._seq] = parts
        events = tuple(event for part in parts for event in part.events)
        entry = Entry(0, 0, Record(writer._writer_id, writer._seq, events))
        writer.folded(entry, ())

    def test_reports_do_not_pile_up_while_the_log_is_down(self) -> None:
        """Guards against thousands of equal reports that all reach the log after an outage."""
        self.assertLessEqual(self.report_for(3_600_000), 3_600_000 // PENDING_AGAIN_MS)

    def test_a_report_that_had_no_effect_is_written_again(self) -> None:
        """Guards against a member that stays running in the view for ever."""
        self.assertEqual(self.report_for(2_000), 1)
        self.fold_waiting()
        self.assertEqual(self.report_for(REPORT_AGAIN_MS), 1)
        self.assertIsInstance(self.parts.writer._waiting[0].events[0], MembersReported)
