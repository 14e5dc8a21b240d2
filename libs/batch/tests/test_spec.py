"""Tests of batch jobs."""

import unittest
from dataclasses import replace

from hornbeamfold.batch import BatchJob, Resources, Step

JOB = BatchJob("a", "q", "s", "o", "body", (Step(1, Resources(1)),), 1, 2, 1.5, 300, 12)


class OccurrencesTest(unittest.TestCase):
    def test_the_occurrences_that_are_due(self) -> None:
        repeated = replace(JOB, repetitions=10, start_at_ms=1_000, interval_ms=100)
        at_once = replace(repeated, interval_ms=0)
        cases = [
            ("not repeated", JOB, 0, 1),
            ("before the first", repeated, 999, 0),
            ("the first", repeated, 1_000, 1),
            ("before the second", repeated, 1_099.5, 1),
            ("the second", repeated, 1_100, 2),
            ("the last", repeated, 1_900, 10),
            ("long after", repeated, 10**15, 10),
            ("all at once, before", at_once, 999, 0),
            ("all at once", at_once, 1_000, 10),
        ]
        for name, job, unix_ms, due in cases:
            with self.subTest(name):
                self.assertEqual(job.occurrences_due(unix_ms), due)


if __name__ == "__main__":
    unittest.main()
