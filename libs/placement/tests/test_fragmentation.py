"""Tests of the measurement of fragmentation."""

import unittest

from test_fit import capacities

from hornbeamfold.model import Shape, Span
from hornbeamfold.placement import fragmentation


class FragmentationTest(unittest.TestCase):
    def test_share_counts_runs_that_are_too_small(self):
        """Guards against counting scattered accelerators as usable."""
        scattered = fragmentation(capacities([0x0F, 0x55]), [Shape(4, span=Span.WORKER)])
        self.assertEqual(
            (scattered.unusable_share, scattered.largest_run, scattered.free), (0.5, 4, 8)
        )
        wide = fragmentation(capacities([0x0F, 0x55]), [Shape(8, span=Span.ZONE)])
        self.assertEqual(wide.unusable_share, 0.0)
        self.assertEqual(fragmentation(capacities([0x55]), ()).unusable_share, 0.0)


if __name__ == "__main__":
    unittest.main()
