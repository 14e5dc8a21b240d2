"""One term of office of the coordinator: plans, records, and drives the workers' sessions."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import eventlet
from eventlet.event import Event

from hornbeamfold.batch import (
    Bounds,
    Clock,
    EndedTask,
    JobState,
    LeaseReport,
    OperatorState,
    Refusal,
    RunEnd,
    RunName,
    TopicPort,
    Worker,
    WorkerPort,
)
from hornbeamfold.coordinator.announcer import Announcer
from hornbeamfold.coordinator.book import Book, Run
from hornbeamfold.coordinator.demand import UrgentDemand
from hornbeamfold.coordinator.fenced_writer import FencedWriter
from hornbeamfold.coordinator.health import WorkerHealth
from hornbeamfold.coordinator.job_intake import IntakeHooks, JobIntake
from hornbeamfold.coordinator.journal import Journal
from hornbeamfold.coordinator.orders import OrderHooks
from hornbeamfold.coordinator.pace import late_runs, leaving_runs
from hornbeamfold.coordinator.session import (
    CLOCK_RATE,
    RENEWAL_KNOWLEDGE_MS,
    Session,
    SessionHooks,
    lease_ms,
)
from hornbeamfold.coordinator.starts import StartParts, Starts
from hornbeamfold.coordinator.survey import occupants, ready_steps, rooms
from hornbeamfold.ledger import CoordinatorRecord, Replica, encode_coordinator
from hornbeamfold.scheduling import Plan, plan
from hornbeamfold.telemetry import get_logger, histogram, logged

logger = get_logger("hornbeamfold.coordinator.term")
_plan_ms = histogram("hornbeamfold_plan", "ms", "Time of one planning pass.")

# Passes follow one another no faster, so that ends and submissions that come together share one.
MIN_PASS_GAP_MS = 15
# Without any event a pass looks for tasks whose time has come.
MAX_PASS_GAP_MS = 200
# An earlier coordinator extends no lease this long after it was replaced. The margin is for the
# time that a renewal takes.
EARLIER_RENEWALS_MS = RENEWAL_KNOWLEDGE_MS + 1_000


@dataclass(frozen=True)
class TermParts:
    """What a term works with.

    `knowledge_ms` is when all of it was last confirmed, if ever, and `registry_read_ms` when the
    list of workers was.
    """

    incarnation: str
    topic: TopicPort
    progress_topic: TopicPort
    workers: WorkerPort
    replica: Replica
    operator: Callable[[], OperatorState]
    registry: Callable[[], Mapping[str, Worker]]
    registry_read_ms: Callable[[], int | None]
    knowledge_ms: Callable[[], int | None]
    bounds: Bounds
    clock: Clock
    wall: Clock


class Term:
    """Everything that this instance does as coordinator under one epoch."""

    def __init__(self, parts: TermParts, epoch: int, sequence: int) -> None:
        self._parts = parts
        self._epoch = epoch
        self._record = CoordinatorRecord(parts.incarnation, epoch)
        self._book = Book(parts.clock)
        self._health = WorkerHealth(parts.clock)
        self._demand = UrgentDemand()
        self._sessions: dict[str, Session] = {}
        self._active = True
        self._planning = True
        self._wake: Event = Event()
        self._orphans_until_ms = 0
        self._began_ms = parts.clock()
        self._progress_writer = FencedWriter(
            "progress", parts.progress_topic, epoch, sequence, self.depose, parts.clock
        )
        self._journal = Journal(self._progress_writer, self._book, self._announce)
        self._announcer = Announcer(
            FencedWriter("jobs", parts.topic, epoch, sequence, self.depose, parts.clock),
            lambda: encode_coordinator(self._record),
            self._journal.remove,
            parts.clock,
        )
        self._intake = JobIntake(
            parts.replica,
            self._book,
            IntakeHooks(
                is_active=lambda: self._active,
                on_told_end=self._journal.remove,
                on_state=self._announcer.announce,
                on_cancelled=self._on_cancelled,
                on_taken=self._notify,
            ),
        )
        self._starts = Starts(
            StartParts(
                self._book,
                self._sessions,
                parts.operator,
                parts.registry,
                self._journal.after_store,
                lambda: self._active,
                self._end,
                parts.clock,
            )
        )
        orders = OrderHooks(
            is_active=lambda: self._active,
            knowledge_ms=parts.knowledge_ms,
            on_settled=self._book.settle,
            on_not_started=self._on_not_started,
            on_fenced=self.depose,
            is_listed=lambda name: name in self._book.runs,
            may_start=self._starts.may_start,
        )
        self._hooks = SessionHooks(
            orders=orders,
            on_report=self._on_report,
            on_ended=self._on_ended,
            on_gone=self._on_gone,
            after_store=self._journal.after_store,
        )

    @property
    def epoch(self) -> int:
        """The epoch of this term, which is the fencing token of its orders."""
        return self._epoch

    @property
    def active(self) -> bool:
        """Whether the term goes on."""
        return self._active

    @property
    def runs(self) -> tuple[RunName, ...]:
        """The runs that take room on workers."""
        return tuple(self._book.runs)

    def depose(self, reason: str) -> None:
        """End the term at once: another instance coordinates, or may."""
        if not self._active:
            return
        self._active = False
        self._journal.stop()
        self._announcer.stop()
        self._intake.stop()
        self._notify()
        logger.warning("term_ended", extra={"epoch": self._epoch, "reason": reason})

    def resign(self, timeout_ms: int) -> bool:
        """Stop planning and tell the others that the next one may claim; renewals go on."""
        self._planning = False
        record = CoordinatorRecord(self._parts.incarnation, self._epoch, resigned=True)
        stored = self._announcer.close_with(encode_coordinator(record), timeout_ms)
        logger.info("resigned", extra={"epoch": self._epoch, "stored": stored})
        return stored

    def run(self) -> None:
        """Load the book, open the sessions, and plan until the term ends."""
        eventlet.spawn_n(logged(self._announcer.run))
        # From here on the progress topic refuses the coordinator before.
        if not self._progress_writer.write([encode_coordinator(self._record)]):
            return
        if not self._intake.begin(self._parts.progress_topic):
            return
        longest_lease_ms = int(lease_ms(self._parts.bounds) / CLOCK_RATE)
        self._orphans_until_ms = self._began_ms + EARLIER_RENEWALS_MS + longest_lease_ms
        logger.info(
            "term_began",
            extra={
                "epoch": self._epoch,
                "jobs": len(self._book.jobs),
                "runs": len(self._book.runs),
            },
        )
        eventlet.spawn_n(logged(self._journal.run))
        try:
            self._plan_while_active()
        finally:
            # A coordinator that cannot plan must not keep the others from coordinating.
            if self._planning:
                self.depose("planning ended")

    def _announce(self, job_id: str, state: JobState) -> None:
        """Tell the state of a job that is recorded, unless all instances know it already."""
        if self._parts.replica.recorded_state(job_id) is not state:
            self._announcer.announce(job_id, state)

    def _plan_while_active(self) -> None:
        while self._active and self._planning:
            self._update_sessions()
            self._end_orphans()
            self._plan_once()
            self._wake = Event()
            eventlet.sleep(MIN_PASS_GAP_MS / 1_000)
            self._wake.wait(timeout=(MAX_PASS_GAP_MS - MIN_PASS_GAP_MS) / 1_000)

    def _notify(self) -> None:
        if not self._wake.ready():
            self._wake.send(None)

    def _on_cancelled(self, names: Sequence[RunName]) -> None:
        self._stop_all(names, "cancelled")
        self._journal.notify()

    def _registry_is_read(self) -> bool:
        """Tell whether the list of workers is of this term; an earlier one may be outdated."""
        read_ms = self._parts.registry_read_ms()
        return read_ms is not None and read_ms >= self._began_ms

    def _update_sessions(self) -> None:
        if not self._registry_is_read():
            return
        registry = self._parts.registry()
        for worker_id, worker in registry.items():
            session = self._sessions.get(worker_id)
            if session is not None:
                session.update(worker)
                continue
            self._open_session(worker)
        for worker_id, session in tuple(self._sessions.items()):
            if worker_id in registry:
                continue
            session.unregister()
            if not session.reachable and not self._book.runs_on(worker_id):
                session.close()
                del self._sessions[worker_id]

    def _open_session(self, worker: Worker) -> None:
        session = Session(
            worker,
            self._epoch,
            self._parts.workers,
            self._hooks,
            self._parts.bounds,
            self._parts.clock,
            max(self._orphans_until_ms, self._parts.clock()),
        )
        self._sessions[worker.worker_id] = session
        for run in self._book.runs_on(worker.worker_id):
            # An entry may also be of an earlier incarnation than the run.
            if run.born_ms < worker.born_ms:
                self._end(run.name, RunEnd.LOST)
        eventlet.spawn_n(logged(session.run))

    def _end_orphans(self) -> None:
        """End runs on workers that nobody has heard of since the leases there expired."""
        if self._parts.clock() < self._orphans_until_ms:
            return
        for run in tuple(self._book.runs.values()):
            if run.worker_id not in self._sessions:
                self._end(run.name, RunEnd.LOST)

    def _on_report(self, session: Session, report: LeaseReport, sent_ms: int) -> None:
        """Compare what a worker runs with the book."""
        worker = session.worker
        listed: set[RunName] = set()
        unknown = 0
        for task in report.running:
            listed.add(task.name)
            run = self._book.runs.get(task.name)
            if run is None or run.worker_id != worker.worker_id:
                unknown += 1
                session.orders.stop_unknown(task.name)
                continue
            self._book.settle(task.name)
            self._book.note_running(task)
        session.set_foreign(unknown)
        listed.update(each.name for each in report.ended)
        for run in self._book.runs_on(worker.worker_id):
            if run.name in listed or run.settled_ms is None or run.settled_ms >= sent_ms:
                if run.stop_reason and run.name in listed:
                    session.orders.stop(run)
                continue
            self._end(run.name, RunEnd.LOST)
        self._move_late_runs(worker.worker_id)
        for leaving in leaving_runs(
            self._book, self._book.runs_on(worker.worker_id), worker, self._parts.clock()
        ):
            self._stop_all((leaving.name,), leaving.reason)
        self._notify()

    def _move_late_runs(self, worker_id: str) -> None:
        """Stop runs that would end sooner elsewhere; they are placed again once they have ended."""
        runs = self._book.runs_on(worker_id)
        for late in late_runs(self._book, runs, self._parts.clock()):
            # Any member may be what holds a gang up, so that says nothing about this worker.
            if not self._book.in_gang(late.name):
                self._health.set_aside(worker_id, late.reason)
            self._book.jobs[late.name.job_id].add_avoided(late.name.task, worker_id)
            self._stop_all((late.name,), late.reason)

    def _on_ended(self, session: Session, ended: tuple[EndedTask, ...]) -> None:
        worker_id = session.worker.worker_id
        for each in ended:
            run = self._book.runs.get(each.name)
            if run is None or run.worker_id != worker_id:
                continue
            if each.end is RunEnd.DONE:
                self._health.succeeded(worker_id)
            if each.end is RunEnd.FAILED:
                self._health.failed(worker_id, each.name.job_id)
            self._end(each.name, each.end, each.checkpoint)

    def _on_not_started(self, run: Run, reason: Refusal) -> None:
        if reason in (Refusal.UNHEALTHY, Refusal.UNREACHABLE):
            self._health.set_aside(run.worker_id, reason.value)
        if reason is Refusal.GONE and (session := self._sessions.get(run.worker_id)):
            self._on_gone(session, "another incarnation answers")
            return
        self._end(run.name, RunEnd.LOST)

    def _on_gone(self, session: Session, reason: str) -> None:
        runs = self._book.runs_on(session.worker.worker_id)
        if runs:
            logger.warning(
                "runs_lost",
                extra={
                    "worker": session.worker.worker_id,
                    "reason": reason,
                    "requests": sorted({run.name.job_id for run in runs}),
                },
            )
        for run in runs:
            self._end(run.name, RunEnd.LOST)

    def _end(self, name: RunName, end: RunEnd, checkpoint: str = "") -> None:
        self._stop_all(self._book.end(name, end, checkpoint), "job ended or gang broken")
        self._journal.notify()
        self._notify()

    def _stop_all(self, names: Sequence[RunName], reason: str) -> None:
        for name in names:
            run = self._book.want_stopped(name, reason)
            if run is None:
                continue
            session = self._sessions.get(run.worker_id)
            if session is not None:
                session.orders.stop(run)

    def _plan_once(self) -> None:
        began = self._parts.clock()
        operator = self._parts.operator()
        free = rooms(self._sessions.values(), self._book, self._health, operator)
        steps = ready_steps(
            self._book, operator, self._parts.wall(), began, self._parts.bounds, len(free)
        )
        if not steps or not free:
            return
        self._demand.note(steps, began)
        headroom = self._demand.headroom()
        made = plan(steps, free, occupants(self._book, began), began, headroom)
        _plan_ms(self._parts.clock() - began)
        self._carry_out(made)

    def _carry_out(self, made: Plan) -> None:
        for preemption in made.preemptions:
            logger.info(
                "preempted",
                extra={
                    "request": preemption.name.job_id,
                    "task": list(preemption.name.task),
                    "worker": preemption.worker_id,
                    "for": preemption.for_job,
                },
            )
        self._stop_all([each.name for each in made.preemptions], "preempted")
        self._starts.begin(made.assignments)
