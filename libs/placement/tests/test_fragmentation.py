"""Tests of the measure of fragmentation."""

import unittest

from test_fit import capacities

from hornbeamfold.model import Shape, Span
from hornbeamfold.placement import fragmentation


class FragmentationTest(unittest.TestCase):
    def test_share_counts_runs_that_are_too_small(self):
        """Guards against a measure that calls scattered accelerators usable."""
        seen = fragmentation(capacities([0x0F, 0x55]), [Shape(4, span=Span.WORKER)])
        self.assertEqual((seen.unusable_share, seen.largest_run, seen.free), (0.5, 4, 8))
        wide = fragmentation(capacities([0x0F, 0x55]), [Shape(8, span=Span.ZONE)])
        self.assertEqual(wide.unusable_share, 0.0)
        self.assertEqual(fragmentation(capacities([0x55]), ()).unusable_share, 0.0)


if __name__ == "__main__":
    unittest.main()
