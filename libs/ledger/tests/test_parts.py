"""Tests of the parts of a job, and of the progress records that hold them."""

import unittest
from collections.abc import Sequence

from hornbeamfold.batch import (
    BatchJob,
    JobState,
    KeyedRecord,
    NewestPage,
    NotStored,
    ReadFailed,
    Resources,
    Step,
    TaskPhase,
    TaskProgress,
    TaskRef,
    TopicPort,
    stored_bytes,
)
from hornbeamfold.ledger import (
    LoadedProgress,
    encode_progress,
    encode_progress_tombstones,
    encode_speeds,
    load_progress,
    parse_progress_key,
    task_parts,
)
from hornbeamfold.ledger.parts import TASKS_PER_PART

FIRST, LAST = TaskRef(0, 0, 0), TaskRef(0, 0, 700)
DONE = TaskProgress(TaskPhase.DONE)
ACTIVE = TaskProgress(TaskPhase.ACTIVE, 3, "w" * 40, 1_764_000_000_000, 1, "c" * 16)
RECORD_BYTES = 262_144


def job_of(occurrences: int, *counts: int) -> BatchJob:
    """Return a job whose steps have so many tasks."""
    steps = tuple(Step(count, Resources(1)) for count in counts)
    return BatchJob("a", "q", "s", "o", "", steps, 1, 2, 1.5, 300, 12, occurrences, 4, 5)


class PartsTest(unittest.TestCase):
    def test_each_task_is_in_one_part(self) -> None:
        cases = [
            (1, (1,), 1),
            (1, (TASKS_PER_PART,), 1),
            (1, (TASKS_PER_PART + 1,), 2),
            (1, (10_000,), 40),
            (1, (3, 500, 1, 700), 5),
            (7, (100, 5, 60), 5),
            (900, (1,), 4),
        ]
        for occurrences, counts, parts in cases:
            with self.subTest(occurrences=occurrences, counts=counts):
                job = job_of(occurrences, *counts)
                divided = task_parts(job)
                self.assertEqual(divided.count, parts)
                listed = [ref for part in range(parts) for ref in divided.tasks_of(part)]
                expected = [
                    TaskRef(occurrence, step, index)
                    for occurrence in range(job.occurrences)
                    for step, count in enumerate(counts)
                    for index in range(count)
                ]
                self.assertEqual(listed, expected)
                for part in range(parts):
                    found = {divided.part_of(ref) for ref in divided.tasks_of(part)}
                    self.assertEqual(found, {part})

    def test_a_part_fits_a_record(self) -> None:
        """Guards against progress that no store accepts, as in review/4."""
        tasks = {TaskRef(9, 9, index): ACTIVE for index in range(TASKS_PER_PART)}
        record = encode_progress("a" * 16, JobState.RUNNING, tasks, 99)
        self.assertLess(stored_bytes(record), RECORD_BYTES / 4)


class LoadTest(unittest.TestCase):
    def load(self, records: Sequence[KeyedRecord]) -> dict:
        """Return the progress in these records."""
        return self.load_all(records).by_job

    def load_all(self, records: Sequence[KeyedRecord]) -> LoadedProgress:
        """Return all that is in these records, which the store lists one by one."""

        def newest(after: str) -> NewestPage:
            index = next((i + 1 for i, each in enumerate(records) if each.key == after), 0)
            page = tuple(records[index : index + 1])
            return NewestPage(page, index + 1 < len(records), len(records), 0)

        port = TopicPort(lambda *_: NotStored(""), lambda *_: ReadFailed(""), newest)
        loaded = load_progress(port)
        assert not isinstance(loaded, ReadFailed)
        return loaded

    def test_the_speeds_of_workers_are_read_beside_the_progress(self) -> None:
        records = [
            encode_progress("a", JobState.RUNNING, {FIRST: DONE}),
            encode_speeds({"w1": -2, "w2": 0}),
        ]
        loaded = self.load_all(records)
        self.assertEqual(set(loaded.by_job), {"a"})
        self.assertEqual(loaded.speed_levels, {"w1": -2, "w2": 0})

    def test_odd_speeds_are_as_none(self) -> None:
        """Guards against a coordinator that can't begin because of what is only believed."""
        for value in (b"", b"{}", b'{"levels": {"w1": "fast"}}', b'{"levels": [1]}'):
            with self.subTest(value=value):
                loaded = self.load_all([KeyedRecord("worker-speeds", value)])
                self.assertEqual(loaded.speed_levels, {})

    def test_the_parts_of_a_job_are_joined(self) -> None:
        records = [
            encode_progress("a", JobState.RUNNING, {FIRST: DONE}),
            encode_progress("a", JobState.RUNNING, {LAST: ACTIVE}, 2),
            encode_progress("b", JobState.PENDING, {}),
            KeyedRecord("progress/c/x", b"{}"),
            KeyedRecord("coordinator", b"{}"),
        ]
        for listed in (records, records[::-1]):
            loaded = self.load(listed)
            self.assertEqual(set(loaded), {"a", "b"})
            self.assertEqual(loaded["a"].tasks, {FIRST: DONE, LAST: ACTIVE})
            self.assertEqual(loaded["a"].parts, {0, 2})

    def test_the_first_part_has_the_state(self) -> None:
        """Guards against a job that ended and is started again, as other parts are older."""
        records = [
            encode_progress("a", JobState.COMPLETED, {}),
            encode_progress("a", JobState.RUNNING, {LAST: ACTIVE}, 2),
        ]
        for listed in (records, records[::-1]):
            self.assertIs(self.load(listed)["a"].state, JobState.COMPLETED)

    def test_other_parts_are_newer_than_an_undivided_record(self) -> None:
        records = [
            encode_progress("a", JobState.RUNNING, {FIRST: DONE, LAST: ACTIVE}),
            encode_progress("a", JobState.RUNNING, {LAST: DONE}, 2),
        ]
        for listed in (records, records[::-1]):
            self.assertEqual(self.load(listed)["a"].tasks, {FIRST: DONE, LAST: DONE})

    def test_tombstones_remove_all_parts(self) -> None:
        tombstones = encode_progress_tombstones("a", 3)
        self.assertEqual([parse_progress_key(each.key) for each in tombstones],
                         [("a", 0), ("a", 1), ("a", 2)])  # fmt: skip
        self.assertEqual({each.value for each in tombstones}, {b""})


if __name__ == "__main__":
    unittest.main()
