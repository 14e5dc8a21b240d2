"""Tests of the limits of jobs."""

import unittest
from dataclasses import replace

from hornbeamfold.batch import MAX_TASKS, BatchJob, Resources, Step, job_problem

STEP = Step(1, Resources(1))
JOB = BatchJob("a", "q", "s", "o", "body", (STEP,), 1, 2, 1.5, 300, 12)


class JobProblemTest(unittest.TestCase):
    def test_the_largest_jobs_can_be_planned(self) -> None:
        """Guards against limits that refuse a job of the size that is allowed."""
        chain = tuple(replace(STEP, after=(index - 1,) if index else ()) for index in range(1_000))
        for job in (
            JOB,
            replace(JOB, steps=(replace(STEP, count=MAX_TASKS),)),
            replace(JOB, steps=(replace(STEP, count=MAX_TASKS),), repetitions=20),
            replace(JOB, repetitions=200_000, interval_ms=86_400_000),
            replace(JOB, steps=chain),
        ):
            with self.subTest(str(job)[:60], repetitions=job.repetitions):
                self.assertEqual(job_problem(job), "")

    def test_a_job_beyond_a_limit_has_a_problem(self) -> None:
        for job in (
            replace(JOB, steps=(replace(STEP, count=MAX_TASKS), STEP)),
            replace(JOB, repetitions=200_001),
            replace(JOB, steps=(replace(STEP, after=(0,)),)),
        ):
            with self.subTest(repetitions=job.repetitions):
                self.assertNotEqual(job_problem(job), "")


if __name__ == "__main__":
    unittest.main()
