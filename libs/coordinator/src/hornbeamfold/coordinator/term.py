"""A coordinator's term: plans runs, records progress and manages the worker sessions."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import astuple, dataclass

import eventlet
from eventlet.event import Event

from hornbeamfold.batch import (
    Bounds,
    Clock,
    JobState,
    KeyedRecord,
    OperatorState,
    Refusal,
    Resources,
    RunEnd,
    RunName,
    TopicPort,
    Worker,
    WorkerLoss,
    WorkerPort,
)
from hornbeamfold.coordinator.announcer import Announcer
from hornbeamfold.coordinator.fenced_writer import FencedWriter
from hornbeamfold.coordinator.health import WorkerHealth
from hornbeamfold.coordinator.interference import Interference, InterferenceDependencies
from hornbeamfold.coordinator.job_intake import IntakeHooks, JobIntake
from hornbeamfold.coordinator.job_tracker import JobTracker, Run
from hornbeamfold.coordinator.journal import Journal
from hornbeamfold.coordinator.lease import MIN_CLOCK_RATE, lease_ms
from hornbeamfold.coordinator.orders import OrderHooks
from hornbeamfold.coordinator.organisation_use import uncertain_use
from hornbeamfold.coordinator.owed_rate import OwedRates
from hornbeamfold.coordinator.pass_planner import PassPlanner, PlannerDependencies
from hornbeamfold.coordinator.reports import ReportDependencies, WorkerReports
from hornbeamfold.coordinator.run_losses import LossHooks, RunLosses
from hornbeamfold.coordinator.run_speeds import RunSpeeds
from hornbeamfold.coordinator.session import (
    MAX_RENEWAL_STATE_AGE_MS,
    RunsLost,
    Session,
    SessionHooks,
    busy_renewal_wait_ms,
)
from hornbeamfold.coordinator.starts import RunStarter, StartDependencies
from hornbeamfold.ledger import (
    CoordinatorRecord,
    Replica,
    encode_coordinator,
    parse_progress_key,
    task_parts,
)
from hornbeamfold.scheduling import Plan
from hornbeamfold.telemetry import get_logger, keep_running, log_exceptions

logger = get_logger("hornbeamfold.coordinator.term")

# The minimum interval between passes, so that ends and submissions in a burst share one pass.
MIN_PASS_GAP_MS = 15
# The pause after a pass as a multiple of its duration. On a slow or busy processor, at least two
# thirds of the time are left to heartbeats, lease renewals and orders.
PASS_GAP_RATIO = 2
# Refusals that the next order to the same worker would get as well.
REFUSALS_OF_WORKERS = frozenset(
    {Refusal.UNHEALTHY, Refusal.UNREACHABLE, Refusal.NO_ROOM, Refusal.GONE}
)
# The maximum interval between passes, so that scheduled tasks start in time without an event.
MAX_PASS_GAP_MS = 200
# The time after its replacement from which a previous coordinator extends no lease. The margin of
# 1 s covers the duration of a renewal.
PREVIOUS_RENEWALS_MS = MAX_RENEWAL_STATE_AGE_MS + 1_000


@dataclass(frozen=True)
class TermDependencies:
    """The dependencies of a term; `cores` is the CPU time per second that this instance has.

    `state_confirmed_ms` returns when all of the state was last confirmed to be current, and
    `registry_read_ms` when the worker registry was; None if never.
    """

    incarnation: str
    topic: TopicPort
    progress_topic: TopicPort
    workers: WorkerPort
    replica: Replica
    operator: Callable[[], OperatorState]
    registry: Callable[[], Mapping[str, Worker]]
    registry_read_ms: Callable[[], int | None]
    state_confirmed_ms: Callable[[], int | None]
    bounds: Bounds
    clock: Clock
    wall: Clock
    cores: float = 1.0


class Term:
    """The work of this instance as coordinator under one epoch."""

    def __init__(self, deps: TermDependencies, epoch: int, sequence: int) -> None:
        self._deps = deps
        self._epoch = epoch
        self._record = CoordinatorRecord(deps.incarnation, epoch)
        self._tracker = JobTracker(deps.clock)
        self._health = WorkerHealth(deps.clock)
        self._speeds = RunSpeeds(self._tracker, deps.clock)
        self._interference = Interference(
            InterferenceDependencies(self._tracker, deps.bounds, deps.clock, self._stop_all)
        )
        self._owed = OwedRates()
        self._planner = PassPlanner(
            PlannerDependencies(
                self._tracker,
                self._health,
                self._speeds,
                self._interference,
                deps.bounds,
                deps.clock,
                deps.wall,
                self._owed,
            )
        )
        self._losses = RunLosses(
            self._tracker,
            LossHooks(self._end_lost_run, self._stop_all, lambda: self._journal.notify()),
            deps.clock,
            deps.wall,
        )
        self._sessions: dict[str, Session] = {}
        self._active = True
        self._planning = True
        self._wake: Event = Event()
        self._orphan_deadline_ms = 0
        self._began_ms = deps.clock()
        self._progress_writer = FencedWriter(
            "progress",
            deps.progress_topic,
            epoch,
            sequence,
            self.step_down,
            deps.clock,
            self._on_progress_rejected,
        )
        self._journal = Journal(
            self._progress_writer,
            self._tracker,
            self._announce,
            deps.progress_topic.limits.record_bytes,
            self._speeds.changed_records,
        )
        self._announcer = Announcer(
            FencedWriter("jobs", deps.topic, epoch, sequence, self.step_down, deps.clock),
            lambda: encode_coordinator(self._record),
            self._remove_progress,
            deps.clock,
        )
        self._intake = JobIntake(
            deps.replica,
            self._tracker,
            IntakeHooks(
                is_active=lambda: self._active,
                on_end_known=self._remove_progress,
                on_state=self._announcer.announce,
                on_runs_cancelled=self._on_runs_cancelled,
                on_change=self._notify,
                on_read=self._owed.add,
                on_speeds=self._speeds.restore,
            ),
        )
        self._starter = RunStarter(
            StartDependencies(
                self._tracker,
                self._sessions,
                deps.operator,
                deps.registry,
                self._journal.after_store,
                lambda: self._active,
                self._end_run,
                deps.clock,
                deps.cores,
                self._uncertain_use,
            )
        )
        reports = WorkerReports(
            ReportDependencies(
                self._tracker,
                self._losses,
                self._health,
                self._speeds,
                self._interference,
                self._unread_runs,
                self._intake.has_unread_run,
                self._end_run,
                self._stop_all,
                self._notify,
                deps.clock,
            )
        )
        orders = OrderHooks(
            is_active=lambda: self._active,
            state_confirmed_ms=deps.state_confirmed_ms,
            on_settled=self._tracker.settle,
            on_not_started=self._on_not_started,
            on_fenced=self.step_down,
            is_active_run=lambda name: name in self._tracker.runs,
            may_start=self._starter.may_start,
            on_sent=self._tracker.set_incarnation,
            on_held=self._tracker.set_holding,
            on_start_done=self._on_start_done,
        )
        self._hooks = SessionHooks(
            orders=orders,
            busy_wait_ms=lambda: busy_renewal_wait_ms(len(self._sessions), deps.cores),
            on_report=reports.on_report,
            on_ended=reports.on_ended,
            on_runs_lost=self._losses.end_all,
            after_store=self._journal.after_store,
        )

    @property
    def epoch(self) -> int:
        """The epoch of this term, which is the fencing token of its orders."""
        return self._epoch

    @property
    def active(self) -> bool:
        """Whether the term continues."""
        return self._active

    @property
    def limited_organisations(self) -> int:
        """The number of organisations that wait for their limits."""
        return self._planner.limited_organisations

    @property
    def runs(self) -> tuple[RunName, ...]:
        """The names of the runs that have not ended."""
        return tuple(self._tracker.runs)

    def step_down(self, reason: str) -> None:
        """End the term at once, because another instance is or may be the coordinator."""
        if not self._active:
            return
        self._active = False
        self._journal.stop()
        self._announcer.stop()
        self._intake.stop()
        self._notify()
        logger.warning("term_ended", extra={"epoch": self._epoch, "reason": reason})

    def resign(self, timeout_ms: int) -> bool:
        """Stop planning and publish the resignation, so that others may claim.

        Lease renewals continue until another instance takes over.
        """
        self._planning = False
        record = CoordinatorRecord(self._deps.incarnation, self._epoch, resigned=True)
        stored = self._announcer.close_with(encode_coordinator(record), timeout_ms)
        logger.info("resigned", extra={"epoch": self._epoch, "stored": stored})
        return stored

    def run(self) -> None:
        """Load jobs and progress, open the worker sessions, and plan until the term ends."""
        try:
            self._run()
        finally:
            # A coordinator that cannot plan must give way to the other instances.
            if self._planning:
                self.step_down("planning ended")

    def _run(self) -> None:
        self._spawn(self._announcer.run)
        # From here on the progress topic rejects appends of the previous coordinator.
        if not self._progress_writer.write([encode_coordinator(self._record)]):
            return
        if not self._intake.begin(self._deps.progress_topic):
            return
        longest_lease_ms = int(lease_ms(self._deps.bounds) / MIN_CLOCK_RATE)
        self._orphan_deadline_ms = self._began_ms + PREVIOUS_RENEWALS_MS + longest_lease_ms
        logger.info(
            "term_began",
            extra={
                "epoch": self._epoch,
                "jobs": len(self._tracker.jobs),
                "runs": len(self._tracker.runs),
            },
        )
        self._spawn(self._journal.run)
        self._plan_while_active()

    def _spawn(self, run: Callable[[], None]) -> None:
        """Run a function in a green thread; the term ends if it raises an exception."""

        def run_or_step_down() -> None:
            try:
                log_exceptions(run)()
            except Exception:
                self.step_down(f"{run.__qualname__} failed")

        eventlet.spawn_n(run_or_step_down)

    def _announce(self, job_id: str, state: JobState) -> None:
        """Publish the recorded state of a job unless it is already published."""
        if self._deps.replica.recorded_state(job_id) is not state:
            self._announcer.announce(job_id, state)

    def _remove_progress(self, job_id: str) -> None:
        """Remove the recorded progress of a job whose final state is published."""
        job = self._deps.replica.job(job_id)
        if job is not None:
            self._journal.remove(job_id, task_parts(job).count)

    def _on_progress_rejected(self, record: KeyedRecord) -> None:
        """Fail the job of a record that the store never accepts; the other jobs go on."""
        key = parse_progress_key(record.key)
        if key is None:
            return
        job_id, part = key
        stopped = self._tracker.fail(job_id)
        logger.error("job_not_recordable", extra={"request": job_id, "part": part})
        self._stop_all(stopped, "job ended")
        self._journal.notify()

    def _plan_while_active(self) -> None:
        while self._active and self._planning:
            self._wake = Event()
            began_ms = self._deps.clock()
            self._update_sessions()
            self._end_orphans()
            self._plan_once()
            took_ms = self._deps.clock() - began_ms
            gap_ms = max(MIN_PASS_GAP_MS, PASS_GAP_RATIO * took_ms)
            eventlet.sleep(gap_ms / 1_000)
            self._wake.wait(timeout=max(0.0, MAX_PASS_GAP_MS - gap_ms) / 1_000)

    def _notify(self) -> None:
        if not self._wake.ready():
            self._wake.send(None)

    def _on_runs_cancelled(self, names: Sequence[RunName]) -> None:
        self._stop_all(names, "cancelled")
        self._journal.notify()

    def _registry_is_current(self) -> bool:
        """Return whether the worker registry was read in this term; an older copy may be stale."""
        read_ms = self._deps.registry_read_ms()
        return read_ms is not None and read_ms >= self._began_ms

    def _update_sessions(self) -> None:
        if not self._registry_is_current():
            return
        registry = self._deps.registry()
        for worker_id, worker in registry.items():
            session = self._sessions.get(worker_id)
            if session is not None:
                before = session.worker
                session.update(worker)
                self._log_capacity_change(before, session.worker)
                continue
            self._open_session(worker)
        for worker_id, session in tuple(self._sessions.items()):
            if worker_id in registry:
                continue
            session.unregister()
            if not session.reachable and not self._tracker.runs_on(worker_id):
                session.close()
                del self._sessions[worker_id]
                self._interference.forget_worker(worker_id)

    def _log_capacity_change(self, before: Worker, after: Worker) -> None:
        if before.capacity == after.capacity:
            return
        logger.info(
            "worker_capacity_changed",
            extra={
                "worker": after.worker_id,
                "was": astuple(before.capacity),
                "capacity": astuple(after.capacity),
                "reserved": astuple(self._tracker.reserved_on(after.worker_id)),
            },
        )

    def _open_session(self, worker: Worker) -> None:
        session = Session(
            worker,
            self._epoch,
            self._deps.workers,
            self._hooks,
            self._deps.bounds,
            self._deps.clock,
            max(self._orphan_deadline_ms, self._deps.clock()),
        )
        self._sessions[worker.worker_id] = session
        eventlet.spawn_n(keep_running(session.run))

    def _unread_runs(self) -> Mapping[RunName, str]:
        """Return the workers of runs whose jobs are not read yet, as long as those may be alive."""
        if self._deps.clock() >= self._orphan_deadline_ms:
            return {}
        return self._intake.unread_runs

    def _end_orphans(self) -> None:
        """End runs on workers without a session once their leases have certainly expired."""
        if self._deps.clock() < self._orphan_deadline_ms:
            return
        for run in tuple(self._tracker.runs.values()):
            if run.worker_id in self._sessions:
                continue
            self._losses.end_orphan(run, self._registry_is_current())

    def _on_start_done(self) -> None:
        if self._starter.wants_plan:
            self._notify()

    def _on_not_started(self, run: Run, reason: Refusal) -> None:
        if reason in (Refusal.UNHEALTHY, Refusal.UNREACHABLE):
            self._health.exclude(run.worker_id, reason.value)
        if reason in REFUSALS_OF_WORKERS:
            self._health.refused(run.worker_id)
        sent = self._tracker.runs.get(run.name)
        self._end_run(run.name, RunEnd.LOST)
        session = self._sessions.get(run.worker_id)
        if reason is not Refusal.GONE or session is None or sent is None:
            return
        # The answer may be late: the worker may have begun again and have runs since.
        if sent.incarnation is not None:
            self._losses.end_all(session, RunsLost.ANOTHER_ANSWERS, sent.incarnation)

    def _end_run(
        self, name: RunName, end: RunEnd, checkpoint: str = "", loss: WorkerLoss | None = None
    ) -> None:
        stopped = self._tracker.end_run(name, end, checkpoint, loss)
        self._stop_all(stopped, "job ended or gang broken")
        self._journal.notify()
        self._notify()

    def _end_lost_run(self, name: RunName, end: RunEnd, loss: WorkerLoss | None) -> None:
        self._end_run(name, end, loss=loss)

    def _stop_all(self, names: Sequence[RunName], reason: str) -> None:
        for name in names:
            run = self._tracker.request_stop(name, reason)
            if run is None:
                continue
            session = self._sessions.get(run.worker_id)
            if session is not None:
                session.orders.stop(run)

    def _plan_once(self) -> None:
        # What runs of unread jobs reserve is not known.
        unread_workers = set(self._unread_runs().values())
        sessions = [
            session
            for worker_id, session in self._sessions.items()
            if worker_id not in unread_workers
        ]
        new_plan = self._planner.plan(
            sessions, len(self._sessions), self._deps.operator(), self._uncertain_use()
        )
        if new_plan is not None:
            self._execute(new_plan)

    def _uncertain_use(self) -> Resources:
        """Return the most that runs may use that the tracker does not know."""
        return uncertain_use(
            [(each.worker, each.unknown_runs_until_ms) for each in self._sessions.values()],
            set(self._unread_runs().values()),
            self._tracker.reserved_on,
            self._deps.clock(),
        )

    def _execute(self, new_plan: Plan) -> None:
        for preemption in new_plan.preemptions:
            logger.info(
                "preempted",
                extra={
                    "request": preemption.name.job_id,
                    "task": list(preemption.name.task),
                    "worker": preemption.worker_id,
                    "for": preemption.for_job,
                    "reason": preemption.reason,
                },
            )
        self._stop_all([each.name for each in new_plan.preemptions], "preempted")
        # A pass offers only some of the occurrences that are due, so the next one follows soon.
        jobs = self._tracker.jobs
        if any(jobs[each.job_id].job.scheduled for each in new_plan.assignments):
            self._notify()
        self._starter.begin(new_plan.assignments)
