"""Tests that tasks which slow each other down are kept apart where there is room."""

import unittest
from collections import Counter

from scheduling_cases import candidate, ready, resources

from hornbeamfold.batch import Step
from hornbeamfold.scheduling import CandidateWorker, Plan, ReadyStep, Slowdown, plan

NOW = 1_000


def slowed_beside(*images: str) -> Slowdown:
    """Return that tasks of these images slow each other down, and are on no worker yet."""

    def factor(step: ReadyStep, worker: CandidateWorker) -> float:
        if step.step.image not in images:
            return 1.0
        return 1.0 + sum(each.step.image in images for each in worker.newcomers)

    return factor


def loads(result: Plan) -> dict[str, list[int]]:
    """Return how many tasks of each job the workers have, in descending order."""
    found: dict[str, Counter[str]] = {}
    for each in result.assignments:
        found.setdefault(each.job_id, Counter())[each.worker_id] += 1
    return {job_id: sorted(counts.values(), reverse=True) for job_id, counts in found.items()}


class NewcomersTest(unittest.TestCase):
    def test_steps_of_one_pass_are_kept_apart(self) -> None:
        """Guards against two steps that are placed together since neither was there before."""
        steps = [
            ready("a", Step(1, resources(1), image="frame")),
            ready("b", Step(1, resources(1), image="noise")),
        ]
        workers = [candidate("w1"), candidate("w2")]
        result = plan(steps, workers, [], NOW, disturbance=slowed_beside("frame", "noise"))
        self.assertEqual(len({each.worker_id for each in result.assignments}), 2)
        result = plan(steps, workers, [], NOW, disturbance=slowed_beside("frame"))
        self.assertEqual(len({each.worker_id for each in result.assignments}), 1)

    def test_tasks_that_disturb_their_own_kind_are_spread(self) -> None:
        step = ready("a", Step(4, resources(1), image="frame"))
        workers = [candidate("w1"), candidate("w2")]
        result = plan([step], workers, [], NOW, disturbance=slowed_beside("frame"))
        self.assertEqual(loads(result), {"a": [2, 2]})
        result = plan([step], workers, [], NOW, disturbance=slowed_beside("other"))
        self.assertEqual(loads(result), {"a": [4]})

    def test_without_other_room_they_are_placed_together(self) -> None:
        """Guards against jobs that wait for a worker without others beside them."""
        steps = [
            ready("a", Step(5, resources(1), image="frame")),
            ready("b", Step(3, resources(1), image="noise")),
        ]
        result = plan(
            steps, [candidate("w1")], [], NOW, disturbance=slowed_beside("frame", "noise")
        )
        self.assertEqual(loads(result), {"a": [5], "b": [3]})
        self.assertEqual(result.blocked, 0)

    def test_spread_tasks_keep_within_room_and_limits(self) -> None:
        workers = [candidate("w1", free=resources(1)), candidate("w2")]
        step = ready("a", Step(6, resources(1), image="frame", max_per_worker=4))
        result = plan([step], workers, [], NOW, disturbance=slowed_beside("frame"))
        self.assertEqual(loads(result), {"a": [4, 1]})


if __name__ == "__main__":
    unittest.main()
