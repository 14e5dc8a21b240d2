"""Tests that the checker reports each violated guarantee."""

import contextlib
import io
import unittest
from dataclasses import replace

from hornbeamfold.batch import EndedTask, Resources, RunEnd, RunName, StartOrder, TaskRef, Worker
from hornbeamfold.soak.checker import CRASH_ALLOWANCE_MS, SHRINK_BOUND_MS, Checker
from hornbeamfold.soak.ready_work import READY_BOUND_MS, ReadyWorkMonitor, measure_room
from hornbeamfold.soak.records import SubmissionResult, SubmittedJob, SubmittedStep, ViolationLog

JOB = "00000000000000a1"
FIRST = TaskRef(0, 0, 0)
SECOND = TaskRef(0, 1, 0)
CAPACITY = Resources(16_000, 64_000, 8)


def worker(number: int = 1, zone: str = "sousse") -> Worker:
    """Return a worker."""
    return Worker(f"w-{number}", 1, "planner", "", zone, CAPACITY)


class CheckerCase(unittest.TestCase):
    """A checker that knows a job, with the events of its runs."""

    def setUp(self) -> None:
        self.now = 1_000
        self.violation_log = ViolationLog(lambda: self.now)
        self.checker = Checker(lambda: self.now, lambda: self.now, self.violation_log)
        self.observer = self.checker.observer
        steps = (
            SubmittedStep(2, Resources(1_000, 1_000, 4)),
            SubmittedStep(1, Resources(1_000, 1_000, 0), (0,)),
        )
        self.checker.on_submit(SubmittedJob(JOB, f"/urgent/{JOB}", "work", steps, 2))

    def start(self, task: TaskRef, run: int = 1, on: Worker | None = None, **order: str) -> None:
        payload = order.get("payload", "work")
        started = StartOrder(RunName(order.get("job", JOB), task, run), payload, 1, 9_000)
        with contextlib.redirect_stdout(io.StringIO()):
            self.observer.started(on or worker(), started)

    def end(self, task: TaskRef, run: int, how: RunEnd, recorded: bool = True) -> None:
        ended = EndedTask(1, RunName(JOB, task, run), how, "")
        self.observer.ended(worker(), ended)
        if recorded:
            self.observer.acknowledged(worker(), ended)

    def check_state(self, state: str) -> None:
        with contextlib.redirect_stdout(io.StringIO()):
            self.checker.check_state(JOB, state)

    def violated(self) -> list[str]:
        """Return the guarantees that were reported as violated."""
        return [each.guarantee for each in self.violation_log.violations]


class CheckerTest(CheckerCase):
    def test_a_normal_life_cycle_violates_nothing(self) -> None:
        self.checker.on_submission_result(JOB, SubmissionResult.ACCEPTED)
        for index in range(2):
            self.start(TaskRef(0, 0, index))
            self.end(TaskRef(0, 0, index), 1, RunEnd.DONE)
        self.start(SECOND)
        self.end(SECOND, 1, RunEnd.DONE)
        self.check_state("completed")
        self.assertEqual(self.violated(), [])

    def test_two_runs_at_once(self) -> None:
        self.start(FIRST)
        self.start(FIRST, 2, worker(2))
        self.assertEqual(self.violated(), ["a task runs once"])

    def test_a_run_after_the_recorded_end(self) -> None:
        self.start(FIRST)
        self.end(FIRST, 1, RunEnd.DONE)
        self.start(FIRST, 2)
        self.assertEqual(self.violated(), ["a task runs once"])

    def test_a_run_after_its_worker_was_lost_is_allowed(self) -> None:
        self.start(FIRST)
        self.observer.lost(worker(), RunName(JOB, FIRST, 1))
        self.start(FIRST, 2, worker(2))
        self.assertEqual(self.violated(), [])

    def test_a_step_before_its_dependencies(self) -> None:
        self.start(SECOND)
        self.assertEqual(self.violated(), ["steps keep their order"] * 2)

    def test_a_scheduled_start_before_its_time(self) -> None:
        early = SubmittedJob(
            "b" * 16, "/urgent/b", "work", (SubmittedStep(1, Resources()),), 2, 2_000
        )
        self.checker.on_submit(early)
        self.start(FIRST, job=early.job_id)
        self.assertEqual(self.violated(), ["no start before its time"])

    def test_another_payload_and_an_unknown_job(self) -> None:
        self.start(FIRST, payload="other")
        self.start(FIRST, job="c" * 16)
        self.assertEqual(self.violated(), ["only what was sent runs"] * 2)

    def test_more_attempts_than_allowed(self) -> None:
        for run in (1, 2):
            self.start(FIRST, run)
            self.end(FIRST, run, RunEnd.FAILED)
        self.start(FIRST, 3)
        self.assertEqual(self.violated(), ["attempts are bounded"])

    def crash(self, task: TaskRef, run: int, job: str = JOB) -> None:
        """Start a run and crash its worker."""
        self.start(task, run, job=job)
        name = RunName(job, task, run)
        self.observer.crashed(worker(), (name,))
        self.observer.lost(worker(), name)

    def submit_crashing_job(self) -> str:
        crashing = SubmittedJob(
            "e" * 16, "/urgent/e", "work", (SubmittedStep(1, Resources()),), 9, crashes=True
        )
        self.checker.on_submit(crashing)
        return crashing.job_id

    def test_a_third_start_after_three_crashes(self) -> None:
        """Guards against six starts of a crashing task, and against a complaint about five."""
        job_id = self.submit_crashing_job()
        for run in range(1, 6):
            self.crash(FIRST, run, job_id)
        self.assertEqual(self.violated(), [])
        self.crash(FIRST, 6, job_id)
        self.assertEqual(self.violated(), ["crashing tasks are bounded"])

    def test_starts_before_the_third_crash_are_not_bounded(self) -> None:
        """Guards against counting runs that ended without a crash."""
        job_id = self.submit_crashing_job()
        for run in range(1, 9):
            self.start(FIRST, run, job=job_id)
            self.observer.lost(worker(), RunName(job_id, FIRST, run))
        self.assertEqual(self.violated(), [])

    def test_tasks_beside_a_crashing_one_are_not_bounded(self) -> None:
        """Guards against a bound on tasks that did not crash their workers."""
        for run in range(1, 9):
            self.crash(FIRST, run)
        self.assertEqual(self.violated(), [])

    def test_failed_needs_two_crashed_workers(self) -> None:
        """Guards against a job that is given up after a single crash."""
        self.crash(FIRST, 1)
        self.check_state("failed")
        self.assertEqual(self.violated(), ["failed is true"])
        self.crash(FIRST, 2)
        self.check_state("failed")
        self.assertEqual(self.violated(), ["failed is true"])

    def test_crashes_of_two_tasks_do_not_add_up(self) -> None:
        """Guards against a job that is given up after one crash under each of two tasks."""
        self.crash(FIRST, 1)
        self.crash(TaskRef(0, 0, 1), 1)
        self.check_state("failed")
        self.assertEqual(self.violated(), ["failed is true"])

    def test_lost_runs_are_no_crashes(self) -> None:
        """Guards against a job that is given up because workers left."""
        for run in (1, 2):
            self.start(FIRST, run)
            self.observer.lost(worker(), RunName(JOB, FIRST, run))
        self.check_state("failed")
        self.assertEqual(self.violated(), ["failed is true"])

    def test_an_overfull_worker(self) -> None:
        big = SubmittedJob(
            "d" * 16, "/urgent/d", "work", (SubmittedStep(1, Resources(0, 0, 6)),), 2
        )
        self.checker.on_submit(big)
        self.start(FIRST)
        self.start(FIRST, job=big.job_id)
        self.assertEqual(self.violated(), ["no worker is overfull"])

    def shrink(self, capacity: Resources) -> Worker:
        """Change the capacity of the worker, and return its new description."""
        self.checker.on_capacity_change(worker())
        return replace(worker(), capacity=capacity)

    def test_a_start_on_a_shrunk_worker(self) -> None:
        """Guards against a smaller capacity that never binds, or binds before its bound."""
        shrunk = self.shrink(Resources(16_000, 64_000, 2))
        self.now += SHRINK_BOUND_MS
        self.start(FIRST, on=shrunk)
        self.assertEqual(self.violated(), [])
        self.now += 1
        self.start(TaskRef(0, 0, 1), on=shrunk)
        self.assertEqual(self.violated(), ["no worker is overfull"])

    def test_a_worker_that_has_grown_back_is_not_overfull(self) -> None:
        """Guards against a smaller capacity that binds after it has grown again."""
        shrunk = self.shrink(Resources())
        self.now += SHRINK_BOUND_MS + 1
        self.checker.on_capacity_change(shrunk)
        self.start(FIRST)
        self.assertEqual(self.violated(), [])

    def test_a_larger_capacity_in_between_counts_for_the_bound(self) -> None:
        """Guards against a bound that counts from the first of two changes."""
        self.checker.on_capacity_change(self.shrink(Resources()))
        self.now += SHRINK_BOUND_MS + 1
        shrunk = self.shrink(Resources())
        self.start(FIRST, on=shrunk)
        self.assertEqual(self.violated(), [])

    def test_a_start_without_accelerators_on_a_worker_that_has_lost_its_own(self) -> None:
        """Guards against blaming a start for a resource that it does not demand."""
        self.start(FIRST)
        shrunk = self.shrink(Resources(16_000, 64_000, 0))
        self.now += SHRINK_BOUND_MS + 1
        light = SubmittedJob(
            "f" * 16, "/urgent/f", "work", (SubmittedStep(1, Resources(1_000)),), 2
        )
        self.checker.on_submit(light)
        self.start(FIRST, on=shrunk, job=light.job_id)
        self.assertEqual(self.violated(), [])

    def test_a_run_that_is_being_stopped_still_counts(self) -> None:
        """Guards against room that is free before the end of a run is listed."""
        self.start(FIRST)
        shrunk = self.shrink(Resources(16_000, 64_000, 4))
        self.now += SHRINK_BOUND_MS + 1
        self.start(TaskRef(0, 0, 1), on=shrunk)
        self.assertEqual(self.violated(), ["no worker is overfull"])
        self.end(FIRST, 1, RunEnd.STOPPED)
        self.end(TaskRef(0, 0, 1), 1, RunEnd.STOPPED)
        self.start(FIRST, 2, on=shrunk)
        self.assertEqual(self.violated(), ["no worker is overfull"])

    def test_starts_after_the_time_bounds(self) -> None:
        self.checker.on_zone_out_of_service("sousse")
        self.checker.on_worker_draining(worker(2, "sfax"))
        self.now += 5_001
        self.start(FIRST)
        self.start(TaskRef(0, 0, 1), 1, worker(2, "sfax"))
        self.checker.on_cancel_acknowledged(JOB)
        self.now += 3_001
        self.start(TaskRef(0, 0, 1), 2, worker(3, "monastir"))
        self.assertIn("nothing starts in a zone that is out", self.violated())
        self.assertIn("nothing starts on a draining worker", self.violated())
        self.assertIn("nothing starts for a cancelled job", self.violated())

    def test_a_refusal_after_a_start(self) -> None:
        self.start(FIRST)
        with contextlib.redirect_stdout(io.StringIO()):
            self.checker.on_submission_result(JOB, SubmissionResult.REFUSED)
        self.assertEqual(self.violated(), ["a refusal is true"])

    def test_a_start_after_a_refusal(self) -> None:
        self.checker.on_submission_result(JOB, SubmissionResult.REFUSED)
        self.start(FIRST)
        self.assertEqual(self.violated(), ["a refusal is true"])

    def test_false_final_states(self) -> None:
        for state in ("completed", "failed", "cancelled"):
            self.check_state(state)
        expected = ["completed is true", "failed is true", "cancelled is true"]
        self.assertEqual(self.violated(), expected)

    def test_a_lost_job(self) -> None:
        self.checker.on_submission_result(JOB, SubmissionResult.ACCEPTED)
        with contextlib.redirect_stdout(io.StringIO()):
            self.checker.check_unknown_job(JOB, self.now + 3_001)
        self.assertEqual(self.violated(), ["no job is lost"])

    def test_a_revoked_key_served_after_the_bound(self) -> None:
        self.checker.on_key_revoked("k")
        with contextlib.redirect_stdout(io.StringIO()):
            self.checker.check_key_use("k", self.now + 5_000)
            self.checker.check_key_use("k", self.now + 5_001)
        self.assertEqual(self.violated(), ["a key that was taken away is refused"])


class ReadyWorkTest(CheckerCase):
    """Waits of ready work beside room, with the checker's job of 2 tasks and 1 that follows."""

    def setUp(self) -> None:
        super().setUp()
        self.monitor = ReadyWorkMonitor(lambda: self.now, self.violation_log)
        self.checker.on_submission_result(JOB, SubmissionResult.ACCEPTED)

    def watch(self, workers: int = 3, calm: bool = True, ms: int = READY_BOUND_MS + 1) -> None:
        """Look at the waiting work now and after some time."""
        idle = [worker(10 + each) for each in range(workers)]
        for wait_ms in (0, ms):
            self.now += wait_ms
            room = measure_room(idle, self.checker.used_resources()) if calm else None
            with contextlib.redirect_stdout(io.StringIO()):
                self.monitor.update(self.checker.waiting_steps(), room)

    def run_all(self, job_id: str = JOB) -> None:
        """Start and complete the two tasks of the first step."""
        for index in range(2):
            self.start(TaskRef(0, 0, index), job=job_id)
            self.end(TaskRef(0, 0, index), 1, RunEnd.DONE)

    def test_a_wait_beside_room(self) -> None:
        """Guards against ready work that is never reported, or more than once."""
        self.watch(ms=READY_BOUND_MS)
        self.assertEqual(self.violated(), [])
        self.watch()
        self.watch()
        self.assertEqual(self.violated(), ["ready work runs where there is room"])

    def test_a_step_after_another_waits_from_its_end(self) -> None:
        """Guards against work that is counted before or is not counted after its turn has come."""
        self.start(FIRST)
        self.watch()
        self.end(FIRST, 1, RunEnd.DONE)
        self.watch(ms=READY_BOUND_MS)
        self.assertEqual([each.step for each in self.checker.waiting_steps()], [0])
        self.start(TaskRef(0, 0, 1))
        self.end(TaskRef(0, 0, 1), 1, RunEnd.DONE)
        self.assertEqual([each.step for each in self.checker.waiting_steps()], [1])
        self.assertEqual(self.violated(), [])
        self.watch()
        self.assertEqual(self.violated(), ["ready work runs where there is room"])

    def test_a_wait_that_is_interrupted(self) -> None:
        """Guards against adding up waits before and after a disturbance or a run."""
        self.watch(ms=READY_BOUND_MS)
        self.watch(calm=False, ms=1)
        self.watch(ms=READY_BOUND_MS)
        self.start(FIRST)
        self.watch(ms=1)
        self.end(FIRST, 1, RunEnd.STOPPED)
        self.watch(ms=READY_BOUND_MS)
        self.assertEqual(self.violated(), [])

    def test_waits_that_are_allowed(self) -> None:
        """Guards against complaints about jobs that need not run."""
        for name, act in {
            "cancelled": lambda: self.checker.on_cancel_request(JOB),
            "ended": lambda: self.checker.check_state(JOB, "cancelled"),
            "out of attempts": lambda: [
                self.end(FIRST, run, RunEnd.FAILED, recorded=False) for run in (1, 2)
            ],
            "beside a crash": lambda: self.observer.crashed(worker(), ()),
        }.items():
            with self.subTest(name):
                self.setUp()
                with contextlib.redirect_stdout(io.StringIO()):
                    act()
                before = self.violated()
                self.watch()
                self.assertEqual(self.violated(), before)

    def test_a_crash_excuses_waits_for_a_while(self) -> None:
        """Guards against waits that nobody watches any more after a crash."""
        self.observer.crashed(worker(), (RunName(JOB, FIRST, 1),))
        self.now += CRASH_ALLOWANCE_MS
        self.watch()
        self.assertEqual(self.violated(), ["ready work runs where there is room"])

    def test_a_job_that_may_be_given_up(self) -> None:
        """Guards against complaints about a task that has crashed two workers."""
        for run in (1, 2):
            self.observer.crashed(worker(), (RunName(JOB, FIRST, run),))
        self.now += CRASH_ALLOWANCE_MS
        self.watch()
        self.assertEqual(self.violated(), [])

    def test_a_scheduled_job_waits_from_its_time(self) -> None:
        """Guards against complaints about jobs that are not due."""
        due = SubmittedJob(
            "b" * 16, "/urgent/b", "work", (SubmittedStep(1, Resources()),), 2, self.now + 5_000
        )
        self.run_all()
        self.checker.on_cancel_request(JOB)
        self.checker.on_submit(due)
        self.checker.on_submission_result(due.job_id, SubmissionResult.ACCEPTED)
        self.watch(ms=4_999)
        self.assertEqual(self.violated(), [])
        self.watch()
        self.watch()
        self.assertEqual(self.violated(), ["ready work runs where there is room"])

    def test_room_for_all_that_waits_only_once(self) -> None:
        """Guards against counting room that other work may need: 2 tasks need 16 accelerators."""
        self.watch(workers=1)
        self.assertEqual(self.violated(), [])
        self.watch(workers=2)
        self.assertEqual(self.violated(), ["ready work runs where there is room"])

    def test_room_of_which_half_is_in_use(self) -> None:
        """Guards against complaints about a service that is half full."""
        beside = SubmittedJob(
            "c" * 16, "/urgent/c", "work", (SubmittedStep(4, Resources(0, 0, 8)),), 2
        )
        self.checker.on_submit(beside)
        for index in range(2):
            self.start(TaskRef(0, 0, index), job=beside.job_id, on=worker(10 + index))
        self.watch(workers=4)
        self.assertEqual(self.violated(), [])
        self.watch(workers=5)
        self.assertEqual(self.violated(), ["ready work runs where there is room"])

    def test_a_gang_needs_room_for_two_whole_gangs(self) -> None:
        """Guards against counting the missing members of a gang instead of all."""
        steps = (SubmittedStep(4, Resources(0, 0, 4), gang=True, one_rack=True),)
        gang = SubmittedJob("d" * 16, "/urgent/d", "work", steps, 2)
        self.checker.on_cancel_request(JOB)
        self.checker.on_submit(gang)
        self.checker.on_submission_result(gang.job_id, SubmissionResult.ACCEPTED)
        self.watch(workers=3)
        self.assertEqual(self.violated(), [])
        self.watch(workers=4)
        self.assertEqual(self.violated(), ["ready work runs where there is room"])


if __name__ == "__main__":
    unittest.main()
