"""Tests for room that runs were stopped for, from one pass to the next."""

import unittest
from dataclasses import replace

from scheduling_cases import candidate, placed_run, ready, resources

from hornbeamfold.batch import Resources, Step
from hornbeamfold.scheduling import Claim, PlacedRun, plan

NOW = 1_000
NOTHING = Resources()
# Twice the time of a stop.
LATER = NOW + 400


def runs_on(worker: str, count: int, **changes: object) -> list[PlacedRun]:
    """Return runs of one accelerator each."""
    return [
        placed_run(f"{worker}-{each}", 0, worker, resources(1), **changes) for each in range(count)
    ]


class ClaimTest(unittest.TestCase):
    """Room is made once for each step.

    Load: bulles-tn-grown scale-2, several guaranteed jobs within a second while all is in use. One
    of three tasks stopped 67 runs in three passes, as the job before it took what they had freed.
    """

    def setUp(self) -> None:
        self.small = ready(
            "a", Step(1, resources(4), estimate_ms=2_000), 0, due_ms=50_000, entitled=True
        )
        self.large = ready("b", Step(1, resources(8), estimate_ms=2_000), 0, entitled=True)
        self.full = [candidate("w1", free=NOTHING), candidate("w2", free=NOTHING)]
        self.runs = runs_on("w1", 8, lost_work=1.0) + runs_on("w2", 8, lost_work=2.0)
        self.first = plan([self.small, self.large], self.full, self.runs, NOW)
        self.victims = {each.name for each in self.first.preemptions}
        self.stopping = [replace(each, stopping=each.name in self.victims) for each in self.runs]

    def test_the_first_pass_makes_room_for_both(self) -> None:
        self.assertEqual(len(self.first.preemptions), 12)
        self.assertEqual(
            [(each.job_id, each.workers) for each in self.first.claims],
            [("a", ("w1",)), ("b", ("w2",))],
        )

    def test_what_is_freed_for_a_step_is_not_taken_by_another(self) -> None:
        workers = [candidate("w1", free=NOTHING), candidate("w2")]
        left = [each for each in self.stopping if each.worker_id == "w1"]
        second = plan([self.small, self.large], workers, left, LATER, claims=self.first.claims)
        self.assertEqual([(e.job_id, e.worker_id) for e in second.assignments], [("b", "w2")])
        self.assertEqual(second.preemptions, ())

    def test_nothing_more_is_stopped_while_runs_are_stopping(self) -> None:
        second = plan(
            [self.small, self.large], self.full, self.stopping, LATER, claims=self.first.claims
        )
        self.assertEqual((second.preemptions, second.claims), ((), self.first.claims))

    def test_a_step_starts_elsewhere_if_it_fits_there_before(self) -> None:
        workers = [*self.full, candidate("w3")]
        second = plan(
            [self.small, self.large], workers, self.stopping, LATER, claims=self.first.claims
        )
        self.assertEqual([(e.job_id, e.worker_id) for e in second.assignments], [("a", "w3")])
        self.assertEqual(second.claims, self.first.claims[1:])

    def test_a_claim_of_a_step_that_is_not_ready_any_more_holds_nothing(self) -> None:
        second = plan([self.small], [candidate("w2")], [], LATER, claims=self.first.claims)
        self.assertEqual([(e.job_id, e.worker_id) for e in second.assignments], [("a", "w2")])
        self.assertEqual(second.claims, ())

    def test_other_runs_are_stopped_if_the_claim_can_not_be_met(self) -> None:
        """Guards against guaranteed work that waits for a worker that was cut off."""
        claim = Claim("b", 0, 0, ("w2",))
        runs = runs_on("w1", 8)
        gone = plan([self.large], self.full[:1], runs, LATER, claims=(claim,))
        self.assertEqual({each.worker_id for each in gone.preemptions}, {"w1"})
        self.assertEqual(gone.claims, (Claim("b", 0, 0, ("w1",)),))


if __name__ == "__main__":
    unittest.main()
