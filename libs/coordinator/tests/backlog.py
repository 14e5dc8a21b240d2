"""Jobs with many overdue occurrences, and the cost of planning them beside work of others.

Run as a program, this prints the cost of one planning pass and the memory of the jobs, for several
backlogs: make backlog.
"""

import logging
import resource
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from multiprocessing import get_context

from coordinator_cases import ManualClock, worker

from hornbeamfold.batch import (
    BatchJob,
    Bounds,
    JobProgress,
    JobState,
    KeyedRecord,
    NewestPage,
    OperatorState,
    Resources,
    Step,
    TaskPhase,
    TaskProgress,
    TaskRef,
    TopicPort,
)
from hornbeamfold.coordinator.job_tracker import JobTracker
from hornbeamfold.coordinator.planner_inputs import ready_steps
from hornbeamfold.ledger import encode_progress, load_progress, task_parts
from hornbeamfold.scheduling import CandidateWorker, Plan, ReadyStep, plan

WORKERS = 8
HOUR_MS = 3_600_000
# All occurrences are due, as the first one was at the begin of 1970.
UNIX_MS = 1_796_000_000_000
NO_WORKER_HAS = "no-worker-has-this"
TASK = Resources(1_000, 1_000, 1)


@dataclass(frozen=True)
class Backlog:
    """Some jobs, each with occurrences of equal steps; `label` is required of the workers."""

    name: str
    jobs: int
    occurrences: int
    tasks: int = 1
    label: str = NO_WORKER_HAS
    gang: bool = False
    steps: int = 1


BACKLOGS = (
    Backlog("1,000 occurrences", 1, 1_000),
    Backlog("10,000 occurrences", 1, 10_000),
    Backlog("120,000 occurrences", 1, 120_000),
    Backlog("200,000 occurrences", 1, 200_000),
    Backlog("100 jobs of 2,000", 100, 2_000),
    Backlog("20 of 9,900 tasks", 1, 20, 9_900),
    Backlog("20 gangs of 9,900 tasks", 1, 20, 9_900, gang=True),
    Backlog("20 of 10,000 steps", 1, 20, steps=10_000),
    Backlog("20,000 jobs", 20_000, 1),
    Backlog("120,000 that can run", 1, 120_000, label=""),
    Backlog("100 jobs of 2,000 that can run", 100, 2_000, label=""),
    Backlog("20 of 9,900 tasks that can run", 1, 20, 9_900, label=""),
)


def backlog_jobs(backlog: Backlog) -> list[BatchJob]:
    """Return the jobs of a backlog."""
    step = Step(backlog.tasks, TASK, 500, required_label=backlog.label, gang=backlog.gang)
    return [
        BatchJob(
            f"backlog-{number:04}",
            "patient",
            "planner",
            "sousse-crew",
            "{}",
            (step,) * backlog.steps,
            1,
            2,
            3.0,
            1_000,
            UNIX_MS,
            repetitions=backlog.occurrences,
            interval_ms=min(HOUR_MS, UNIX_MS // backlog.occurrences),
        )
        for number in range(backlog.jobs)
    ]


def urgent_job(job_id: str) -> BatchJob:
    """Return a small urgent job of another organisation."""
    step = Step(1, TASK, 500)
    return BatchJob(
        job_id, "urgent", "planner", "sfax-crew", "{}", (step,), 0, 2, 3.0, 1_000, UNIX_MS
    )


def candidates(tracker: JobTracker) -> list[CandidateWorker]:
    """Return the workers with what the runs of a tracker leave free."""
    found: list[CandidateWorker] = []
    for number in range(WORKERS):
        each = worker(f"w{number}")
        free = each.capacity - tracker.reserved_on(each.worker_id)
        found.append(
            CandidateWorker(
                each.worker_id,
                each.service,
                each.availability_zone,
                each.rack,
                each.labels,
                each.capacity,
                free,
                tracker.has_runs_on(each.worker_id),
                False,
            )
        )
    return found


def plan_pass(tracker: JobTracker, now_ms: int) -> tuple[Sequence[ReadyStep], Plan]:
    """Return the steps that one pass offers, and its plan."""
    steps = ready_steps(tracker, OperatorState(), UNIX_MS, now_ms, Bounds(), WORKERS)
    return steps, plan(steps, candidates(tracker), [], now_ms)


def records_of(job: BatchJob) -> list[KeyedRecord]:
    """Return the progress records of a job of which all but the last task is done."""
    parts = task_parts(job)
    done = TaskProgress(TaskPhase.DONE, run=1)
    last = TaskRef(job.occurrences - 1, len(job.steps) - 1, job.steps[-1].count - 1)
    return [
        encode_progress(
            job.job_id,
            JobState.RUNNING,
            {ref: done for ref in parts.tasks_of(part) if ref != last},
            part,
        )
        for part in range(parts.count)
    ]


def topic_with(records: Sequence[KeyedRecord]) -> TopicPort:
    """Return a topic of which all records are on one page."""

    def unused(*_: object) -> object:
        raise AssertionError("not expected in this test")

    page = NewestPage(tuple(records), False, len(records), 0)
    return TopicPort(unused, unused, lambda after: page)  # type: ignore[arg-type]


def _memory_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1_024


def _measure(number: int) -> str:
    """Return a line with the cost of a backlog; to be called in a process of its own."""
    logging.disable()
    backlog = BACKLOGS[number]
    clock = ManualClock()
    before_mb = _memory_mb()
    tracker = JobTracker(clock)
    jobs = backlog_jobs(backlog)
    for job in jobs:
        tracker.add(job, JobProgress())
    tracker.add(urgent_job("urgent"), JobProgress())
    took_ms: list[float] = []
    for _ in range(3):
        began = time.process_time()
        steps, new_plan = plan_pass(tracker, clock())
        took_ms.append((time.process_time() - began) * 1_000)
        clock.move(200)
    memory_mb = _memory_mb() - before_mb
    records = [record for job in jobs for record in records_of(job)]
    again = JobTracker(clock)
    began = time.process_time()
    loaded = load_progress(topic_with(records))
    for job in jobs:
        again.add(job, loaded.by_job.pop(job.job_id))
    read_ms = (time.process_time() - began) * 1_000
    read_mb = _memory_mb() - before_mb
    return (
        f"{backlog.name:32} {len(steps):8} {len(new_plan.assignments):8} {max(took_ms):10.1f} "
        f"{memory_mb:8.1f} {read_ms:10.0f} {read_mb:8.1f}"
    )


def main() -> None:
    """Print the cost of each backlog."""
    print(
        f"{'backlog':32} {'steps':>8} {'starts':>8} {'pass ms':>10} {'MB':>8} "
        f"{'read ms':>10} {'read MB':>8}"
    )
    # A process for each, as the peak of the memory is that of the whole process.
    with get_context("spawn").Pool(1, maxtasksperchild=1) as pool:
        for line in pool.imap(_measure, range(len(BACKLOGS)), chunksize=1):
            print(line, flush=True)


if __name__ == "__main__":
    sys.exit(main())
