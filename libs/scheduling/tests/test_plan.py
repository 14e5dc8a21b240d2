"""Tests for a planning pass."""

import unittest
from collections import Counter
from dataclasses import replace

from scheduling_cases import CAPACITY, candidate, placed_run, ready, resources

from hornbeamfold.batch import Resources, Step
from hornbeamfold.scheduling import Plan, plan

NOW = 1_000
NOTHING = Resources()


def placed(result: Plan) -> dict[str, list[str]]:
    """Return the workers of each job's tasks."""
    found: dict[str, list[str]] = {}
    for each in result.assignments:
        found.setdefault(each.job_id, []).append(each.worker_id)
    return found


class PlacementTest(unittest.TestCase):
    def test_tasks_are_placed_on_the_best_fitting_worker(self) -> None:
        workers = [candidate("w1"), candidate("w2", free=resources(2, 100_000, 30_000))]
        result = plan([ready("a", Step(2, resources(1)))], workers, [], NOW)
        self.assertEqual(placed(result), {"a": ["w2", "w2"]})

    def test_capacity_is_never_exceeded(self) -> None:
        result = plan(
            [ready("a", Step(30, resources(1)))], [candidate("w1"), candidate("w2")], [], NOW
        )
        self.assertEqual(len(result.assignments), 16)
        self.assertEqual(result.blocked, 1)

    def test_a_gang_is_placed_whole_or_not_at_all(self) -> None:
        result = plan(
            [ready("a", Step(3, resources(8), gang=True))],
            [candidate("w1"), candidate("w2")],
            [],
            0,
        )
        self.assertEqual(result.assignments, ())

    def test_a_gang_for_one_rack_stays_in_one(self) -> None:
        workers = [candidate("w1", "r1"), candidate("w2", "r2"), candidate("w3", "r2")]
        step = Step(2, resources(8), gang=True, one_rack=True)
        result = plan([ready("a", step)], workers, [], NOW)
        self.assertEqual(sorted(placed(result)["a"]), ["w2", "w3"])

    def test_a_gang_that_no_rack_can_hold_spans_racks(self) -> None:
        workers = [candidate("w1", "r1"), candidate("w2", "r2")]
        step = Step(2, resources(8), gang=True, one_rack=True)
        self.assertEqual(len(plan([ready("a", step)], workers, [], NOW).assignments), 2)

    def test_max_per_worker_counts_tasks_that_are_already_placed(self) -> None:
        step = Step(3, resources(1), max_per_worker=1)
        result = plan(
            [ready("a", step, placed_on={"w1": 1})], [candidate("w1"), candidate("w2")], [], NOW
        )
        self.assertEqual(placed(result), {"a": ["w2"]})

    def test_ineligible_workers_get_no_tasks(self) -> None:
        cases = [
            (candidate("w1", service="other"), {}),
            (candidate("w1"), {"avoid": frozenset({"w1"})}),
            (candidate("w1", labels=frozenset()), {}),
        ]
        for each, changes in cases:
            with self.subTest(candidate=each, changes=changes):
                step = ready("a", Step(1, resources(1), required_label="a"), **changes)
                self.assertEqual(plan([step], [each], [], NOW).assignments, ())

    def test_a_task_waits_for_its_preferred_rack_before_other_racks_are_tried(self) -> None:
        step = Step(1, resources(1), estimate_ms=1_000, preferred_rack="r1")
        workers = [candidate("w1", "r1", free=NOTHING), candidate("w2", "r2")]
        self.assertEqual(plan([ready("a", step)], workers, [], 500).assignments, ())
        self.assertEqual(placed(plan([ready("a", step)], workers, [], 900)), {"a": ["w2"]})


class OrderTest(unittest.TestCase):
    def test_order_of_the_queue(self) -> None:
        step = Step(1, resources(8))
        cases = [
            ("priority", ready("b", step, 0), ready("a", step, 1)),
            ("objective", ready("b", step, due_ms=2_000), ready("a", step, due_ms=3_000)),
            ("late last", ready("b", step, due_ms=2_000), ready("a", step, due_ms=500)),
            ("guarantee", ready("b", step, 1, entitled=True), ready("a", step, 0)),
            (
                "expired last",
                ready("b", step, 1),
                ready("a", step, 0, due_ms=500, expired_ms=900),
            ),
            (
                "can't meet its objective",
                ready("b", step, due_ms=9_000),
                ready("a", Step(1, resources(8), estimate_ms=2_000), due_ms=2_500),
            ),
        ]
        for name, first, second in cases:
            with self.subTest(name):
                result = plan([second, first], [candidate("w1")], [], NOW)
                self.assertEqual(placed(result), {"b": ["w1"]})


class RackTest(unittest.TestCase):
    def test_a_gang_spans_racks_once_it_has_waited_too_long_for_one(self) -> None:
        """Guards against a gang that waits for a whole rack while half of all workers are idle.

        Found by: rsa-fold-large quiet-1 --small --no-cpu, LOST; it waited 28 s.
        """
        step = ready("a", Step(2, resources(8), estimate_ms=1_000, gang=True, one_rack=True))
        workers = [
            candidate("w1", "r1"),
            candidate("w2", "r1", free=NOTHING),
            candidate("w3", "r2"),
            candidate("w4", "r2", free=NOTHING),
        ]
        self.assertEqual(plan([step], workers, [], 1_900).assignments, ())
        self.assertEqual(placed(plan([step], workers, [], 2_100)), {"a": ["w1", "w3"]})
        # Across racks it takes several times the capacity, which a busy cluster does not have.
        busy = [*workers, candidate("w5", "r3", free=NOTHING)]
        self.assertEqual(plan([step], busy, [], 2_100).assignments, ())


class IdleJobTest(unittest.TestCase):
    """A job that has had no run for 3 s starts if there is room for it twice over."""

    # The rest of the 3 s is for recording and sending the start.
    BOUND_MS = 2_500

    def test_a_gang_for_one_rack_starts_in_time_where_it_fits(self) -> None:
        """Guards against a gang that waits for twice its estimate beside 63 idle workers."""
        workers = [
            candidate(f"w{rack}-{index}", f"r{rack}", free=NOTHING if index == 0 else CAPACITY)
            for rack in range(9)
            for index in range(8)
        ]
        gang = Step(8, resources(8), estimate_ms=11_000, gang=True, one_rack=True)
        step = ready("a", gang, idle_since_ms=0)
        self.assertEqual(len(plan([step], workers, [], self.BOUND_MS).assignments), 8)

    def test_a_task_starts_in_time_away_from_a_full_preferred_rack(self) -> None:
        """Guards against tasks that wait for 0.8 of their estimate while other racks are idle."""
        workers = [candidate("w1", "r1", free=NOTHING), candidate("w2", "r2")]
        step = Step(4, resources(1), estimate_ms=11_000, preferred_rack="r1")
        cases = [
            # The others have a better chance to find room near their data while one runs.
            ("batch", step, 1),
            # Each task that runs until its job is cancelled is needed.
            ("long-running", replace(step, long_running=True), 4),
        ]
        for name, each, expected in cases:
            with self.subTest(name):
                waiting = ready("a", each, idle_since_ms=0)
                self.assertEqual(
                    len(plan([waiting], workers, [], self.BOUND_MS).assignments), expected
                )

    def test_a_task_starts_in_time_on_room_that_is_kept_free(self) -> None:
        """Guards against a job that never starts since room is kept for urgent work or a gang."""
        step = ready("a", Step(2, resources(1), estimate_ms=11_000), idle_since_ms=0)
        gang = ready("gang", Step(2, resources(8), gang=True), due_ms=5_000)
        ending = placed_run("old", 0, "w1", CAPACITY, remaining_ms=5_000)
        workers = [candidate("w1", free=NOTHING), candidate("w2")]
        cases = [
            ("headroom", [step], {"planner": 8}, 1),
            ("reserved", [gang, step], {}, 1),
            # Guaranteed work starts within the time in which its reservation lasts.
            ("guaranteed", [replace(gang, entitled=True, due_ms=99_000), step], {}, 0),
        ]
        for name, steps, headroom, expected in cases:
            with self.subTest(name):
                run = ending if name != "guaranteed" else replace(ending, remaining_ms=600)
                now = self.BOUND_MS
                steps = [replace(each, ready_ms=now) if each.entitled else each for each in steps]
                result = plan(steps, workers, [run], now, headroom)
                self.assertEqual(len(result.assignments), expected)

    def test_room_on_one_worker_is_ample_for_a_limited_number_of_tasks(self) -> None:
        """Guards against room that does not count as a step may have one task on each worker."""
        workers = [candidate("w1", "r1"), candidate("w2", "r2", free=NOTHING)]
        limited = Step(1, resources(1), estimate_ms=60_000, preferred_rack="r2", max_per_worker=1)
        step = ready("a", limited, idle_since_ms=0)
        self.assertEqual(len(plan([step], workers, [], self.BOUND_MS).assignments), 1)

    def test_a_gang_starts_in_time_where_one_has_failed(self) -> None:
        """Guards against a gang that never starts since too few workers have its label.

        A step avoids the workers on which it failed for as long as its job lasts.
        """
        workers = [candidate(f"w{index}") for index in range(4)]
        others = [candidate(f"x{index}", labels=frozenset()) for index in range(8)]
        gang = Step(2, resources(8), estimate_ms=11_000, gang=True, required_label="a")
        step = ready("a", gang, idle_since_ms=0, avoid=frozenset({"w0", "w1", "w2"}))
        result = plan([step], [*workers, *others], [], self.BOUND_MS)
        self.assertEqual(len(result.assignments), 2)

    def test_a_job_starts_before_a_reservation_in_a_full_service(self) -> None:
        """Guards against a job that waits beside room that a gang needs only after its end."""
        workers = [candidate(f"w{each}", "r1", free=NOTHING) for each in range(3)]
        workers.append(candidate("w3", "r2"))
        ending = [placed_run("old", each, f"w{each}", CAPACITY, 9_000) for each in range(3)]
        gang = ready("gang", Step(4, resources(8), gang=True), due_ms=5_000)
        for estimate_ms, expected in ((6_000, {"a": ["w3"]}), (20_000, {})):
            with self.subTest(estimate_ms=estimate_ms):
                step = Step(1, resources(1), estimate_ms=estimate_ms, preferred_rack="r1")
                job = ready("a", step, due_ms=80_000, idle_since_ms=0)
                result = plan([gang, job], workers, ending, self.BOUND_MS)
                self.assertEqual(placed(result), expected)

    def test_a_long_running_task_starts_behind_a_blocked_job_of_the_same_size(self) -> None:
        """Guards against room that counts as scarce for a task since another job may not use it."""
        workers = [candidate("w1", free=NOTHING), candidate("w2", free=NOTHING), candidate("w3")]
        ending = [placed_run("old", each, f"w{each}", CAPACITY) for each in (1, 2)]
        gang = ready("gang", Step(3, resources(8), gang=True), due_ms=5_000)
        step = Step(1, resources(1), estimate_ms=60_000)
        batch = ready("a", step, due_ms=80_000, idle_since_ms=0)
        lasting = ready("b", replace(step, long_running=True), due_ms=90_000, idle_since_ms=0)
        result = plan([gang, batch, lasting], workers, ending, self.BOUND_MS)
        self.assertEqual(placed(result), {"b": ["w3"]})

    def test_preferences_hold_without_room_twice_over_or_beside_a_run(self) -> None:
        tight = [candidate("w1", "r1", free=NOTHING), candidate("w2", "r2", free=resources(1))]
        roomy = [candidate("w1", "r1", free=NOTHING), candidate("w2", "r2")]
        task = Step(1, resources(1), estimate_ms=11_000, preferred_rack="r1")
        cases = [
            ("room for one", tight, 0, self.BOUND_MS),
            ("another run", roomy, None, self.BOUND_MS),
            ("a short wait", roomy, self.BOUND_MS - 1_500, self.BOUND_MS),
        ]
        for name, workers, idle_since_ms, now_ms in cases:
            with self.subTest(name):
                step = ready("a", task, idle_since_ms=idle_since_ms)
                self.assertEqual(plan([step], workers, [], now_ms).assignments, ())


class FullServiceTest(unittest.TestCase):
    def test_a_gang_starts_beside_a_stream_of_small_jobs(self) -> None:
        """Guards against jobs that wait too long and, one by one, use up the room of a gang."""
        tick_ms, run_ms = 100, 4_000
        workers, running, waiting = 6, {}, {}
        gang = ready("gang", Step(24, resources(1), run_ms, gang=True), priority=1)
        now_ms, started = 0, 0
        while "gang" not in running:
            self.assertLessEqual(now_ms, 30_000, "the gang does not start")
            if now_ms % 1_000 == 0:
                for _ in range(14):
                    started += 1
                    step = ready(f"{started:04}", Step(1, resources(1), run_ms), priority=2)
                    waiting[step.job.job_id] = replace(step, ready_ms=now_ms, idle_since_ms=now_ms)
            if now_ms == 12_000:
                waiting["gang"] = replace(gang, ready_ms=now_ms, idle_since_ms=now_ms)
            ended = [job_id for job_id, (_, end_ms) in running.items() if end_ms <= now_ms]
            for job_id in ended:
                del running[job_id]
            used = Counter(worker for worker, _ in running.values())
            result = plan(
                [replace(each, due_ms=now_ms + 60_000) for each in waiting.values()],
                [
                    candidate(f"w{index}", free=CAPACITY - resources(1).times(used[f"w{index}"]))
                    for index in range(workers)
                ],
                [
                    placed_run(job_id, 0, worker, resources(1), remaining_ms=end_ms - now_ms)
                    for job_id, (worker, end_ms) in running.items()
                ],
                now_ms,
            )
            for each in result.assignments:
                running[each.job_id] = (each.worker_id, now_ms + run_ms)
                waiting.pop(each.job_id, None)
            now_ms += tick_ms


class HeadroomTest(unittest.TestCase):
    def test_non_urgent_work_leaves_headroom_for_urgent_work(self) -> None:
        wide = Step(16, resources(1), estimate_ms=1_000)
        gang = Step(2, resources(6), estimate_ms=1_000, gang=True)
        cases = [
            ("tasks", ready("a", wide), 6, 10),
            ("a gang that would use headroom", ready("a", gang), 6, 0),
            ("a gang that leaves the headroom", ready("a", gang), 4, 2),
            ("urgent work", ready("a", wide, 0), 6, 16),
            ("guaranteed work", ready("a", wide, entitled=True), 6, 16),
            ("work at risk", ready("a", wide, due_ms=NOW + 1_400), 6, 16),
            ("work without accelerators", ready("a", Step(4, resources(0))), 16, 4),
            ("another service", ready("a", wide), 0, 16),
        ]
        for name, step, headroom, expected in cases:
            with self.subTest(name):
                workers = [candidate("w1"), candidate("w2")]
                result = plan([step], workers, [], NOW, {"planner": headroom, "other": 16})
                self.assertEqual(len(result.assignments), expected)


class ReservationTest(unittest.TestCase):
    def test_runs_with_equal_end_times_are_sorted(self) -> None:
        """Guards against a pass that raises because runs of a gang have equal end times."""
        placed_runs = [placed_run("g", index, "w1", resources(4)) for index in range(2)]
        result = plan(
            [ready("a", Step(1, resources(8)))], [candidate("w1", free=NOTHING)], placed_runs, NOW
        )
        self.assertEqual(result.assignments, ())

    def test_longer_work_does_not_overtake_a_blocked_gang(self) -> None:
        placed_runs = [placed_run("old", 0, "w1", resources(8), remaining_ms=2_000)]
        workers = [candidate("w1", free=CAPACITY - resources(8)), candidate("w2")]
        gang = ready("gang", Step(2, resources(8), gang=True), due_ms=5_000)
        long = ready("long", Step(1, resources(8), estimate_ms=60_000), due_ms=90_000)
        short = ready("short", Step(1, resources(8), estimate_ms=1_500), due_ms=90_000)
        self.assertEqual(placed(plan([gang, long], workers, placed_runs, NOW)), {})
        self.assertEqual(placed(plan([gang, short], workers, placed_runs, NOW)), {"short": ["w2"]})

    def test_blocked_gangs_reserve_different_workers(self) -> None:
        """Guards against two gangs that wait for the same workers.

        Load: rsa-fold-large quiet-1 --small, gangs of whole workers behind one another.
        """
        gangs = [ready(name, Step(1, resources(8), gang=True), due_ms=5_000) for name in ("a", "b")]
        # Each worker has room for the small task until one of the gangs may start there.
        workers = [candidate(name, free=resources(1)) for name in ("w1", "w2")]
        runs = [
            placed_run("x", 0, "w1", resources(7), remaining_ms=1_000),
            placed_run("y", 0, "w2", resources(7), remaining_ms=2_000),
        ]
        small = ready("small", Step(1, resources(1), estimate_ms=60_000))
        self.assertEqual(placed(plan([*gangs, small], workers, runs, NOW)), {})
        self.assertEqual(placed(plan([gangs[0], small], workers, runs, NOW)), {"small": ["w2"]})


class ReclaimTest(unittest.TestCase):
    def test_guaranteed_work_preempts_the_run_that_loses_the_least_work(self) -> None:
        placed_runs = [
            placed_run("cheap", 0, "w1", resources(8), lost_work=1.0),
            placed_run("expensive", 0, "w2", resources(8), lost_work=50.0),
        ]
        workers = [candidate("w1", free=NOTHING), candidate("w2", free=NOTHING)]
        result = plan(
            [ready("a", Step(1, resources(8)), 0, entitled=True)], workers, placed_runs, NOW
        )
        self.assertEqual([each.name.job_id for each in result.preemptions], ["cheap"])

    def test_all_members_of_a_gang_are_preempted(self) -> None:
        placed_runs = [
            placed_run("gang", index, f"w{index + 1}", resources(8), gang=("gang", 0, 0))
            for index in range(2)
        ]
        workers = [candidate("w1", free=NOTHING), candidate("w2", free=NOTHING)]
        result = plan(
            [ready("a", Step(1, resources(8)), 0, entitled=True)], workers, placed_runs, NOW
        )
        self.assertEqual(len(result.preemptions), 2)

    def test_runs_that_are_already_stopping_count_as_free_capacity(self) -> None:
        placed_runs = [placed_run("old", 0, "w1", resources(8), stopping=True)]
        step = ready("a", Step(1, resources(8)), 0, entitled=True)
        result = plan([step], [candidate("w1", free=NOTHING)], placed_runs, NOW)
        self.assertEqual(result.preemptions, ())

    def test_two_guaranteed_jobs_do_not_reclaim_the_same_capacity(self) -> None:
        placed_runs = [
            placed_run("x", 0, "w1", resources(8)),
            placed_run("y", 0, "w2", resources(8), lost_work=20.0),
        ]
        workers = [candidate("w1", free=NOTHING), candidate("w2", free=NOTHING)]
        steps = [ready(name, Step(1, resources(8)), 0, entitled=True) for name in ("a", "b")]
        result = plan(steps, workers, placed_runs, NOW)
        self.assertEqual(sorted(each.name.job_id for each in result.preemptions), ["x", "y"])

    def test_protected_runs_are_never_preempted(self) -> None:
        placed_runs = [placed_run("old", 0, "w1", resources(8), protected=True)]
        step = ready("a", Step(1, resources(8)), 0, entitled=True)
        self.assertEqual(
            plan([step], [candidate("w1", free=NOTHING)], placed_runs, NOW).preemptions, ()
        )

    def test_urgent_work_without_a_guarantee_preempts_more_at_its_last_chance(self) -> None:
        """Guards against urgent work that expires behind patient work that can wait.

        Load: rsa-fold-large trouble-1, a burst of quote checks beyond the guarantees.
        """
        step = Step(1, resources(8), estimate_ms=1_000)  # 65 core-seconds
        cases = [
            ("cheap", 0, 10.0, 90_000, 1),
            ("expensive", 0, 60.0, 90_000, 0),
            ("expensive, last chance", 0, 60.0, 2_500, 1),
            ("too expensive, last chance", 0, 300.0, 2_500, 0),
            ("expired", 0, 10.0, 1_900, 0),
            ("not urgent", 1, 10.0, 90_000, 0),
        ]
        for name, priority, lost_work, expired_ms, expected in cases:
            with self.subTest(name):
                runs = [placed_run("old", 0, "w1", resources(8), priority=2, lost_work=lost_work)]
                waiting = ready("a", step, priority, due_ms=1_500, expired_ms=expired_ms)
                result = plan([waiting], [candidate("w1", free=NOTHING)], runs, NOW)
                self.assertEqual(len(result.preemptions), expected)

    def test_nothing_is_preempted_if_enough_runs_end_soon(self) -> None:
        """Guards against stopping runs whose capacity would have become free in time anyway.

        Load: rsa-fold-large scale-1, 762 of 7,430 runs stopped for urgent work.
        """
        cases = [
            ("ends soon", 500, 900, 90_000, 0),
            ("ends later", 2_000, 900, 90_000, 1),
            ("waited before", 500, 100, 90_000, 1),
            ("has no time", 500, 900, 2_300, 1),
        ]
        for name, remaining_ms, ready_ms, due_ms, expected in cases:
            with self.subTest(name):
                runs = [placed_run("old", 0, "w1", resources(8), remaining_ms)]
                step = Step(1, resources(8), estimate_ms=1_000)
                waiting = ready("a", step, 0, due_ms, entitled=True, ready_ms=ready_ms)
                result = plan([waiting], [candidate("w1", free=NOTHING)], runs, NOW)
                self.assertEqual(len(result.preemptions), expected)


if __name__ == "__main__":
    unittest.main()
