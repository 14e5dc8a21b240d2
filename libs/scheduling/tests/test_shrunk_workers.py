"""Tests for a planning pass with workers that have shrunk below what runs on them."""

import unittest

from scheduling_cases import CAPACITY, candidate, placed_run, ready, resources

from hornbeamfold.batch import Resources, Step
from hornbeamfold.scheduling import CandidateWorker, PlacedRun, Plan, plan

NOW = 1_000


def shrunk(
    worker: str, capacity: Resources, reserved: Resources, rack: str = "r1"
) -> CandidateWorker:
    """Return a worker with this capacity left and runs that reserve more."""
    return candidate(worker, rack, capacity - reserved, capacity=capacity)


def placed(result: Plan) -> list[str]:
    """Return the workers of the assignments."""
    return [each.worker_id for each in result.assignments]


class PlacementTest(unittest.TestCase):
    def test_a_shrunk_worker_does_not_hide_the_room_of_others(self) -> None:
        """Guards against tasks that wait for idle workers, as negative room was subtracted."""
        overfull = shrunk("w1", resources(0, 256_000, 64_000), resources(8))
        cases = [
            ("a task", Step(1, resources(1)), {}, ["w2"]),
            ("a task without accelerators", Step(1, resources(0)), {}, ["w2"]),
            ("a gang", Step(8, resources(1), gang=True), {}, ["w2"] * 8),
            ("beside headroom", Step(8, resources(1)), {"planner": 4}, ["w2"] * 4),
        ]
        for name, step, headroom, expected in cases:
            with self.subTest(name):
                workers = [overfull, candidate("w2")]
                result = plan([ready("a", step)], workers, [], NOW, headroom)
                self.assertEqual(placed(result), expected)

    def test_a_full_worker_beside_a_shrunk_one_gets_tasks_without_accelerators(self) -> None:
        overfull = shrunk("w1", resources(4, 256_000, 64_000), resources(8))
        full = candidate("w2", free=CAPACITY - resources(8))
        result = plan([ready("a", Step(1, resources(0)))], [overfull, full], [], NOW)
        self.assertEqual(placed(result), ["w2"])


class ReclaimTest(unittest.TestCase):
    def victims(self, step: Step, workers: list[CandidateWorker], runs: list[PlacedRun]) -> list:
        """Return the jobs whose runs are preempted for a guaranteed step."""
        waiting = ready("a", step, 0, entitled=True)
        result = plan([waiting], workers, runs, NOW)
        self.assertEqual(result.assignments, ())
        return sorted(each.name.job_id for each in result.preemptions)

    def test_only_runs_that_free_what_is_missing_are_preempted(self) -> None:
        """Guards against stopping a run that has none of the resource that shrank."""
        capacity = resources(4, 256_000, 64_000)
        runs = [
            placed_run("cheap", 0, "w1", resources(0), lost_work=1.0),
            placed_run("other", 0, "w1", resources(4), lost_work=10.0),
        ]
        worker = shrunk("w1", capacity, resources(4) + resources(0))
        self.assertEqual(self.victims(Step(1, resources(4)), [worker], runs), ["other"])


if __name__ == "__main__":
    unittest.main()
