"""Tests of what the loss of a worker counts for, before and after the worker is heard of again."""

import unittest
from dataclasses import replace

from coordinator_cases import (
    ManualClock,
    RecordedCalls,
    job,
    session,
    tracker_with,
    worker,
)

from hornbeamfold.batch import JobState, NoAnswer, Resources, RunName, Step, TaskRef
from hornbeamfold.coordinator.crash_counts import (
    MAX_CRASHES_ALONE,
    MAX_CRASHES_WITHOUT_EVIDENCE,
    MAX_OPEN_LOSSES,
)
from hornbeamfold.coordinator.crash_history import WINDOW_MS
from hornbeamfold.coordinator.job_tracker import Holding, JobTracker
from hornbeamfold.coordinator.run_losses import REVIEW_TIMEOUT_MS, LossHooks, RunLosses
from hornbeamfold.coordinator.session import RunsLost, Session
from hornbeamfold.ledger import encode_progress
from hornbeamfold.ledger.codec import decode_progress

TASK = TaskRef(0, 0, 0)
STEP = Step(1, Resources(1_000, 1_000, 1), 1_000)


class LossCase(unittest.TestCase):
    """A job of one task and the losses of the workers that it runs on."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.tracker = tracker_with(self.clock, job("a", STEP))
        self.stopped: list[RunName] = []
        self.losses = self.losses_of(self.tracker)

    def losses_of(self, tracker: JobTracker) -> RunLosses:
        """Return the losses of a term with this tracker."""
        hooks = LossHooks(
            lambda name, end, loss: tracker.end_run(name, end, loss=loss),
            lambda names, _: self.stopped.extend(names),
            lambda: None,
        )
        return RunLosses(tracker, hooks, self.clock, self.clock)

    def take_over(self) -> None:
        """Let another coordinator go on from the recorded progress."""
        state, tasks = self.tracker.recorded_progress("a")
        stored = decode_progress(encode_progress("a", state, tasks).value)
        self.tracker = JobTracker(self.clock)
        self.tracker.add(job("a", STEP), stored)
        self.losses = self.losses_of(self.tracker)

    def begin(self, worker_id: str, holding: Holding = Holding.CERTAIN) -> Session:
        """Start the task on a worker; return the session with the worker."""
        (run,) = self.tracker.begin_runs("a", [TASK], [worker(worker_id)])
        self.tracker.set_incarnation(run.name, 1)
        self.tracker.set_holding(run.name, holding)
        return session(RecordedCalls(), self.clock, lambda _: NoAnswer("away"), worker_id=worker_id)

    def lose(self, with_worker: Session, registered: bool) -> None:
        """Let the lease of a worker expire."""
        if not registered:
            with_worker.unregister()
        self.losses.end_all(with_worker, RunsLost.LEASE_EXPIRED, 1)

    def hear_of(self, with_worker: Session, born_ms: int) -> None:
        """Let an incarnation of a worker report."""
        with_worker.update(replace(with_worker.worker, born_ms=born_ms))
        self.losses.review(with_worker)

    def crashes(self) -> tuple[int, int]:
        """Return how many crashes the task has, with and without evidence."""
        task = self.tracker.jobs["a"].task(TASK)
        return task.crashes - task.vanished, task.suspected_without_evidence


class ReviewTest(LossCase):
    def test_a_loss_is_reviewed_when_the_worker_is_heard_of(self) -> None:
        """Guards against blaming tasks for cuts, and against a culprit that is never blamed."""
        certain, possible = Holding.CERTAIN, Holding.POSSIBLE
        cases = [
            ("cut off", True, certain, 1, (0, 0), (0, 0)),
            ("crashed, came back late", True, certain, 2, (0, 0), (1, 0)),
            ("cut off, without its entry", False, certain, 1, (0, 1), (0, 0)),
            ("crashed, without its entry", False, certain, 2, (0, 1), (1, 0)),
            ("crashed, may have had the run", True, possible, 2, (0, 0), (0, 1)),
            ("crashed, may have had the run, without its entry", False, possible, 2, (0, 1),
             (0, 1)),
            ("crashed, did not have the run", False, Holding.NONE, 2, (0, 0), (0, 0)),
        ]  # fmt: skip
        for name, registered, holding, born_ms, before, after in cases:
            with self.subTest(name):
                self.setUp()
                with_worker = self.begin("w1", holding)
                self.lose(with_worker, registered)
                self.assertEqual(self.crashes(), before)
                self.hear_of(with_worker, born_ms)
                self.assertEqual(self.crashes(), after)
                self.assertEqual(self.tracker.pop_changed(), {"a"})

    def test_a_worker_that_left_is_no_evidence(self) -> None:
        with_worker = self.begin("w1")
        with_worker.update(replace(with_worker.worker, draining=True))
        self.lose(with_worker, registered=False)
        self.hear_of(with_worker, born_ms=2)
        self.assertEqual(self.crashes(), (0, 0))

    def test_a_withdrawal_is_only_of_what_was_counted(self) -> None:
        """Guards against a crash that is withdrawn as another worker, which left, is heard of."""
        self.lose(self.begin("w1"), registered=False)
        leaving = self.begin("w2")
        leaving.update(replace(leaving.worker, draining=True))
        self.lose(leaving, registered=False)
        self.hear_of(leaving, born_ms=1)
        self.assertEqual(self.crashes(), (0, 1))

    def test_a_loss_that_is_reviewed_late_counts_no_more(self) -> None:
        with_worker = self.begin("w1")
        self.lose(with_worker, registered=True)
        self.clock.move(REVIEW_TIMEOUT_MS + 1)
        # The task has been started elsewhere, and lost that worker as well.
        self.lose(self.begin("w2"), registered=True)
        self.hear_of(with_worker, born_ms=2)
        self.assertEqual(self.crashes(), (0, 0))

    def test_cuts_one_after_the_other_fail_no_job(self) -> None:
        """Guards against a job that fails as its workers were cut off, also from the store."""
        for number in range(2 * MAX_CRASHES_WITHOUT_EVIDENCE):
            with_worker = self.begin(f"w{number}")
            self.lose(with_worker, registered=False)
            self.hear_of(with_worker, born_ms=1)
        self.assertEqual(self.crashes(), (0, 0))

    def test_cuts_fail_no_job_whose_coordinators_are_replaced(self) -> None:
        """Guards against counts of cuts that outlive the coordinator which could withdraw them.

        Found by: review/9, LOST.
        """
        for number in range(2 * MAX_CRASHES_WITHOUT_EVIDENCE):
            with_worker = self.begin(f"w{number}")
            self.lose(with_worker, registered=False)
            self.assertEqual(self.crashes(), (0, 1))
            self.take_over()
            self.hear_of(with_worker, born_ms=1)
            self.assertEqual(self.crashes(), (0, 0))

    def test_a_culprit_is_given_up_whose_workers_come_back_to_another_coordinator(self) -> None:
        """Guards against a task that is started for ever as each loss outlives its coordinator."""
        for registered in (True, False):
            with self.subTest(registered=registered):
                self.setUp()
                for number in range(MAX_CRASHES_ALONE):
                    self.assertIn("a", self.tracker.jobs)
                    with_worker = self.begin(f"w{number}")
                    self.lose(with_worker, registered)
                    self.take_over()
                    self.hear_of(with_worker, born_ms=2)
                    self.clock.move(WINDOW_MS + 1)
                self.assertIs(self.tracker.recorded_progress("a")[0], JobState.FAILED)

    def test_a_loss_that_is_confirmed_late_is_no_evidence(self) -> None:
        with_worker = self.begin("w1")
        self.lose(with_worker, registered=False)
        self.clock.move(REVIEW_TIMEOUT_MS + 1)
        self.take_over()
        self.hear_of(with_worker, born_ms=2)
        self.assertEqual(self.crashes(), (0, 1))

    def test_a_task_waits_for_a_limited_number_of_workers(self) -> None:
        for number in range(2 * MAX_OPEN_LOSSES):
            self.lose(self.begin(f"w{number}"), registered=number != 1)
        losses = self.tracker.jobs["a"].task(TASK).losses
        self.assertEqual(len(losses), MAX_OPEN_LOSSES)
        # The one that counts as a crash is among them.
        self.assertEqual(self.crashes(), (0, 1))

    def test_a_culprit_whose_workers_come_back_late_is_given_up(self) -> None:
        """Guards against a task that is started for ever as each worker is away for a lease."""
        sessions = [self.begin("w0")]
        for number in range(1, MAX_CRASHES_ALONE):
            self.lose(sessions[-1], registered=True)
            sessions.append(self.begin(f"w{number}"))
        self.lose(sessions[-1], registered=True)
        self.begin("w9")
        for with_worker in sessions:
            self.assertIn("a", self.tracker.jobs)
            self.hear_of(with_worker, born_ms=2)
            self.clock.move(1)
        self.assertIs(self.tracker.recorded_progress("a")[0], JobState.FAILED)
        self.assertEqual(self.stopped, [RunName("a", TASK, MAX_CRASHES_ALONE + 1)])

    def test_crashes_that_are_known_late_may_be_widespread(self) -> None:
        """Guards against blaming a task for the crash of a rack behind a cut."""
        neighbours = [job(f"n{number}", STEP) for number in range(3)]
        self.tracker = tracker_with(self.clock, job("a", STEP), *neighbours)
        self.losses = self.losses_of(self.tracker)
        lost = [self.begin("w1")]
        for each in neighbours:
            worker_id = f"w-{each.job_id}"
            (run,) = self.tracker.begin_runs(each.job_id, [TASK], [worker(worker_id)])
            self.tracker.set_incarnation(run.name, 1)
            self.tracker.set_holding(run.name, Holding.CERTAIN)
            lost.append(
                session(
                    RecordedCalls(), self.clock, lambda _: NoAnswer("away"), worker_id=worker_id
                )
            )
        for with_worker in lost:
            self.lose(with_worker, registered=True)
        for with_worker in reversed(lost):
            self.hear_of(with_worker, born_ms=2)
        self.assertEqual(self.crashes(), (0, 1))


if __name__ == "__main__":
    unittest.main()
