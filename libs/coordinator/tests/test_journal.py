"""Tests of what the journal writes of a job."""

import unittest
from collections.abc import Sequence

from coordinator_cases import ManualClock, job, tracker_with, worker

from hornbeamfold.batch import (
    AppendOutcome,
    Fence,
    JobState,
    KeyedRecord,
    ReadFailed,
    Resources,
    RunEnd,
    Step,
    Stored,
    TaskRef,
    TopicLimits,
    TopicPort,
)
from hornbeamfold.coordinator.fenced_writer import FencedWriter
from hornbeamfold.coordinator.journal import Journal
from hornbeamfold.ledger.codec import decode_progress

TASKS = 700
LIMITS = TopicLimits(record_bytes=100_000)


class JournalTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.written: list[KeyedRecord] = []
        step = Step(TASKS, Resources(1, 1), 1_000, checkpointing=True)
        self.tracker = tracker_with(self.clock, job("a", step))

    def append(
        self, records: Sequence[KeyedRecord], fence: Fence | None, timeout_ms: int
    ) -> AppendOutcome:
        self.written.extend(records)
        # The journal ends once all changes are written.
        self.journal.stop()
        return Stored(0)

    def flush(self, beliefs: Sequence[KeyedRecord] = ()) -> dict[str, KeyedRecord]:
        """Write all changes; return the records that were written, by key."""
        topic = TopicPort(self.append, lambda *_: ReadFailed(""), lambda _: ReadFailed(""), LIMITS)
        writer = FencedWriter("progress", topic, 1, 0, self.fail, self.clock)
        self.journal = Journal(
            writer, self.tracker, lambda *_: None, LIMITS.record_bytes, lambda: beliefs
        )
        self.written.clear()
        self.journal.run()
        return {each.key: each for each in self.written}

    def begin(self, *indexes: int) -> None:
        """Begin runs of tasks."""
        for index in indexes:
            self.tracker.begin_runs("a", [TaskRef(0, 0, index)], [worker()])

    def test_beliefs_are_written_beside_changes(self) -> None:
        """What is only believed costs no append of its own, and never keeps progress back."""
        self.begin(0)
        small = KeyedRecord("belief", b"{}")
        large = KeyedRecord("belief", b"x" * LIMITS.record_bytes)
        self.assertEqual(set(self.flush([small])), {"progress/a", "belief"})
        self.begin(1)
        self.assertEqual(set(self.flush([large])), {"progress/a"})

    def test_a_change_costs_the_record_of_its_part(self) -> None:
        """Guards against records that grow with the job, as in review/4."""
        self.begin(0, 5, 600)
        self.assertEqual(set(self.flush()), {"progress/a", "progress/a/2"})
        self.begin(601)
        (record,) = self.flush().values()
        self.assertEqual(record.key, "progress/a/2")
        self.assertEqual(
            set(decode_progress(record.value).tasks), {TaskRef(0, 0, 600), TaskRef(0, 0, 601)}
        )

    def test_a_change_of_the_state_is_in_the_first_part(self) -> None:
        self.begin(600)
        written = self.flush()
        self.assertEqual(set(written), {"progress/a", "progress/a/2"})
        self.tracker.cancel("a")
        (record,) = self.flush().values()
        self.assertEqual(record.key, "progress/a")
        self.assertIs(decode_progress(record.value).state, JobState.CANCELLED)

    def test_checkpoints_that_fit_no_record_are_left_out(self) -> None:
        """Guards against a job that cannot be recorded because of its checkpoints."""
        self.begin(0, 1)
        for run in self.tracker.runs_of("a"):
            self.tracker.end_run(run.name, RunEnd.STOPPED, "c" * LIMITS.record_bytes)
        with self.assertLogs("hornbeamfold.coordinator.journal", "WARNING"):
            (record,) = self.flush().values()
        tasks = decode_progress(record.value).tasks
        self.assertEqual({task.checkpoint for task in tasks.values()}, {""})
        self.assertEqual({task.run for task in tasks.values()}, {1})


if __name__ == "__main__":
    unittest.main()
