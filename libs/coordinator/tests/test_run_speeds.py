"""Tests of learning the speeds of workers from their reports."""

import logging
import unittest
from collections.abc import Mapping
from dataclasses import replace
from unittest import mock

from coordinator_cases import ManualClock, job, tracker_with, worker

from hornbeamfold.batch import (
    BatchJob,
    JobProgress,
    Resources,
    RunEnd,
    RunName,
    RunningTask,
    Step,
    TaskRef,
    Worker,
)
from hornbeamfold.coordinator import run_speeds
from hornbeamfold.coordinator.run_speeds import RECORD_MS, RunSpeeds
from hornbeamfold.estimates import SiblingDurations
from hornbeamfold.ledger.codec import decode_speeds
from hornbeamfold.scheduling import CandidateWorker, ReadyStep, no_slowdown

WORKERS = 6
TASKS_EACH = 6
STEP = Step(WORKERS * TASKS_EACH, Resources(1), 2_500)
SLOW = "w0"


def candidate(worker_id: str) -> CandidateWorker:
    """Return an idle worker."""
    each = worker(worker_id)
    return CandidateWorker(
        worker_id, each.service, "", "", frozenset(), each.capacity, each.capacity
    )


class RunSpeedsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.addCleanup(logging.disable, logging.NOTSET)
        logging.disable(logging.CRITICAL)
        self.clock = ManualClock(0)

    def learned(
        self,
        step: Step = STEP,
        speeds: Mapping[str, float] | None = None,
        slow_worker: Mapping[str, object] | None = None,
        other_steps: tuple[Step, ...] = (),
    ) -> RunSpeeds:
        """Return what is learned from 3 s of a job of which each worker runs some tasks.

        The worker `SLOW` is four times as slow as usual, unless `speeds` say otherwise.
        """
        speeds = {SLOW: 0.25} if speeds is None else speeds
        tracker = self.tracker = tracker_with(self.clock, job("a", step, *other_steps))
        learned = RunSpeeds(tracker, self.clock)
        workers = [worker(f"w{index}") for index in range(WORKERS)]
        workers[0] = replace(workers[0], **(slow_worker or {}))  # type: ignore[arg-type]
        refs = [TaskRef(0, 0, index) for index in range(step.count)]
        tracker.begin_runs("a", refs, [each for each in workers for _ in range(TASKS_EACH)])
        for second in range(4):
            for each in workers:
                learned.observe(each, self._report(tracker.runs_on(each.worker_id), second, speeds))
            self.clock.move(1_000)
            learned.update()
        return learned

    def _report(self, runs, second: int, speeds: Mapping[str, float]) -> list[RunningTask]:
        return [
            RunningTask(run.name, "", 20.0 * second * speeds.get(run.worker_id, 1.0))
            for run in runs
        ]

    def slowdown(self, learned: RunSpeeds, worker_id: str = SLOW) -> float:
        a_job: BatchJob = job("b", STEP)
        step = ReadyStep(a_job, 0, 0, (0,), 0, 1_000)
        return learned.slowdown()(step, candidate(worker_id))

    def test_a_worker_whose_tasks_lag_behind_their_siblings_is_slow(self) -> None:
        learned = self.learned()
        self.assertGreater(self.slowdown(learned), 3)
        self.assertEqual(self.slowdown(learned, "w1"), 1.0)
        last_resorts = [
            each.worker_id
            for each in learned.classified([candidate(f"w{i}") for i in range(WORKERS)])
            if each.last_resort
        ]
        self.assertEqual(last_resorts, [SLOW])

    def test_where_workers_are_uneven_unknown_ones_are_tried_and_count_as_slow(self) -> None:
        speeds = {"w0": 0.5, "w1": 0.5, "w4": 1.5, "w5": 1.5}
        learned = self.learned(speeds=speeds)
        self.assertGreater(self.slowdown(learned, "new"), 1.0)
        self.assertEqual(self.slowdown(learned, "w2"), 1.0)
        classified = learned.classified([candidate("w2"), candidate("new")])
        self.assertEqual([each.worker_id for each in classified if each.untried], ["new"])

    def test_a_worker_is_tried_until_it_has_a_task_that_tells(self) -> None:
        """Load: workers that have run members of gangs only."""
        gang = Step(1, Resources(1), 2_500, gang=True)
        single = Step(1, Resources(1), 2_500)
        for step, expected in ((gang, True), (single, False)):
            with self.subTest(gang=step.gang):
                learned = self.learned(speeds={"w0": 0.5, "w1": 0.5, "w4": 1.5, "w5": 1.5})
                self.tracker.add(job("b", step), JobProgress())
                self.tracker.begin_runs("b", [TaskRef(0, 0, 0)], [worker("new")])
                self.assertIs(learned.classified([candidate("new")])[0].untried, expected)

    def test_where_workers_are_alike_unknown_ones_are_as_well(self) -> None:
        learned = self.learned()
        self.assertEqual(self.slowdown(learned, "new"), 1.0)
        self.assertFalse(any(each.untried for each in learned.classified([candidate("new")])))

    def test_workers_that_are_alike_change_no_plan(self) -> None:
        self.assertIs(self.learned(speeds={}).slowdown(), no_slowdown)

    def test_odd_estimates_teach_nothing(self) -> None:
        """A caller's estimate that is off by far makes no worker slow."""
        learned = self.learned(replace(STEP, estimate_ms=10), {})
        self.assertIs(learned.slowdown(), no_slowdown)

    def test_tasks_that_are_slow_for_other_reasons_teach_nothing(self) -> None:
        cases: list[tuple[str, Step, Mapping[str, object]]] = [
            ("members of a gang progress together", replace(STEP, gang=True), {}),
            ("away from its data", replace(STEP, preferred_rack="r2"), {}),
            ("uses what others leave over", replace(STEP, best_effort=True), {}),
            ("runs for ever", replace(STEP, long_running=True), {}),
            ("a cold worker", STEP, {"cold_remaining_ms": 5_000}),
        ]
        for name, step, changes in cases:
            with self.subTest(name):
                learned = self.learned(step, slow_worker=changes)
                self.assertEqual(self.slowdown(learned), 1.0)

    def test_a_takeover_begins_with_what_was_recorded(self) -> None:
        """Load: coordinators are killed while workers are uneven; plans go on as before."""
        speeds = {"w0": 0.5, "w1": 0.5, "w4": 1.5, "w5": 1.5}
        learned = self.learned(speeds=speeds)
        self.clock.move(RECORD_MS)
        (record,) = learned.changed_records()
        self.assertEqual(learned.changed_records(), ())
        successor = RunSpeeds(tracker_with(self.clock), self.clock)
        successor.restore(decode_speeds(record.value))
        successor.update()
        for worker_id in ("w0", "w2", "w4", "new"):
            expected = self.slowdown(learned, worker_id)
            self.assertAlmostEqual(self.slowdown(successor, worker_id), expected, delta=0.3)
        self.clock.move(600_000)
        successor.update()
        self.assertEqual(self.slowdown(successor, "w0"), 1.0)

    def test_a_takeover_without_a_record_learns_anew(self) -> None:
        tracker = tracker_with(self.clock)
        self.assertIs(RunSpeeds(tracker, self.clock).slowdown(), no_slowdown)
        self.assertGreater(self.slowdown(self.learned()), 3)

    def test_odd_recorded_levels_do_no_harm(self) -> None:
        learned = RunSpeeds(tracker_with(self.clock), self.clock)
        learned.restore({"w0": -(10**9), "w1": 10**9})
        learned.update()
        self.assertLess(self.slowdown(learned, "w0"), 100)
        self.assertGreater(self.slowdown(learned, "w1"), 0.01)

    def test_nothing_is_recorded_of_workers_that_are_alike(self) -> None:
        learned = self.learned(speeds={})
        self.clock.move(RECORD_MS)
        self.assertEqual(learned.changed_records(), ())

    def test_steps_that_are_done_are_forgotten(self) -> None:
        """Guards against memory that grows with each occurrence of a scheduled job."""
        siblings = SiblingDurations()
        with mock.patch.object(run_speeds, "SiblingDurations", lambda: siblings):
            learned = self.learned(other_steps=(STEP,))
        name = RunName("a", TaskRef(0, 0, 0), 1)
        self.assertIsNotNone(siblings.log_usual_ms(name, SLOW, lambda _: 0.0))
        for run in tuple(self.tracker.runs):
            self.tracker.end_run(run, RunEnd.DONE)
        self.clock.move(1_000)
        learned.update()
        self.assertIn("a", self.tracker.jobs)
        self.assertIsNone(siblings.log_usual_ms(name, SLOW, lambda _: 0.0))

    def test_reports_of_runs_that_are_not_known_are_ignored(self) -> None:
        learned = RunSpeeds(tracker_with(self.clock), self.clock)
        each: Worker = worker()
        for percent in (10.0, 20.0):
            learned.observe(each, [RunningTask(RunName("x", TaskRef(0, 0, 0), 1), "", percent)])
            self.clock.move(1_000)
            learned.update()
        self.assertIs(learned.slowdown(), no_slowdown)


if __name__ == "__main__":
    unittest.main()
