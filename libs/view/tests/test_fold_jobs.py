"""Tests of folding decisions on jobs."""

from dataclasses import replace

from view_folding import KEY, ViewMixin, make_spec, make_worker, member, placed, reported

from hornbeamfold.model import (
    ErrorKind,
    JobCancelled,
    JobJudged,
    JobState,
    JobStopping,
    JobSubmitted,
    Member,
    MemberState,
    Shape,
    Span,
    StopReason,
    TargetDrain,
    WorkersPut,
    ZoneSet,
)
from hornbeamfold.model.timing import RESERVATION_MS

CONFLICT, INVALID, NOT_FOUND = ErrorKind.CONFLICT, ErrorKind.INVALID, ErrorKind.NOT_FOUND
RECLAIM = StopReason.RECLAIM
WINDOW = member("w0", 0, 1)


def stopping(attempt: int = 1, reason: StopReason = RECLAIM, *window: Member) -> JobStopping:
    """Return an event that stops job j, with job k as beneficiary if there is a window."""
    return JobStopping("a", "j", attempt, reason, ("a", "k") if window else None, window)


class JobTest(ViewMixin):
    def test_submission(self) -> None:
        """Guards against a retry that queues a job twice or changes its specification."""
        self.accept(JobSubmitted(make_spec()), JobSubmitted(make_spec()))
        self.assertEqual(list(self.view.queued), [KEY])
        unknown = JobSubmitted(replace(make_spec(), organisation="x"))
        self.refuse(
            (ErrorKind.DUPLICATE_REQUEST, "another", JobSubmitted(make_spec(accelerators=1))),
            (ErrorKind.UNKNOWN_ORGANISATION, "'x'", unknown),
            (INVALID, "run time", JobSubmitted(make_spec("k", declared_ms=0))),
            (INVALID, "no id", JobSubmitted(make_spec(""))),
            (INVALID, "negative amount", JobSubmitted(make_spec("k", shape=Shape(-1)))),
        )

    def test_refused_placements(self) -> None:
        """Guards against allocating resources twice or where no work may be placed (P2, P3, P7)."""
        self.accept(JobSubmitted(make_spec()), placed([WINDOW]), TargetDrain("w1", True, 1))
        self.accept(JobSubmitted(make_spec("k", 2)), ZoneSet("z2", "", False, 1))
        self.accept(JobSubmitted(make_spec("big", shape=Shape(1, 9, 1))))
        for job_id in ("none", "none1", "none2", "none3"):
            self.accept(JobSubmitted(make_spec(job_id, 0)))
        for job_id in ("none1", "none2", "none3"):
            self.accept(placed([member("w4")], 1, job_id))
        free = member("w0", 2, 3)
        self.refuse(
            (NOT_FOUND, "'x'", placed([free], 1, "x")),
            (CONFLICT, "is placed", placed([free], 1, "j")),
            (CONFLICT, "attempt 1", placed([free], 2, "k")),
            (CONFLICT, "not free", placed([member("w0", 1, 2)], 1, "k")),
            (CONFLICT, "is draining", placed([member("w1", 0, 1)], 1, "k")),
            (CONFLICT, "out of service", placed([member("w3", 0, 1)], 1, "k")),
            (CONFLICT, "does not exist", placed([member("w9", 0, 1)], 1, "k")),
            (CONFLICT, "processors", placed([replace(free, processors=7)], 1, "k")),
            (CONFLICT, "memory", placed([replace(free, memory_gb=16)], 1, "k")),
            (CONFLICT, "slot", placed([member("w4")], 1, "none")),
            (INVALID, "no accelerator 4", placed([member("w0", 3, 4)], 1, "k")),
            (INVALID, "more than once", placed([member("w0", 3, 3)], 1, "k")),
            (INVALID, "2 accelerators", placed([member("w0", 3)], 1, "k")),
            (INVALID, "no members", placed([], 1, "k")),
            (INVALID, "two members", placed([member("w0", 2), member("w0", 3)], 1, "k")),
            (INVALID, "fewer than 9", placed([member("w2", 0)], 1, "big")),
            (INVALID, "negative amount", placed([replace(free, memory_gb=-1)], 1, "k")),
            (INVALID, "no accelerator", placed([member("w0"), member("w2")], 1, "none")),
        )

    def test_span_is_enforced(self) -> None:
        """Guards against a gang whose members are further apart than its span."""
        for span, text, far, near in (
            (Span.WORKER, "more than one worker", "w1", ""),
            (Span.RACK, "more than one rack", "w2", "w1"),
            (Span.ZONE, "more than one availability zone", "w3", "w2"),
            (Span.REGION, "more than one region", "w4", "w3"),
        ):
            self.accept(JobSubmitted(make_spec(text, shape=Shape(2, 2, 1, span))))
            first = member("w0", span)
            self.refuse((INVALID, text, placed([first, member(far, span)], 1, text)))
            if near:
                self.accept(placed([first, member(near, span)], 1, text))

    def test_refused_stops(self) -> None:
        """Guards against stopping an ended attempt, or timing out a job whose members all run."""
        self.accept(JobSubmitted(make_spec()), JobJudged("a", "j", "too wide"))
        self.assertEqual(self.view.queued[KEY].infeasible, "too wide")
        self.refuse((CONFLICT, "queued", stopping()))
        self.accept(placed([WINDOW]))
        self.assertEqual(self.view.jobs[KEY].infeasible, "")
        self.accept(reported("w0", MemberState.RUNNING))
        self.refuse(
            (CONFLICT, "running", JobJudged("a", "j", "too wide")),
            (INVALID, "'cancel'", stopping(1, StopReason.CANCEL)),
            (CONFLICT, "attempt 1", stopping(2)),
            (CONFLICT, "all members", stopping(1, StopReason.START_TIMEOUT)),
            (CONFLICT, "not queued", stopping(1, RECLAIM, member("w0", 0))),
        )
        self.accept(stopping())
        self.refuse((CONFLICT, "stopping", stopping()))

    def test_window_is_reserved_for_its_beneficiary(self) -> None:
        """Guards against a third job taking reclaimed accelerators, and against a second window."""
        self.run_job([WINDOW])
        self.accept(JobSubmitted(make_spec("i")), placed([member("w0", 2, 3)], 1, "i"))
        self.accept(JobSubmitted(make_spec("k")), JobSubmitted(make_spec("l")))
        self.accept(stopping(1, RECLAIM, WINDOW), reported("w0", MemberState.STOPPED))
        other = JobStopping("a", "i", 1, RECLAIM, ("a", "k"), (member("w0", 2, 3),))
        taken = replace(other, beneficiary=("a", "l"), window=(member("w0", 1, 2),))
        self.refuse(
            (CONFLICT, "reserved", placed([WINDOW], 1, "l")),
            (CONFLICT, "another window", other),
            (CONFLICT, "reserved", taken),
        )
        self.accept(placed([WINDOW], 1, "k"))
        self.assertEqual(dict(self.view.reservations), {})

    def test_reservation_ends(self) -> None:
        """Guards against accelerators that stay reserved for a job that cannot use them."""
        for event in (
            JobCancelled("a", "k"),
            TargetDrain("w0", True, 1),
            ZoneSet("z1", "", False, 1),
            WorkersPut((), ("w0",), 1),
            WorkersPut((make_worker(0, 2),), (), 1),
            JobSubmitted(make_spec("m")),
        ):
            self.setUp()
            self.run_job([WINDOW])
            self.accept(JobSubmitted(make_spec("k")), stopping(1, RECLAIM, WINDOW))
            # The last event is the first one at which the reservation has expired.
            expires = isinstance(event, JobSubmitted)
            until_ms = self.at_ms + RESERVATION_MS
            self.accept(reported("w0", MemberState.STOPPED), after_ms=RESERVATION_MS - 2)
            self.assertIn(("a", "k"), self.view.reservations)
            self.accept(event, after_ms=until_ms - self.at_ms if expires else 1)
            self.assertEqual(dict(self.view.reservations), {}, event)

    def test_cancel(self) -> None:
        """Guards against requeuing a cancelled job."""
        self.accept(JobSubmitted(make_spec("k")), JobCancelled("a", "k"), JobCancelled("a", "k"))
        self.assertIs(self.view.jobs[("a", "k")].state, JobState.CANCELLED)
        self.refuse((NOT_FOUND, "'x'", JobCancelled("a", "x")))
        self.run_job([WINDOW])
        self.accept(stopping(), JobCancelled("a", "j"), reported("w0", MemberState.STOPPED))
        self.assertIs(self.view.jobs[KEY].state, JobState.CANCELLED)
