"""Tests of what failures on workers change for new tasks."""

import unittest

from coordinator_cases import ManualClock

from hornbeamfold.batch import BatchJob, Resources, Step
from hornbeamfold.coordinator.health import SUSPICION_MS, WorkerHealth
from hornbeamfold.scheduling import CandidateWorker, ReadyStep, no_slowdown, plan

DEMAND = Resources(1_000, 1_000, 4)
CAPACITY = Resources(8_000, 8_000, 8)


def gang(count: int) -> ReadyStep:
    """Return a gang of an urgent job that may start."""
    step = Step(count, DEMAND, 2_000, gang=True)
    job = BatchJob("job", "queue", "service", "org", "", (step,), 0, 4, 3.0, 1_000, 0)
    return ReadyStep(job, 0, 0, tuple(range(count)), 0, 10_000)


def candidates(count: int) -> list[CandidateWorker]:
    """Return idle workers."""
    return [
        CandidateWorker(f"w{index}", "service", "zone", "rack", frozenset(), CAPACITY, CAPACITY)
        for index in range(count)
    ]


class SuspectedWorkerTest(unittest.TestCase):
    """Load: gangs beside some workers that fail all that they start, and say that they are well."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.health = WorkerHealth(self.clock)

    def place(self, step: ReadyStep, workers: int) -> set[str]:
        """Return the workers that a pass chooses."""
        result = plan([step], candidates(workers), [], 0, disturbance=self.health.slowdown())
        return {each.worker_id for each in result.assignments}

    def test_a_gang_avoids_a_worker_on_which_one_job_failed(self) -> None:
        """Guards against a gang that begins again and again, each time on one failing worker."""
        self.assertEqual(self.place(gang(4), 4), {"w0", "w1"})
        self.health.failed("w0", "other")
        self.assertFalse(self.health.is_excluded("w0"))
        self.assertEqual(self.place(gang(4), 4), {"w1", "w2"})

    def test_a_suspected_worker_is_used_when_there_is_no_other_room(self) -> None:
        """Guards against work that waits for workers because a job of others has failed."""
        self.health.failed("w0", "other")
        self.assertEqual(self.place(gang(4), 2), {"w0", "w1"})

    def test_a_success_or_time_ends_the_suspicion(self) -> None:
        """Guards against workers that never get work again."""
        self.health.failed("w0", "other")
        self.health.succeeded("w0")
        self.assertIs(self.health.slowdown(), no_slowdown)
        self.health.failed("w0", "other")
        self.clock.move(SUSPICION_MS)
        self.assertIs(self.health.slowdown(), no_slowdown)


if __name__ == "__main__":
    unittest.main()
