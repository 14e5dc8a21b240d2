"""Tests of the search for partial gangs."""

from view_folding import KEY, ViewMixin, make_spec, member, placed, reported

from hornbeamfold.model import (
    JobStopping,
    JobSubmitted,
    MemberState,
    StopReason,
)
from hornbeamfold.model.timing import PARTIAL_GANG_BOUND_MS
from hornbeamfold.view import partial_gangs


class PartialGangTest(ViewMixin):
    def test_only_partial_gangs_past_the_bound_are_reported(self) -> None:
        """Guards against missing a partial gang, and against false alarms."""
        self.accept(JobSubmitted(make_spec()), placed([member("w0", 0), member("w1", 0)]))
        self.assertEqual(partial_gangs(self.view, self.at_ms + 10**6), ())
        self.accept(reported("w0", MemberState.RUNNING))
        bound = self.at_ms + PARTIAL_GANG_BOUND_MS
        self.accept(JobStopping("a", "j", 1, StopReason.START_TIMEOUT), after_ms=5_000)
        self.assertEqual(partial_gangs(self.view, bound), ())
        self.assertEqual([job.key for job in partial_gangs(self.view, bound + 1)], [KEY])
        self.accept(reported("w0", MemberState.STOPPED))
        self.assertEqual(partial_gangs(self.view, bound + 1), ())

    def test_members_that_finish_early_are_not_reported(self) -> None:
        """Guards against a false alarm when members of a gang finish at different times."""
        self.run_job([member("w0", 0), member("w1", 0)])
        self.accept(reported("w1", MemberState.FINISHED))
        self.assertEqual(partial_gangs(self.view, self.at_ms + 10**6), ())
