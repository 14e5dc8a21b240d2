"""Tests of the factor by which the tasks on a worker slow a newcomer down."""

import unittest
from math import log

from interference_cases import kind

from hornbeamfold.batch import WorkKind
from hornbeamfold.interference import MAX_FACTOR, expected_factor, quantised

VICTIM, CAUSE, OTHER = kind("frame"), kind("noise"), kind("index")


def effect(victim: WorkKind, cause: WorkKind) -> float:
    """Return that the victim takes 1.5 times as long beside the cause."""
    return log(1.5) if (victim, cause) == (VICTIM, CAUSE) else 0.0


class SlowdownTest(unittest.TestCase):
    def test_small_differences_make_no_difference(self) -> None:
        """Guards against noise that outweighs best fit."""
        self.assertEqual([quantised(each) for each in (0.5, 1.0, 1.2, 1.24)], [1.0] * 4)
        self.assertEqual([quantised(each) for each in (1.25, 1.49)], [1.25] * 2)
        self.assertEqual(quantised(1e9), MAX_FACTOR)

    def test_what_the_residents_do_to_a_newcomer(self) -> None:
        self.assertEqual(expected_factor(effect, VICTIM, {CAUSE: 1}), 1.5)
        self.assertEqual(expected_factor(effect, VICTIM, {CAUSE: 2, OTHER: 5}), 2.25)

    def test_what_a_newcomer_does_to_the_residents(self) -> None:
        self.assertEqual(expected_factor(effect, CAUSE, {VICTIM: 2}), 2.0)

    def test_kinds_that_do_not_disturb_each_other(self) -> None:
        self.assertEqual(expected_factor(effect, OTHER, {VICTIM: 3, CAUSE: 3}), 1.0)
        self.assertEqual(expected_factor(effect, VICTIM, {}), 1.0)

    def test_paced_tasks_disturb_less(self) -> None:
        self.assertEqual(expected_factor(effect, VICTIM, {CAUSE: 0.2}), 1.0)


if __name__ == "__main__":
    unittest.main()
