"""Tests of passes in which organisations are held back by their limits."""

import unittest
from dataclasses import replace

from scheduling_cases import CAPACITY, candidate, job, placed_run, ready, resources

from hornbeamfold.batch import Resources, Step
from hornbeamfold.scheduling import (
    OrganisationUse,
    Plan,
    ReadyStep,
    WaitReason,
    can_start_any,
    plan,
)
from hornbeamfold.scheduling.idle_jobs import MAX_IDLE_MS

OWN = "sousse-crew"
OTHER = "sfax-crew"
ONE = resources(1)


def only(accelerators: int) -> Resources:
    """Return an amount or a limit of accelerators alone."""
    return Resources(accelerators=accelerators)


def of_other(step: ReadyStep) -> ReadyStep:
    """Return the step as one of a job of another organisation."""
    return replace(step, job=replace(step.job, organisation=OTHER))


def use(
    limit: Resources, used: Resources | None = None, weight: float | None = None
) -> OrganisationUse:
    """Return the use of an organisation, by default of one without runs."""
    return OrganisationUse(used or Resources(), limit, weight)


def started(result: Plan, job_id: str) -> int:
    """Return how many tasks of a job a plan starts."""
    return sum(each.job_id == job_id for each in result.assignments)


class LimitTest(unittest.TestCase):
    """An organisation sends more than it may run, while workers are idle."""

    def setUp(self) -> None:
        self.workers = [candidate("w1"), candidate("w2")]

    def test_no_more_tasks_start_than_the_limit_allows(self) -> None:
        organisations = {OWN: use(only(3), only(1))}
        result = plan([ready("a", Step(5, ONE))], self.workers, [], 0, organisations=organisations)
        self.assertEqual(started(result, "a"), 2)
        self.assertEqual(result.limited, frozenset({OWN}))

    def test_each_resource_is_limited_and_none_of_which_the_limit_is_zero(self) -> None:
        demand = Resources(1_000, 1_000, 1)
        cases = [
            ("accelerators", Resources(0, 0, 2), 2),
            ("memory", Resources(0, 3_500, 0), 3),
            ("processor time", Resources(4_000, 0, 0), 4),
            ("the scarcest", Resources(4_000, 3_000, 2), 2),
            ("none", Resources(), 5),
        ]
        for name, limit, expected in cases:
            with self.subTest(name):
                step = ready("a", Step(5, demand))
                result = plan([step], self.workers, [], 0, organisations={OWN: use(limit)})
                self.assertEqual(started(result, "a"), expected)

    def test_best_effort_tasks_count_with_the_processor_time_they_ask_for(self) -> None:
        step = ready("a", Step(5, Resources(1_000, 1_000, 0), best_effort=True))
        organisations = {OWN: use(Resources(2_000, 0, 0))}
        result = plan([step], self.workers, [], 0, organisations=organisations)
        self.assertEqual(started(result, "a"), 2)

    def test_the_steps_of_an_organisation_share_its_limit(self) -> None:
        steps = [ready("a", Step(2, ONE), due_ms=1), ready("b", Step(2, ONE), due_ms=2)]
        result = plan(steps, self.workers, [], 0, organisations={OWN: use(only(3))})
        self.assertEqual((started(result, "a"), started(result, "b")), (2, 1))

    def test_a_gang_starts_as_a_whole_or_waits(self) -> None:
        """Guards against a part of a gang that waits at its limit for the rest."""
        gang = ready("a", Step(5, ONE, gang=True))
        for most, expected in ((4, 0), (5, 5)):
            with self.subTest(most):
                organisations = {OWN: use(only(most))}
                result = plan([gang], self.workers, [], 0, organisations=organisations)
                self.assertEqual(started(result, "a"), expected)

    def test_nothing_starts_after_the_limit_was_lowered_below_what_runs(self) -> None:
        organisations = {OWN: use(only(4), only(6))}
        steps = [ready("a", Step(1, ONE)), ready("b", Step(1, resources(0)))]
        runs = [placed_run("c", index, "w1", ONE, organisation=OWN) for index in range(6)]
        result = plan(steps, self.workers, runs, 0, organisations=organisations)
        self.assertEqual((result.assignments, result.preemptions), ((), ()))

    def test_an_idle_job_with_ample_room_is_not_placed_beyond_the_limit(self) -> None:
        step = ready("a", Step(2, ONE), idle_since_ms=0)
        organisations = {OWN: use(only(1), only(1))}
        now_ms = 10 * MAX_IDLE_MS
        result = plan([step], self.workers, [], now_ms, organisations=organisations)
        self.assertEqual(result.assignments, ())
        self.assertEqual([each.reason for each in result.waits], [WaitReason.LIMIT])

    def test_plans_are_the_same_without_limits(self) -> None:
        steps = [ready("a", Step(9, ONE)), ready("b", Step(12, resources(2), gang=True))]
        expected = plan(steps, self.workers, [], 0)
        for organisations in ({OWN: use(Resources(), ONE)}, {OTHER: use(only(1), only(1))}):
            with self.subTest(organisations):
                actual = plan(steps, self.workers, [], 0, organisations=organisations)
                self.assertEqual(actual, expected)


class HeadroomTest(unittest.TestCase):
    def test_urgent_steps_that_may_not_start_ask_for_no_headroom(self) -> None:
        """Guards against capacity that is kept free for work that its limit holds back."""
        gang, tasks = Step(3, ONE, gang=True), Step(3, ONE)
        cases = [("a gang", gang, 2, False), ("a gang that fits", gang, 3, True)]
        cases += [("tasks", tasks, 1, True), ("no room", tasks, 0, False)]
        for name, step, left, expected in cases:
            with self.subTest(name):
                organisations = {OWN: use(only(8), only(8 - left))}
                self.assertEqual(can_start_any(ready("a", step), organisations), expected)
        self.assertTrue(can_start_any(ready("a", gang), {}))


class LimitedOrganisationTest(unittest.TestCase):
    """What waits for its organisation's limit takes nothing from others."""

    def test_nothing_is_reserved_for_it(self) -> None:
        """Guards against capacity that idles for a gang that may not start in it."""
        runs = [placed_run("r", 0, "w1", resources(4), organisation=OWN)]
        workers = [candidate("w1", free=resources(4, 255_000, 63_000))]
        gang = ready("a", Step(6, ONE, 1_000, gang=True), due_ms=50_000)
        long = of_other(ready("b", Step(4, ONE, 60_000), due_ms=90_000))
        organisations = {OWN: use(only(5), only(4))}
        result = plan([gang, long], workers, runs, 0, organisations=organisations)
        self.assertEqual(started(result, "b"), 4)

    def test_no_run_of_another_organisation_is_preempted_for_it(self) -> None:
        """Guards against work that is thrown away for a step that may not start then."""
        runs = [placed_run("r", index, "w1", ONE, organisation=OTHER) for index in range(8)]
        workers = [candidate("w1", free=resources(0))]
        urgent = ready("a", Step(4, ONE, 1_000), priority=0, entitled=True)
        for limit, preempted in ((only(8), 4), (only(4), 0)):
            with self.subTest(limit):
                organisations = {OWN: use(limit, only(4))}
                result = plan([urgent], workers, runs, 5_000, organisations=organisations)
                self.assertEqual(len(result.preemptions), preempted)

    def test_guaranteed_work_preempts_its_own_organisations_runs_at_the_limit(self) -> None:
        """Guards against guaranteed work that waits behind patient work of the same customer."""
        costs = {0: 50.0, 1: 10.0, 2: 30.0, 3: 20.0}
        runs = [
            placed_run("r", index, "w1", ONE, organisation=OWN, lost_work=costs[index])
            for index in costs
        ]
        runs.append(placed_run("s", 0, "w1", ONE, organisation=OTHER, lost_work=1.0))
        workers = [candidate("w1"), candidate("w2")]
        urgent = ready("a", Step(2, ONE, 1_000, gang=True), priority=0, entitled=True)
        organisations = {OWN: use(only(4), only(4))}
        result = plan([urgent], workers, runs, 0, organisations=organisations)
        self.assertEqual(result.assignments, ())
        stopped = [(each.name.job_id, each.name.task.index) for each in result.preemptions]
        self.assertEqual(stopped, [("r", 1), ("r", 3)])

    def test_runs_that_are_stopping_are_waited_for(self) -> None:
        """Guards against preempting again in each pass until the first stops have ended."""
        runs = [
            placed_run("r", 0, "w1", ONE, organisation=OWN, stopping=True),
            placed_run("r", 1, "w1", ONE, organisation=OWN),
        ]
        urgent = ready("a", Step(1, ONE, 1_000), priority=0, entitled=True)
        organisations = {OWN: use(only(2), only(2))}
        result = plan([urgent], [candidate("w1")], runs, 0, organisations=organisations)
        self.assertEqual((result.assignments, result.preemptions), ((), ()))

    def test_runs_that_end_soon_are_waited_for(self) -> None:
        """Guards against throwing work away that would have ended in time."""
        urgent = ready("a", Step(1, ONE, 1_000), priority=0, entitled=True)
        organisations = {OWN: use(only(2), only(2))}
        for remaining_ms, preempted in ((300, 0), (2_000, 1)):
            with self.subTest(remaining_ms):
                runs = [
                    placed_run("r", index, "w1", ONE, remaining_ms, organisation=OWN)
                    for index in range(2)
                ]
                result = plan([urgent], [candidate("w1")], runs, 0, organisations=organisations)
                self.assertEqual(len(result.preemptions), preempted)

    def test_nothing_is_preempted_for_what_may_not_exist(self) -> None:
        """Guards against throwing work away until all workers have reported after a takeover."""
        runs = [placed_run("r", index, "w1", ONE, organisation=OWN) for index in range(4)]
        urgent = ready("a", Step(1, ONE, 1_000), priority=0, entitled=True)
        organisations = {OWN: OrganisationUse(only(4), only(6), None, only(8))}
        result = plan([urgent], [candidate("w1")], runs, 0, organisations=organisations)
        self.assertEqual((result.assignments, result.preemptions), ((), ()))

    def test_several_guaranteed_steps_preempt_at_once(self) -> None:
        """Guards against guaranteed jobs that wait for one another's preemptions in turn."""
        runs = [placed_run("r", index, "w1", ONE, organisation=OWN) for index in range(8)]
        urgent = [
            ready(job_id, Step(2, ONE, 1_000, gang=True), priority=0, entitled=True)
            for job_id in ("a", "b", "c")
        ]
        patient = ready("d", Step(4, ONE, 60_000))
        organisations = {OWN: use(only(8), only(8))}
        result = plan([*urgent, patient], [candidate("w1")], runs, 0, organisations=organisations)
        self.assertEqual(len(result.preemptions), 6)
        # As soon as four have ended, two of the three start, and the patient step does not.
        organisations = {OWN: use(only(8), only(4))}
        stopping = [replace(each, stopping=index < 2) for index, each in enumerate(runs[4:])]
        result = plan(
            [*urgent, patient], [candidate("w1")], stopping, 0, organisations=organisations
        )
        self.assertEqual([started(result, each) for each in "abcd"], [2, 2, 0, 0])

    def test_short_work_does_not_take_what_runs_were_stopped_for(self) -> None:
        """Guards against runs that are stopped, begin again beside it, and are stopped again."""
        urgent = ready("a", Step(4, ONE, 1_000, gang=True), priority=0, entitled=True)
        patient = ready("d", Step(3, ONE, 2_000))
        running = [
            placed_run("r", index, "w1", ONE, 60_000, organisation=OWN, stopping=index == 0)
            for index in range(5)
        ]
        # Three of the four runs that were stopped for the gang have ended.
        organisations = {OWN: use(only(8), only(5))}
        workers = [candidate("w1"), candidate("w2")]
        result = plan([urgent, patient], workers, running, 0, organisations=organisations)
        self.assertEqual((result.assignments, result.preemptions), ((), ()))

    def test_patient_work_preempts_nothing_at_its_limit(self) -> None:
        runs = [placed_run("r", 0, "w1", ONE, organisation=OWN, priority=2)]
        organisations = {OWN: use(only(1), only(1))}
        result = plan(
            [ready("a", Step(1, ONE))], [candidate("w1")], runs, 0, {}, organisations=organisations
        )
        self.assertEqual(result.preemptions, ())

    def test_urgent_work_without_a_guarantee_preempts_little_at_its_limit(self) -> None:
        """Guards against throwing away more of an organisation's own work than that gains."""
        organisations = {OWN: use(only(1), only(1))}
        urgent = ready("a", Step(1, ONE, 10_000), priority=0)
        for lost_work, preempted in ((1.0, 1), (1_000.0, 0)):
            with self.subTest(lost_work):
                runs = [placed_run("r", 0, "w1", ONE, organisation=OWN, lost_work=lost_work)]
                result = plan([urgent], [candidate("w1")], runs, 0, organisations=organisations)
                self.assertEqual(len(result.preemptions), preempted)

    def test_urgent_work_without_a_guarantee_leaves_spared_runs_at_its_limit(self) -> None:
        """Guards against runs that are preempted again and again, as on workers."""
        organisations = {OWN: use(only(1), only(1))}
        run = placed_run("r", 0, "w1", ONE, organisation=OWN, lost_work=1.0, spared=True)
        for entitled, preempted in ((False, 0), (True, 1)):
            with self.subTest(entitled=entitled):
                urgent = ready("a", Step(1, ONE, 10_000), priority=0, entitled=entitled)
                result = plan([urgent], [candidate("w1")], [run], 0, organisations=organisations)
                self.assertEqual(len(result.preemptions), preempted)

    def test_best_effort_runs_free_what_they_count_for(self) -> None:
        """Guards against a limit of CPU time full of runs that reserve none, which stay there."""
        demand = Resources(4_000, 1_000)
        run = placed_run(
            "r", 0, "w1", Resources(0, 1_000), organisation=OWN, priority=2, limit_use=demand
        )
        urgent = ready("a", Step(1, demand, 1_000), priority=0, entitled=True)
        organisations = {OWN: use(Resources(4_000), demand)}
        for stopping, preempted in ((False, 1), (True, 0)):
            with self.subTest(stopping=stopping):
                runs = [replace(run, stopping=stopping)]
                result = plan([urgent], [candidate("w1")], runs, 0, organisations=organisations)
                self.assertEqual(len(result.preemptions), preempted)

    def test_a_gang_is_preempted_as_a_whole(self) -> None:
        gang = ("g", 0, 0)
        runs = [
            placed_run("g", index, "w1", ONE, organisation=OWN, gang=gang, lost_work=1.0)
            for index in range(2)
        ]
        urgent = ready("a", Step(1, ONE, 1_000), priority=0, entitled=True)
        organisations = {OWN: use(only(2), only(2))}
        result = plan([urgent], [candidate("w1")], runs, 0, organisations=organisations)
        self.assertEqual(len(result.preemptions), 2)


class GangAtLimitTest(unittest.TestCase):
    """A gang waits for most of its organisation's limit, while smaller work keeps coming."""

    def setUp(self) -> None:
        self.workers = [candidate("w1"), candidate("w2")]
        self.runs = [
            placed_run("r", index, "w1", ONE, 5_000, organisation=OWN) for index in range(4)
        ]
        self.gang = ready("gang", Step(6, ONE, 1_000, gang=True), due_ms=50_000)
        self.organisations = {OWN: use(only(8), only(4))}

    def plan(self, step: ReadyStep, now_ms: int = 0) -> int:
        result = plan(
            [self.gang, step], self.workers, self.runs, now_ms, organisations=self.organisations
        )
        self.assertEqual(started(result, "gang"), 0)
        return started(result, step.job.job_id)

    def test_work_that_runs_longer_leaves_it_its_part_of_the_limit(self) -> None:
        """Guards against a gang that smaller work of its organisation overtakes for ever."""
        # Six of eight are for the gang once the runs have ended.
        self.assertEqual(self.plan(ready("b", Step(4, ONE, 60_000), due_ms=90_000)), 2)

    def test_work_that_ends_before_may_use_it(self) -> None:
        self.assertEqual(self.plan(ready("b", Step(4, ONE, 1_000), due_ms=90_000)), 4)

    def test_work_of_another_organisation_is_not_held_back(self) -> None:
        step = of_other(ready("b", Step(6, ONE, 60_000), due_ms=90_000))
        self.assertEqual(self.plan(step), 6)

    def test_a_gang_that_exceeds_the_limit_holds_back_nothing(self) -> None:
        """Guards against an organisation that stands still after its limit was lowered."""
        self.gang = ready("gang", Step(9, ONE, 1_000, gang=True), due_ms=50_000)
        self.assertEqual(self.plan(ready("b", Step(4, ONE, 60_000), due_ms=90_000)), 4)

    def test_an_idle_job_passes_it_while_half_of_the_limit_is_unused(self) -> None:
        """Guards against a job without a run although its organisation uses little.

        The gang itself starts only when more than half of the limit is free.
        """
        self.runs = self.runs[:3]
        self.organisations = {OWN: use(only(8), only(3))}
        step = ready("b", Step(4, ONE, 60_000), due_ms=90_000, idle_since_ms=0)
        self.assertEqual(self.plan(step, MAX_IDLE_MS - 1), 2)
        self.assertEqual(self.plan(step, MAX_IDLE_MS), 4)


class CapacityAndLimitTest(unittest.TestCase):
    def test_a_step_may_be_short_of_both(self) -> None:
        """Guards against a reservation for more tasks than the limit allows."""
        runs = [placed_run("r", index, "w1", ONE, organisation=OTHER) for index in range(8)]
        workers = [candidate("w1", free=CAPACITY - resources(8)), candidate("w2")]
        step = ready("a", Step(12, ONE))
        result = plan([step], workers, runs, 0, organisations={OWN: use(only(10))})
        self.assertEqual(started(result, "a"), 8)
        self.assertEqual(result.blocked, 1)

    def test_the_cases_use_the_organisation_of_the_factories(self) -> None:
        self.assertEqual(job("a", Step(1, ONE)).organisation, OWN)


if __name__ == "__main__":
    unittest.main()
