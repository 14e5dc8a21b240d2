"""Tests of the coordinator's book and its jobs."""

import unittest

from coordinator_cases import ManualClock, book_with, job, worker

from hornbeamfold.batch import (
    JobProgress,
    JobState,
    Resources,
    RunEnd,
    Step,
    TaskPhase,
    TaskProgress,
    TaskRef,
)
from hornbeamfold.coordinator.book import Book
from hornbeamfold.model import invariant_violations

SMALL = Resources(1_000, 1_000, 1)
FIRST, SECOND = TaskRef(0, 0, 0), TaskRef(0, 0, 1)


class BookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()

    def begin(self, book: Book, *refs: TaskRef) -> list:
        return book.begin("a", refs, [worker() for _ in refs])

    def test_a_run_takes_room_until_its_end(self) -> None:
        book = book_with(self.clock, job("a"))
        (run,) = self.begin(book, FIRST)
        self.assertEqual(book.used_on("w1"), SMALL)
        book.end(run.name, RunEnd.DONE)
        self.assertEqual(book.used_on("w1"), Resources())

    def test_a_second_run_of_a_task_violates_an_invariant(self) -> None:
        book = book_with(self.clock, job("a"))
        self.begin(book, FIRST)
        before = invariant_violations().get("one_run_of_a_task", 0)
        self.begin(book, FIRST)
        self.assertEqual(invariant_violations()["one_run_of_a_task"], before + 1)

    def test_more_than_a_worker_has_violates_an_invariant(self) -> None:
        book = book_with(self.clock, job("a", Step(2, Resources(1, 1, 5))))
        before = invariant_violations().get("room_not_exceeded", 0)
        self.begin(book, FIRST, SECOND)
        self.assertEqual(invariant_violations()["room_not_exceeded"], before + 1)

    def test_a_job_is_completed_when_every_task_is_done(self) -> None:
        book = book_with(self.clock, job("a"))
        for run in self.begin(book, FIRST, SECOND):
            self.assertIn("a", book.jobs)
            book.end(run.name, RunEnd.DONE)
        self.assertEqual(book.recorded_form("a"), (JobState.COMPLETED, {}))

    def test_an_end_that_comes_again_changes_nothing(self) -> None:
        book = book_with(self.clock, job("a"))
        (run,) = self.begin(book, FIRST)
        book.end(run.name, RunEnd.FAILED)
        book.end(run.name, RunEnd.FAILED)
        self.assertEqual(book.jobs["a"].task(FIRST).failures, 1)

    def test_attempts_are_counted_from_failed_ends_only(self) -> None:
        cases = [
            (RunEnd.FAILED, JobState.FAILED),
            (RunEnd.STOPPED, JobState.RUNNING),
            (RunEnd.LOST, JobState.RUNNING),
            (RunEnd.LEASE_EXPIRED, JobState.RUNNING),
            (RunEnd.PEER_ENDED, JobState.RUNNING),
        ]
        for end, state in cases:
            with self.subTest(end):
                book = book_with(self.clock, job("a"))
                for _ in range(2):
                    (run,) = self.begin(book, FIRST)
                    book.end(run.name, end)
                self.assertEqual(book.recorded_form("a")[0], state)

    def test_run_numbers_rise_and_are_shared_in_a_gang(self) -> None:
        gang = Step(2, SMALL, gang=True)
        book = book_with(self.clock, job("a", gang))
        first, second = self.begin(book, FIRST, SECOND)
        self.assertEqual((first.name.run, second.name.run), (1, 1))
        self.assertEqual(book.end(first.name, RunEnd.LOST), (second.name,))
        book.end(second.name, RunEnd.STOPPED)
        again = self.begin(book, FIRST, SECOND)
        self.assertEqual({run.name.run for run in again}, {2})

    def test_one_end_of_a_gang_stands_for_all(self) -> None:
        book = book_with(self.clock, job("a", Step(2, SMALL, gang=True)))
        first, second = self.begin(book, FIRST, SECOND)
        book.end(first.name, RunEnd.DONE)
        self.assertEqual(book.recorded_form("a")[0], JobState.COMPLETED)
        self.assertIn(second.name, book.runs)

    def test_a_gang_resumes_from_one_checkpoint(self) -> None:
        book = book_with(self.clock, job("a", Step(2, SMALL, gang=True, checkpointing=True)))
        first, second = self.begin(book, FIRST, SECOND)
        book.end(first.name, RunEnd.STOPPED, "c1")
        book.end(second.name, RunEnd.PEER_ENDED, "c2")
        self.assertEqual({run.checkpoint for run in self.begin(book, FIRST, SECOND)}, {"c2"})

    def test_steps_wait_for_those_before_them(self) -> None:
        steps = (Step(1, SMALL), Step(1, SMALL, after=(0,)))
        book = book_with(self.clock, job("a", *steps))
        tracked = book.jobs["a"]
        self.assertEqual([each[1] for each in tracked.waiting_steps(0, 0)], [0])
        (run,) = self.begin(book, FIRST)
        self.assertEqual(list(tracked.waiting_steps(0, 0)), [])
        book.end(run.name, RunEnd.DONE)
        self.assertEqual([each[1] for each in tracked.waiting_steps(0, 0)], [1])

    def test_occurrences_wait_for_their_time(self) -> None:
        timed = job("a", repetitions=3, start_at_ms=5_000, interval_ms=1_000)
        tracked = book_with(self.clock, timed).jobs["a"]
        for unix_ms, expected in ((4_000, []), (4_800, [0]), (6_100, [0, 1])):
            with self.subTest(unix_ms):
                found = [each[0] for each in tracked.waiting_steps(unix_ms, 250)]
                self.assertEqual(found, expected)

    def test_long_running_tasks_start_again_however_they_end(self) -> None:
        book = book_with(self.clock, job("a", Step(1, SMALL, long_running=True)))
        for end in (RunEnd.DONE, RunEnd.FAILED, RunEnd.FAILED, RunEnd.FAILED):
            (run,) = self.begin(book, FIRST)
            book.end(run.name, end)
        self.assertEqual(book.recorded_form("a")[0], JobState.RUNNING)

    def test_a_cancelled_job_stays_cancelled(self) -> None:
        book = book_with(self.clock, job("a"))
        (run,) = self.begin(book, FIRST)
        self.assertEqual(book.cancel("a"), (run.name,))
        book.end(run.name, RunEnd.DONE)
        self.assertEqual(book.recorded_form("a")[0], JobState.CANCELLED)

    def test_recorded_runs_take_room_after_a_change_of_coordinator(self) -> None:
        book = Book(self.clock)
        active = TaskProgress(TaskPhase.ACTIVE, 3, "w9", 1)
        book.add(job("a"), JobProgress(JobState.RUNNING, {FIRST: active}))
        (run,) = book.runs_on("w9")
        self.assertEqual(run.name.run, 3)
        self.assertIsNotNone(run.settled_ms)


if __name__ == "__main__":
    unittest.main()
