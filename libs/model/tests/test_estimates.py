"""Tests of the correction factor for declared run times."""

import unittest

from hornbeamfold.model.estimates import update_correction_factor


class LearnTest(unittest.TestCase):
    def test_factor_converges_and_stays_within_limits(self):
        """Guards against a factor that never converges and against one without a limit."""
        factor = 1.0
        for _ in range(40):
            factor = update_correction_factor(factor, 1_000, 3_000)
        self.assertAlmostEqual(factor, 3.0, places=2)
        for _ in range(100):
            factor = update_correction_factor(factor, 1, 10_000_000)
        self.assertLessEqual(factor, 10.0)
        self.assertAlmostEqual(factor, 10.0, places=9)
        self.assertEqual(update_correction_factor(2.0, 0, 50), 2.0)


if __name__ == "__main__":
    unittest.main()
