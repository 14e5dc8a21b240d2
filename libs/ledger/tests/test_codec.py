"""Tests of the record codec."""

import unittest

from hornbeamfold.batch import (
    BatchJob,
    JobState,
    Resources,
    Step,
    TaskPhase,
    TaskProgress,
    TaskRef,
)
from hornbeamfold.ledger import CoordinatorRecord, encode_coordinator, encode_job, encode_progress
from hornbeamfold.ledger.codec import decode_coordinator, decode_job, decode_progress

STEPS = (
    Step(2, Resources(1_000, 2_000, 3), 500, gang=True, preferred_rack="r1"),
    Step(1, Resources(cpu_millis=5), after=(0,), best_effort=True),
)
JOB = BatchJob("a", "q", "s", "o", "body", STEPS, 1, 2, 1.5, 300, 12, 3, 4, 5)


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

    def test_a_finished_job_keeps_only_its_state(self) -> None:
        done = {TaskRef(0, 0, 0): TaskProgress(TaskPhase.DONE)}
        value = encode_progress("a", JobState.COMPLETED, done).value
        self.assertEqual(dict(decode_progress(value).tasks), {})


if __name__ == "__main__":
    unittest.main()
