"""Tests of which workers a step gets when some are faster than others."""

import unittest
from collections.abc import Mapping

from scheduling_cases import candidate, placed_run, ready, resources

from hornbeamfold.batch import Resources, Step
from hornbeamfold.scheduling import (
    CandidateWorker,
    ReadyStep,
    Slowdown,
    no_slowdown,
    plan,
    product,
)

NOW = 1_000
NOTHING = Resources()
GANG = Step(2, resources(8), estimate_ms=2_000, gang=True, one_rack=True)


def slowdowns(factors: Mapping[str, float]) -> Slowdown:
    """Return the slowdown of workers, 1 of those that are not listed."""

    def slowdown(step: ReadyStep, worker: CandidateWorker) -> float:
        return factors.get(worker.worker_id, 1.0)

    return slowdown


def chosen(
    step: ReadyStep, workers: list[CandidateWorker], factors: Mapping[str, float]
) -> list[str]:
    """Return the workers that a pass chooses for a step."""
    result = plan([step], workers, [], NOW, slowdown=slowdowns(factors))
    return sorted(each.worker_id for each in result.assignments)


class WorkerChoiceTest(unittest.TestCase):
    def test_an_urgent_gang_gets_the_rack_with_the_fastest_slowest_worker(self) -> None:
        """Load: urgent gangs in one rack that start at once and end late on slow workers."""
        workers = [
            candidate("a1", "ra"),
            candidate("a2", "ra"),
            candidate("a3", "ra"),
            candidate("b1", "rb"),
            candidate("b2", "rb"),
        ]
        factors = {"a1": 0.6, "a2": 1.7, "a3": 1.7, "b1": 0.6, "b2": 0.6}
        step = ready("a", GANG, priority=0)
        self.assertEqual(chosen(step, workers, factors), ["b1", "b2"])

    def test_an_urgent_gang_gets_the_fastest_workers_of_its_rack(self) -> None:
        workers = [candidate(f"a{index}", "ra") for index in range(4)]
        step = ready("a", GANG, priority=0)
        self.assertEqual(chosen(step, workers, {"a0": 1.7, "a2": 1.7}), ["a1", "a3"])

    def test_other_work_leaves_fast_workers_to_urgent_work(self) -> None:
        """Load: single tasks of best fit would take the fast workers that urgent gangs need."""
        workers = [candidate("w1"), candidate("w2"), candidate("w3")]
        step = ready("a", Step(1, resources(1), 1_000), due_ms=NOW + 10_000)
        self.assertEqual(chosen(step, workers, {"w1": 0.6, "w3": 1.7}), ["w3"])

    def test_other_work_that_would_be_late_on_a_slow_worker_takes_a_faster_one(self) -> None:
        workers = [candidate("w1"), candidate("w2"), candidate("w3")]
        factors = {"w1": 0.6, "w3": 1.7}
        cases = [(3_000, "w3"), (2_000, "w2"), (1_000, "w1"), (100, "w1")]
        for time_left_ms, expected in cases:
            with self.subTest(time_left_ms=time_left_ms):
                step = ready("a", Step(1, resources(1), 1_000), due_ms=NOW + time_left_ms)
                self.assertEqual(chosen(step, workers, factors), [expected])

    def test_of_equally_fast_workers_the_best_fit_is_taken(self) -> None:
        workers = [candidate("w1"), candidate("w2", free=resources(2, 100_000, 30_000))]
        for priority in (0, 1):
            with self.subTest(priority=priority):
                step = ready("a", Step(1, resources(1)), priority=priority)
                self.assertEqual(chosen(step, workers, {"w1": 1.7, "w2": 1.7}), ["w2"])

    def test_a_slow_worker_that_is_reserved_soon_gets_no_task_that_ends_later(self) -> None:
        """A task that would end before a reservation on a usual worker may not on a slow one."""
        large = ready("a", Step(1, resources(8), 1_000), due_ms=NOW + 1, priority=0)
        small = ready("b", Step(1, resources(1), 1_000), due_ms=NOW + 60_000)
        worker = candidate("w1", free=resources(4))
        for factor, expected in ((1.0, ["w1"]), (3.0, [])):
            with self.subTest(factor=factor):
                self.assertEqual(self._placed_beside(large, small, worker, factor), expected)

    def _placed_beside(
        self, large: ReadyStep, small: ReadyStep, worker: CandidateWorker, factor: float
    ) -> list[str]:
        runs = [placed_run("c", 0, "w1", resources(4), remaining_ms=2_000, protected=True)]
        result = plan([large, small], [worker], runs, NOW, slowdown=slowdowns({"w1": factor}))
        return [each.worker_id for each in result.assignments if each.job_id == "b"]

    def test_some_single_tasks_try_workers_of_which_nothing_is_known(self) -> None:
        """Load: workers of uneven speed of which many have run gangs only, which tell little."""
        workers = [
            candidate("w1", free=resources(6, 200_000, 60_000)),
            candidate("w2", untried=True),
            candidate("w3", untried=True),
        ]
        single = Step(5, resources(1), 1_000)
        cases = [
            ("single tasks", ready("a", single), ["w1", "w2", "w2", "w3", "w3"]),
            ("urgent", ready("a", single, priority=0), ["w1"] * 5),
            ("a gang", ready("a", Step(5, resources(1), 1_000, gang=True)), ["w1"] * 5),
        ]
        for name, step, expected in cases:
            with self.subTest(name):
                self.assertEqual(chosen(step, workers, {}), expected)

    def test_nothing_is_tried_in_a_full_service(self) -> None:
        workers = [candidate("w1", free=resources(1)), candidate("w2", untried=True)]
        workers.append(candidate("w3", free=NOTHING))
        step = ready("a", Step(1, resources(1), 1_000))
        self.assertEqual(chosen(step, workers, {}), ["w1"])

    def test_all_room_of_an_untried_worker_is_used_if_there_is_no_other(self) -> None:
        step = ready("a", Step(8, resources(1), 1_000))
        self.assertEqual(chosen(step, [candidate("w1", untried=True)], {}), ["w1"] * 8)

    def test_a_gang_that_headroom_keeps_back_waits(self) -> None:
        step = ready("a", GANG, due_ms=NOW + 60_000)
        workers = [candidate("w1"), candidate("w2")]
        result = plan(
            [step], workers, [], NOW, {step.job.service: 8}, slowdown=slowdowns({"w1": 1.7})
        )
        self.assertEqual(result.assignments, ())


class ProductTest(unittest.TestCase):
    def test_the_factors_of_independent_causes_are_multiplied(self) -> None:
        step = ready("a", GANG)
        two, three = slowdowns({"w1": 2.0}), slowdowns({"w1": 3.0})
        self.assertIs(product((no_slowdown, no_slowdown)), no_slowdown)
        self.assertIs(product((no_slowdown, two)), two)
        self.assertEqual(product((two, three))(step, candidate("w1")), 6.0)


if __name__ == "__main__":
    unittest.main()
