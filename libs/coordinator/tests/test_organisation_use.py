"""Tests of what organisations may be using as far as the coordinator knows."""

import unittest
from collections.abc import Mapping
from dataclasses import replace

from coordinator_cases import CAPACITY, ManualClock, job, tracker_with, worker

from hornbeamfold.batch import (
    Configuration,
    OperatorState,
    Organisation,
    Resources,
    RunEnd,
    Step,
    TaskRef,
)
from hornbeamfold.coordinator.organisation_use import organisation_uses, uncertain_use
from hornbeamfold.coordinator.starts import RunStarter, StartDependencies
from hornbeamfold.scheduling import OrganisationUse

OWN = "sousse-crew"
NOTHING = Resources()
DEMAND = Resources(1_000, 2_000, 2)
NOW_MS = 1_000


def uncertain(
    until_ms: Mapping[str, int], *unread: str, reserved: Resources = NOTHING
) -> Resources:
    """Return the uncertain use of workers that may have unknown runs until these times."""
    workers = [(worker(worker_id), until) for worker_id, until in until_ms.items()]
    return uncertain_use(workers, unread, lambda worker_id: reserved, NOW_MS)


class UncertainUseTest(unittest.TestCase):
    """A takeover, after which some workers have not reported yet."""

    def test_a_worker_that_may_have_unknown_runs_counts_as_full(self) -> None:
        until_ms = {"reported": 0, "lease expired": NOW_MS - 1, "silent": NOW_MS}
        self.assertEqual(uncertain(until_ms), CAPACITY)

    def test_its_known_runs_are_not_counted_twice(self) -> None:
        self.assertEqual(uncertain({"w": NOW_MS}, reserved=DEMAND), CAPACITY - DEMAND)

    def test_a_worker_with_more_runs_than_capacity_hides_none(self) -> None:
        """Guards against a shrunk worker that makes room for others."""
        more = CAPACITY + Resources(0, 0, 1)
        self.assertEqual(uncertain({"w": NOW_MS}, reserved=more), NOTHING)

    def test_a_worker_with_runs_of_an_unread_job_counts_as_full(self) -> None:
        self.assertEqual(uncertain({"w": 0, "other": 0}, "w"), CAPACITY)


class UseTest(unittest.TestCase):
    """Runs of an organisation, from their record to their known end."""

    def setUp(self) -> None:
        self.tracker = tracker_with(
            ManualClock(), job("a", Step(3, DEMAND)), job("b", Step(1, DEMAND, best_effort=True))
        )
        refs = [TaskRef(0, 0, index) for index in range(3)]
        self.runs = self.tracker.begin_runs("a", refs, [worker()] * 3)

    def test_recorded_runs_count(self) -> None:
        self.assertEqual(self.tracker.used_by(OWN), DEMAND.times(3))
        self.assertEqual(self.tracker.used_by("other"), NOTHING)

    def test_the_runs_of_a_cancelled_job_count_until_they_have_ended(self) -> None:
        """Guards against starts beside runs that are being stopped."""
        for name in self.tracker.cancel("a"):
            self.tracker.request_stop(name, "cancelled")
        self.assertEqual(self.tracker.used_by(OWN), DEMAND.times(3))
        for ended, run in enumerate(self.runs, 1):
            self.tracker.end_run(run.name, RunEnd.STOPPED)
            self.assertEqual(self.tracker.used_by(OWN), DEMAND.times(3 - ended))

    def test_best_effort_runs_count_with_their_processor_time(self) -> None:
        self.tracker.begin_runs("b", [TaskRef(0, 0, 0)], [worker()])
        self.assertEqual(self.tracker.used_by(OWN), DEMAND.times(4))

    def test_a_recorded_run_may_not_start_beyond_the_latest_limit(self) -> None:
        """Guards against orders for what was planned by a higher limit."""
        cases = [
            ("no limit", 0, NOTHING, True),
            ("as much", 6, NOTHING, True),
            ("lowered", 5, NOTHING, False),
            ("unknown runs", 8, Resources(0, 0, 3), False),
        ]
        for name, most, unknown, expected in cases:
            with self.subTest(name):
                organisation = Organisation(OWN, limit=Resources(accelerators=most))
                operator = OperatorState(Configuration(1, organisations={OWN: organisation}))
                starter = RunStarter(
                    StartDependencies(
                        self.tracker,
                        {},
                        lambda operator=operator: operator,
                        lambda: {"w1": worker()},
                        lambda callback: None,
                        lambda: True,
                        lambda name, end: None,
                        lambda: 0,
                        uncertain_use=lambda unknown=unknown: unknown,
                    )
                )
                self.assertEqual(starter.may_start(self.runs[0], worker()), expected)

    def test_a_start_without_a_limit_asks_for_no_sum_over_all_workers(self) -> None:
        """Guards against orders that each cost as much as a pass over the workers.

        Load: hundreds of starts a second on hundreds of workers, without limits.
        """
        calls: list[None] = []

        def uncertain_use() -> Resources:
            calls.append(None)
            return NOTHING

        operator = OperatorState(Configuration(1, organisations={OWN: Organisation(OWN)}))
        starter = RunStarter(
            StartDependencies(
                self.tracker,
                {},
                lambda: operator,
                lambda: {"w1": worker()},
                lambda callback: None,
                lambda: True,
                lambda name, end: None,
                lambda: 0,
                uncertain_use=uncertain_use,
            )
        )
        self.assertTrue(starter.may_start(self.runs[0], worker()))
        self.assertEqual(calls, [])

    def test_only_organisations_with_limits_or_weights_are_planned_by(self) -> None:
        """Guards against other plans where the configuration has neither."""
        plain = Organisation("plain", guaranteed=Resources(accelerators=8))
        limited = Organisation(OWN, limit=Resources(accelerators=9))
        weighted = replace(plain, name="weighted", weight=2.0)
        organisations = {each.name: each for each in (plain, limited, weighted)}
        uses = organisation_uses(
            Configuration(1, (), {}, organisations), self.tracker.used_by, DEMAND
        )
        expected = {
            OWN: OrganisationUse(DEMAND.times(3), limited.limit, None, DEMAND),
            "weighted": OrganisationUse(NOTHING, NOTHING, 2.0, DEMAND),
        }
        self.assertEqual(uses, expected)
        self.assertEqual(organisation_uses(None, self.tracker.used_by, NOTHING), {})


if __name__ == "__main__":
    unittest.main()
