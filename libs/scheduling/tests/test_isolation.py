"""Tests for steps whose tasks must run alone, as workers have crashed under them."""

import unittest

from scheduling_cases import CAPACITY, candidate, placed_run, ready, resources

from hornbeamfold.batch import Resources, Step
from hornbeamfold.scheduling import CandidateWorker, Plan, plan

NOW = 1_000
ONE = resources(1)
BUSY = CAPACITY - ONE


def placed(result: Plan) -> dict[str, list[str]]:
    """Return the workers of each job's tasks."""
    found: dict[str, list[str]] = {}
    for each in result.assignments:
        found.setdefault(each.job_id, []).append(each.worker_id)
    return found


def busy(worker: str, free: Resources = BUSY) -> CandidateWorker:
    """Return a worker with runs."""
    return candidate(worker, free=free, has_runs=True)


class IsolationTest(unittest.TestCase):
    def test_an_isolated_task_gets_an_idle_worker(self) -> None:
        """Guards against a suspected task that takes its neighbours with it."""
        suspect = ready("a", Step(1, ONE), isolated=True)
        result = plan([suspect], [busy("w1"), candidate("w2")], [], NOW)
        self.assertEqual(placed(result), {"a": ["w2"]})
        # A run that reserves nothing is company as well.
        self.assertEqual(placed(plan([suspect], [busy("w1", CAPACITY)], [], NOW)), {})

    def test_each_isolated_task_gets_a_worker_of_its_own(self) -> None:
        suspects = ready("a", Step(3, ONE), isolated=True)
        result = plan([suspects], [candidate("w1"), candidate("w2")], [], NOW)
        self.assertEqual(placed(result), {"a": ["w1", "w2"]})

    def test_nothing_else_is_placed_on_its_worker(self) -> None:
        """Guards against new neighbours of a suspected task."""
        suspect = ready("a", Step(1, ONE), isolated=True)
        for name, priorities, expected in (
            ("after it", (0, 1), {"a": ["w1"]}),
            ("before it", (1, 0), {"b": ["w1"]}),
        ):
            with self.subTest(name):
                steps = [
                    ready("a", Step(1, ONE), priorities[0], isolated=True),
                    ready("b", Step(1, ONE), priorities[1]),
                ]
                self.assertEqual(placed(plan(steps, [candidate("w1")], [], NOW)), expected)
        other = ready("b", Step(1, ONE), isolated=True)
        result = plan([suspect, other], [candidate("w1")], [], NOW)
        self.assertEqual(len(result.assignments), 1)

    def test_members_of_an_isolated_gang_share_workers(self) -> None:
        """Guards against a gang that waits for more idle workers than there are."""
        gang = ready("a", Step(4, resources(4), gang=True), priority=0, isolated=True)
        other = ready("b", Step(1, ONE))
        workers = [candidate("w1"), busy("w2"), candidate("w3")]
        result = plan([gang, other], workers, [], NOW)
        self.assertEqual(placed(result), {"a": ["w1", "w1", "w3", "w3"], "b": ["w2"]})

    def test_an_isolated_step_preempts_nothing(self) -> None:
        """Guards against work that is thrown away for a suspected task."""
        suspect = ready("a", Step(1, ONE), priority=0, entitled=True, isolated=True)
        run = placed_run("b", 0, "w1", CAPACITY, remaining_ms=60_000)
        result = plan([suspect], [busy("w1", Resources())], [run], NOW)
        self.assertEqual(result, Plan(blocked=1))

    def test_a_blocked_isolated_task_gets_a_reservation(self) -> None:
        """Guards against a suspected task that never finds an idle worker in a busy service."""
        runs = [
            placed_run("c", 0, "w1", ONE, remaining_ms=3_000),
            placed_run("c", 1, "w2", ONE, remaining_ms=9_000),
        ]
        for entitled in (False, True):
            with self.subTest(entitled):
                suspect = ready("a", Step(2, ONE), 0, entitled=entitled, isolated=True)
                lasting = ready("b", Step(16, ONE, estimate_ms=4_000))
                short = ready("d", Step(1, ONE, estimate_ms=2_000), due_ms=200_000)
                result = plan([suspect, lasting, short], [busy("w1"), busy("w2")], runs, NOW)
                # Only what ends before the reservation begins may use the worker.
                self.assertEqual(placed(result), {"b": ["w2"] * 7, "d": ["w1"]})

    def test_reservations_of_isolated_tasks_leave_those_of_gangs(self) -> None:
        """Guards against gangs that starve as two suspected tasks hold both reservations."""
        names = ["w1", "w2", "w3", "w4"]
        runs = [
            placed_run("c", index, worker, ONE, remaining_ms=1_000 * (index + 3))
            for index, worker in enumerate(names)
        ]
        suspects = [ready(name, Step(1, ONE), 0, isolated=True) for name in "ab"]
        gangs = [ready(name, Step(1, CAPACITY, gang=True), 0) for name in ("g1", "g2")]
        lasting = ready("z", Step(28, ONE, estimate_ms=20_000))
        result = plan([*suspects, *gangs, lasting], [busy(name) for name in names], runs, NOW)
        # One worker is reserved for a suspected task, and one for each gang.
        self.assertEqual(placed(result), {"z": ["w4"] * 7})

    def test_an_idle_job_does_not_wait_for_an_idle_worker_beside_ample_room(self) -> None:
        """Guards against a job that has no run for 3 s since every worker has a small run."""
        workers = [candidate(f"w{index}", has_runs=True) for index in range(3)]
        step = ready("a", Step(1, resources(1)), isolated=True, idle_since_ms=0)
        for now_ms, expected in ((1_500, 0), (2_500, 1)):
            with self.subTest(now_ms=now_ms):
                result = plan([step], workers, [], now_ms)
                self.assertEqual(len(result.assignments), expected)
        others = [candidate("w9"), *workers]
        (chosen,) = plan([step], others, [], 2_500).assignments
        self.assertEqual((chosen.worker_id, chosen.reason), ("w9", "isolated"))


if __name__ == "__main__":
    unittest.main()
