"""Plans the exchanges with a worker and reads its replies.

An exchange starts, renews, checkpoints and stops the tasks of the job members on the worker. Each
worker is assigned to one instance, which exchanges with it regularly.
"""

from collections.abc import Iterable, Set
from dataclasses import dataclass, field

from hornbeamfold.daemon.job_losses import MAX_LOSSES
from hornbeamfold.membership import Permit
from hornbeamfold.model.events import MemberReport
from hornbeamfold.model.timing import (
    CHECKPOINT_BOUND_MS,
    GANG_LEASE_MS,
    LEASE_MS,
    START_BOUND_MS,
    START_LEASE_MS,
)
from hornbeamfold.model.work import (
    ENDED_MEMBERS,
    Job,
    JobState,
    MemberState,
    MemberStatus,
    task_id,
)
from hornbeamfold.workers import (
    SyncReply,
    SyncRequest,
    TaskRenewal,
    TaskReport,
    TaskStart,
    TaskState,
)

JOB_TASK_PREFIX = "job/"
# An exchange takes more than 1 ms of processor time, and the control plane may use 3.7% of a core.
MAX_SYNCS_PER_S = 20
# Two consecutive exchanges may be lost before a lease lapses.
MAX_SYNC_INTERVAL_MS = LEASE_MS // 3


@dataclass(frozen=True)
class WorkerMember:
    """A member on the worker with its job.

    The ages are local times since the placement and the stop were applied to the view. `losses` is
    the number of attempts of the job in a row that lost workers which restarted.
    """

    job: Job
    status: MemberStatus
    placed_age_ms: int
    stopping_age_ms: int
    losses: int = 0

    @property
    def given_up(self) -> bool:
        """Whether the member is not started because the job has lost too many workers."""
        return self.losses >= MAX_LOSSES and self.job.state != JobState.STOPPING

    @property
    def task(self) -> str:
        """The id of the member's task."""
        return task_id(self.job.key, self.job.attempt, self.status.member.worker)


@dataclass(frozen=True)
class SyncPlan:
    """The request for a worker, the tasks that it starts, and whether to exchange again soon.

    `refusal` is why members were not started, if any.
    """

    request: SyncRequest
    starts: tuple[str, ...] = ()
    resync_soon: bool = False
    refusal: str = ""


@dataclass(frozen=True)
class SyncResult:
    """The consequences of a reply: member states to report, and tasks to forget and to stop."""

    reports: tuple[MemberReport, ...] = ()
    forget: tuple[str, ...] = ()
    stop: tuple[str, ...] = ()


@dataclass(frozen=True)
class _SyncLists:
    """The task lists of a sync request under construction."""

    start: list[TaskStart] = field(default_factory=list)
    renew: list[TaskRenewal] = field(default_factory=list)
    checkpoint: list[str] = field(default_factory=list)
    stop: list[str] = field(default_factory=list)


def plan_sync(
    instance: str,
    members: Iterable[WorkerMember],
    reported: dict[str, TaskReport],
    previous: SyncResult,
    start: Permit,
    renew: Permit,
    start_by_ms: int = 0,
) -> SyncPlan:
    """Return the plan of the next exchange with a worker.

    `reported` holds the tasks of its last reply, `previous` the consequences of that reply. The
    worker refuses the starts after `start_by_ms`, a Unix time; 0 sets no bound.
    """
    lists = _SyncLists(stop=list(previous.stop))
    starts: list[str] = []
    refusal = ""
    resync_soon = False
    for member in members:
        state = member.status.state
        if state in ENDED_MEMBERS:
            continue
        if member.job.state == JobState.STOPPING:
            _add_stop(member, reported.get(member.task), lists, renew)
            resync_soon = True
            continue
        if state == MemberState.RUNNING:
            _add_renewal(member, lists, renew)
            resync_soon = resync_soon or member.job.state == JobState.PLACED
            continue
        if member.given_up:
            # The exchange confirms that no other instance has started the task.
            lists.stop.append(member.task)
            resync_soon = True
            continue
        if member.placed_age_ms > START_BOUND_MS:
            continue
        if not start.granted:
            refusal = start.reason
            continue
        lists.start.append(_make_start(member, start_by_ms))
        starts.append(member.task)
        resync_soon = True
    request = SyncRequest(
        instance,
        tuple(lists.start),
        tuple(lists.renew),
        tuple(lists.checkpoint),
        (),
        tuple(lists.stop),
        previous.forget,
    )
    return SyncPlan(request, tuple(starts), resync_soon, refusal)


def _make_start(member: WorkerMember, start_by_ms: int) -> TaskStart:
    allocation, spec = member.status.member, member.job.spec
    return TaskStart(
        member.task,
        member.job.fence,
        START_LEASE_MS,
        allocation.accelerators,
        allocation.processors,
        allocation.memory_gb,
        spec.kind,
        spec.body,
        member.job.checkpoint,
        start_by_ms,
    )


def _add_renewal(member: WorkerMember, lists: _SyncLists, permit: Permit) -> None:
    if not permit.granted:
        return
    lists.renew.append(TaskRenewal(member.task, member.job.fence, lease_ms(member.job)))


def routine_sync_ms(interval_ms: int, worker_count: int) -> int:
    """Return the time between exchanges with a worker that has no gang members.

    It grows with the number of workers of this instance, so that the rate of exchanges is bounded.
    """
    spread_ms = worker_count * 1_000 // MAX_SYNCS_PER_S
    return max(interval_ms, min(spread_ms, MAX_SYNC_INTERVAL_MS))


def lease_ms(job: Job) -> int:
    """Return the lease that members of a job get with each renewal.

    Members keep the short start lease until the whole gang runs, so that a partial gang lapses
    soon.
    """
    if job.state != JobState.RUNNING:
        return START_LEASE_MS
    return GANG_LEASE_MS if len(job.members) > 1 else LEASE_MS


def _add_stop(
    member: WorkerMember, report: TaskReport | None, lists: _SyncLists, permit: Permit
) -> None:
    running = report is not None and report.state == TaskState.RUNNING
    checkpointed = report is not None and bool(report.checkpoint)
    if (
        running
        and member.job.spec.checkpointable
        and not checkpointed
        and member.stopping_age_ms < CHECKPOINT_BOUND_MS
    ):
        lists.checkpoint.append(member.task)
        if permit.granted:
            lists.renew.append(TaskRenewal(member.task, member.job.fence, START_LEASE_MS))
        return
    lists.stop.append(member.task)


def read_reply(
    members: Iterable[WorkerMember],
    reply: SyncReply,
    stopped: Iterable[str],
    view_offset: int,
    interrupted_starts: Set[str] = frozenset(),
) -> SyncResult:
    """Compare a reply with the members.

    `stopped` are the tasks that the request asked to stop, `interrupted_starts` those during whose
    start the worker closed the connection.
    """
    tasks = {report.task: report for report in reply.tasks}
    asked_to_stop = frozenset(stopped)
    reports: list[MemberReport] = []
    expected: set[str] = set()
    for member in members:
        report = tasks.get(member.task)
        state = member.status.state
        if state in ENDED_MEMBERS:
            continue
        expected.add(member.task)
        observed = _observed_state(member, report, member.task in asked_to_stop)
        if observed is None or observed == state:
            continue
        pending = state == MemberState.PENDING
        if pending and observed == MemberState.STOPPED and member.given_up:
            reports.append(_report_given_up(member))
            continue
        started = not pending or member.task in interrupted_starts
        detail = report.detail if report is not None else "the worker does not have the task"
        checkpoint = report.checkpoint if report is not None else ""
        key = member.job.key
        reports.append(
            MemberReport(
                key[0],
                key[1],
                member.job.attempt,
                member.status.member.worker,
                observed,
                detail,
                checkpoint,
                worker_restarted=report is None and started,
            )
        )
    forget, stop = _unassigned_tasks(reply.tasks, expected, view_offset)
    return SyncResult(tuple(reports), forget, stop)


def _report_given_up(member: WorkerMember) -> MemberReport:
    """Return the failure of a member that was not started; enough of them fail the job."""
    return MemberReport(
        member.job.key[0],
        member.job.key[1],
        member.job.attempt,
        member.status.member.worker,
        MemberState.FAILED,
        f"not started again: workers restarted under the job in {member.losses} attempts in a row",
        not_started=True,
    )


_MEMBER_STATES = {
    TaskState.RUNNING: MemberState.RUNNING,
    TaskState.FINISHED: MemberState.FINISHED,
    TaskState.FAILED: MemberState.FAILED,
    TaskState.STOPPED: MemberState.STOPPED,
    TaskState.LAPSED: MemberState.LOST,
}


def _observed_state(
    member: WorkerMember, report: TaskReport | None, stopped: bool
) -> MemberState | None:
    if report is not None and report.state in _MEMBER_STATES:
        return _MEMBER_STATES[report.state]
    # A refused or unknown task does not run. Its start is retried until the start bound; once the
    # worker was asked to stop it, it counts as stopped.
    if member.status.state == MemberState.RUNNING:
        return MemberState.LOST
    return MemberState.STOPPED if stopped else None


def _unassigned_tasks(
    tasks: Iterable[TaskReport], expected: set[str], view_offset: int
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the tasks without a member here: ended ones to forget and running ones to stop."""
    forget: list[str] = []
    stop: list[str] = []
    for report in tasks:
        if report.task in expected or not report.task.startswith(JOB_TASK_PREFIX):
            continue
        # A placement at or after the view's offset is not applied here yet: another instance that
        # has read more of the log has started the task.
        if report.fence >= view_offset:
            continue
        if report.state == TaskState.RUNNING:
            stop.append(report.task)
            continue
        forget.append(report.task)
    return tuple(forget), tuple(stop)
