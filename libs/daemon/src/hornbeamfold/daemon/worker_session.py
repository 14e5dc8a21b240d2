"""The exchanges of a keeper with one worker."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.follower import LogFollower
from hornbeamfold.daemon.job_ages import JobAges
from hornbeamfold.daemon.keeper import (
    JOB_TASK_PREFIX,
    MemberHere,
    SyncPlan,
    SyncResult,
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
from hornbeamfold.workers import SyncReply, TaskReport, TaskState, WorkerClient

# A start that was refused because slots were busy, or a member that stops, is looked at this soon.
SOON_MS = 150
# A report that was not folded in this time is written again.
REPORT_AGAIN_MS = 5_000
# The writer keeps a report through an outage of the log. It is written again only in case the
# writer cannot learn of the fold, for instance because a snapshot was loaded.
PENDING_AGAIN_MS = 60_000
# An exchange that comes this much later than planned shows that the process was paused.
PAUSE_MS = 2_000

logger = get_logger("hornbeamfold.daemon.worker_session")
count_syncs = counter("hornbeamfold_worker_syncs", "Exchanges with workers")

LoadListener = Callable[[str, SyncReply], None]


@dataclass(frozen=True)
class SessionParts:
    """What all sessions of an instance share; `kept` counts them, `leaving` names workers."""

    name: str
    follower: LogFollower
    writer: LogWriter
    freshness: Freshness
    client: WorkerClient
    ages: JobAges
    clock: Clock
    wall: Clock
    interval_ms: int
    on_load: LoadListener
    leaving: Callable[[], frozenset[str]]
    kept: Callable[[], int]


@dataclass(frozen=True)
class _Written:
    """When a report was given to the writer, and what became of it."""

    at_ms: int
    ticket: Ticket

    @property
    def again_after_ms(self) -> int:
        """How long to wait before the report is written again."""
        return REPORT_AGAIN_MS if self.ticket.done else PENDING_AGAIN_MS


class WorkerSession:
    """What one keeper remembers of its worker."""

    def __init__(self, worker: str, parts: SessionParts) -> None:
        self._worker = worker
        self._parts = parts
        # Another keeper may have renewed until just before this one took over.
        self._answered_ms = parts.clock()
        self._due_ms = parts.clock()
        self._leaves = False
        self._reported: dict[str, TaskReport] = {}
        self._result = SyncResult()
        self._written: dict[tuple[str, MemberState], _Written] = {}
        self._stopped: set[tuple[tuple[str, str], int]] = set()

    @property
    def leaves(self) -> bool:
        """Whether the worker said in its last reply that it leaves."""
        return self._leaves

    def run_once(self) -> int:
        """Exchange once with the worker; return how long to wait until the next time."""
        wait_ms = self._parts.interval_ms
        try:
            wait_ms = self._exchange()
        finally:
            self._due_ms = self._parts.clock() + wait_ms
        return wait_ms

    def _exchange(self) -> int:
        view = self._parts.follower.view
        capacity = view.capacities.get(self._worker)
        if capacity is None:
            return self._parts.interval_ms
        now = self._parts.clock()
        # After a pause of this process, others may have renewed until now.
        if now - self._due_ms > PAUSE_MS:
            self._answered_ms = now
        members = self._members()
        may_start = self._parts.freshness.may_start(now)
        if not capacity.eligible:
            may_start = Permit(False, "the availability zone is out or the worker drains")
        elif self._leaves or self._worker in self._parts.leaving():
            may_start = Permit(False, "the worker leaves")
        plan = plan_sync(
            self._parts.name,
            members,
            self._reported,
            self._result,
            may_start,
            self._parts.freshness.may_renew(now),
            self._parts.wall() + START_ORDER_VALIDITY_MS,
        )
        self._log_starts(plan, capacity.eligible)
        count_syncs(1)
        reply = self._parts.client.sync(capacity.worker, plan.request, START_TIMEOUT_MS)
        if isinstance(reply, SyncReply):
            self._take_reply(plan, reply)
            return SOON_MS if plan.soon else self._next_sync_ms(members)
        logger.warning(
            "A worker did not answer",
            extra={"worker": self._worker, "detail": reply.detail},
        )
        self._unreachable()
        return min(self._parts.interval_ms, START_TIMEOUT_MS)

    def _members(self) -> tuple[MemberHere, ...]:
        here: list[MemberHere] = []
        for job in self._parts.follower.view.jobs_on(self._worker):
            for status in job.members:
                if status.member.worker != self._worker:
                    continue
                stopping = job.state == JobState.STOPPING
                here.append(
                    MemberHere(
                        job,
                        status,
                        self._parts.ages.placed_age(job.key, job.attempt),
                        self._parts.ages.stopping_age(job.key, job.attempt) if stopping else 0,
                    )
                )
        return tuple(here)

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
                offset=self._parts.follower.view.offset,
            )
        if plan.refusal:
            log_decision("start", "wait", plan.refusal, worker=self._worker)

    def _take_reply(self, plan: SyncPlan, reply: SyncReply) -> None:
        self._answered_ms = self._parts.clock()
        self._reported = {
            report.task: report for report in reply.tasks if report.task.startswith(JOB_TASK_PREFIX)
        }
        self._leaves = reply.leaving
        self._parts.on_load(self._worker, reply)
        # The view may have moved on during the exchange, so the members are read again.
        members = self._members()
        self._result = read_reply(
            members, reply, plan.request.stop, self._parts.follower.view.offset
        )
        self._report(self._result.reports)
        self._check_partial(members)

    def _report(self, reports: Iterable[MemberReport]) -> None:
        now = self._parts.clock()
        fresh: list[MemberReport] = []
        marks: list[tuple[str, MemberState]] = []
        for report in reports:
            mark = (
                task_id((report.organisation, report.job_id), report.attempt, report.worker),
                report.state,
            )
            written = self._written.get(mark)
            if written is not None and now - written.at_ms < written.again_after_ms:
                continue
            marks.append(mark)
            fresh.append(report)
        for mark, written in list(self._written.items()):
            if now - written.at_ms > 10 * PENDING_AGAIN_MS:
                del self._written[mark]
        if not fresh:
            return
        ticket = self._parts.writer.submit((MembersReported(tuple(fresh)),))
        self._written.update(dict.fromkeys(marks, _Written(now, ticket)))

    def _next_sync_ms(self, members: Iterable[MemberHere]) -> int:
        """Return when the leases on the worker are to be renewed next."""
        if any(len(here.job.members) > 1 for here in members):
            return min(self._parts.interval_ms, GANG_SYNC_INTERVAL_MS)
        return routine_sync_ms(self._parts.interval_ms, self._parts.kept())

    def _check_partial(self, members: Iterable[MemberHere]) -> None:
        """Check that no member still runs in a gang that has been partial past the bound."""
        late = {job.key for job in partial_gangs(self._parts.follower.view, self._parts.wall())}
        for here in members:
            report = self._reported.get(here.task)
            runs = report is not None and report.state == TaskState.RUNNING
            check_invariant(
                "I1 no gang partly running past the bound",
                not (runs and here.job.key in late),
                f"{here.task} runs in a partial gang",
            )

    def _stop_gangs(self, silent_ms: int) -> None:
        """Stop the rest of each gang whose member here must have lapsed.

        The member itself counts as lost only later, when no other keeper can have renewed it.
        """
        stops = [
            JobStopping(here.job.key[0], here.job.key[1], here.job.attempt, StopReason.MEMBER_LOST)
            for here in self._members()
            if len(here.job.members) > 1
            and here.job.state in (JobState.PLACED, JobState.RUNNING)
            and here.status.state not in ENDED_MEMBERS
            and (here.job.key, here.job.attempt) not in self._stopped
        ]
        if not stops:
            return
        self._stopped.update(((one.organisation, one.job_id), one.attempt) for one in stops)
        log_decision(
            "stop",
            " ".join(f"{one.organisation}/{one.job_id}#{one.attempt}" for one in stops),
            f"{self._worker} was silent for {silent_ms} ms",
        )
        self._parts.writer.submit(tuple(stops))

    def _unreachable(self) -> None:
        """Stop gangs of a silent worker, and report members as lost once that is certain."""
        now = self._parts.clock()
        capacity = self._parts.follower.view.capacities.get(self._worker)
        if capacity is None or not self._parts.freshness.may_start(now).granted:
            return
        silent_ms = now - self._answered_ms
        if silent_ms >= GANG_LEASE_MS:
            self._stop_gangs(silent_ms)
        if silent_ms < max(LEASE_MS, self._parts.freshness.lost_after(capacity.region, now)):
            return
        reports = [
            MemberReport(
                here.job.key[0],
                here.job.key[1],
                here.job.attempt,
                self._worker,
                MemberState.LOST,
                f"the worker was silent for {silent_ms} ms",
            )
            for here in self._members()
            if here.status.state not in ENDED_MEMBERS
        ]
        self._report(reports)
