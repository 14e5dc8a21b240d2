"""Tracks the jobs that have not ended and the runs that use resources on workers."""

from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, replace
from enum import IntEnum

from hornbeamfold.batch import (
    BatchJob,
    Clock,
    JobProgress,
    JobState,
    Resources,
    RunEnd,
    RunName,
    RunningTask,
    TaskPhase,
    TaskProgress,
    TaskRef,
    Worker,
    WorkerLoss,
)
from hornbeamfold.coordinator.crash_history import SuspectKey
from hornbeamfold.coordinator.open_losses import OpenLoss, OpenLosses
from hornbeamfold.coordinator.organisation_use import UseByOrganisation
from hornbeamfold.coordinator.tracked import TrackedJob
from hornbeamfold.model import check_invariant
from hornbeamfold.telemetry import counter, get_logger

logger = get_logger("hornbeamfold.coordinator.book")
NOTHING = Resources()
# Ends that no worker reports.
UNREPORTED_ENDS = frozenset({RunEnd.LOST, RunEnd.WORKER_CRASHED, RunEnd.WORKER_VANISHED})
# A task that crashes its workers does so soon after its start. Later on, a run that must be alone
# shares its worker again.
ISOLATION_RUN_MS = 5_000
# The share at which a run works from its start on, in percent.
FULL_PACE = 100
_ends = counter("hornbeamfold_run_ends", "Ends of runs by kind.")


class Holding(IntEnum):
    """Whether a worker had a run."""

    NONE = 0  # its start order had no answer, if it was sent at all
    POSSIBLE = 1  # the connection was closed after the order was sent
    CERTAIN = 2  # the worker accepted the order or listed the run


@dataclass(frozen=True)
class Run:
    """A run that is recorded as begun but not as ended; it uses resources until its end is known.

    `settled_ms` is when it became certain that the worker has the start order or never will.
    `moved_ms` is when its progress last changed. `from_percent` is its progress at `begun_ms`. If
    the run began under an earlier coordinator or from a checkpoint, it is None until the first
    report, and from then on `begun_ms` is the time of that report. `gang_done_ms` is when the end
    of another member showed that the gang is done, so that this run ends without a stop order.
    `listed_ms` is when its worker last reported it as running. All these times are on the
    coordinator's clock.

    `incarnation` is the birth (Unix time) of the worker's incarnation that last listed the run or
    was sent its start order, or None if the order was not sent. `holding` says whether that
    incarnation had the run. `shared_crash` is set when that incarnation crashed and another run on
    it has ended because of that. `pace_percent` is the share at which its worker lets the run work,
    or None if that is not known.
    """

    name: RunName
    worker_id: str
    reserved: Resources
    begun_ms: int
    settled_ms: int | None = None
    stop_reason: str = ""
    percent: float = 0.0
    moved_ms: int = 0
    checkpoint: str = ""
    from_percent: float | None = 0.0
    gang_done_ms: int | None = None
    listed_ms: int | None = None
    incarnation: int | None = None
    holding: Holding = Holding.NONE
    shared_crash: bool = False
    pace_percent: int | None = FULL_PACE

    @property
    def listed_for_ms(self) -> int:
        """How long the run is known to have been running."""
        return 0 if self.listed_ms is None else self.listed_ms - self.begun_ms

    def projected_ms(self, now_ms: int, min_percent: float) -> float | None:
        """Return the projected duration of the run at its rate of progress.

        Returns None if it has progressed by less than `min_percent` or its start is unknown.
        """
        if self.from_percent is None or self.percent - self.from_percent < min_percent:
            return None
        return (now_ms - self.begun_ms) * 100 / (self.percent - self.from_percent)


class JobTracker:
    """Jobs and runs of one term; every change marks its job to be recorded by the journal."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._jobs: dict[str, TrackedJob] = {}
        self._runs: dict[RunName, Run] = {}
        self._runs_by_worker: dict[str, dict[RunName, None]] = {}
        self._runs_by_job: dict[str, dict[RunName, None]] = {}
        self._reserved: dict[str, Resources] = {}
        self._used = UseByOrganisation()
        self._changed: set[str] = set()
        self._final_states: dict[str, JobState] = {}
        self._open_losses = OpenLosses(self._jobs)

    @property
    def jobs(self) -> Mapping[str, TrackedJob]:
        """The jobs that have not ended."""
        return self._jobs

    @property
    def runs(self) -> Mapping[RunName, Run]:
        """The runs that have not ended."""
        return self._runs

    def runs_on(self, worker_id: str) -> tuple[Run, ...]:
        """Return the runs on one worker."""
        return tuple(self._runs[name] for name in self._runs_by_worker.get(worker_id, ()))

    def has_runs_on(self, worker_id: str) -> bool:
        """Return whether a worker has runs."""
        return bool(self._runs_by_worker.get(worker_id))

    def isolating_workers(self) -> frozenset[str]:
        """Return the workers on which tasks that must run alone have started recently."""
        since_ms = self._clock() - ISOLATION_RUN_MS
        found: set[str] = set()
        for job_id, tracked in self._jobs.items():
            if not tracked.has_isolated_tasks:
                continue
            isolated: dict[tuple[int, int], AbstractSet[int]] = {}
            for run in self.runs_of(job_id):
                step = run.name.task[:2]
                if step not in isolated:
                    isolated[step] = tracked.isolated_tasks(*step)
                if run.name.task.index in isolated[step] and run.begun_ms > since_ms:
                    found.add(run.worker_id)
        return frozenset(found)

    def runs_of(self, job_id: str) -> tuple[Run, ...]:
        """Return the runs of one job."""
        return tuple(self._runs[name] for name in self._runs_by_job.get(job_id, ()))

    def has_runs_of(self, job_id: str) -> bool:
        """Return whether a job has runs."""
        return job_id in self._runs_by_job

    def is_gang_member(self, name: RunName) -> bool:
        """Return whether a run belongs to a gang-scheduled step."""
        tracked = self._jobs.get(name.job_id)
        return tracked is not None and tracked.job.steps[name.task.step].gang

    def suspect_key(self, name: RunName) -> SuspectKey:
        """Return what is blamed for the crash of a worker of this run: its task, or its gang."""
        if self.is_gang_member(name):
            return (name.job_id, *name.task[:2])
        return (name.job_id, *name.task)

    def reserved_on(self, worker_id: str) -> Resources:
        """Return the resources that runs reserve on one worker."""
        return self._reserved.get(worker_id, NOTHING)

    def used_by(self, organisation: str) -> Resources:
        """Return what the runs of an organisation use, those of ended jobs included."""
        return self._used.of(organisation)

    def limit_use(self, name: RunName) -> tuple[str, Resources]:
        """Return the organisation of an active run and what the run uses of its limit."""
        return self._used.counted(name)

    def add(self, job: BatchJob, progress: JobProgress) -> None:
        """Track a job and the active runs in its recorded progress."""
        if job.job_id in self._jobs or job.job_id in self._final_states:
            return
        tracked = TrackedJob(job, progress)
        self._jobs[job.job_id] = tracked
        self._open_losses.add_all(tracked)
        now = self._clock()
        for ref, task in tracked.tasks.items():
            if task.phase is not TaskPhase.ACTIVE:
                continue
            # The run counts as settled: workers refuse the orders of an earlier coordinator once
            # they have seen the fencing token of this one.
            name = RunName(job.job_id, ref, task.run)
            self._add_run(
                Run(
                    name,
                    task.worker_id,
                    job.steps[ref.step].reserved,
                    now,
                    settled_ms=now,
                    moved_ms=now,
                    checkpoint=task.checkpoint,
                    from_percent=None,
                    # The order may have been sent.
                    incarnation=task.born_ms or None,
                    holding=Holding.POSSIBLE,
                    pace_percent=None if job.steps[ref.step].best_effort else FULL_PACE,
                )
            )

    def _add_run(self, run: Run) -> None:
        self._runs[run.name] = run
        self._runs_by_worker.setdefault(run.worker_id, {})[run.name] = None
        self._runs_by_job.setdefault(run.name.job_id, {})[run.name] = None
        self._reserved[run.worker_id] = self.reserved_on(run.worker_id) + run.reserved
        job = self._jobs[run.name.job_id].job
        self._used.add(run.name, job.organisation, job.steps[run.name.task.step].demand)

    def _remove_run(self, name: RunName) -> Run | None:
        run = self._runs.pop(name, None)
        if run is None:
            return None
        del self._runs_by_worker[run.worker_id][name]
        del self._runs_by_job[name.job_id][name]
        if not self._runs_by_job[name.job_id]:
            del self._runs_by_job[name.job_id]
        self._reserved[run.worker_id] = self.reserved_on(run.worker_id) - run.reserved
        self._used.remove(name)
        return run

    def pop_changed(self) -> set[str]:
        """Return the ids of the jobs that changed since the last call."""
        changed = self._changed
        self._changed = set()
        return changed

    @property
    def has_changes(self) -> bool:
        """Whether a job has changed since the last call of `pop_changed`."""
        return bool(self._changed)

    def recorded_progress(self, job_id: str) -> tuple[JobState, Mapping]:
        """Return the state of a job and the progress of its tasks, of steps that are not done."""
        tracked = self._jobs.get(job_id)
        if tracked is None:
            return self._final_states[job_id], {}
        return tracked.state, tracked.tasks

    def pop_changed_parts(self, job_id: str) -> dict[int, dict[TaskRef, TaskProgress]]:
        """Return the tasks of a job's changed parts; an ended job has its state only."""
        tracked = self._jobs.get(job_id)
        return {0: {}} if tracked is None else tracked.pop_changed_parts()

    def begin_runs(
        self, job_id: str, refs: Iterable[TaskRef], workers: Iterable[Worker]
    ) -> list[Run]:
        """Record the begin of a run for each task, all with the same run number; return them."""
        tracked = self._jobs[job_id]
        refs = tuple(refs)
        number = tracked.next_run(refs)
        now = self._clock()
        begun: list[Run] = []
        for ref, worker in zip(refs, workers, strict=True):
            previous = tracked.task(ref)
            check_invariant(
                "one_run_of_a_task",
                previous.phase is TaskPhase.WAITING and number > previous.run,
                f"{job_id} {ref}: run {number} after {previous}",
            )
            task = tracked.begin(ref, number, worker.worker_id, worker.born_ms)
            run = Run(
                RunName(job_id, ref, number),
                worker.worker_id,
                tracked.job.steps[ref.step].reserved,
                now,
                moved_ms=now,
                checkpoint=task.checkpoint,
                from_percent=None if task.checkpoint else 0.0,
            )
            self._add_run(run)
            begun.append(run)
            check_invariant(
                "room_not_exceeded",
                self.reserved_on(worker.worker_id).fits(worker.capacity),
                f"{worker.worker_id} has {self.reserved_on(worker.worker_id)} of {worker.capacity}",
            )
        self._changed.add(job_id)
        return begun

    def settle(self, name: RunName) -> None:
        """Record that the worker has the start order of a run or will never get it."""
        run = self._runs.get(name)
        if run is not None and run.settled_ms is None:
            self._runs[name] = replace(run, settled_ms=self._clock())

    def update_progress(self, task: RunningTask) -> None:
        """Update the progress of a run from a worker's report."""
        run = self._runs.get(task.name)
        if run is None:
            return
        now = self._clock()
        if run.from_percent is None:
            run = replace(run, begun_ms=now, from_percent=task.percent)
        progressed = task.percent != run.percent
        self._runs[task.name] = replace(
            run,
            percent=task.percent,
            moved_ms=now if progressed else run.moved_ms,
            checkpoint=task.checkpoint or run.checkpoint,
            listed_ms=now,
            holding=Holding.CERTAIN,
        )
        tracked = self._jobs.get(task.name.job_id)
        if tracked is not None and tracked.clear_crashes(task.name, now - run.begun_ms):
            self._changed.add(task.name.job_id)

    def set_pace(self, name: RunName, percent: int | None) -> None:
        """Record at which share a run works, or None if unknown; its progress counts from anew."""
        run = self._runs.get(name)
        if run is not None and run.pace_percent != percent:
            self._runs[name] = replace(
                run, pace_percent=percent, moved_ms=self._clock(), from_percent=None
            )

    def set_incarnation(self, name: RunName, born_ms: int) -> None:
        """Record which incarnation of its worker lists a run or is sent its start order."""
        run = self._runs.get(name)
        if run is not None and run.incarnation != born_ms:
            self._runs[name] = replace(run, incarnation=born_ms)

    def set_holding(self, name: RunName, holding: Holding) -> None:
        """Record whether the worker of a run had it."""
        run = self._runs.get(name)
        if run is not None and run.holding < holding:
            self._runs[name] = replace(run, holding=holding)

    def request_stop(self, name: RunName, reason: str) -> Run | None:
        """Mark a run to be stopped; return it, or None if it has ended or was marked before."""
        run = self._runs.get(name)
        if run is None or run.stop_reason:
            return None
        self._runs[name] = replace(run, stop_reason=reason)
        return self._runs[name]

    def end_run(
        self, name: RunName, end: RunEnd, checkpoint: str = "", loss: WorkerLoss | None = None
    ) -> tuple[RunName, ...]:
        """Record the end of a run; return the runs that must be stopped because of it.

        `loss` is kept until the worker is heard of, and then decides whether it has crashed.
        """
        run = self._remove_run(name)
        if run is None:
            return ()
        tracked = self._jobs.get(name.job_id)
        if loss is not None:
            self._keep_loss(run, tracked, loss)
        elif end in (RunEnd.WORKER_CRASHED, RunEnd.WORKER_VANISHED):
            self._attribute_crash(run, tracked, end)
        _ends(1, end=end.value)
        logger.info(
            "run_ended",
            extra={
                "request": name.job_id,
                "task": list(name.task),
                "run": name.run,
                "worker": run.worker_id,
                "end": end.value,
                "stop_reason": run.stop_reason,
                "ran_ms": self._clock() - run.begun_ms,
                "percent": run.percent,
            },
        )
        if tracked is None:
            return ()
        if not tracked.finish(name, end, checkpoint or run.checkpoint):
            return ()
        # A run that its worker never listed leaves the job idle.
        if run.listed_ms is not None or end not in UNREPORTED_ENDS:
            tracked.record_run_end(name.task, self._clock())
        if end is RunEnd.DONE and run.from_percent == 0:
            tracked.add_duration(name.task, self._clock() - run.begun_ms)
        if end in (RunEnd.FAILED, RunEnd.WORKER_CRASHED, RunEnd.WORKER_VANISHED):
            tracked.avoid_worker(name.task, run.worker_id)
        self._changed.add(name.job_id)
        if end is RunEnd.DONE:
            self._mark_gang_done(tracked, name)
        if tracked.ended:
            return self._close_job(tracked)
        if end is RunEnd.DONE:
            return ()
        return self._remaining_gang_members(tracked, name)

    def _attribute_crash(self, run: Run, tracked: TrackedJob | None, end: RunEnd) -> None:
        """Count a crash of its worker for the task of a removed run.

        Any run on the worker may have caused it, so all are counted. A gang whose members were the
        only runs on the worker was alone.
        """
        gang_key = (run.name.job_id, run.name.task[:2]) if self.is_gang_member(run.name) else None
        alone = not run.shared_crash
        for other in self.runs_on(run.worker_id):
            if other.incarnation != run.incarnation:
                continue
            if (other.name.job_id, other.name.task[:2]) == gang_key:
                continue
            alone = False
            self._runs[other.name] = replace(other, shared_crash=True)
        evident = end is RunEnd.WORKER_CRASHED
        if tracked is None or not tracked.add_crash(run.name, alone, evident, run.listed_for_ms):
            return
        _log_crash(tracked, run.name, run.worker_id, alone, evident)

    def _keep_loss(self, run: Run, tracked: TrackedJob | None, loss: WorkerLoss) -> None:
        if tracked is None or not tracked.add_loss(run.name, loss, run.listed_for_ms):
            return
        self._open_losses.add(run.name.job_id, run.name.task, loss)
        if loss.counted:
            _log_crash(tracked, run.name, run.worker_id, loss.alone, evident=False)

    def open_losses(self, worker_id: str) -> tuple[OpenLoss, ...]:
        """Return the losses of a worker, also those that earlier coordinators recorded."""
        return self._open_losses.of_worker(worker_id)

    def confirm_crash(self, lost: OpenLoss, evident: bool) -> tuple[RunName, ...]:
        """Count the crash of a worker that is known only after the run on it was lost.

        Returns the runs that must be stopped because of it.
        """
        tracked = self._jobs.get(lost.name.job_id)
        self._open_losses.remove(lost.name.job_id, lost.name.task, lost.loss)
        if tracked is None:
            return ()
        tracked.confirm_crash(lost.name.task, lost.loss, evident)
        self._changed.add(lost.name.job_id)
        _log_crash(tracked, lost.name, lost.loss.worker_id, lost.loss.alone, evident)
        return self._close_job(tracked) if tracked.ended else ()

    def withdraw_loss(self, lost: OpenLoss) -> None:
        """Remove the loss of a worker that was only cut off."""
        tracked = self._jobs.get(lost.name.job_id)
        self._open_losses.remove(lost.name.job_id, lost.name.task, lost.loss)
        if tracked is None:
            return
        tracked.withdraw_loss(lost.name.task, lost.loss)
        self._changed.add(lost.name.job_id)
        if not lost.loss.counted:
            return
        logger.info(
            "crash_withdrawn",
            extra={
                "request": lost.name.job_id,
                "task": list(lost.name.task),
                "run": lost.name.run,
                "worker": lost.loss.worker_id,
                "crashes": tracked.task(lost.name.task).suspected_crashes,
            },
        )

    def _mark_gang_done(self, tracked: TrackedJob, name: RunName) -> None:
        now = self._clock()
        for other in self._remaining_gang_members(tracked, name):
            self._runs[other] = replace(self._runs[other], gang_done_ms=now)

    def _remaining_gang_members(self, tracked: TrackedJob, name: RunName) -> tuple[RunName, ...]:
        others: list[RunName] = []
        for ref in tracked.gang_refs(name.task):
            other = RunName(name.job_id, ref, name.run)
            if other != name and other in self._runs:
                others.append(other)
        return tuple(others)

    def _close_job(self, tracked: TrackedJob) -> tuple[RunName, ...]:
        job_id = tracked.job.job_id
        self._final_states[job_id] = tracked.state
        self._open_losses.remove_all(tracked)
        del self._jobs[job_id]
        self._changed.add(job_id)
        logger.info("job_ended", extra={"request": job_id, "state": tracked.state.value})
        return tuple(
            name
            for name in self._runs_by_job.get(job_id, ())
            if self._runs[name].gang_done_ms is None
        )

    def cancel(self, job_id: str) -> tuple[RunName, ...]:
        """Cancel a job; return its runs, which must be stopped."""
        tracked = self._jobs.get(job_id)
        if tracked is None:
            return ()
        tracked.cancel()
        return self._close_job(tracked)

    def fail(self, job_id: str) -> tuple[RunName, ...]:
        """Fail a job whose progress cannot be recorded; return its runs, which must be stopped."""
        tracked = self._jobs.get(job_id)
        if tracked is None:
            return ()
        tracked.fail()
        return self._close_job(tracked)


def _log_crash(
    tracked: TrackedJob, name: RunName, worker_id: str, alone: bool, evident: bool
) -> None:
    extra = {
        "request": name.job_id,
        "task": list(name.task),
        "run": name.run,
        "worker": worker_id,
        "alone": alone,
        "evident": evident,
        "crashes": tracked.task(name.task).suspected_crashes,
    }
    logger.warning("worker_crashed_under_run", extra=extra)
    if tracked.ended:
        logger.warning("task_given_up", extra=extra)
