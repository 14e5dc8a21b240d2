"""Tests of the order of steps by what organisations are owed and by their shares."""

import unittest
from collections.abc import Sequence
from dataclasses import replace

from scheduling_cases import candidate, placed_run, ready, resources

from hornbeamfold.batch import Resources, Step
from hornbeamfold.scheduling import OrganisationUse, ReadyStep, plan

ONE = resources(1)
LARGE, SMALL = "large", "small"


def of(organisation: str, step: ReadyStep, **changes: object) -> ReadyStep:
    """Return the step as one of a job of this organisation."""
    job = replace(step.job, organisation=organisation)
    return replace(step, job=job, **changes)  # type: ignore[arg-type]


def weighted(
    weight: float | None, used: Resources | None = None, limit: Resources | None = None
) -> OrganisationUse:
    """Return the use of an organisation with a weight."""
    return OrganisationUse(used or Resources(), limit or Resources(), weight)


class OwedTest(unittest.TestCase):
    """An organisation sends more than it is owed while all is full."""

    def first(self, *steps: ReadyStep) -> str:
        """Return the job that gets the only free accelerator."""
        workers = [candidate("w1", free=resources(1, 200_000, 60_000))]
        (assignment,) = plan(steps, workers, [], 0).assignments
        return assignment.job_id

    def test_what_others_are_owed_comes_first(self) -> None:
        """Guards against a flood of one organisation that delays the work of all others."""
        beyond = of(LARGE, ready("a", Step(1, ONE), due_ms=1_000), beyond_owed=True)
        owed = of(SMALL, ready("b", Step(1, ONE), due_ms=90_000))
        self.assertEqual(self.first(beyond, owed), "b")

    def test_priority_goes_before_it(self) -> None:
        beyond = of(LARGE, ready("a", Step(1, ONE), priority=1), beyond_owed=True)
        owed = of(SMALL, ready("b", Step(1, ONE), priority=2))
        self.assertEqual(self.first(beyond, owed), "a")

    def test_a_guarantee_goes_before_it(self) -> None:
        beyond = of(LARGE, ready("a", Step(1, ONE), priority=0), beyond_owed=True, entitled=True)
        owed = of(SMALL, ready("b", Step(1, ONE), priority=0))
        self.assertEqual(self.first(beyond, owed), "a")

    def test_urgent_work_beyond_it_preempts_nothing(self) -> None:
        """Guards against a flood of urgent work that throws away what others are owed."""
        runs = [placed_run("r", 0, "w1", ONE, organisation=SMALL, lost_work=1.0)]
        workers = [candidate("w1", free=resources(0))]
        urgent = of(LARGE, ready("a", Step(1, ONE, 10_000), priority=0))
        for beyond, preempted in ((False, 1), (True, 0)):
            with self.subTest(beyond):
                step = replace(urgent, beyond_owed=beyond)
                self.assertEqual(len(plan([step], workers, runs, 0).preemptions), preempted)

    def test_it_is_served_while_there_is_room(self) -> None:
        beyond = of(LARGE, ready("a", Step(4, ONE)), beyond_owed=True)
        self.assertEqual(len(plan([beyond], [candidate("w1")], [], 0).assignments), 4)


class ShareTest(unittest.TestCase):
    """Organisations compete for 16 accelerators, all of which are in use."""

    def setUp(self) -> None:
        self.workers = [candidate("w1"), candidate("w2")]

    def order(
        self, steps: Sequence[ReadyStep], large: OrganisationUse, small: OrganisationUse
    ) -> list[str]:
        """Return the organisations of the starts, in their order."""
        organisations = {LARGE: large, SMALL: small}
        result = plan(steps, self.workers, [], 0, organisations=organisations)
        owners = {each.job.job_id: each.job.organisation for each in steps}
        return [owners[each.job_id] for each in result.assignments]

    def test_all_are_served_up_to_their_share_first(self) -> None:
        """Guards against an organisation whose early deadlines take the room of all others."""
        large = [
            of(LARGE, ready(f"l{index:02}", Step(1, ONE), due_ms=1_000)) for index in range(16)
        ]
        small = [
            of(SMALL, ready(f"s{index:02}", Step(1, ONE), due_ms=90_000)) for index in range(16)
        ]
        for weights, expected in (((1.0, 1.0), 8), ((3.0, 1.0), 12), ((1.0, 3.0), 4)):
            with self.subTest(weights):
                got = self.order(large + small, weighted(weights[0]), weighted(weights[1]))
                self.assertEqual((got.count(LARGE), got.count(SMALL)), (expected, 16 - expected))

    def test_an_idle_share_is_lent(self) -> None:
        large = [of(LARGE, ready(f"l{index:02}", Step(1, ONE))) for index in range(20)]
        got = self.order(large, weighted(1.0), weighted(9.0))
        self.assertEqual(got.count(LARGE), 16)

    def test_a_lent_share_is_taken_back_as_runs_end(self) -> None:
        """Guards against work that is thrown away for a share."""
        runs = [placed_run("r", index, "w1", ONE, organisation=LARGE) for index in range(8)]
        workers = [candidate("w1", free=resources(0)), candidate("w2", free=resources(1))]
        steps = [
            of(LARGE, ready("l", Step(4, ONE), due_ms=1_000)),
            of(SMALL, ready("s", Step(4, ONE), due_ms=90_000)),
        ]
        organisations = {LARGE: weighted(1.0, Resources(accelerators=15)), SMALL: weighted(1.0)}
        result = plan(steps, workers, runs, 0, organisations=organisations)
        self.assertEqual([each.job_id for each in result.assignments], ["s"])
        self.assertEqual(result.preemptions, ())

    def test_the_resource_counts_of_which_most_is_used(self) -> None:
        """Guards against shares of accelerators that tasks with much memory get around."""
        memory = Resources(1_000, 64_000, 0)
        steps = [
            *(
                of(LARGE, ready(f"l{index:02}", Step(1, memory), due_ms=1_000))
                for index in range(8)
            ),
            *(
                of(SMALL, ready(f"s{index:02}", Step(1, memory), due_ms=90_000))
                for index in range(8)
            ),
        ]
        got = self.order(steps, weighted(1.0), weighted(1.0))
        self.assertEqual((got.count(LARGE), got.count(SMALL)), (4, 4))

    def test_priority_goes_before_shares(self) -> None:
        steps = [
            *(of(LARGE, ready(f"l{index:02}", Step(1, ONE), priority=0)) for index in range(16)),
            of(SMALL, ready("s", Step(1, ONE), priority=1)),
        ]
        got = self.order(steps, weighted(1.0), weighted(1.0))
        self.assertEqual(got.count(SMALL), 0)

    def test_organisations_without_a_weight_keep_the_order_of_the_queue(self) -> None:
        steps = [
            *(of(LARGE, ready(f"l{index:02}", Step(1, ONE), due_ms=1_000)) for index in range(16)),
            of(SMALL, ready("s", Step(1, ONE), due_ms=90_000)),
        ]
        self.assertEqual(self.order(steps, weighted(None), weighted(None)).count(LARGE), 16)


if __name__ == "__main__":
    unittest.main()
