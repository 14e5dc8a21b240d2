"""Tests of the rate at which organisations are owed service."""

import random
import unittest
from dataclasses import replace

from coordinator_cases import job

from hornbeamfold.batch import BatchJob, Organisation
from hornbeamfold.coordinator.owed_rate import OWED_BURST_S, OwedRates

OWN = "sousse-crew"
ORGANISATIONS = {OWN: Organisation(OWN, weight=2.0), "none": Organisation("none")}
AT_ONCE = 2 * OWED_BURST_S


def submitted(count: int, gap_ms: int, organisation: str = OWN) -> list[BatchJob]:
    """Return jobs that were submitted one after the other."""
    return [
        job(f"{organisation}-{index:03}", organisation=organisation, submitted_ms=index * gap_ms)
        for index in range(count)
    ]


def rates_of(jobs: list[BatchJob]) -> OwedRates:
    """Return the rates with these jobs."""
    rates = OwedRates()
    for each in jobs:
        rates.add(each)
    return rates


def beyond(rates: OwedRates, jobs: list[BatchJob], weight: float | None = 2.0) -> list[int]:
    """Return the indexes of the jobs that are beyond the rate."""
    organisations = {OWN: replace(ORGANISATIONS[OWN], weight=weight)}
    return [index for index, each in enumerate(jobs) if rates.beyond_owed(each, organisations)]


class OwedRatesTest(unittest.TestCase):
    def test_jobs_at_the_rate_are_owed(self) -> None:
        jobs = submitted(100, 500)
        self.assertEqual(beyond(rates_of(jobs), jobs), [])

    def test_of_a_flood_as_many_are_owed_as_the_rate_allows(self) -> None:
        """Guards against a customer who sends many times its rate and is served before others."""
        jobs = submitted(200, 50)  # ten times the rate, for 10 s
        owed = 200 - len(beyond(rates_of(jobs), jobs))
        self.assertIn(owed, range(2 * 10 + AT_ONCE - 1, 2 * 10 + AT_ONCE + 2))

    def test_a_burst_is_owed(self) -> None:
        jobs = submitted(AT_ONCE + 1, 0)
        self.assertEqual(beyond(rates_of(jobs), jobs), [AT_ONCE])

    def test_the_rate_of_one_organisation_is_not_used_by_others(self) -> None:
        flood = submitted(100, 0, "other")
        jobs = submitted(AT_ONCE, 0)
        self.assertEqual(beyond(rates_of(flood + jobs), jobs), [])

    def test_without_a_weight_all_jobs_are_owed(self) -> None:
        jobs = submitted(100, 0, "none")
        rates = rates_of(jobs)
        for name, organisations in (("no weight", ORGANISATIONS), ("unknown", {})):
            with self.subTest(name):
                self.assertFalse(any(rates.beyond_owed(each, organisations) for each in jobs))

    def test_every_coordinator_finds_the_same(self) -> None:
        """Guards against a takeover that turns the order of the queue around."""
        jobs = submitted(60, 100)
        expected = beyond(rates_of(jobs), jobs)
        self.assertTrue(expected)
        for seed in range(5):
            with self.subTest(seed):
                read = jobs.copy()
                random.Random(seed).shuffle(read)
                rates = OwedRates()
                for each in read:
                    rates.add(each)
                    rates.beyond_owed(each, ORGANISATIONS)  # in the order in which they are read
                self.assertEqual(beyond(rates, jobs), expected)

    def test_a_job_counts_once(self) -> None:
        jobs = submitted(AT_ONCE, 0)
        self.assertEqual(beyond(rates_of(jobs + jobs), jobs), [])

    def test_a_new_weight_counts_for_all_jobs(self) -> None:
        jobs = submitted(AT_ONCE, 0)
        rates = rates_of(jobs)
        self.assertEqual(beyond(rates, jobs), [])
        self.assertEqual(len(beyond(rates, jobs, 1.0)), AT_ONCE // 2)
        self.assertEqual(beyond(rates, jobs, 3.0), [])


if __name__ == "__main__":
    unittest.main()
