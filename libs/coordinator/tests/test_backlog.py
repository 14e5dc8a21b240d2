"""Tests of planning beside jobs that have far more work than a pass can place."""

import time
import tracemalloc
import unittest
from collections.abc import Collection
from dataclasses import replace

from backlog import (
    BACKLOGS,
    NO_WORKER_HAS,
    TASK,
    UNIX_MS,
    WORKERS,
    Backlog,
    backlog_jobs,
    candidates,
    plan_pass,
    records_of,
    topic_with,
    urgent_job,
)
from coordinator_cases import ManualClock

from hornbeamfold.batch import (
    BatchJob,
    Bounds,
    JobProgress,
    OperatorState,
    RunEnd,
    RunName,
    Step,
    TaskRef,
)
from hornbeamfold.coordinator.job_rotation import JobRotation
from hornbeamfold.coordinator.job_tracker import JobTracker
from hornbeamfold.coordinator.planner_inputs import (
    MAX_OFFERED_STEPS,
    STEPS_PER_TURN,
    ready_steps,
)
from hornbeamfold.ledger import LoadedProgress, load_progress
from hornbeamfold.scheduling import ReadyStep, plan

# Urgent work starts within this time.
URGENT_START_MS = 1_400
# An accepted job that can run does not wait longer than this beside idle workers.
MAX_IDLE_WAIT_MS = 3_000
# The maximum interval between passes.
PASS_MS = 200
# The smallest instance has 200 MB, of which an instance without jobs uses about 55 MB.
MAX_JOB_MEMORY_BYTES = 145 * 1024 * 1024


class BacklogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.tracker = JobTracker(self.clock)
        self.rotation = JobRotation()

    def add(self, *jobs: BatchJob) -> None:
        for job in jobs:
            self.tracker.add(job, JobProgress())

    def offered(self, unix_ms: int = UNIX_MS, claiming: Collection[str] = ()) -> list[ReadyStep]:
        """Return what the next pass offers."""
        self.clock.move(PASS_MS)
        return ready_steps(
            self.tracker,
            OperatorState(),
            unix_ms,
            self.clock(),
            Bounds(),
            WORKERS,
            self.rotation,
            claiming=claiming,
        )

    def passes_until_started(self, job_id: str) -> int:
        """Return how many passes it takes until a task of a job is placed."""
        for passes in range(1, 1_000):
            new_plan = plan(self.offered(), candidates(self.tracker), [], self.clock())
            if any(each.job_id == job_id for each in new_plan.assignments):
                return passes
        self.fail(f"{job_id} is not started")

    def test_urgent_work_starts_beside_any_backlog(self) -> None:
        """Guards against passes of seconds, in which no lease is renewed and nothing starts.

        Found by: review/7, LOST. One job had 120,000 overdue occurrences.
        """
        for backlog in BACKLOGS:
            with self.subTest(backlog.name):
                self.setUp()
                self.add(*backlog_jobs(backlog), urgent_job("urgent"))
                began = time.process_time()
                steps, new_plan = plan_pass(self.tracker, self.clock())
                took_ms = (time.process_time() - began) * 1_000
                self.assertIn("urgent", {each.job_id for each in new_plan.assignments})
                self.assertLess(took_ms, URGENT_START_MS)
                self.assertLess(len(steps), MAX_OFFERED_STEPS + STEPS_PER_TURN)

    def test_a_job_fits_the_memory_of_the_smallest_instance(self) -> None:
        """Guards against coordinators that end for want of memory, one after the other.

        Found by: review/7. The job is read back with all but one of its tasks done.
        """
        (largest,) = backlog_jobs(Backlog("200,000 occurrences", 1, 200_000))
        records = records_of(largest)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        progress = load_progress(topic_with(records))
        assert isinstance(progress, LoadedProgress)
        self.tracker.add(largest, progress.by_job.pop(largest.job_id))
        (step,) = self.offered()
        self.assertEqual(step.ref(0), TaskRef(199_999, 0, 0))
        self.assertLess(tracemalloc.get_traced_memory()[1], MAX_JOB_MEMORY_BYTES)

    def test_jobs_that_cannot_run_keep_no_others_out(self) -> None:
        """Guards against a pass that is filled with what no worker can run, again and again."""
        cases = [
            ("another organisation", {"organisation": "sfax-crew"}),
            ("the same organisation", {}),
            ("the same organisation, urgent", {"priority": 0}),
        ]
        for name, changes in cases:
            with self.subTest(name):
                self.setUp()
                (runnable,) = backlog_jobs(Backlog("a job that can run", 1, 1, label=""))
                self.add(*backlog_jobs(Backlog("5,000 jobs", 5_000, 1)))
                self.add(replace(runnable, job_id="runnable", **changes))
                passes = self.passes_until_started("runnable")
                self.assertLess(passes * PASS_MS, MAX_IDLE_WAIT_MS)

    def test_jobs_for_which_room_is_kept_are_offered_by_every_pass(self) -> None:
        """Guards against room that is lost to others whenever its job's turn is another time."""
        (patient,) = backlog_jobs(Backlog("a job that waits", 1, 1, label=""))
        self.add(*backlog_jobs(Backlog("5,000 jobs", 5_000, 1)))
        self.add(replace(patient, job_id="patient"))
        for _ in range(5):
            offered = [each.job.job_id for each in self.offered(claiming={"patient", "ended"})]
            self.assertEqual(offered.count("patient"), 1)

    def test_steps_that_cannot_run_keep_no_others_of_their_job_out(self) -> None:
        (wide,) = backlog_jobs(Backlog("5,000 steps", 1, 1, steps=5_000))
        wide = replace(wide, steps=(*wide.steps, Step(1, TASK, 500)))
        self.add(wide, *(urgent_job(f"urgent-{number}") for number in range(10)))
        passes = self.passes_until_started(wide.job_id)
        self.assertLess(passes * PASS_MS, MAX_IDLE_WAIT_MS)

    def test_occurrences_that_are_stuck_in_a_later_step_keep_no_others_out(self) -> None:
        """The first step of each occurrence can run, the second one cannot."""
        (repeated,) = backlog_jobs(Backlog("1,000 occurrences", 1, 1_000, label=""))
        stuck = Step(1, TASK, 500, after=(0,), required_label=NO_WORKER_HAS)
        repeated = replace(repeated, steps=(*repeated.steps, stuck))
        self.add(repeated)
        for _ in range(1_000 // WORKERS):
            new_plan = plan(self.offered(), candidates(self.tracker), [], self.clock())
            self.finish([each.task for each in new_plan.assignments], repeated.job_id)
        first_steps = [step for step in self.offered() if step.step_index == 0]
        self.assertEqual(first_steps, [])

    def finish(self, refs: list[TaskRef], job_id: str) -> None:
        """Start tasks and let them end at once."""
        for ref in refs:
            tracked = self.tracker.jobs[job_id]
            tracked.begin(ref, 1, "w0", 1)
            tracked.finish(RunName(job_id, ref, 1), RunEnd.DONE, "")

    def test_occurrences_that_can_be_on_time_are_offered_beside_overdue_ones(self) -> None:
        """Guards against a job that is never on time again after it was late once."""
        (repeated,) = backlog_jobs(Backlog("10,000 occurrences", 1, 10_000))
        self.add(replace(repeated, start_at_ms=UNIX_MS - 3_600_000, interval_ms=1_000))
        offered = {step.occurrence for step in self.offered()}
        self.assertIn(0, offered)
        self.assertTrue({3_598, 3_599, 3_600} <= offered)
        self.assertNotIn(3_601, offered)

    def test_every_due_occurrence_is_offered_once_there_is_room(self) -> None:
        """Guards against occurrences that are left out for good, in any order of their ends."""
        (repeated,) = backlog_jobs(Backlog("300 occurrences", 1, 300, label=""))
        self.add(repeated)
        started: set[int] = set()
        while repeated.job_id in self.tracker.jobs:
            steps = self.offered()
            if not steps:
                break
            refs = [step.ref(0) for step in steps[::2]]
            self.assertFalse(started & {ref.occurrence for ref in refs})
            started.update(ref.occurrence for ref in refs)
            self.finish(refs, repeated.job_id)
        self.assertEqual(len(started), 300)


if __name__ == "__main__":
    unittest.main()
