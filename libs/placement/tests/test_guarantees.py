"""Tests of entitlement and of the check that all guarantees fit."""

import unittest

from placement_cases import spec
from test_fit import capacities

from hornbeamfold.model import Job, JobState, Organisation, Shape, Span
from hornbeamfold.placement import entitled_keys, guarantees_fit


def running(name, size, **values):
    """Return a running job."""
    return Job(spec(name, size, **values), 0, JobState.RUNNING)


class GuaranteesTest(unittest.TestCase):
    def test_guarantees_must_fit_together_in_all_workers(self):
        """Guards against accepting guarantees that cannot all be reclaimed."""
        rack = list(capacities([0, 0]).values())
        fits = (Organisation("a", (Shape(8),)), Organisation("b", (Shape(4), Shape(4))))
        self.assertEqual(guarantees_fit(fits, rack), "")
        self.assertIn("for b", guarantees_fit((*fits, Organisation("b", (Shape(1),))), rack))
        narrow = (Organisation("a", (Shape(5, span=Span.WORKER),) * 3),)
        self.assertNotEqual(guarantees_fit(narrow, rack), "")

    def test_the_largest_jobs_are_entitled_and_a_larger_candidate_takes_over(self):
        """Guards against a small job that blocks the guaranteed shape of its organisation."""
        organisation = Organisation("a", (Shape(8), Shape(2)))
        small = [running("one", 1), running("four", 4), running("two", 2)]
        self.assertEqual(
            entitled_keys(organisation, small, None), frozenset({("a", "four"), ("a", "two")})
        )
        candidate = Job(spec("eight", 8), 0)
        self.assertEqual(
            entitled_keys(organisation, small, candidate),
            frozenset({("a", "eight"), ("a", "two")}),
        )

    def test_a_narrower_span_or_more_memory_is_not_covered(self):
        """Guards against entitled jobs that a guaranteed window could not hold."""
        organisation = Organisation("a", (Shape(8, 8, 8, Span.RACK),))
        for item in (spec("n", 4, span=Span.WORKER), spec("m", 4, memory_gb=9)):
            self.assertEqual(entitled_keys(organisation, (), Job(item, 0)), frozenset())


if __name__ == "__main__":
    unittest.main()
