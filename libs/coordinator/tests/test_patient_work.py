"""Tests for patient work beside urgent work that never ceases."""

import logging
import unittest

from load_replay import EPOCH_MS, PASS_MS, Recording, replay

from hornbeamfold.batch import BatchJob, Resources, Step
from hornbeamfold.scheduling.overdue import MAX_WAIT_WITHOUT_RUN_MS

WORKERS = 4
URGENT_MS = 1_900
PATIENT_MS = 6_000
# A patient gang that needs whole workers waits for the urgent runs that are there when it has
# waited for too long, and for the passes in which that is seen.
BOUND_MS = MAX_WAIT_WITHOUT_RUN_MS + URGENT_MS + 2 * PASS_MS


def make_job(job_id: str, step: Step, priority: int, submitted_ms: int) -> BatchJob:
    """Return a job of one step."""
    return BatchJob(
        job_id, str(priority), "planner", "sousse-crew", "", (step,), priority, 3, 3.0, 1_000,
        EPOCH_MS + submitted_ms,
    )  # fmt: skip


def endless_urgent_work(patient: Step, until_ms: int) -> Recording:
    """Return a patient job, with urgent ones that ask for a fifth more than all workers have."""
    whole = Step(1, Resources(1_000, 1_000, 8), URGENT_MS)
    jobs = [make_job("patient", patient, 2, 1_000)]
    for number in range(until_ms * WORKERS * 12 // (URGENT_MS * 10)):
        jobs.append(make_job(f"u{number}", whole, 0, number * URGENT_MS * 10 // (WORKERS * 12)))
    durations = {each.job_id: (each.steps[0].estimate_ms,) for each in jobs}
    capacity = Resources(64_000, 256_000, 8)
    return Recording(WORKERS, WORKERS, capacity, {}, tuple(jobs), durations)


class PatientWorkTest(unittest.TestCase):
    """Patient work starts within a bound, however much urgent work without a guarantee comes.

    Load: more urgent work than there is room for, without an end.
    """

    def setUp(self) -> None:
        self.addCleanup(logging.disable, logging.NOTSET)
        logging.disable(logging.CRITICAL)

    def test_patient_work_starts_within_the_bound_and_is_not_stopped_again(self) -> None:
        demand = Resources(1_000, 1_000, 8)
        cases = [
            ("a task", Step(1, demand, PATIENT_MS)),
            ("a wide gang", Step(3, demand, PATIENT_MS, gang=True)),
            ("a gang for one rack", Step(3, demand, PATIENT_MS, gang=True, one_rack=True)),
        ]
        for name, step in cases:
            with self.subTest(name):
                result = replay(endless_urgent_work(step, 45_000))
                waits_ms = result.by_priority[2].waits_ms
                self.assertLessEqual(max(waits_ms), BOUND_MS)
                self.assertLessEqual(len(waits_ms), 2)


if __name__ == "__main__":
    unittest.main()
