"""Tests of the calls about jobs while the store fails."""

import unittest
from collections.abc import Sequence
from dataclasses import replace
from unittest import mock

from hornbeamfold.batch import (
    AppendOutcome,
    BatchJob,
    JobState,
    NewestPage,
    NotStored,
    ReadFailed,
    Records,
    Rejected,
    Resources,
    Step,
    Stored,
    StoreUnknown,
    TopicLimits,
    TopicPort,
)
from hornbeamfold.gateway import JobService
from hornbeamfold.ledger import Follower, Replica
from hornbeamfold.model import ErrorKind, ExecutionStatus, Refused

JOB = BatchJob("a", "q", "s", "o", "body", (Step(1, Resources(1)),), 1, 2, 1.5, 300, 12)
REFUSED = NotStored("status 503")
UNKNOWN = StoreUnknown("timeout")


class JobServiceTest(unittest.TestCase):
    def calls(self, outcomes: Sequence[AppendOutcome], readable: bool = True) -> JobService:
        """Return job calls on a store that returns these outcomes; the last one repeats."""
        self.now = 0
        self.appends = 0

        def append(*_: object) -> AppendOutcome:
            self.now += 20
            self.appends += 1
            return outcomes[min(self.appends, len(outcomes)) - 1]

        def read(*_: object) -> Records | ReadFailed:
            return Records((), 0, 0, self.now) if readable else ReadFailed("down")

        topic = TopicPort(append, read, lambda _: NewestPage((), False, 0, 0))
        self.replica = Replica()
        follower = Follower("jobs", topic, self.replica.apply, lambda: self.now, lambda: 0, 0)
        follower.load()
        return JobService(topic, self.replica, follower, lambda: self.now)

    def submit(self, *outcomes: AppendOutcome) -> JobState | Refused:
        def sleep(seconds: float) -> None:
            self.now += int(seconds * 1_000)

        calls = self.calls(outcomes)
        with mock.patch("hornbeamfold.gateway.jobs.eventlet.sleep", sleep):
            return calls.submit(JOB, 3_000)

    def test_a_stored_job_is_accepted_and_known_at_once(self) -> None:
        self.assertEqual(self.submit(Stored(0)), JobState.PENDING)
        self.assertIsNotNone(self.replica.job("a"))

    def test_a_refused_call_ends_early_and_says_not_run(self) -> None:
        answer = self.submit(REFUSED)
        assert isinstance(answer, Refused)
        self.assertEqual(answer.kind, ErrorKind.LOG_UNAVAILABLE)
        self.assertEqual(answer.effective_ran, ExecutionStatus.NOT_RUN)
        self.assertLess(self.now, 1_000)

    def test_a_job_that_cannot_be_stored_is_refused_at_once(self) -> None:
        """Guards against a job that the store refuses until its caller gives up."""
        calls = self.calls([Rejected("status 400")])
        large = replace(JOB, payload="x" * TopicLimits().record_bytes)
        answer = calls.submit(large, 3_000)
        assert isinstance(answer, Refused)
        self.assertEqual(answer.kind, ErrorKind.BODY_TOO_LARGE)
        self.assertEqual(answer.effective_ran, ExecutionStatus.NOT_RUN)
        self.assertEqual((self.appends, self.now), (0, 0))

    def test_a_lost_answer_is_never_reported_as_not_run(self) -> None:
        """Guards against reporting a stored job as refused, whatever the later outcomes."""
        for outcomes in ((UNKNOWN,), (UNKNOWN, REFUSED), (REFUSED, UNKNOWN, REFUSED)):
            with self.subTest(outcomes):
                answer = self.submit(*outcomes)
                assert isinstance(answer, Refused)
                self.assertEqual(answer.kind, ErrorKind.OUTCOME_UNKNOWN)

    def test_a_call_with_unknown_outcome_ends_long_before_its_deadline(self) -> None:
        """Guards against holding a call to its deadline while another instance could serve it."""
        self.submit(UNKNOWN)
        self.assertLess(self.now, 2_000)

    def test_nothing_is_sent_to_a_store_that_does_not_answer(self) -> None:
        calls = self.calls([Stored(0)], readable=False)
        calls.state("a")
        answer = calls.submit(JOB, 3_000)
        assert isinstance(answer, Refused)
        self.assertEqual((answer.kind, self.appends), (ErrorKind.LOG_UNAVAILABLE, 0))

    def test_an_append_with_unknown_outcome_is_retried(self) -> None:
        self.assertEqual(self.submit(UNKNOWN, Stored(0)), JobState.PENDING)

    def test_the_same_job_again_is_not_stored_again(self) -> None:
        calls = self.calls([Stored(0)])
        calls.submit(JOB, 3_000)
        calls.submit(JOB, 3_000)
        self.assertEqual(self.appends, 1)

    def test_the_log_is_read_before_an_unknown_job_is_refused(self) -> None:
        for readable, kind in ((True, ErrorKind.UNKNOWN_JOB), (False, ErrorKind.LOG_UNAVAILABLE)):
            for call in ("state", "cancel"):
                with self.subTest(call, readable=readable):
                    calls = self.calls([Stored(0)], readable)
                    answer = calls.state("a") if call == "state" else calls.cancel("a", "o", 3_000)
                    assert isinstance(answer, Refused)
                    self.assertEqual(answer.kind, kind)

    def test_a_cancelled_job_has_its_new_state_immediately(self) -> None:
        calls = self.calls([Stored(0), Stored(1)])
        calls.submit(JOB, 3_000)
        self.assertEqual(calls.cancel("a", "o", 3_000), JobState.CANCELLED)


if __name__ == "__main__":
    unittest.main()
