"""Replays the jobs of a recorded day against the planner, with simulated workers.

A recording has the jobs of a day as they were submitted, how long their tasks took, the workers and
the organisations' guarantees. Nothing fails and no call takes time, so that only the decisions on
waiting, placing and preempting make a difference. Workers may be given speeds that the planner has
to learn. Run as a program, this prints the result of a recording.
"""

import logging
import sys
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec

from hornbeamfold.batch import (
    BatchJob,
    Bounds,
    Configuration,
    JobProgress,
    OperatorState,
    Organisation,
    Resources,
    RunEnd,
    RunName,
    RunningTask,
    Step,
    TaskRef,
    Worker,
)
from hornbeamfold.coordinator.demand import UrgentDemand
from hornbeamfold.coordinator.job_tracker import JobTracker, Run
from hornbeamfold.coordinator.planner_inputs import PlacedRuns, ready_steps
from hornbeamfold.coordinator.run_speeds import RunSpeeds
from hornbeamfold.coordinator.tracked import EXPIRY_FACTOR, estimate_critical_path_ms
from hornbeamfold.scheduling import (
    Assignment,
    CandidateWorker,
    Claim,
    Plan,
    ReadyStep,
    no_slowdown,
    plan,
    weighted_cores,
)
from hornbeamfold.scheduling.cluster import tasks_that_fit

FOLDER = Path(__file__).parent / "recordings"
# The interval between passes of a coordinator that is busy.
PASS_MS = 100
REPORT_MS = 1_000
# A stop takes 200 ms at most, and its end is reported a round trip later.
STOP_MS = 230
RESTORE_MS = 250
# Tasks take this many times as long away from their data, or across racks if they belong in one.
REMOTE_FACTOR = 3
# Unix time of the begin of a recording.
EPOCH_MS = 1_000_000


@dataclass(frozen=True)
class Recording:
    """A recorded day; `durations_ms` has how long a task of each step of a job takes.

    `cancelled_ms` has when callers cancelled jobs, since the begin of the recording.
    """

    workers: int
    workers_per_rack: int
    capacity: Resources  # of each worker
    guaranteed_accelerators: Mapping[str, int]
    jobs: tuple[BatchJob, ...]
    durations_ms: Mapping[str, tuple[int, ...]]
    cancelled_ms: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Outcome:
    """What became of the jobs of one priority, and how long their steps waited to start.

    Cancelled jobs are not counted.
    """

    on_time: int = 0
    late: int = 0
    expired: int = 0
    waits_ms: tuple[int, ...] = ()


@dataclass(frozen=True)
class Result:
    """The outcome of a replay; `lost_work` is what preemption threw away, in core-seconds.

    `max_idle_beside_room_ms` is the longest time in which a job had no run although a step of it
    was ready and there was room for it twice over.
    """

    by_priority: Mapping[int, Outcome]
    max_guaranteed_wait_ms: int
    max_idle_beside_room_ms: int
    lost_work: float
    preemptions: int


@dataclass(frozen=True)
class _Active:
    """A run on a simulated worker; `work_ms` is what it still has to do at `begun_ms`."""

    begun_ms: int
    work_ms: float
    stop_at_ms: int | None = None
    factor: float = 1.0


def load(name: str) -> Recording:
    """Return a recording of the folder `recordings`."""
    return msgspec.json.decode((FOLDER / name).read_bytes(), type=Recording)


def replay(
    recording: Recording,
    speeds: Sequence[float] = (1.0,),
    *,
    learning: bool = True,
    keep_claims: bool = True,
) -> Result:
    """Replay a recording until all of its jobs have ended.

    Workers have these speeds by turns. Without `learning`, the planner takes them for alike.
    Without `keep_claims`, each pass plans as if no runs had been stopped for a step before.
    """
    return _Replay(recording, speeds, learning, keep_claims).run()


class _Replay:
    """The state of a replay."""

    def __init__(
        self, recording: Recording, speeds: Sequence[float], learning: bool, keep_claims: bool
    ) -> None:
        self._recording = recording
        self._learning = learning
        self._keep_claims = keep_claims
        self._now_ms = 0
        self._tracker = JobTracker(lambda: self._now_ms)
        self._racks = {
            f"w{index}": f"r{index // recording.workers_per_rack}"
            for index in range(recording.workers)
        }
        self._speeds = {
            f"w{index}": speeds[index % len(speeds)] for index in range(recording.workers)
        }
        self._learned = RunSpeeds(self._tracker, lambda: self._now_ms)
        self._jobs = {each.job_id: each for each in recording.jobs}
        self._active: dict[RunName, _Active] = {}
        self._left_ms: dict[tuple[str, TaskRef], float] = {}
        self._ended_ms: dict[str, int] = {}
        self._waits_ms: dict[int, list[int]] = {}
        self._max_guaranteed_wait_ms = 0
        self._idle_beside_room_since_ms: dict[tuple[str, int, int], int] = {}
        self._max_idle_beside_room_ms = 0
        self._lost_work = 0.0
        self._preemptions = 0
        self._operator = OperatorState(
            Configuration(
                1,
                organisations={
                    name: Organisation(name, (), Resources(0, 0, accelerators))
                    for name, accelerators in recording.guaranteed_accelerators.items()
                },
            )
        )

    def run(self) -> Result:
        """Run until all jobs have ended."""
        urgent_demand = UrgentDemand()
        placed_runs = PlacedRuns()
        claims: Sequence[Claim] = ()
        pending = sorted(self._recording.jobs, key=lambda each: each.submitted_ms)
        self._now_ms = pending[0].submitted_ms - EPOCH_MS
        while pending or self._tracker.jobs:
            while pending and pending[0].submitted_ms - EPOCH_MS <= self._now_ms:
                self._tracker.add(pending.pop(0), JobProgress())
            self._cancel()
            self._advance()
            self._learned.update()
            candidates = self._candidates()
            if self._learning:
                candidates = self._learned.classified(candidates)
            steps = ready_steps(
                self._tracker,
                self._operator,
                EPOCH_MS + self._now_ms,
                self._now_ms,
                Bounds(),
                len(candidates),
            )
            urgent_demand.record(steps, self._now_ms)
            new_plan = plan(
                steps,
                candidates,
                placed_runs.current(self._tracker, self._now_ms),
                self._now_ms,
                urgent_demand.headroom(),
                self._learned.slowdown() if self._learning else no_slowdown,
                claims=claims,
            )
            claims = new_plan.claims if self._keep_claims else ()
            placed_runs.record_preemptions(new_plan.preemptions)
            self._record_idle_beside_room(steps, candidates)
            entitled = {each.job.job_id for each in steps if each.entitled}
            self._carry_out(new_plan, entitled)
            self._now_ms += PASS_MS
        return self._result()

    def _cancel(self) -> None:
        """Cancel the jobs whose callers have given up."""
        for job_id, cancelled_ms in self._recording.cancelled_ms.items():
            if cancelled_ms <= self._now_ms and job_id in self._tracker.jobs:
                self._stop(self._tracker.cancel(job_id))

    def _candidates(self) -> list[CandidateWorker]:
        service = self._recording.jobs[0].service
        return [
            CandidateWorker(
                worker_id,
                service,
                "",
                rack,
                frozenset(),
                self._recording.capacity,
                self._recording.capacity - self._tracker.reserved_on(worker_id),
                self._tracker.has_runs_on(worker_id),
            )
            for worker_id, rack in self._racks.items()
        ]

    def _record_idle_beside_room(
        self, steps: Sequence[ReadyStep], candidates: Sequence[CandidateWorker]
    ) -> None:
        """Update how long jobs without a run have been beside room for them, before this pass."""
        since_ms: dict[tuple[str, int, int], int] = {}
        for step in steps:
            if step.idle_since_ms is None:
                continue
            needed = len(step.waiting) if step.step.gang else 1
            limit = step.step.max_per_worker or 2 * needed
            demand = step.step.reserved
            room = sum(tasks_that_fit(demand, each.free, limit) for each in candidates)
            if room < 2 * needed:
                continue
            key = (step.job.job_id, step.occurrence, step.step_index)
            since_ms[key] = self._idle_beside_room_since_ms.get(key, self._now_ms)
            self._max_idle_beside_room_ms = max(
                self._max_idle_beside_room_ms, self._now_ms - since_ms[key]
            )
        self._idle_beside_room_since_ms = since_ms

    def _advance(self) -> None:
        """End the runs that are due, and report the progress of the others."""
        for name, active in tuple(self._active.items()):
            if name not in self._active:
                continue
            done_ms = (self._now_ms - active.begun_ms) / active.factor
            if done_ms >= active.work_ms:
                self._end(name, RunEnd.DONE)
            elif active.stop_at_ms is not None and self._now_ms >= active.stop_at_ms:
                self._end(name, RunEnd.STOPPED)
            elif (self._now_ms - active.begun_ms) % REPORT_MS < PASS_MS:
                total_ms = self._duration_ms(name)
                percent = 100 * min(1.0, 1 - (active.work_ms - done_ms) / total_ms)
                task = RunningTask(name, "", max(0.0, percent))
                self._tracker.update_progress(task)
                worker_id = self._tracker.runs[name].worker_id
                self._learned.observe(self._worker(worker_id), [task])

    def _duration_ms(self, name: RunName) -> int:
        return self._recording.durations_ms[name.job_id][name.task.step]

    def _end(self, name: RunName, end: RunEnd) -> None:
        active = self._active.pop(name)
        step = self._jobs[name.job_id].steps[name.task.step]
        worked_ms = (self._now_ms - active.begun_ms) / active.factor
        checkpoint = ""
        if end is RunEnd.STOPPED:
            if step.checkpointing:
                checkpoint = "saved"
                left_ms = max(0.0, active.work_ms - worked_ms)
                self._left_ms[name.job_id, name.task] = left_ms + RESTORE_MS
                worked_ms = RESTORE_MS
            self._lost_work += weighted_cores(step.demand) * worked_ms / 1_000
        stop = self._tracker.end_run(name, end, checkpoint)
        if end is RunEnd.DONE and step.gang:
            for other in tuple(self._active):
                if other.job_id == name.job_id and other.task[:2] == name.task[:2]:
                    del self._active[other]
                    self._tracker.end_run(other, RunEnd.DONE)
        self._stop(stop)
        if name.job_id not in self._tracker.jobs:
            self._ended_ms.setdefault(name.job_id, self._now_ms)

    def _stop(self, names: Sequence[RunName]) -> None:
        for name in names:
            active = self._active.get(name)
            if active is None or active.stop_at_ms is not None:
                continue
            self._tracker.request_stop(name, "preempted")
            self._active[name] = replace(active, stop_at_ms=self._now_ms + STOP_MS)

    def _carry_out(self, new_plan: Plan, entitled: set[str]) -> None:
        self._preemptions += len(new_plan.preemptions)
        self._stop([each.name for each in new_plan.preemptions])
        groups: dict[tuple[str, int, int], list[Assignment]] = {}
        for each in new_plan.assignments:
            key = (each.job_id, each.task.occurrence, each.task.step)
            groups.setdefault(key, []).append(each)
        for (job_id, occurrence, index), group in groups.items():
            tracked = self._tracker.jobs[job_id]
            waited_ms = self._now_ms - tracked.ready_since(occurrence, index, self._now_ms)
            self._waits_ms.setdefault(tracked.job.priority, []).append(waited_ms)
            if job_id in entitled:
                self._max_guaranteed_wait_ms = max(self._max_guaranteed_wait_ms, waited_ms)
            if tracked.job.steps[index].gang:
                self._begin(job_id, group)
                continue
            for each in group:
                self._begin(job_id, [each])

    def _begin(self, job_id: str, group: Sequence[Assignment]) -> None:
        step = self._jobs[job_id].steps[group[0].task.step]
        workers = [self._worker(each.worker_id) for each in group]
        for run in self._tracker.begin_runs(job_id, [each.task for each in group], workers):
            self._tracker.settle(run.name)
            together = workers if step.gang else [self._worker(run.worker_id)]
            factor = self._factor(step, [each.worker_id for each in together])
            self._active[run.name] = _Active(self._now_ms, self._work_ms(run), factor=factor)

    def _worker(self, worker_id: str) -> Worker:
        return Worker(worker_id, 1, "", "", "", self._recording.capacity)

    def _factor(self, step: Step, workers: Iterable[str]) -> float:
        """Return how many times as long as usual tasks take that run together on these workers."""
        factor = 1 / min(self._speeds[each] for each in workers)
        racks = {self._racks[each] for each in workers}
        remote = step.one_rack and len(racks) > 1
        if remote or (step.preferred_rack and racks != {step.preferred_rack}):
            return REMOTE_FACTOR * factor
        return factor

    def _work_ms(self, run: Run) -> float:
        left_ms = self._left_ms.get((run.name.job_id, run.name.task))
        return left_ms if left_ms is not None else self._duration_ms(run.name)

    def _result(self) -> Result:
        counts: dict[int, list[int]] = {}
        for job in self._recording.jobs:
            if job.job_id in self._recording.cancelled_ms:
                continue
            objective_ms = job.stretch * self._critical_path_ms(job) + job.slack_ms
            took_ms = self._ended_ms[job.job_id] - (job.submitted_ms - EPOCH_MS)
            kinds = counts.setdefault(job.priority, [0, 0, 0])
            if took_ms <= objective_ms:
                kinds[0] += 1
            elif took_ms <= EXPIRY_FACTOR * objective_ms:
                kinds[1] += 1
            else:
                kinds[2] += 1
        return Result(
            {
                priority: Outcome(*kinds, tuple(sorted(self._waits_ms.get(priority, ()))))
                for priority, kinds in sorted(counts.items())
            },
            self._max_guaranteed_wait_ms,
            self._max_idle_beside_room_ms,
            self._lost_work,
            self._preemptions,
        )

    def _critical_path_ms(self, job: BatchJob) -> int:
        """Return the duration of the critical path, from what the tasks really take."""
        durations = self._recording.durations_ms[job.job_id]
        steps = tuple(
            replace(step, estimate_ms=took_ms)
            for step, took_ms in zip(job.steps, durations, strict=True)
        )
        return estimate_critical_path_ms(replace(job, steps=steps))


def _print_result(name: str) -> None:
    logging.disable(logging.CRITICAL)
    result = replay(load(name))
    for priority, outcome in result.by_priority.items():
        print(
            f"priority {priority}: {outcome.on_time} on time, {outcome.late} late,"
            f" {outcome.expired} expired, longest wait {max(outcome.waits_ms)} ms"
        )
    print(
        f"guaranteed work waited {result.max_guaranteed_wait_ms} ms at most; {result.preemptions}"
        f" preemptions lost {result.lost_work:.0f} core-seconds; a job was idle beside room for it"
        f" for {result.max_idle_beside_room_ms} ms at most"
    )


if __name__ == "__main__":
    _print_result(sys.argv[1])
