"""Tests of calls on an instance that the store does not answer while others reach it."""

import logging
import unittest
from collections.abc import Callable
from contextlib import suppress
from unittest import mock

from greenlet import GreenletExit

from hornbeamfold.batch import (
    AppendOutcome,
    BatchJob,
    JobState,
    KeyedRecord,
    NewestPage,
    NotStored,
    ReadFailed,
    Records,
    Resources,
    Step,
    Stored,
    StoreUnknown,
    TopicPort,
)
from hornbeamfold.gateway import JobService, not_ready_reason
from hornbeamfold.gateway.readiness import MAX_AGE_MS
from hornbeamfold.ledger import Follower, Replica, encode_job
from hornbeamfold.model import ErrorKind, ExecutionStatus, Refused

SILENT = StoreUnknown("ReadTimeoutError")
APPEND_TIMEOUT_MS = 1_000


def job(job_id: str) -> BatchJob:
    """Return a job of one task."""
    return BatchJob(job_id, "q", "s", "o", "body", (Step(1, Resources(1)),), 1, 2, 1.5, 300, 12)


class CutOffInstanceTest(unittest.TestCase):
    """The store does not answer this instance, whose records another one reads.

    Load: bulles-tn-grown scale-2, the store silent to a third of the instances for 9 s.
    """

    def setUp(self) -> None:
        self.now = 1_000
        self.appends = 0
        self.outcome: AppendOutcome = SILENT
        self.reachable = False
        self.relayed = True
        self.probes: list[Callable[[], None]] = []
        self.replica = Replica()
        relay = TopicPort(
            self.append,
            lambda *_: Records((), 0, 0, self.now) if self.relayed else ReadFailed("down"),
            lambda _: NewestPage((), False, 0, self.now),
        )
        store = TopicPort(
            self.append,
            lambda *arguments: self.read(*arguments),
            lambda _: NewestPage((), False, 0, self.now),
        )
        self.follower = Follower("jobs", relay, self.replica.apply, lambda: self.now, lambda: 0, 0)
        self.follower.load()
        self.calls = JobService(
            store, self.replica, self.follower, lambda: self.now, self.probes.append
        )
        sleeps = mock.patch("eventlet.sleep", self.sleep)
        sleeps.start()
        self.addCleanup(sleeps.stop)

    def read(self, *_: object) -> Records | ReadFailed:
        return Records((), 0, 0, self.now) if self.reachable else ReadFailed("silent")

    def sleep(self, seconds: float) -> None:
        self.now += int(seconds * 1_000)

    def append(self, *_: object) -> AppendOutcome:
        self.appends += 1
        self.now += APPEND_TIMEOUT_MS if self.outcome is SILENT else 4
        return self.outcome

    def submit(self, job_id: str) -> JobState | Refused:
        if self.relayed:
            self.follower.read(0)
        return self.calls.submit(job(job_id), self.now + 3_000)

    def probe_once(self) -> None:
        """Let the thread that looks for the store read once, and kill it in its pause."""
        with mock.patch("eventlet.sleep", side_effect=GreenletExit), suppress(GreenletExit):
            self.probes.pop(0)()

    def test_only_one_call_waits_for_a_silent_store(self) -> None:
        """Guards against callers who get a 504 one after the other from the same instance."""
        first = self.submit("a")
        assert isinstance(first, Refused)
        self.assertEqual(first.kind, ErrorKind.OUTCOME_UNKNOWN)
        began_ms, appends = self.now, self.appends
        second = self.submit("b")
        assert isinstance(second, Refused)
        self.assertEqual(second.kind, ErrorKind.LOG_UNAVAILABLE)
        self.assertEqual(second.effective_ran, ExecutionStatus.NOT_RUN)
        self.assertEqual((self.now, self.appends), (began_ms, appends))

    def test_an_unexpected_error_does_not_end_the_search_for_the_store(self) -> None:
        """Guards against an instance that refuses all calls until it is restarted."""
        self.submit("a")
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        answers = iter((ValueError("odd answer"), Records((), 0, 0, self.now)))

        def read(*_: object) -> Records:
            answer = next(answers)
            if isinstance(answer, ValueError):
                raise answer
            return answer

        self.read = read  # type: ignore[method-assign]
        with suppress(ValueError), mock.patch("hornbeamfold.telemetry.threads.sleep"):
            self.probes.pop(0)()
        self.assertEqual(self.calls.store_suspected_ms, 0)

    def test_callers_return_at_once_if_others_reach_the_store(self) -> None:
        """Guards against urgent callers who lose a second before they ask another instance."""
        self.submit("a")
        self.probe_once()
        second = self.submit("b")
        assert isinstance(second, Refused)
        self.assertEqual(second.retry_after_s, 0)

    def test_callers_wait_if_the_store_answers_reads(self) -> None:
        """Guards against callers who use up their tries at once while it refuses all instances."""
        self.outcome = NotStored("status 429")
        self.reachable = True
        self.submit("a")
        self.probe_once()
        second = self.submit("b")
        assert isinstance(second, Refused)
        self.assertIsNone(second.retry_after_s)

    def test_callers_wait_if_nobody_is_known_to_reach_the_store(self) -> None:
        self.submit("a")
        self.probe_once()
        self.relayed = False
        self.now += 2_000
        second = self.submit("b")
        assert isinstance(second, Refused)
        self.assertIsNone(second.retry_after_s)

    def test_calls_go_on_once_a_read_is_answered(self) -> None:
        self.submit("a")
        self.reachable = True
        (probe,) = self.probes
        probe()
        self.outcome = Stored(0)
        self.assertEqual(self.submit("b"), JobState.PENDING)

    def test_a_store_that_refuses_is_suspected_too(self) -> None:
        self.outcome = NotStored("status 429")
        self.submit("a")
        appends = self.appends
        self.submit("b")
        self.assertEqual(self.appends, appends)

    def test_a_job_that_is_read_back_is_accepted_although_the_answer_is_lost(self) -> None:
        """Guards against a 504 for a job that the instance knows to be stored."""

        def append(*_: object) -> AppendOutcome:
            record = encode_job(job("a"))
            self.replica.apply([KeyedRecord(record.key, record.value, 7)])
            return SILENT

        calls = JobService(
            TopicPort(append, lambda *_: ReadFailed("silent"), lambda _: ReadFailed("silent")),
            self.replica,
            self.follower,
            lambda: self.now,
            self.probes.append,
        )
        self.assertEqual(calls.submit(job("a"), 3_000), JobState.PENDING)

    def test_an_instance_that_the_store_does_not_answer_gets_no_new_connections(self) -> None:
        self.submit("a")
        followers = (("jobs", self.follower),)
        self.assertEqual(not_ready_reason(False, followers, self.calls.store_suspected_ms), "")
        self.now += MAX_AGE_MS
        self.follower.read(0)
        reason = not_ready_reason(False, followers, self.calls.store_suspected_ms)
        self.assertIn("the store has not answered", reason)


if __name__ == "__main__":
    unittest.main()
