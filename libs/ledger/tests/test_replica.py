"""Tests of the replica and of the follower that supplies its records."""

import unittest
from collections.abc import Sequence
from dataclasses import replace

from hornbeamfold.batch import (
    BatchJob,
    JobState,
    KeyedRecord,
    NewestPage,
    NotStored,
    ReadFailed,
    Records,
    Resources,
    Step,
    TopicPort,
    Trimmed,
)
from hornbeamfold.ledger import (
    CoordinatorRecord,
    Follower,
    Replica,
    encode_cancel,
    encode_coordinator,
    encode_job,
    encode_state,
)

JOB = BatchJob("a", "q", "s", "o", "body", (Step(1, Resources(1)),), 1, 2, 1.5, 300, 12)


def at(offset: int, record: KeyedRecord) -> KeyedRecord:
    """Return the record with the offset at which it is stored."""
    return replace(record, offset=offset)


def state(state: JobState) -> KeyedRecord:
    """Return a record of job a's state."""
    return encode_state("a", state)


class ReplicaTest(unittest.TestCase):
    def setUp(self) -> None:
        self.replica = Replica()

    def test_an_older_record_does_not_revert_a_state(self) -> None:
        self.replica.apply([at(0, encode_job(JOB)), at(5, state(JobState.COMPLETED))])
        self.replica.apply([at(3, state(JobState.RUNNING))])
        self.assertEqual(self.replica.state("a"), JobState.COMPLETED)

    def test_a_cancellation_shows_before_it_takes_effect(self) -> None:
        self.replica.apply([at(0, encode_job(JOB)), at(1, encode_cancel("a", "o"))])
        self.assertEqual(self.replica.state("a"), JobState.CANCELLED)

    def test_a_completed_job_is_not_shown_as_cancelled(self) -> None:
        self.replica.apply(
            [
                at(0, encode_job(JOB)),
                at(1, state(JobState.COMPLETED)),
                at(2, encode_cancel("a", "o")),
            ]
        )
        self.assertEqual(self.replica.state("a"), JobState.COMPLETED)

    def test_pending_count_omits_scheduled_and_running_jobs(self) -> None:
        scheduled = replace(JOB, job_id="t", repetitions=2)
        self.replica.apply([at(0, encode_job(JOB)), at(1, encode_job(scheduled))])
        self.assertEqual(self.replica.pending_count("q"), 1)
        self.replica.apply([at(2, state(JobState.RUNNING))])
        self.assertEqual(self.replica.pending_count("q"), 0)

    def test_a_lower_epoch_does_not_replace_the_coordinator(self) -> None:
        self.replica.apply([at(4, encode_coordinator(CoordinatorRecord("b", 5)))])
        self.replica.apply([at(6, encode_coordinator(CoordinatorRecord("a", 4)))])
        self.assertEqual(self.replica.coordinator, CoordinatorRecord("b", 5))

    def test_malformed_records_are_skipped(self) -> None:
        malformed = [KeyedRecord("job/x", b"\xff", 0), KeyedRecord("state/x", b"[]", 1)]
        self.replica.apply([*malformed, at(2, encode_job(JOB))])
        self.assertEqual(list(self.replica.job_ids), ["a"])

    def test_odd_records_are_skipped_and_the_others_hold(self) -> None:
        deep = b'{"odd":' + b"[" * 100_000
        odd = [
            KeyedRecord(key, deep, offset)
            for offset, key in enumerate(("job/x", "state/a", "coordinator", "", "job/", "cancel"))
        ]
        self.replica.apply([*odd, at(6, encode_job(JOB)), at(7, state(JobState.RUNNING))])
        self.assertEqual(list(self.replica.job_ids), ["a"])
        self.assertEqual(self.replica.state("a"), JobState.RUNNING)

    def test_a_job_under_the_key_of_another_is_skipped(self) -> None:
        """Guards against two jobs that share one id in the coordinator."""
        value = encode_job(JOB).value
        self.replica.apply([KeyedRecord("job/b", value, 0), KeyedRecord("job/", value, 1)])
        self.assertEqual(list(self.replica.job_ids), [])

    def test_a_listener_that_fails_does_not_keep_others_from_a_job(self) -> None:
        """Guards against one job that a coordinator cannot add and that hides all later ones."""
        seen: list[str] = []

        def fail(job_id: str) -> None:
            raise RecursionError(job_id)

        self.replica.add_listener(fail)
        self.replica.add_listener(seen.append)
        with self.assertLogs("hornbeamfold.threads", "ERROR") as logs:
            self.replica.apply(
                [at(0, encode_job(JOB)), at(1, encode_job(replace(JOB, job_id="b")))]
            )
        self.assertEqual(seen, ["a", "b"])
        self.assertEqual([line.__dict__["request"] for line in logs.records], ["a", "b"])


class ScriptedTopic:
    """A fake topic that returns prepared results."""

    def __init__(self, reads: Sequence[Records | Trimmed | ReadFailed]) -> None:
        self._reads = list(reads)
        self._loads = 0

    @property
    def loads(self) -> int:
        """How often the newest records were loaded."""
        return self._loads

    def port(self) -> TopicPort:
        """Return the port through which a follower reads this topic."""

        def newest(after: str) -> NewestPage:
            self._loads += 1
            return NewestPage((), False, 10, 100)

        return TopicPort(lambda *_: NotStored("not used"), lambda *_: self._reads.pop(0), newest)


class FollowerTest(unittest.TestCase):
    def follower(self, *reads: Records | Trimmed | ReadFailed) -> Follower:
        self.topic = ScriptedTopic(reads)
        self.applied: list[KeyedRecord] = []
        self.reloads: list[bool] = []
        follower = Follower(
            "test",
            self.topic.port(),
            self.applied.extend,
            lambda: 1_000,
            lambda: 0,
            0,
            lambda: self.reloads.append(True),
        )
        self.assertTrue(follower.load())
        return follower

    def test_newest_records_are_reloaded_after_trimming(self) -> None:
        follower = self.follower(Trimmed(20))
        self.assertTrue(follower.read(0))
        self.assertEqual((self.topic.loads, len(self.reloads)), (2, 2))

    def test_a_failed_read_does_not_reset_the_age(self) -> None:
        follower = self.follower(ReadFailed("down"))
        self.assertFalse(follower.read(0))
        self.assertEqual(follower.age_ms(), 900)
        self.assertTrue(follower.failing)

    def test_a_read_short_of_the_end_confirms_nothing(self) -> None:
        record = KeyedRecord("k", b"v", 10)
        follower = self.follower(Records((record,), 11, 15, 800), Records((), 15, 15, 900))
        follower.read(0)
        self.assertEqual(follower.confirmed_ms, 100)
        follower.read(0)
        self.assertEqual(follower.confirmed_ms, 900)

    def test_stale_newest_records_are_rejected(self) -> None:
        follower = self.follower(Records((), 30, 30, 800), Trimmed(40))
        self.assertTrue(follower.read(0))
        self.assertFalse(follower.read(0))
        self.assertEqual((follower.end_offset, len(self.reloads)), (30, 1))

    def test_a_record_whose_application_raises_does_not_hide_the_others(self) -> None:
        """Guards against a topic that is no longer followed after one record."""
        applied: list[str] = []

        def apply(records: Sequence[KeyedRecord]) -> None:
            for record in records:
                if record.value == b"odd":
                    raise RecursionError(record.key)
                applied.append(record.key)

        records = tuple(
            KeyedRecord(key, value, 10 + offset)
            for offset, (key, value) in enumerate((("a", b"1"), ("x", b"odd"), ("b", b"1")))
        )
        topic = ScriptedTopic([Records(records, 13, 13, 800), Records(records[2:], 14, 14, 900)])
        follower = Follower("test", topic.port(), apply, lambda: 1_000, lambda: 0, 0)
        self.assertTrue(follower.load())
        with self.assertLogs("hornbeamfold.threads", "ERROR") as logs:
            self.assertTrue(follower.read(0))
        self.assertEqual(applied[-2:], ["a", "b"])
        self.assertEqual([line.__dict__["key"] for line in logs.records], ["x"])
        self.assertEqual(follower.end_offset, 13)
        self.assertTrue(follower.read(0))
        self.assertEqual(follower.confirmed_ms, 900)

    def test_hooks_are_called_after_every_read(self) -> None:
        follower = self.follower(Records((), 10, 10, 800), ReadFailed("down"))
        seen: list[int | None] = []
        follower.on_read(seen.append)
        follower.read(0)
        follower.read(0)
        self.assertEqual(seen, [800, None])


if __name__ == "__main__":
    unittest.main()
