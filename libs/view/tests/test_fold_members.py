"""Tests of member reports and the job state transitions that follow from them."""

from view_folding import KEY, ViewMixin, member, placed, reported

from hornbeamfold.model import (
    ErrorKind,
    JobCancelled,
    JobState,
    JobStopping,
    MembersReported,
    MemberState,
    StopReason,
)
from hornbeamfold.view.fold_members import MAX_FAILURES
from hornbeamfold.view.state import ENDED_JOB_RETENTION_MS

RUNNING, FINISHED = MemberState.RUNNING, MemberState.FINISHED
FAILED, STOPPED, LOST = MemberState.FAILED, MemberState.STOPPED, MemberState.LOST
GANG = [member("w0", 0), member("w1", 0)]


class MembersTest(ViewMixin):
    def expect(self, state: JobState, free_mask: int, **values: object) -> None:
        job = self.view.jobs[KEY]
        self.assertEqual((job.state, self.view.capacities["w0"].free_mask), (state, free_mask))
        self.assertEqual({name: getattr(job, name) for name in values}, values)

    def test_gang_starts_and_finishes(self) -> None:
        """Guards against finishing a job before all members have, and against never expiring it."""
        self.run_job(GANG)
        self.accept(reported("w0", FINISHED), after_ms=10**9)
        self.expect(JobState.RUNNING, 0b1110)
        self.accept(reported("w1", FINISHED))
        self.expect(JobState.FINISHED, 0b1111)
        # The run took far longer than declared; the ratio is capped at the highest factor, 10.
        self.assertAlmostEqual(self.view.estimates[("a", "render")], 0.7 + 0.3 * 10)
        self.send(after_ms=ENDED_JOB_RETENTION_MS - 1)
        self.assertIn(KEY, self.view.jobs)
        self.send()
        self.assertNotIn(KEY, self.view.jobs)

    def test_lost_member_stops_the_gang(self) -> None:
        """Guards against applying outdated reports, and against freeing a gang that still runs."""
        self.run_job(GANG)
        old = [reported("w0", RUNNING), reported("w0", MemberState.PENDING)]
        old += [reported("w0", FAILED, 2), reported("w4", FAILED), MembersReported(())]
        self.refuse(*((ErrorKind.CONFLICT, "no report changes", each) for each in old))
        self.accept(reported("w0", LOST, checkpoint="c1"))
        self.expect(JobState.STOPPING, 0b1110, stop_reason=StopReason.MEMBER_LOST)
        self.refuse((ErrorKind.CONFLICT, "no report changes", reported("w0", RUNNING)))
        self.accept(reported("w1", STOPPED))
        self.expect(JobState.QUEUED, 0b1111, attempt=2, failures=0, checkpoint="c1", members=())

    def test_stop_before_start_needs_a_report(self) -> None:
        """Guards against freeing accelerators while a start order may still be in flight."""
        self.run_job(GANG[:1])
        self.accept(JobStopping("a", "j", 1, StopReason.ZONE_OUT), reported("w0", STOPPED))
        self.accept(placed(GANG[:1], 2), JobStopping("a", "j", 2, StopReason.START_TIMEOUT))
        self.expect(JobState.STOPPING, 0b1110)
        self.accept(reported("w0", STOPPED, 2))
        self.expect(JobState.QUEUED, 0b1111, attempt=3, failures=0)

    def test_failures_end_a_job(self) -> None:
        """Guards against failing a job because of one bad worker, and against endless attempts."""
        for workers in (["w0", "w0", "w1", "w2"], ["w0"] * MAX_FAILURES):
            self.setUp()
            self.run_job(GANG[:1])
            for attempt, worker in enumerate(workers[1:], 1):
                self.accept(reported(workers[attempt - 1], FAILED, attempt))
                self.expect(JobState.QUEUED, 0b1111, failures=attempt)
                self.accept(placed([member(worker, 0)], attempt + 1))
            self.accept(reported(workers[-1], FAILED, len(workers), detail="bad input"))
            self.expect(JobState.FAILED, 0b1111, failures=len(workers), detail="bad input")

    def test_reports_after_a_stop(self) -> None:
        """Guards against counting failures after a stop, and against cancelling a finished job."""
        self.run_job(GANG)
        self.accept(JobStopping("a", "j", 1, StopReason.RECLAIM))
        self.accept(reported("w0", FAILED), reported("w1", FAILED))
        self.expect(JobState.QUEUED, 0b1111, failures=0, attempt=2)
        self.accept(placed(GANG, 2), JobCancelled("a", "j"))
        self.accept(reported("w0", FINISHED, 2), reported("w1", FINISHED, 2))
        self.expect(JobState.FINISHED, 0b1111)
        self.refuse((ErrorKind.CONFLICT, "finished", JobCancelled("a", "j")))
