"""Tests of one planning pass."""

import unittest

from scheduling_cases import CAPACITY, occupant, ready, resources, room

from hornbeamfold.batch import Resources, Step
from hornbeamfold.scheduling import Plan, plan

NOW = 1_000
NOTHING = Resources()


def placed(made: Plan) -> dict[str, list[str]]:
    """Return the workers of each job's tasks."""
    found: dict[str, list[str]] = {}
    for each in made.assignments:
        found.setdefault(each.job_id, []).append(each.worker_id)
    return found


class PlacementTest(unittest.TestCase):
    def test_tasks_take_the_tightest_worker(self) -> None:
        rooms = [room("w1"), room("w2", free=resources(2, 100_000, 30_000))]
        made = plan([ready("a", Step(2, resources(1)))], rooms, [], NOW)
        self.assertEqual(placed(made), {"a": ["w2", "w2"]})

    def test_room_is_never_exceeded(self) -> None:
        made = plan([ready("a", Step(30, resources(1)))], [room("w1"), room("w2")], [], NOW)
        self.assertEqual(len(made.assignments), 16)
        self.assertEqual(made.blocked, 1)

    def test_a_gang_is_placed_whole_or_not_at_all(self) -> None:
        made = plan([ready("a", Step(3, resources(8), gang=True))], [room("w1"), room("w2")], [], 0)
        self.assertEqual(made.assignments, ())

    def test_a_gang_for_one_rack_stays_in_one(self) -> None:
        rooms = [room("w1", "r1"), room("w2", "r2"), room("w3", "r2")]
        step = Step(2, resources(8), gang=True, one_rack=True)
        made = plan([ready("a", step)], rooms, [], NOW)
        self.assertEqual(sorted(placed(made)["a"]), ["w2", "w3"])

    def test_a_gang_that_no_rack_can_hold_spans_racks(self) -> None:
        rooms = [room("w1", "r1"), room("w2", "r2")]
        step = Step(2, resources(8), gang=True, one_rack=True)
        self.assertEqual(len(plan([ready("a", step)], rooms, [], NOW).assignments), 2)

    def test_at_most_so_many_tasks_on_a_worker(self) -> None:
        step = Step(3, resources(1), max_per_worker=1)
        made = plan([ready("a", step, placed_on={"w1": 1})], [room("w1"), room("w2")], [], NOW)
        self.assertEqual(placed(made), {"a": ["w2"]})

    def test_labels_services_and_avoided_workers(self) -> None:
        cases = [
            (room("w1", service="other"), {}),
            (room("w1"), {"avoid": frozenset({"w1"})}),
            (room("w1", labels=frozenset()), {}),
        ]
        for each, changes in cases:
            with self.subTest(room=each, changes=changes):
                step = ready("a", Step(1, resources(1), required_label="a"), **changes)
                self.assertEqual(plan([step], [each], [], NOW).assignments, ())

    def test_a_task_waits_for_its_data_before_it_goes_elsewhere(self) -> None:
        step = Step(1, resources(1), estimate_ms=1_000, preferred_rack="r1")
        rooms = [room("w1", "r1", free=NOTHING), room("w2", "r2")]
        self.assertEqual(plan([ready("a", step)], rooms, [], 500).assignments, ())
        self.assertEqual(placed(plan([ready("a", step)], rooms, [], 900)), {"a": ["w2"]})


class OrderTest(unittest.TestCase):
    def test_order_of_the_queue(self) -> None:
        step = Step(1, resources(8))
        cases = [
            ("priority", ready("b", step, 0), ready("a", step, 1)),
            ("objective", ready("b", step, due_ms=2_000), ready("a", step, due_ms=3_000)),
            ("late last", ready("b", step, due_ms=2_000), ready("a", step, due_ms=500)),
            ("guarantee", ready("b", step, 1, entitled=True), ready("a", step, 0)),
        ]
        for name, first, second in cases:
            with self.subTest(name):
                made = plan([second, first], [room("w1")], [], NOW)
                self.assertEqual(placed(made), {"b": ["w1"]})


class HeadroomTest(unittest.TestCase):
    def test_patient_work_leaves_room_for_urgent_work(self) -> None:
        wide = Step(16, resources(1), estimate_ms=1_000)
        gang = Step(2, resources(6), estimate_ms=1_000, gang=True)
        cases = [
            ("tasks", ready("a", wide), 6, 10),
            ("a gang waits whole", ready("a", gang), 6, 0),
            ("a gang that leaves enough", ready("a", gang), 4, 2),
            ("urgent work itself", ready("a", wide, 0), 6, 16),
            ("guaranteed work", ready("a", wide, entitled=True), 6, 16),
            ("work at risk", ready("a", wide, due_ms=NOW + 1_400), 6, 16),
            ("work without accelerators", ready("a", Step(4, resources(0))), 16, 4),
            ("another service", ready("a", wide), 0, 16),
        ]
        for name, step, headroom, expected in cases:
            with self.subTest(name):
                rooms = [room("w1"), room("w2")]
                made = plan([step], rooms, [], NOW, {"planner": headroom, "other": 16})
                self.assertEqual(len(made.assignments), expected)


class ReservationTest(unittest.TestCase):
    def test_equal_ends_are_compared(self) -> None:
        """Guards against runs of one gang, which end together, failing the pass."""
        taken = [occupant("g", index, "w1", resources(4)) for index in range(2)]
        made = plan([ready("a", Step(1, resources(8)))], [room("w1", free=NOTHING)], taken, NOW)
        self.assertEqual(made.assignments, ())

    def test_longer_work_does_not_pass_a_blocked_gang(self) -> None:
        taken = [occupant("old", 0, "w1", resources(8), remaining_ms=2_000)]
        rooms = [room("w1", free=CAPACITY - resources(8)), room("w2")]
        gang = ready("gang", Step(2, resources(8), gang=True), due_ms=5_000)
        long = ready("long", Step(1, resources(8), estimate_ms=60_000), due_ms=90_000)
        short = ready("short", Step(1, resources(8), estimate_ms=1_500), due_ms=90_000)
        self.assertEqual(placed(plan([gang, long], rooms, taken, NOW)), {})
        self.assertEqual(placed(plan([gang, short], rooms, taken, NOW)), {"short": ["w2"]})


class ReclaimTest(unittest.TestCase):
    def test_guaranteed_work_stops_what_loses_least(self) -> None:
        taken = [
            occupant("cheap", 0, "w1", resources(8), lost_work=1.0),
            occupant("dear", 0, "w2", resources(8), lost_work=50.0),
        ]
        rooms = [room("w1", free=NOTHING), room("w2", free=NOTHING)]
        made = plan([ready("a", Step(1, resources(8)), 0, entitled=True)], rooms, taken, NOW)
        self.assertEqual([each.name.job_id for each in made.preemptions], ["cheap"])

    def test_a_gang_is_stopped_whole(self) -> None:
        taken = [
            occupant("gang", index, f"w{index + 1}", resources(8), gang=("gang", 0, 0))
            for index in range(2)
        ]
        rooms = [room("w1", free=NOTHING), room("w2", free=NOTHING)]
        made = plan([ready("a", Step(1, resources(8)), 0, entitled=True)], rooms, taken, NOW)
        self.assertEqual(len(made.preemptions), 2)

    def test_what_is_stopping_already_is_enough(self) -> None:
        taken = [occupant("old", 0, "w1", resources(8), stopping=True)]
        step = ready("a", Step(1, resources(8)), 0, entitled=True)
        made = plan([step], [room("w1", free=NOTHING)], taken, NOW)
        self.assertEqual(made.preemptions, ())

    def test_two_guaranteed_jobs_do_not_count_on_the_same_room(self) -> None:
        taken = [
            occupant("x", 0, "w1", resources(8)),
            occupant("y", 0, "w2", resources(8), lost_work=20.0),
        ]
        rooms = [room("w1", free=NOTHING), room("w2", free=NOTHING)]
        steps = [ready(name, Step(1, resources(8)), 0, entitled=True) for name in ("a", "b")]
        made = plan(steps, rooms, taken, NOW)
        self.assertEqual(sorted(each.name.job_id for each in made.preemptions), ["x", "y"])

    def test_protected_runs_are_never_stopped(self) -> None:
        taken = [occupant("old", 0, "w1", resources(8), protected=True)]
        step = ready("a", Step(1, resources(8)), 0, entitled=True)
        self.assertEqual(plan([step], [room("w1", free=NOTHING)], taken, NOW).preemptions, ())

    def test_other_work_stays_without_a_guarantee(self) -> None:
        taken = [occupant("old", 0, "w1", resources(8))]
        made = plan([ready("a", Step(1, resources(8)), 0)], [room("w1", free=NOTHING)], taken, NOW)
        self.assertEqual(made.preemptions, ())


if __name__ == "__main__":
    unittest.main()
