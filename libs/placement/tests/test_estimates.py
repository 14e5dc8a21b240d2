"""Tests of corrected estimates."""

import unittest

from placement_cases import spec

from hornbeamfold.model import Job, JobState
from hornbeamfold.placement import expected_end_ms


class EstimatesTest(unittest.TestCase):
    def test_overrun_still_ends_in_the_future(self):
        """Guards against a reservation in the past behind a job that outlasts its estimate."""
        job = Job(spec("j", 1, declared_ms=1_000), 0, JobState.RUNNING, running_ms=1)
        self.assertGreater(expected_end_ms(job, {}, 500_000), 500_000)


if __name__ == "__main__":
    unittest.main()
