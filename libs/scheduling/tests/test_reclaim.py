"""Tests for the choice of the runs that are preempted."""

import unittest

from scheduling_cases import candidate, placed_run, ready, resources

from hornbeamfold.batch import Resources, Step
from hornbeamfold.scheduling import plan

NOW = 1_000
FULL = [candidate("w1", free=Resources())]
STEP = Step(1, resources(8), estimate_ms=1_000)


class SparedRunTest(unittest.TestCase):
    """Only guaranteed work preempts a run of a task that was preempted before.

    Load: urgent work beyond the guarantees that comes faster than patient work ends.
    """

    def test_urgent_work_without_a_guarantee_leaves_a_spared_run(self) -> None:
        for spared, expected in ((False, 1), (True, 0)):
            with self.subTest(spared=spared):
                runs = [placed_run("old", 0, "w1", resources(8), spared=spared)]
                result = plan([ready("a", STEP, 0)], FULL, runs, NOW)
                self.assertEqual(len(result.preemptions), expected)

    def test_guaranteed_work_preempts_a_spared_run(self) -> None:
        runs = [placed_run("old", 0, "w1", resources(8), spared=True)]
        result = plan([ready("a", STEP, 0, entitled=True)], FULL, runs, NOW)
        self.assertEqual(len(result.preemptions), 1)


if __name__ == "__main__":
    unittest.main()
