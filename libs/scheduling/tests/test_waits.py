"""Tests of the explanations why steps wait."""

import unittest

from scheduling_cases import CAPACITY, candidate, placed_run, ready, resources

from hornbeamfold.batch import Step
from hornbeamfold.scheduling import WaitReason, plan

NOTHING = CAPACITY - CAPACITY
NOW = 1_500


class WaitTest(unittest.TestCase):
    def test_the_reason_and_its_inputs_are_those_of_the_decision(self) -> None:
        full = candidate("w1", "r1", free=NOTHING)
        idle = candidate("w2", "r2")
        gang = Step(2, resources(4), estimate_ms=9_000, gang=True, one_rack=True)
        halves = [candidate(f"w{rack}", f"r{rack}", free=resources(4)) for rack in "34"]
        blocked = ready("b", Step(2, resources(8), gang=True), due_ms=9_000)
        ending = placed_run("old", 0, "w1", CAPACITY, remaining_ms=2_000)
        task = Step(1, resources(1), estimate_ms=9_000)
        cases = [
            ("no room", [ready("a", task)], [full], 0, (WaitReason.NO_ROOM, 0, 0, 8)),
            (
                "preferred rack",
                [ready("a", Step(1, resources(1), 9_000, preferred_rack="r1"))],
                [full, idle],
                0,
                (WaitReason.RACK, 2, 8, 16),
            ),
            ("one rack", [ready("a", gang)], halves, 0, (WaitReason.RACK, 2, 8, 16)),
            ("headroom", [ready("a", task)], [idle], 8, (WaitReason.HEADROOM, 2, 8, 8)),
            (
                "reserved",
                [blocked, ready("a", task)],
                [full, idle],
                0,
                (WaitReason.RESERVED, 2, 8, 16),
            ),
        ]
        for name, steps, workers, headroom, expected in cases:
            with self.subTest(name):
                steps[-1] = ready("a", steps[-1].step, idle_since_ms=0)
                runs = [ending] if full in workers else []
                (wait,) = plan(steps, workers, runs, NOW, {"planner": headroom}).waits
                self.assertEqual(
                    (wait.reason, wait.fitting, wait.idle_accelerators, wait.total_accelerators),
                    expected,
                )
                self.assertEqual(
                    (wait.job_id, wait.idle_ms, wait.waiting), ("a", NOW, wait.waiting)
                )

    def test_a_job_with_a_run_or_a_short_wait_is_not_explained(self) -> None:
        task = Step(1, resources(1))
        workers = [candidate("w1", free=NOTHING)]
        for idle_since_ms in (None, NOW - 500):
            with self.subTest(idle_since_ms=idle_since_ms):
                step = ready("a", task, idle_since_ms=idle_since_ms)
                self.assertEqual(plan([step], workers, [], NOW).waits, ())


class StrandedAcceleratorsTest(unittest.TestCase):
    """Free accelerators beside too little memory are told apart from room.

    Load: tasks that need half of the memory of a worker beside tasks of 8 GB.
    """

    def test_accelerators_without_memory_for_the_oldest_gang(self) -> None:
        workers = [
            candidate("w1", free=resources(3, 7_000)),
            candidate("w2", free=resources(4, 70_000)),
            candidate("w3", free=resources(5, 200_000, 64_000)),
        ]
        old = ready("a", Step(9, resources(2, 68_000), gang=True), ready_ms=100)
        new = ready("b", Step(9, resources(1, 1_000_000), gang=True), due_ms=10, ready_ms=200)
        self.assertEqual(plan([old, new], workers, [], 300).stranded_accelerators, 12 - 6)

    def test_nothing_is_stranded_while_no_gang_waits(self) -> None:
        step = ready("a", Step(9, resources(1, 68_000)))
        self.assertEqual(plan([step], [candidate("w1")], [], 300).stranded_accelerators, 0)


if __name__ == "__main__":
    unittest.main()
