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

    def test_accelerators_of_an_overfull_worker_are_no_headroom(self) -> None:
        """Guards against headroom for urgent work where no task can start."""
        cases = [
            ("processor time", Resources(0, 256_000, 8)),
            ("memory", Resources(64_000, 0, 8)),
        ]
        for name, capacity in cases:
            with self.subTest(name):
                workers = [shrunk("w1", capacity, resources(2)), candidate("w2")]
                result = plan([ready("a", Step(8, resources(1)))], workers, [], NOW, {"planner": 6})
                self.assertEqual(placed(result), ["w2"] * 2)

    def test_a_full_worker_beside_a_shrunk_one_gets_tasks_without_accelerators(self) -> None:
        overfull = shrunk("w1", resources(4, 256_000, 64_000), resources(8))
        full = candidate("w2", free=CAPACITY - resources(8))
        result = plan([ready("a", Step(1, resources(0)))], [overfull, full], [], NOW)
        self.assertEqual(placed(result), ["w2"])

    def test_best_effort_tasks_do_not_start_on_a_worker_over_its_processor_time(self) -> None:
        """Guards against starts that need none of the exceeded resource but add to the worker."""
        best_effort = Step(1, Resources(4_000, 1_000, 0), best_effort=True)
        cases = [
            ("processor time", Resources(2_000, 256_000, 8)),
            ("memory", Resources(64_000, 1_000, 8)),
            ("accelerators", Resources(64_000, 256_000, 0)),
        ]
        for name, capacity in cases:
            with self.subTest(name):
                overfull = shrunk("w1", capacity, Resources(4_000, 4_000, 1))
                self.assertEqual(placed(plan([ready("a", best_effort)], [overfull], [], NOW)), [])
                self.assertEqual(
                    placed(plan([ready("a", best_effort)], [overfull, candidate("w2")], [], NOW)),
                    ["w2"],
                )

    def test_tasks_are_placed_when_the_room_grows_again(self) -> None:
        for step in (Step(1, resources(8)), Step(2, resources(4), gang=True, one_rack=True)):
            with self.subTest(step=step):
                shrunken = shrunk("w1", resources(4, 256_000, 64_000), Resources())
                small = plan([ready("a", step)], [shrunken], [], NOW)
                self.assertEqual((placed(small), small.blocked), ([], 1))
                grown = plan([ready("a", step)], [candidate("w1")], [], NOW)
                self.assertEqual(placed(grown), ["w1"] * step.count)


class ReservationTest(unittest.TestCase):
    def test_a_step_that_fits_nowhere_after_a_shrink_reserves_nothing(self) -> None:
        """Guards against idle room that is kept for a step which no end of a run can help."""
        capacity = resources(4, 256_000, 64_000)
        large = ready("large", Step(1, resources(8), gang=True), due_ms=5_000)
        small = ready("small", Step(1, resources(1), estimate_ms=60_000))
        workers = [shrunk("w1", capacity, resources(2)), shrunk("w2", capacity, resources(8))]
        runs = [
            placed_run("x", 0, "w1", resources(2), remaining_ms=1_000),
            placed_run("y", 0, "w2", resources(8), remaining_ms=1_000),
        ]
        self.assertEqual(placed(plan([large, small], workers, runs, NOW)), ["w1"])

    def test_a_shrunk_worker_has_room_only_after_enough_runs_have_ended(self) -> None:
        """Guards against a reservation for a time at which the worker is still over its room."""
        capacity = resources(4, 256_000, 64_000)
        large = ready("large", Step(1, resources(4), gang=True), due_ms=5_000)
        small = ready("small", Step(1, resources(1), estimate_ms=60_000))
        workers = [
            shrunk("w1", capacity, resources(8, 2_000, 2_000)),
            candidate("w2", free=CAPACITY - resources(7)),
        ]
        runs = [
            placed_run("x", 0, "w1", resources(4), remaining_ms=1_000),
            placed_run("y", 0, "w1", resources(4), remaining_ms=3_000),
            placed_run("z", 0, "w2", resources(3), remaining_ms=2_000),
        ]
        # The large step fits on w2 first, where the reservation then keeps the small one away.
        self.assertEqual(placed(plan([large, small], workers, runs, NOW)), [])


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

    def test_nothing_is_preempted_for_room_that_a_shrunk_worker_does_not_have(self) -> None:
        """Guards against runs that are stopped where the guaranteed task does not fit anyway."""
        runs = [placed_run(name, 0, "w1", resources(4)) for name in ("x", "y")]
        worker = shrunk("w1", resources(4, 256_000, 64_000), resources(8, 2_000, 2_000))
        cases = [
            ("too large", Step(1, resources(5)), []),
            ("a gang that is too large", Step(2, resources(4), gang=True), []),
            ("fits once both runs have ended", Step(1, resources(4)), ["x", "y"]),
        ]
        for name, step, expected in cases:
            with self.subTest(name):
                self.assertEqual(self.victims(step, [worker], runs), expected)

    def test_another_worker_is_reclaimed_if_a_shrunk_one_would_lose_more(self) -> None:
        runs = [
            placed_run("x", 0, "w1", resources(4), lost_work=4.0),
            placed_run("y", 0, "w1", resources(4), lost_work=4.0),
            placed_run("z", 0, "w2", resources(8), lost_work=6.0),
        ]
        workers = [
            shrunk("w1", resources(4, 256_000, 64_000), resources(8, 2_000, 2_000)),
            candidate("w2", free=CAPACITY - resources(8)),
        ]
        self.assertEqual(self.victims(Step(1, resources(4)), workers, runs), ["z"])

    def test_runs_that_are_stopping_on_a_shrunk_worker_still_count(self) -> None:
        """Guards against a guaranteed task that waits for room that the stops do not make."""
        runs = [
            placed_run("x", 0, "w1", resources(4), stopping=True),
            placed_run("y", 0, "w1", resources(4)),
        ]
        worker = shrunk("w1", resources(4, 256_000, 64_000), resources(8, 2_000, 2_000))
        self.assertEqual(self.victims(Step(1, resources(4)), [worker], runs), ["y"])


if __name__ == "__main__":
    unittest.main()
