"""Tests of corrected estimates."""

import unittest

from placement_cases import spec

from hornbeamfold.model import Job, JobState
from hornbeamfold.placement import expected_end_ms, learn


class EstimatesTest(unittest.TestCase):
    def test_factor_converges_and_stays_within_limits(self):
        """Guards against declared times that are off for ever and against runaway factors."""
        factor = 1.0
        for _ in range(40):
            factor = learn(factor, 1_000, 3_000)
        self.assertAlmostEqual(factor, 3.0, places=2)
        for _ in range(100):
            factor = learn(factor, 1, 10_000_000)
        self.assertEqual(factor, 10.0)
        self.assertEqual(learn(2.0, 0, 50), 2.0)

    def test_overrun_still_ends_in_the_future(self):
        """Guards against a reservation in the past behind a job that outlasts its estimate."""
        job = Job(spec("j", 1, declared_ms=1_000), 0, JobState.RUNNING, running_ms=1)
        self.assertGreater(expected_end_ms(job, {}, 500_000), 500_000)


if __name__ == "__main__":
    unittest.main()
