"""Tests of the record codec."""

import unittest
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import msgspec

from hornbeamfold.batch import (
    BatchJob,
    JobState,
    Resources,
    Step,
    TaskPhase,
    TaskProgress,
    TaskRef,
    WorkerLoss,
)
from hornbeamfold.decoding import DecodeError
from hornbeamfold.ledger import CoordinatorRecord, encode_coordinator, encode_job, encode_progress
from hornbeamfold.ledger.codec import (
    decode_coordinator,
    decode_job,
    decode_progress,
    decode_state,
)

STEPS = (
    Step(2, Resources(1_000, 2_000, 3), 500, gang=True, preferred_rack="r1"),
    Step(1, Resources(cpu_millis=5), after=(0,), best_effort=True),
)
JOB = BatchJob("a", "q", "s", "o", "body", STEPS, 1, 2, 1.5, 300, 12, 3, 4, 5)


DONE = TaskProgress(TaskPhase.DONE)
CRASHED = {
    TaskRef(0, 0, 0): TaskProgress(TaskPhase.ACTIVE, 2, "w1", 77, 1, "c", crashes=2, vanished=1),
    TaskRef(0, 0, 1): TaskProgress(TaskPhase.WAITING, 4, failures=2, checkpoint="d", crashes=3),
    TaskRef(1, 0, 0): TaskProgress(
        TaskPhase.WAITING,
        1,
        losses=(
            WorkerLoss("w1", 77, 1, 5_000, alone=True, certain=False, counted=True),
            WorkerLoss("w2", 78, 3, 6_000, alone=False, certain=True, counted=False),
        ),
    ),
}


@dataclass(frozen=True)
class ProgressWithoutCrashes:
    """The document of a progress record before crashes were counted."""

    state: JobState
    done: list[tuple[int, int, list[int]]] = field(default_factory=list)
    active: list[tuple[int, int, int, int, str, int, int, str]] = field(default_factory=list)
    waiting: list[tuple[int, int, int, int, int, str]] = field(default_factory=list)


class CodecTest(unittest.TestCase):
    def test_jobs_round_trip(self) -> None:
        self.assertEqual(decode_job(encode_job(JOB).value), JOB)

    def test_coordinators_round_trip(self) -> None:
        for record in (CoordinatorRecord("i", 3), CoordinatorRecord("i", 4, resigned=True)):
            with self.subTest(record):
                self.assertEqual(decode_coordinator(encode_coordinator(record).value), record)

    def test_progress_round_trips_with_runs_failures_and_checkpoints(self) -> None:
        tasks = {
            TaskRef(0, 0, 0): TaskProgress(TaskPhase.ACTIVE, 2, "w1", 77, 1, "c"),
            TaskRef(0, 0, 1): TaskProgress(TaskPhase.WAITING, 4, failures=2, checkpoint="d"),
            TaskRef(1, 1, 0): TaskProgress(TaskPhase.DONE),
        }
        value = encode_progress("a", JobState.RUNNING, tasks).value
        decoded = decode_progress(value)
        self.assertEqual((decoded.state, dict(decoded.tasks)), (JobState.RUNNING, tasks))

    def test_crashes_outlive_a_takeover(self) -> None:
        """Guards against a task that crashes its workers and is started for ever."""
        value = encode_progress("a", JobState.RUNNING, CRASHED).value
        self.assertEqual(dict(decode_progress(value).tasks), CRASHED)

    def test_records_with_crashes_decode_in_the_previous_version(self) -> None:
        """Guards against an instance of the previous version that cannot take over."""
        value = encode_progress("a", JobState.RUNNING, CRASHED).value
        document = msgspec.json.decode(value, type=ProgressWithoutCrashes)
        self.assertEqual(document.active, [(0, 0, 0, 2, "w1", 77, 1, "c")])
        self.assertEqual(document.waiting, [(0, 0, 1, 4, 2, "d"), (1, 0, 0, 1, 0, "")])

    def test_records_of_the_previous_version_decode(self) -> None:
        old = ProgressWithoutCrashes(JobState.RUNNING, waiting=[(0, 0, 1, 4, 2, "d")])
        decoded = decode_progress(msgspec.json.encode(old))
        expected = TaskProgress(TaskPhase.WAITING, 4, failures=2, checkpoint="d")
        self.assertEqual(dict(decoded.tasks), {TaskRef(0, 0, 1): expected})

    def test_an_earlier_version_tells_only_the_evidence(self) -> None:
        """Guards against a job that fails for cuts which nobody can withdraw any more."""
        document = {
            "state": "running",
            "waiting": [(0, 0, 0, 6, 0, ""), (0, 0, 1, 4, 0, "")],
            "crashes": [(0, 0, 0, 4, 4), (0, 0, 1, 3, 1)],
        }
        tasks = decode_progress(msgspec.json.encode(document)).tasks
        self.assertEqual(tasks[TaskRef(0, 0, 0)], TaskProgress(run=6))
        self.assertEqual(tasks[TaskRef(0, 0, 1)], TaskProgress(run=4, crashes=2))

    def test_crashes_of_done_tasks_are_not_kept(self) -> None:
        done = {TaskRef(0, 0, 0): TaskProgress(TaskPhase.DONE, crashes=1)}
        value = encode_progress("a", JobState.RUNNING, done).value
        self.assertEqual(dict(decode_progress(value).tasks), {TaskRef(0, 0, 0): DONE})

    def test_a_finished_job_keeps_only_its_state(self) -> None:
        done = {TaskRef(0, 0, 0): TaskProgress(TaskPhase.DONE)}
        value = encode_progress("a", JobState.COMPLETED, done).value
        self.assertEqual(dict(decode_progress(value).tasks), {})


class OddRecordsTest(unittest.TestCase):
    def test_odd_records_of_every_kind_raise_one_error(self) -> None:
        """Guards against records of another program that end the thread which follows them."""
        deep = b'{"odd":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        decoders: tuple[Callable[[bytes], object], ...] = (
            decode_job,
            decode_coordinator,
            decode_state,
            decode_progress,
        )
        for decode in decoders:
            for value in (b"", b"[]", b"{}", b"7", b"\xff", deep, b"{" * 100_000):
                with (
                    self.subTest(decode=decode.__name__, value=value[:20]),
                    self.assertRaises(DecodeError),
                ):
                    decode(value)

    def test_jobs_that_cannot_be_planned_are_odd(self) -> None:
        """Guards against a stored job whose planning fails, or never ends, in every coordinator."""
        step = STEPS[0]
        odd = {
            "no steps": replace(JOB, steps=()),
            "no tasks": replace(JOB, steps=(replace(step, count=0),)),
            "too many tasks": replace(JOB, steps=(replace(step, count=10**9),)),
            "endless repetitions": replace(JOB, repetitions=10**12),
            "depends on itself": replace(JOB, steps=(replace(step, after=(0,)),)),
            "depends on a later step": replace(JOB, steps=(replace(step, after=(1,)), step)),
            "depends on no step": replace(JOB, steps=(replace(step, after=(-1,)),)),
            "huge demand": replace(JOB, steps=(replace(step, demand=Resources(10**400)),)),
            "huge estimate": replace(JOB, steps=(replace(step, estimate_ms=10**400),)),
            "huge time": replace(JOB, start_at_ms=10**400),
            "huge interval": replace(JOB, interval_ms=10**400),
            "huge slack": replace(JOB, slack_ms=10**400),
            "huge stretch": replace(JOB, stretch=1e308),
        }
        for name, job in odd.items():
            with self.subTest(name), self.assertRaises(DecodeError):
                decode_job(msgspec.json.encode(job))

    def test_numbers_of_a_coordinator_or_of_progress_have_a_range(self) -> None:
        for epoch in (b"-1", b"1e3", b"9" * 30, b"9" * 5_000):
            with self.subTest(epoch=epoch[:10]), self.assertRaises(DecodeError):
                decode_coordinator(b'{"incarnation":"i","epoch":' + epoch + b"}")
        for number in (b"-1", b"1.5", b"9" * 30):
            for rows in (
                b'"done":[[0,0,[%s]]]',
                b'"done":[[0,%s,[0]]]',
                b'"active":[[0,0,0,%s,"w",7,0,""]]',
                b'"active":[[0,0,0,1,"w",%s,0,""]]',
                b'"waiting":[[%s,0,0,1,0,""]]',
            ):
                value = b'{"state":"running",' + rows % number + b"}"
                with self.subTest(value[:60]), self.assertRaises(DecodeError):
                    decode_progress(value)


if __name__ == "__main__":
    unittest.main()
