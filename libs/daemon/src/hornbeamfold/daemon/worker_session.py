"""The exchanges of this instance with one worker that is assigned to it."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.follower import LogFollower
from hornbeamfold.daemon.job_ages import JobAges
from hornbeamfold.daemon.job_losses import JobLosses
from hornbeamfold.daemon.worker_sync import (
    JOB_TASK_PREFIX,
    SyncPlan,
    SyncResult,
    WorkerMember,
    plan_sync,
    read_reply,
    routine_sync_ms,
)
from hornbeamfold.logclient import LogWriter, Ticket
from hornbeamfold.membership import Freshness, Permit
from hornbeamfold.model.events import JobStopping, MemberReport, MembersReported
from hornbeamfold.model.invariants import check_invariant
from hornbeamfold.model.timing import (
    GANG_LEASE_MS,
    GANG_SYNC_INTERVAL_MS,
    LEASE_MS,
    MAX_VIEW_AGE_MS,
    START_BOUND_MS,
    START_LEASE_MS,
    START_ORDER_VALIDITY_MS,
    START_TIMEOUT_MS,
)
from hornbeamfold.model.work import (
    ENDED_MEMBERS,
    JobState,
    MemberState,
    StopReason,
    task_id,
)
from hornbeamfold.telemetry import counter, get_logger, log_decision
from hornbeamfold.view import partial_gangs
from hornbeamfold.workers import NoReply, SyncReply, TaskReport, TaskState, WorkerClient

# Time to the next exchange while members start or stop, for instance after a start that was refused
# because the slots were busy.
RESYNC_SOON_MS = 150
# A report that had no effect is submitted again after this time.
REPORT_RETRY_MS = 5_000
# The writer keeps pending reports through a log outage. They are submitted again only in case the
# writer does not learn that they were applied, for instance because a snapshot was loaded.
PENDING_REPORT_RETRY_MS = 60_000
# An exchange that is later than planned by more than this indicates that the process was paused.
PAUSE_THRESHOLD_MS = 2_000
# A start may have reached a worker although its reply was lost, also one by an instance that saw
# the placement later. This long after the placement, such a task has lapsed again.
UNSEEN_START_MS = MAX_VIEW_AGE_MS + START_BOUND_MS + START_ORDER_VALIDITY_MS + START_LEASE_MS

logger = get_logger("hornbeamfold.daemon.worker_session")
count_syncs = counter("hornbeamfold_worker_syncs", "Exchanges with workers")

OnLoad = Callable[[str, SyncReply], None]


@dataclass(frozen=True)
class SessionContext:
    """Dependencies and settings that all worker sessions of an instance share.

    `leaving_workers` returns the workers that peers report as leaving, `worker_count` the number
    of workers that are assigned to this instance.
    """

    name: str
    follower: LogFollower
    writer: LogWriter
    freshness: Freshness
    client: WorkerClient
    job_ages: JobAges
    job_losses: JobLosses
    clock: Clock
    wall_clock: Clock
    interval_ms: int
    on_load: OnLoad
    leaving_workers: Callable[[], frozenset[str]]
    worker_count: Callable[[], int]


@dataclass(frozen=True)
class _SubmittedReport:
    """When a report was submitted to the writer, and the ticket for its verdict."""

    submitted_ms: int
    ticket: Ticket

    @property
    def retry_after_ms(self) -> int:
        """The time after which the report is submitted again."""
        return REPORT_RETRY_MS if self.ticket.done else PENDING_REPORT_RETRY_MS


class WorkerSession:
    """Exchanges with one worker and keeps the state that is needed between exchanges."""

    def __init__(self, worker: str, context: SessionContext) -> None:
        self._worker = worker
        self._context = context
        # Another instance may have renewed the leases until just before this one took over.
        self._last_reply_ms = context.clock()
        # When leases were last extended in an exchange whose reply did not arrive, and whether that
        # was the last one.
        self._unanswered_ms = self._last_reply_ms
        self._unanswered = False
        self._next_sync_due_ms = context.clock()
        self._worker_leaving = False
        self._task_reports: dict[str, TaskReport] = {}
        self._last_result = SyncResult()
        self._submitted: dict[tuple[str, MemberState], _SubmittedReport] = {}
        self._stopped_attempts: set[tuple[tuple[str, str], int]] = set()
        # Tasks during whose start the worker closed the connection.
        self._interrupted_starts: frozenset[str] = frozenset()
        # Started tasks that were reported as lost while the worker was unreachable.
        self._lost_while_silent: dict[str, MemberReport] = {}

    @property
    def worker_leaving(self) -> bool:
        """Whether the worker announced in its last reply that it is leaving."""
        return self._worker_leaving

    def run_once(self) -> int:
        """Exchange once with the worker; return the time to the next exchange in ms."""
        wait_ms = self._context.interval_ms
        try:
            wait_ms = self._exchange()
        finally:
            self._next_sync_due_ms = self._context.clock() + wait_ms
        return wait_ms

    def _exchange(self) -> int:
        view = self._context.follower.view
        capacity = view.capacities.get(self._worker)
        if capacity is None:
            return self._context.interval_ms
        now = self._context.clock()
        # If this process was paused, another instance may have renewed the leases until now.
        if now - self._next_sync_due_ms > PAUSE_THRESHOLD_MS:
            self._last_reply_ms = now
        members = self._members()
        may_start = self._context.freshness.may_start(now)
        if not capacity.eligible:
            may_start = Permit(
                False, "the availability zone is out of service or the worker is draining"
            )
        elif self._worker_leaving or self._worker in self._context.leaving_workers():
            may_start = Permit(False, "the worker is leaving")
        plan = plan_sync(
            self._context.name,
            members,
            self._task_reports,
            self._last_result,
            may_start,
            self._may_renew(now),
            self._context.wall_clock() + START_ORDER_VALIDITY_MS,
        )
        self._log_starts(plan, capacity.eligible)
        count_syncs(1)
        reply = self._context.client.sync(capacity.worker, plan.request, START_TIMEOUT_MS)
        if isinstance(reply, SyncReply):
            self._handle_reply(plan, reply)
            return RESYNC_SOON_MS if plan.resync_soon else self._next_sync_ms(members)
        if isinstance(reply, NoReply):
            self._note_unanswered(plan, now)
            if reply.closed:
                self._interrupted_starts |= frozenset(plan.starts)
        logger.warning(
            "A worker did not answer",
            extra={"worker": self._worker, "detail": reply.detail},
        )
        self._handle_unreachable()
        return min(self._context.interval_ms, START_TIMEOUT_MS)

    def _may_renew(self, now_ms: int) -> Permit:
        """Return whether to renew leases: not after an exchange whose reply did not arrive.

        A worker that receives renewals but cannot answer would keep its tasks while they are
        started elsewhere.
        """
        if self._unanswered:
            return Permit(False, "the last exchange was not answered")
        return self._context.freshness.may_renew(now_ms)

    def _note_unanswered(self, plan: SyncPlan, sent_ms: int) -> None:
        """Note that a worker may have received an exchange, and with it longer leases."""
        self._unanswered = True
        if plan.request.start or plan.request.renew:
            self._unanswered_ms = sent_ms

    def _members(self) -> tuple[WorkerMember, ...]:
        members: list[WorkerMember] = []
        for job in self._context.follower.view.jobs_on(self._worker):
            for status in job.members:
                if status.member.worker != self._worker:
                    continue
                stopping = job.state == JobState.STOPPING
                members.append(
                    WorkerMember(
                        job,
                        status,
                        self._context.job_ages.placed_age(job.key, job.attempt),
                        self._context.job_ages.stopping_age(job.key, job.attempt)
                        if stopping
                        else 0,
                        self._context.job_losses.count(job.key),
                    )
                )
        return tuple(members)

    def _log_starts(self, plan: SyncPlan, eligible: bool) -> None:
        for task in plan.starts:
            check_invariant(
                "I2 no start in a zone that is out", eligible, f"{task} on {self._worker}"
            )
            log_decision(
                "start",
                self._worker,
                "placed here",
                task=task,
                offset=self._context.follower.view.offset,
            )
        if plan.refusal:
            log_decision("start", "wait", plan.refusal, worker=self._worker)

    def _log_given_up(self, reports: Iterable[MemberReport]) -> None:
        for report in reports:
            if not report.not_started:
                continue
            log_decision(
                "start",
                "refuse",
                report.detail,
                worker=self._worker,
                organisation=report.organisation,
                job_id=report.job_id,
                attempt=report.attempt,
                offset=self._context.follower.view.offset,
            )

    def _handle_reply(self, plan: SyncPlan, reply: SyncReply) -> None:
        self._last_reply_ms = self._context.clock()
        self._unanswered = False
        self._task_reports = {
            report.task: report for report in reply.tasks if report.task.startswith(JOB_TASK_PREFIX)
        }
        # A worker that had announced that it leaves was restarted on purpose.
        left = self._worker_leaving or self._worker in self._context.leaving_workers()
        self._worker_leaving = reply.leaving
        self._context.on_load(self._worker, reply)
        # The view may have changed during the exchange, so the members are read again.
        members = self._members()
        self._last_result = read_reply(
            members,
            reply,
            plan.request.stop,
            self._context.follower.view.offset,
            self._interrupted_starts,
        )
        reports = self._last_result.reports
        if left:
            reports = tuple(replace(report, worker_restarted=False) for report in reports)
        self._log_given_up(reports)
        self._submit_reports(reports)
        self._report_restart(left)
        self._interrupted_starts &= {member.task for member in members}
        self._check_partial_gangs(members)

    def _report_restart(self, planned: bool) -> None:
        """Report the tasks that a worker lost in a restart while it was unreachable.

        Their attempts may have ended, so the reports need not change the view.
        """
        lost = [
            replace(report, worker_restarted=True, detail="the worker restarted while unreachable")
            for task, report in self._lost_while_silent.items()
            if task not in self._task_reports
        ]
        self._lost_while_silent.clear()
        if lost and not planned:
            self._context.writer.submit((MembersReported(tuple(lost)),))

    def _submit_reports(self, reports: Iterable[MemberReport]) -> None:
        now = self._context.clock()
        due: list[MemberReport] = []
        report_keys: list[tuple[str, MemberState]] = []
        for report in reports:
            report_key = (
                task_id((report.organisation, report.job_id), report.attempt, report.worker),
                report.state,
            )
            submitted = self._submitted.get(report_key)
            if submitted is not None and now - submitted.submitted_ms < submitted.retry_after_ms:
                continue
            report_keys.append(report_key)
            due.append(report)
        for report_key, submitted in list(self._submitted.items()):
            if now - submitted.submitted_ms > 10 * PENDING_REPORT_RETRY_MS:
                del self._submitted[report_key]
        if not due:
            return
        ticket = self._context.writer.submit((MembersReported(tuple(due)),))
        self._submitted.update(dict.fromkeys(report_keys, _SubmittedReport(now, ticket)))

    def _next_sync_ms(self, members: Iterable[WorkerMember]) -> int:
        """Return the time until the leases on the worker are to be renewed next."""
        if any(len(member.job.members) > 1 for member in members):
            return min(self._context.interval_ms, GANG_SYNC_INTERVAL_MS)
        return routine_sync_ms(self._context.interval_ms, self._context.worker_count())

    def _check_partial_gangs(self, members: Iterable[WorkerMember]) -> None:
        """Check that no member runs in a gang that has been partial for longer than the bound."""
        overdue = {
            job.key
            for job in partial_gangs(self._context.follower.view, self._context.wall_clock())
        }
        for member in members:
            report = self._task_reports.get(member.task)
            running = report is not None and report.state == TaskState.RUNNING
            check_invariant(
                "I1 no gang partly running past the bound",
                not (running and member.job.key in overdue),
                f"{member.task} runs in a partial gang",
            )

    def _stop_gangs(self, silent_ms: int) -> None:
        """Stop each gang whose member on this worker must have lapsed.

        The member itself counts as lost only later, once no other instance can have renewed it.
        """
        stops = [
            JobStopping(
                member.job.key[0], member.job.key[1], member.job.attempt, StopReason.MEMBER_LOST
            )
            for member in self._members()
            if len(member.job.members) > 1
            and member.job.state in (JobState.PLACED, JobState.RUNNING)
            and member.status.state not in ENDED_MEMBERS
            and (member.job.key, member.job.attempt) not in self._stopped_attempts
        ]
        if not stops:
            return
        self._stopped_attempts.update(
            ((stop.organisation, stop.job_id), stop.attempt) for stop in stops
        )
        log_decision(
            "stop",
            " ".join(f"{stop.organisation}/{stop.job_id}#{stop.attempt}" for stop in stops),
            f"{self._worker} was silent for {silent_ms} ms",
        )
        self._context.writer.submit(tuple(stops))

    def _handle_unreachable(self) -> None:
        """Stop the gangs of a silent worker, and report its members as lost once it is certain."""
        now = self._context.clock()
        capacity = self._context.follower.view.capacities.get(self._worker)
        if capacity is None or not self._context.freshness.may_start(now).granted:
            return
        silent_ms = now - max(self._last_reply_ms, self._unanswered_ms)
        if silent_ms >= GANG_LEASE_MS:
            self._stop_gangs(silent_ms)
        if silent_ms < max(LEASE_MS, self._context.freshness.lost_after(capacity.region, now)):
            return
        reports: list[MemberReport] = []
        for member in self._members():
            if member.status.state in ENDED_MEMBERS or member.placed_age_ms < UNSEEN_START_MS:
                continue
            report = MemberReport(
                member.job.key[0],
                member.job.key[1],
                member.job.attempt,
                self._worker,
                MemberState.LOST,
                f"the worker was silent for {silent_ms} ms",
            )
            reports.append(report)
            if member.status.state == MemberState.RUNNING or (
                member.task in self._interrupted_starts
            ):
                self._lost_while_silent[member.task] = report
        self._submit_reports(reports)
