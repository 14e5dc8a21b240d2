"""Feeds reports to what learns who disturbs whom, and tells the planner and the log of it."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from hornbeamfold.batch import (
    BatchJob,
    Bounds,
    Clock,
    LeaseReport,
    RunName,
    RunningTask,
    Step,
    WorkKind,
    work_kind,
)
from hornbeamfold.coordinator.job_tracker import JobTracker, Run
from hornbeamfold.coordinator.pacing import Pacing, share_of
from hornbeamfold.coordinator.session import Session
from hornbeamfold.interference import (
    DisturbanceLearner,
    Observation,
    expected_factor,
    quantised,
)
from hornbeamfold.scheduling import CandidateWorker, Plan, ReadyStep, Slowdown, no_slowdown
from hornbeamfold.telemetry import counter, get_logger

logger = get_logger("hornbeamfold.coordinator.interference")
_found = counter("hornbeamfold_disturbances_found", "Pairs of kinds found to disturb each other.")
_kept_apart = counter("hornbeamfold_steps_kept_apart", "Steps placed away from what disturbs them.")

# A kind that was kept apart is logged again after this time, and one that was not is looked at
# again.
LOG_GAP_MS = 10_000
EXAMINE_GAP_MS = 1_000
# The steps of one pass of which it is found out whether they were kept apart.
MAX_EXPLAINED_STEPS = 4
# The kinds of steps that are remembered, so that each is made once.
MAX_KNOWN_KINDS = 8_192
# The kinds that are logged when a step with an image, a latency target or best effort is first met.
MAX_LOGGED_KINDS = 200

_KnownRun = tuple[Run, BatchJob, RunningTask]


@dataclass(frozen=True)
class InterferenceDependencies:
    """What Interference needs from its term."""

    tracker: JobTracker
    bounds: Bounds
    clock: Clock
    stop_runs: Callable[[Sequence[RunName], str], None]


class Interference:
    """What is known in one term of how tasks disturb each other."""

    def __init__(self, deps: InterferenceDependencies) -> None:
        self._deps = deps
        self._learner = DisturbanceLearner()
        self._pacing = Pacing(deps.tracker, deps.bounds, deps.clock, deps.stop_runs)
        self._kinds: dict[tuple[str, int], WorkKind] = {}
        # The birth of each worker's incarnation and the time on its clock of its last report.
        self._reported: dict[str, tuple[int, int]] = {}
        # Until when the placement of each kind is not explained again.
        self._explained_until_ms: dict[WorkKind, int] = {}
        self._met: set[WorkKind] = set()
        self._loads_seen = False

    def on_report(self, session: Session, report: LeaseReport) -> None:
        """Learn from a report, and pace the best-effort tasks on its worker."""
        worker_id = session.worker.worker_id
        # Answers on different connections may overtake each other.
        before = self._reported.get(worker_id, (0, 0))
        if (report.born_ms, report.clock_ms) <= before:
            return
        if report.born_ms != before[0]:
            self.forget_worker(worker_id)
        self._reported[worker_id] = (report.born_ms, report.clock_ms)
        self._log_first_load(worker_id, report)
        known = self._known_runs(worker_id, report)
        if len(known) == len(report.running):
            self._learn(worker_id, report.clock_ms, known)
        else:
            # What a run that is not known does to the others would be blamed on them.
            self._learner.forget_worker(worker_id)
        self._pacing.on_report(session, [(run, _step(run, job), task) for run, job, task in known])

    def _learn(self, worker_id: str, clock_ms: int, known: Sequence[_KnownRun]) -> None:
        observations = [self._observation(run, job, task) for run, job, task in known]
        for finding in self._learner.observe(worker_id, clock_ms, observations):
            _found(1)
            logger.info(
                "disturbance_found",
                extra={
                    "slowed": _label(finding.victim),
                    "by": _label(finding.cause),
                    "factor": round(finding.factor, 2),
                    "worker": worker_id,
                },
            )

    def forget_worker(self, worker_id: str) -> None:
        """Drop what is known of a worker that is gone."""
        self._reported.pop(worker_id, None)
        self._learner.forget_worker(worker_id)
        self._pacing.forget_worker(worker_id)

    def _known_runs(self, worker_id: str, report: LeaseReport) -> list[_KnownRun]:
        """Return the reported runs that are known, with their jobs."""
        tracker = self._deps.tracker
        found: list[_KnownRun] = []
        for task in report.running:
            run = tracker.runs.get(task.name)
            tracked = tracker.jobs.get(task.name.job_id)
            if run is not None and tracked is not None and run.worker_id == worker_id:
                found.append((run, tracked.job, task))
        return found

    def _observation(self, run: Run, job: BatchJob, task: RunningTask) -> Observation:
        step = _step(run, job)
        kind = self._kind(job, run.name.task.step)
        share = share_of(run)
        if step.long_running:
            # A task that has not begun to serve yet has no latency to learn from.
            serves = step.latency_target_ms > 0 and task.percent >= 100
            return Observation(run.name, kind, share, latency_ms=task.load if serves else None)
        # The members of a gang progress together, whoever shares their workers.
        return Observation(run.name, kind, share, None if step.gang else task.percent)

    def _kind(self, job: BatchJob, step_index: int) -> WorkKind:
        key = (job.job_id, step_index)
        kind = self._kinds.get(key)
        if kind is None:
            if len(self._kinds) >= MAX_KNOWN_KINDS:
                self._kinds.clear()
            kind = self._kinds[key] = work_kind(job, step_index)
            self._log_new_kind(kind, job.steps[step_index])
        return kind

    def _log_new_kind(self, kind: WorkKind, step: Step) -> None:
        """Log once that a kind has steps which say that they disturb others or may be disturbed."""
        if not (step.image or step.latency_target_ms or step.best_effort):
            return
        if kind in self._met or len(self._met) >= MAX_LOGGED_KINDS:
            return
        self._met.add(kind)
        logger.info(
            "kind_met",
            extra={
                "kind": _label(kind),
                "queue": kind.queue,
                "organisation": kind.organisation,
                "latency_target_ms": step.latency_target_ms,
                "best_effort": step.best_effort,
                "long_running": step.long_running,
            },
        )

    def _log_first_load(self, worker_id: str, report: LeaseReport) -> None:
        """Log once in a term that workers report the loads of runs."""
        if self._loads_seen or all(task.load is None for task in report.running):
            return
        self._loads_seen = True
        logger.info("loads_reported", extra={"worker": worker_id, "runs": len(report.running)})

    def _residents(self, worker_id: str) -> dict[WorkKind, float]:
        """Return the tasks on a worker by kind; paced ones count in part."""
        residents: dict[WorkKind, float] = {}
        for run in self._deps.tracker.runs_on(worker_id):
            tracked = self._deps.tracker.jobs.get(run.name.job_id)
            if tracked is None:
                continue
            kind = self._kind(tracked.job, run.name.task.step)
            residents[kind] = residents.get(kind, 0.0) + share_of(run)
        return residents

    def slowdown(self) -> Slowdown:
        """Return the slowdown by the tasks on the workers, for one planning pass."""
        if not self._learner.has_findings and not self._pacing.has_paced:
            return no_slowdown
        residents: dict[str, Mapping[WorkKind, float]] = {}

        def factor(step: ReadyStep, worker: CandidateWorker) -> float:
            kind = self._kind(step.job, step.step_index)
            pace = 1.0
            if step.step.best_effort:
                pace = self._pacing.expected_factor(worker.worker_id)
            if not self._learner.is_involved(kind):
                return quantised(pace)
            beside = residents.get(worker.worker_id)
            if beside is None:
                beside = residents[worker.worker_id] = self._residents(worker.worker_id)
            if worker.newcomers:
                beside = dict(beside)
                for each in worker.newcomers:
                    newcomer = self._kind(each.job, each.step_index)
                    beside[newcomer] = beside.get(newcomer, 0.0) + 1
            return quantised(pace * expected_factor(self._learner.effect, kind, beside))

        return factor

    def log_kept_apart(
        self, steps: Sequence[ReadyStep], workers: Sequence[CandidateWorker], made: Plan
    ) -> None:
        """Log which steps a plan keeps apart from what disturbs them, and from what."""
        if not self._learner.has_findings:
            return
        now = self._deps.clock()
        by_key = {(each.job.job_id, each.occurrence, each.step_index): each for each in steps}
        explained = 0
        for assignment in made.assignments:
            step = by_key.pop((assignment.job_id, *assignment.task[:2]), None)
            if step is None or explained >= MAX_EXPLAINED_STEPS:
                continue
            kind = self._kind(step.job, step.step_index)
            if not self._learner.is_involved(kind) or now < self._explained_until_ms.get(kind, now):
                continue
            explained += 1
            if len(self._explained_until_ms) >= MAX_KNOWN_KINDS:
                self._explained_until_ms.clear()
            logged = self._log_if_kept_apart(step, kind, assignment.worker_id, workers)
            self._explained_until_ms[kind] = now + (LOG_GAP_MS if logged else EXAMINE_GAP_MS)

    def _log_if_kept_apart(
        self, step: ReadyStep, kind: WorkKind, chosen: str, workers: Sequence[CandidateWorker]
    ) -> bool:
        """Log that a step was kept apart from what would disturb it more; return whether it was."""
        usual = expected_factor(self._learner.effect, kind, self._residents(chosen))
        avoided: list[tuple[float, str]] = []
        for worker in workers:
            if worker.service != step.job.service or not step.step.reserved.fits(worker.free):
                continue
            residents = self._residents(worker.worker_id)
            factor = expected_factor(self._learner.effect, kind, residents)
            if factor > usual:
                avoided.append((factor, worker.worker_id))
        if not avoided:
            return False
        factor, worst = max(avoided)
        _kept_apart(1)
        logger.info(
            "kept_apart",
            extra={
                "request": step.job.job_id,
                "step": step.step_index,
                "kind": _label(kind),
                "worker": chosen,
                "factor": usual,
                "kept_from": worst,
                "kept_from_factor": factor,
                "because_of": self._disturbing(kind, worst),
                "workers_passed_over": len(avoided),
            },
        )
        return True

    def _disturbing(self, kind: WorkKind, worker_id: str) -> list[str]:
        """Return the kinds on a worker that disturb a kind or are disturbed by it."""
        effect = self._learner.effect
        return [
            _label(each)
            for each in self._residents(worker_id)
            if effect(kind, each) > 0 or effect(each, kind) > 0
        ]


def _step(run: Run, job: BatchJob) -> Step:
    return job.steps[run.name.task.step]


def _label(kind: WorkKind) -> str:
    """Return a short name of a kind for the log."""
    if kind.image:
        return kind.image
    demand = kind.demand
    return f"{kind.queue} {demand.cpu_millis}/{demand.memory_mb}/{demand.accelerators}"
