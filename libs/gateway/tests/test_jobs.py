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
    Organisation,
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

    def test_what_can_never_run_within_its_limit_is_refused_at_once(self) -> None:
        """Guards against a gang that waits for ever, as it needs more than its organisation has."""
        demand = Resources(1_000, 2_000, 2)
        cases = [
            ("a gang", 4, True, Resources(0, 0, 7), True),
            ("a gang that fits", 4, True, Resources(0, 0, 8), False),
            ("as many tasks", 4, False, Resources(0, 0, 7), False),
            ("a task", 1, False, Resources(0, 0, 1), True),
            ("its memory", 1, False, Resources(0, 1_999, 0), True),
            ("its processor time", 2, True, Resources(1_999, 0, 0), True),
            ("no limit", 4, True, Resources(), False),
        ]
        for name, count, gang, limit, refused in cases:
            with self.subTest(name):
                calls = self.calls([Stored(0)])
                job = replace(JOB, steps=(Step(1, Resources(1)), Step(count, demand, gang=gang)))
                answer = calls.submit(job, 3_000, Organisation("o", limit=limit))
                self.assertEqual(isinstance(answer, Refused), refused)
                self.assertEqual(self.appends, 0 if refused else 1)
                if isinstance(answer, Refused):
                    self.assertEqual(answer.kind, ErrorKind.INFEASIBLE)
                    self.assertEqual(answer.effective_ran, ExecutionStatus.NOT_RUN)
                    self.assertFalse(answer.response.retry)

    def test_a_job_that_was_accepted_by_a_higher_limit_is_not_refused(self) -> None:
        """Guards against an untrue refusal when a call is repeated after the limit was lowered."""
        calls = self.calls([Stored(0)])
        high, low = Organisation("o", limit=Resources(10)), Organisation("o", limit=Resources(1))
        job = replace(JOB, steps=(Step(1, Resources(5)),))
        calls.submit(job, 3_000, high)
        self.assertEqual(calls.submit(job, 3_000, low), JobState.PENDING)

    def test_a_job_is_not_refused_for_its_limit_while_the_log_cannot_be_read(self) -> None:
        """Guards against an untrue refusal of a job that another instance has accepted."""
        calls = self.calls([Stored(0)], readable=False)
        answer = calls.submit(JOB, 3_000, Organisation("o", limit=Resources(cpu_millis=1)))
        self.assertEqual(answer, JobState.PENDING)
        large = replace(JOB, job_id="b", steps=(Step(1, Resources(5)),))
        answer = calls.submit(large, 3_000, Organisation("o", limit=Resources(1)))
        assert isinstance(answer, Refused)
        self.assertEqual(answer.kind, ErrorKind.LOG_UNAVAILABLE)

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
