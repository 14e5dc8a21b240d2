"""Tests for steps of jobs that have had no run for too long."""

import unittest
from dataclasses import replace

from scheduling_cases import CAPACITY, candidate, placed_run, ready, resources

from hornbeamfold.batch import Resources, Step
from hornbeamfold.scheduling import Claim, OrganisationUse, plan
from hornbeamfold.scheduling.overdue import MAX_OVERDUE_STEPS, MAX_WAIT_WITHOUT_RUN_MS

NOW = 100_000
LONG_AGO = NOW - MAX_WAIT_WITHOUT_RUN_MS
WHOLE = Step(1, resources(8), estimate_ms=2_000)
FULL = CAPACITY - CAPACITY


class OverdueStepTest(unittest.TestCase):
    """Patient work is not starved, and does not hold up urgent work when much of it has waited.

    Load: urgent work beyond the guarantees that never ceases.
    """

    def test_order_of_the_queue(self) -> None:
        patient = ready("patient", WHOLE, 2, idle_since_ms=LONG_AGO)
        cases = [
            ("before urgent work", [ready("a", WHOLE, 0), patient], "patient"),
            ("after guaranteed work", [ready("a", WHOLE, 0, entitled=True), patient], "a"),
            (
                "not yet",
                [ready("a", WHOLE, 0), ready("b", WHOLE, 2, idle_since_ms=LONG_AGO + 1)],
                "a",
            ),
            ("with a run", [ready("a", WHOLE, 0), ready("b", WHOLE, 2)], "a"),
        ]
        for name, steps, first in cases:
            with self.subTest(name):
                result = plan(steps, [candidate("w1")], [], NOW)
                self.assertEqual([each.job_id for each in result.assignments], [first])

    def test_only_those_that_have_waited_the_longest_come_first(self) -> None:
        """Guards against urgent work behind a whole backlog of patient work."""
        steps = [
            ready(f"p{number}", WHOLE, 2, idle_since_ms=LONG_AGO - number) for number in range(5)
        ]
        workers = [candidate(f"w{number}") for number in range(MAX_OVERDUE_STEPS + 1)]
        result = plan([*steps, ready("urgent", WHOLE, 0)], workers, [], NOW)
        self.assertEqual([each.job_id for each in result.assignments], ["p3", "p4", "urgent"])

    def test_it_keeps_the_workers_that_it_waits_for(self) -> None:
        """Guards against a reservation that moves with each estimate, so that it never holds."""
        gang = Step(2, resources(8), estimate_ms=2_000, gang=True)
        step = ready("patient", gang, 2, idle_since_ms=LONG_AGO)
        workers = [candidate("w1"), *(candidate(f"w{number}", free=FULL) for number in (2, 3))]
        ends = {"w2": 900, "w3": 1_000}
        runs = [
            placed_run(worker, 0, worker, CAPACITY, remaining_ms=left)
            for worker, left in ends.items()
        ]
        first = plan([step, ready("urgent", WHOLE, 0)], workers, runs, NOW)
        self.assertEqual(first.assignments, ())
        self.assertEqual(first.claims, (Claim("patient", 0, 0, ("w1", "w2")),))
        ends["w2"] = 5_000
        runs = [
            placed_run(worker, 0, worker, CAPACITY, remaining_ms=left)
            for worker, left in ends.items()
        ]
        second = plan([step, ready("urgent", WHOLE, 0)], workers, runs, NOW, claims=first.claims)
        self.assertEqual((second.assignments, second.claims), ((), first.claims))

    def test_it_does_not_hold_up_guaranteed_work(self) -> None:
        """Guards against a claim that guaranteed work can neither use nor preempt for."""
        gang = Step(2, resources(4), estimate_ms=2_000, gang=True)
        patient = ready("patient", gang, 2, idle_since_ms=LONG_AGO)
        guaranteed = ready("guaranteed", WHOLE, 0, entitled=True, ready_ms=NOW - 1_000)
        claim = Claim("patient", 0, 0, ("w1", "w1"))
        runs = [placed_run("old", 0, "w1", CAPACITY, remaining_ms=60_000)]
        workers = [candidate("w1", free=FULL)]
        result = plan([patient, guaranteed], workers, runs, NOW, claims=(claim,))
        self.assertEqual([each.name.job_id for each in result.preemptions], ["old"])
        self.assertEqual(result.claims[0], Claim("guaranteed", 0, 0, ("w1",)))

    def test_steps_that_wait_for_their_limit_do_not_count(self) -> None:
        """Guards against an organisation at its limit that keeps others from coming first."""
        limited = [
            ready(f"limited{number}", WHOLE, 2, idle_since_ms=0)
            for number in range(MAX_OVERDUE_STEPS)
        ]
        patient = ready("patient", WHOLE, 2, idle_since_ms=LONG_AGO)
        patient = replace(patient, job=replace(patient.job, organisation="other"))
        urgent = ready("urgent", WHOLE, 0)
        urgent = replace(urgent, job=replace(urgent.job, organisation="other"))
        at_limit = OrganisationUse(resources(8), Resources(accelerators=8))
        result = plan(
            [*limited, patient, urgent],
            [candidate("w1")],
            [],
            NOW,
            organisations={limited[0].job.organisation: at_limit},
        )
        self.assertEqual([each.job_id for each in result.assignments], ["patient"])

    def test_steps_that_fit_no_worker_do_not_count(self) -> None:
        """Guards against tasks too large for the workers that are left, which hold up others."""
        too_large = Step(1, resources(16), estimate_ms=2_000)
        steps = [
            ready(f"large{number}", too_large, 2, idle_since_ms=0)
            for number in range(MAX_OVERDUE_STEPS)
        ]
        steps.append(ready("patient", WHOLE, 2, idle_since_ms=LONG_AGO))
        result = plan([*steps, ready("urgent", WHOLE, 0)], [candidate("w1")], [], NOW)
        self.assertEqual([each.job_id for each in result.assignments], ["patient"])


if __name__ == "__main__":
    unittest.main()
