"""Tests that each promise of the soak is found broken when it is."""

import contextlib
import io
import unittest

from hornbeamfold.batch import EndedTask, Resources, RunEnd, RunName, StartOrder, TaskRef, Worker
from hornbeamfold.soak.checker import Witness
from hornbeamfold.soak.records import Answer, SentJob, SentStep, Violations

JOB = "00000000000000a1"
FIRST = TaskRef(0, 0, 0)
SECOND = TaskRef(0, 1, 0)
ROOM = Resources(16_000, 64_000, 8)


def worker(number: int = 1, zone: str = "sousse") -> Worker:
    """Return a worker."""
    return Worker(f"w-{number}", 1, "planner", "", zone, ROOM)


class WitnessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 1_000
        self.violations = Violations(lambda: self.now)
        self.witness = Witness(lambda: self.now, lambda: self.now, self.violations)
        self.observer = self.witness.observer
        steps = (
            SentStep(2, Resources(1_000, 1_000, 4)),
            SentStep(1, Resources(1_000, 1_000, 0), (0,)),
        )
        self.witness.sending(SentJob(JOB, f"/urgent/{JOB}", "work", steps, 2))

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

    def seen(self, state: str) -> None:
        with contextlib.redirect_stdout(io.StringIO()):
            self.witness.state_seen(JOB, state)

    def broken(self) -> list[str]:
        """Return the promises that were found broken."""
        return [each.promise for each in self.violations.found]

    def test_a_sound_life_breaks_nothing(self) -> None:
        self.witness.answered(JOB, Answer.ACCEPTED)
        for index in range(2):
            self.start(TaskRef(0, 0, index))
            self.end(TaskRef(0, 0, index), 1, RunEnd.DONE)
        self.start(SECOND)
        self.end(SECOND, 1, RunEnd.DONE)
        self.seen("completed")
        self.assertEqual(self.broken(), [])

    def test_two_runs_at_once(self) -> None:
        self.start(FIRST)
        self.start(FIRST, 2, worker(2))
        self.assertEqual(self.broken(), ["a task runs once"])

    def test_a_run_after_the_recorded_end(self) -> None:
        self.start(FIRST)
        self.end(FIRST, 1, RunEnd.DONE)
        self.start(FIRST, 2)
        self.assertEqual(self.broken(), ["a task runs once"])

    def test_a_run_after_an_incarnation_is_gone_is_right(self) -> None:
        self.start(FIRST)
        self.observer.vanished(worker(), RunName(JOB, FIRST, 1))
        self.start(FIRST, 2, worker(2))
        self.assertEqual(self.broken(), [])

    def test_a_step_before_its_turn(self) -> None:
        self.start(SECOND)
        self.assertEqual(self.broken(), ["steps keep their order"] * 2)

    def test_a_scheduled_start_before_its_time(self) -> None:
        early = SentJob("b" * 16, "/urgent/b", "work", (SentStep(1, Resources()),), 2, 2_000)
        self.witness.sending(early)
        self.start(FIRST, job=early.job_id)
        self.assertEqual(self.broken(), ["no start before its time"])

    def test_another_payload_and_an_unknown_job(self) -> None:
        self.start(FIRST, payload="other")
        self.start(FIRST, job="c" * 16)
        self.assertEqual(self.broken(), ["only what was sent runs"] * 2)

    def test_more_attempts_than_allowed(self) -> None:
        for run in (1, 2):
            self.start(FIRST, run)
            self.end(FIRST, run, RunEnd.FAILED)
        self.start(FIRST, 3)
        self.assertEqual(self.broken(), ["attempts are bounded"])

    def test_an_overfull_worker(self) -> None:
        big = SentJob("d" * 16, "/urgent/d", "work", (SentStep(1, Resources(0, 0, 6)),), 2)
        self.witness.sending(big)
        self.start(FIRST)
        self.start(FIRST, job=big.job_id)
        self.assertEqual(self.broken(), ["no worker is overfull"])

    def test_starts_that_come_too_late(self) -> None:
        self.witness.zone_out("sousse")
        self.witness.draining(worker(2, "sfax"))
        self.now += 5_001
        self.start(FIRST)
        self.start(TaskRef(0, 0, 1), 1, worker(2, "sfax"))
        self.witness.cancelled(JOB)
        self.now += 3_001
        self.start(TaskRef(0, 0, 1), 2, worker(3, "monastir"))
        self.assertIn("nothing starts in a zone that is out", self.broken())
        self.assertIn("nothing starts on a draining worker", self.broken())
        self.assertIn("nothing starts for a cancelled job", self.broken())

    def test_refusals_that_are_not_true(self) -> None:
        self.start(FIRST)
        with contextlib.redirect_stdout(io.StringIO()):
            self.witness.answered(JOB, Answer.REFUSED)
        self.assertEqual(self.broken(), ["a refusal is true"])

    def test_a_start_after_a_refusal(self) -> None:
        self.witness.answered(JOB, Answer.REFUSED)
        self.start(FIRST)
        self.assertEqual(self.broken(), ["a refusal is true"])

    def test_final_states_that_are_not_true(self) -> None:
        for state in ("completed", "failed", "cancelled"):
            self.seen(state)
        expected = ["completed is true", "failed is true", "cancelled is true"]
        self.assertEqual(self.broken(), expected)

    def test_a_lost_job(self) -> None:
        self.witness.answered(JOB, Answer.ACCEPTED)
        with contextlib.redirect_stdout(io.StringIO()):
            self.witness.unknown_seen(JOB, self.now + 3_001)
        self.assertEqual(self.broken(), ["no job is lost"])

    def test_a_key_that_is_served_too_long(self) -> None:
        self.witness.key_revoked("k")
        with contextlib.redirect_stdout(io.StringIO()):
            self.witness.key_served("k", self.now + 5_000)
            self.witness.key_served("k", self.now + 5_001)
        self.assertEqual(self.broken(), ["a key that was taken away is refused"])


if __name__ == "__main__":
    unittest.main()
