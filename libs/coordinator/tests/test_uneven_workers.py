"""Replays a load on workers of uneven speed, which the planner has to learn."""

import logging
import unittest
from random import Random

from load_replay import EPOCH_MS, Recording, Result, replay

from hornbeamfold.batch import BatchJob, Resources, Step

WORKERS = 48
CAPACITY = Resources(32_000, 131_072, 8)
SPEEDS = (0.6, 1.0, 1.6)
SECONDS = 20
SEEDS = (1, 2, 3, 4)
# Urgent jobs that are late, as a share of those that are without learning.
MAX_SHARE_LATE = 0.8


def line_inspection(seed: int) -> Recording:
    """Return a load of urgent gangs in one rack beside patient gangs and patient single tasks.

    Urgent gangs must end in 1.5 times their duration. The callers' estimates are off by up to half.
    """
    random = Random(seed)
    jobs: list[BatchJob] = []
    durations_ms: dict[str, tuple[int, ...]] = {}

    def add(at_ms: int, priority: int, stretch: float, step: Step, usual_ms: int) -> None:
        took_ms = int(usual_ms * random.lognormvariate(0, 0.3))
        estimate_ms = int(took_ms * random.uniform(0.67, 1.5))
        job_id = f"j{len(jobs)}"
        step = Step(**{**vars(step), "estimate_ms": estimate_ms})
        durations_ms[job_id] = (took_ms,)
        jobs.append(
            BatchJob(
                job_id, f"q{priority}", "scorer", "crew", "", (step,), priority, 4, stretch, 500,
                EPOCH_MS + at_ms,
            )
        )  # fmt: skip

    for at_ms in [0] * 8 + [*range(1_000, SECONDS * 1_000, 2_000)]:
        single = Step(24, Resources(2_800, 11_000, 1))
        add(at_ms, 2, 3.0, single, 5_200)
    for at_ms in range(0, SECONDS * 1_000, 3_000):
        gang = Step(8, Resources(13_000, 68_000, random.choice((1, 2, 4, 8))), gang=True)
        add(at_ms, 1, 3.0, gang, 9_400)
    for at_ms in range(4_000, SECONDS * 1_000, 500):
        demand = Resources(3_700, 15_000, random.choice((1, 2, 4, 8)))
        add(at_ms, 0, 1.5, Step(5, demand, gang=True, one_rack=True), 2_100)
    return Recording(WORKERS, 8, CAPACITY, {}, tuple(jobs), durations_ms)


class UnevenWorkersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.addCleanup(logging.disable, logging.NOTSET)
        logging.disable(logging.CRITICAL)

    def on_time(self, result: Result) -> float:
        """Return the share of urgent jobs that ended in time."""
        urgent = result.by_priority[0]
        return urgent.on_time / (urgent.on_time + urgent.late + urgent.expired)

    def test_urgent_gangs_end_in_time_on_uneven_workers(self) -> None:
        """Guards against urgent gangs that start at once on slow workers and end late.

        Load: urgent gangs in one rack on workers at 0.6, 1.0 and 1.6 of the usual speed, which all
        describe themselves as alike. Other work must not end later because of them.
        """
        untaught = learned = 0.0
        for seed in SEEDS:
            recording = line_inspection(seed)
            before, after = replay(recording, SPEEDS, learning=False), replay(recording, SPEEDS)
            untaught += self.on_time(before)
            learned += self.on_time(after)
            for priority in (1, 2):
                self.assertEqual(after.by_priority[priority].expired, 0)
        self.assertLess(1 - learned / len(SEEDS), MAX_SHARE_LATE * (1 - untaught / len(SEEDS)))

    def test_plans_do_not_change_on_workers_that_are_alike(self) -> None:
        recording = line_inspection(2)
        self.assertEqual(replay(recording), replay(recording, learning=False))


if __name__ == "__main__":
    unittest.main()
