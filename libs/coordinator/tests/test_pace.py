"""Tests of finding runs that stand still or are slow."""

import unittest
from dataclasses import replace

from coordinator_cases import ManualClock, book_with, job, worker

from hornbeamfold.batch import (
    JobProgress,
    JobState,
    Resources,
    RunEnd,
    RunName,
    RunningTask,
    Step,
    TaskRef,
)
from hornbeamfold.coordinator.book import Book
from hornbeamfold.coordinator.pace import STALLED_MS, late_runs, leaving_runs

REFS = [TaskRef(0, 0, index) for index in range(3)]


class LateRunsTest(unittest.TestCase):
    def found(
        self, *reports: tuple[int, float], step: Step | None = None, other: float | None = None
    ) -> list[str]:
        """Return why a run counts as late after reports of progress at these times.

        `other` is the progress of two tasks on other workers at the time of the last report.
        """
        clock = ManualClock(0)
        book = book_with(clock, job("a", step or Step(3, Resources(1), 2_500)))
        run, *siblings = book.begin("a", REFS, [worker(), worker("w2"), worker("w3")])
        book.settle(run.name)
        for at_ms, percent in reports:
            clock.move(at_ms - clock())
            book.note_running(RunningTask(run.name, "", percent))
        for sibling in siblings if other is not None else ():
            book.note_running(RunningTask(sibling.name, "", other))
        return [each.reason for each in late_runs(book, book.runs_on("w1"), clock())]

    def test_runs(self) -> None:
        checkpointing = Step(3, Resources(1), 2_500, checkpointing=True)
        lasting = Step(3, Resources(1), 2_500, long_running=True)
        gang = Step(3, Resources(1), 2_500, gang=True)
        near = Step(3, Resources(1), 2_500, preferred_rack="r1")
        cases = [
            ("as its siblings", [(800, 32.0)], None, 40.0, []),
            ("still", [(800, 30.0), (800 + STALLED_MS + 1, 30.0)], None, 90.0, ["stalled"]),
            ("never began", [(800, 0.0), (STALLED_MS + 1, 0.0)], None, None, ["stalled"]),
            ("six times slower", [(1_600, 10.0)], None, 64.0, ["slow"]),
            ("a low estimate says nothing", [(1_600, 10.0)], None, None, []),
            ("slow, but nearly done", [(2_300, 90.0)], None, 99.0, []),
            ("slow with a checkpoint", [(8_000, 20.0)], checkpointing, 80.0, ["slow"]),
            ("a gang has one pace", [(1_600, 10.0)], gang, 64.0, []),
            ("away from its data", [(1_600, 10.0)], near, 64.0, []),
            ("too little to tell", [(1_600, 3.0)], None, 64.0, []),
            ("lasting work", [(800, 30.0), (9_000, 30.0)], lasting, 64.0, []),
        ]
        for name, reports, step, other, expected in cases:
            with self.subTest(name):
                self.assertEqual(self.found(*reports, step=step, other=other), expected)

    def test_runs_of_an_earlier_coordinator_say_nothing_of_the_time_before(self) -> None:
        """Guards against runs that look fast, and others slow, after a takeover."""
        clock = ManualClock(0)
        before = book_with(clock, job("a", Step(3, Resources(1), 2_500)))
        before.begin("a", REFS, [worker(), worker("w2"), worker("w3")])
        _, tasks = before.recorded_form("a")
        clock.move(10_000)
        book = Book(clock)
        book.add(job("a", Step(3, Resources(1), 2_500)), JobProgress(JobState.RUNNING, tasks))
        names = [RunName("a", ref, 1) for ref in REFS]
        for at_ms, percents in ((10_000, (20.0, 90.0, 90.0)), (11_000, (24.0, 94.0, 94.0))):
            clock.move(at_ms - clock())
            for name, percent in zip(names, percents, strict=True):
                book.note_running(RunningTask(name, "", percent))
        for name in names[1:]:
            book.end(name, RunEnd.DONE)
        self.assertEqual(late_runs(book, book.runs_on("w1"), clock()), [])


class LeavingRunsTest(unittest.TestCase):
    def test_runs_that_cannot_end_before_their_worker_leaves(self) -> None:
        plain = Step(1, Resources(1), 9_000)
        saving = Step(1, Resources(1), 9_000, checkpointing=True)
        lasting = Step(1, Resources(1), 9_000, long_running=True, checkpointing=True)
        cases = [
            ("stays", plain, False, 0, 20.0, 0),
            ("ends in time", saving, True, 5_000, 50.0, 0),
            ("saves its work", saving, True, 3_000, 50.0, 1),
            ("may end if the worker lingers", plain, True, 3_000, 50.0, 0),
            ("loses its work anyway", plain, True, 500, 50.0, 1),
            ("lasting work", lasting, True, 0, 50.0, 0),
        ]
        for name, step, draining, remaining_ms, percent, expected in cases:
            with self.subTest(name):
                clock = ManualClock(0)
                book = book_with(clock, job("a", step))
                (run,) = book.begin("a", REFS[:1], [worker()])
                book.settle(run.name)
                # Half of the work in 4 s, so 4 s are left.
                clock.move(4_000)
                book.note_running(RunningTask(run.name, "", percent))
                drains = replace(worker(), draining=draining, drain_remaining_ms=remaining_ms)
                found = leaving_runs(book, book.runs_on("w1"), drains, clock())
                self.assertEqual(len(found), expected)


if __name__ == "__main__":
    unittest.main()
