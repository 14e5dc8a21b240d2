"""The keeper of one worker: starts, renews, checkpoints and stops the tasks of its members."""

from collections.abc import Iterable
from dataclasses import dataclass, field

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
# One exchange takes more than 1 ms of processor time, and control may use 3.7% of a core.
ROUTINE_SYNCS_PER_S = 20
# Two exchanges in a row may be lost before a lease lapses.
LONGEST_SYNC_MS = LEASE_MS // 3


@dataclass(frozen=True)
class MemberHere:
    """A member on the kept worker with its job; `placed_age_ms` is local time since the fold."""

    job: Job
    status: MemberStatus
    placed_age_ms: int
    stopping_age_ms: int

    @property
    def task(self) -> str:
        """The id of the member's task."""
        return task_id(self.job.key, self.job.attempt, self.status.member.worker)


@dataclass(frozen=True)
class SyncPlan:
    """What to send to the worker, which tasks it starts, and whether to come back soon."""

    request: SyncRequest
    starts: tuple[str, ...] = ()
    soon: bool = False
    refusal: str = ""


@dataclass(frozen=True)
class SyncResult:
    """What a reply says: member states to report and ended tasks that can be forgotten."""

    reports: tuple[MemberReport, ...] = ()
    forget: tuple[str, ...] = ()
    stop: tuple[str, ...] = ()


@dataclass(frozen=True)
class _Lists:
    """The lists of one sync request while it is put together."""

    start: list[TaskStart] = field(default_factory=list)
    renew: list[TaskRenewal] = field(default_factory=list)
    checkpoint: list[str] = field(default_factory=list)
    stop: list[str] = field(default_factory=list)


def plan_sync(
    instance: str,
    members: Iterable[MemberHere],
    reported: dict[str, TaskReport],
    extra: SyncResult,
    start: Permit,
    renew: Permit,
    start_by_ms: int = 0,
) -> SyncPlan:
    """Return the next exchange for a worker; `reported` is what it said last.

    The worker refuses the starts after `start_by_ms`, a Unix time; 0 sets no bound.
    """
    lists = _Lists(stop=list(extra.stop))
    starts: list[str] = []
    refusal = ""
    soon = False
    for here in members:
        state = here.status.state
        if state in ENDED_MEMBERS:
            continue
        if here.job.state == JobState.STOPPING:
            _stop(here, reported.get(here.task), lists, renew)
            soon = True
            continue
        if state == MemberState.RUNNING:
            _renew(here, lists, renew)
            soon = soon or here.job.state == JobState.PLACED
            continue
        if here.placed_age_ms > START_BOUND_MS:
            continue
        if not start.granted:
            refusal = start.reason
            continue
        lists.start.append(_start(here, start_by_ms))
        starts.append(here.task)
        soon = True
    request = SyncRequest(
        instance,
        tuple(lists.start),
        tuple(lists.renew),
        tuple(lists.checkpoint),
        (),
        tuple(lists.stop),
        extra.forget,
    )
    return SyncPlan(request, tuple(starts), soon, refusal)


def _start(here: MemberHere, start_by_ms: int) -> TaskStart:
    member, spec = here.status.member, here.job.spec
    return TaskStart(
        here.task,
        here.job.fence,
        START_LEASE_MS,
        member.accelerators,
        member.processors,
        member.memory_gb,
        spec.kind,
        spec.body,
        here.job.checkpoint,
        start_by_ms,
    )


def _renew(here: MemberHere, lists: _Lists, permit: Permit) -> None:
    if not permit.granted:
        return
    lists.renew.append(TaskRenewal(here.task, here.job.fence, lease_ms(here.job)))


def routine_sync_ms(interval_ms: int, kept: int) -> int:
    """Return the time between exchanges with a worker whose leases are all long.

    It grows with the number of kept workers, so that the exchanges a second stay bounded.
    """
    spread_ms = kept * 1_000 // ROUTINE_SYNCS_PER_S
    return max(interval_ms, min(spread_ms, LONGEST_SYNC_MS))


def lease_ms(job: Job) -> int:
    """Return the lease that members of a job get with each renewal.

    The start lease is kept until the whole gang runs, so that a partial gang lapses soon.
    """
    if job.state != JobState.RUNNING:
        return START_LEASE_MS
    return GANG_LEASE_MS if len(job.members) > 1 else LEASE_MS


def _stop(here: MemberHere, report: TaskReport | None, lists: _Lists, permit: Permit) -> None:
    running = report is not None and report.state == TaskState.RUNNING
    saved = report is not None and bool(report.checkpoint)
    if (
        running
        and here.job.spec.checkpointable
        and not saved
        and here.stopping_age_ms < CHECKPOINT_BOUND_MS
    ):
        lists.checkpoint.append(here.task)
        if permit.granted:
            lists.renew.append(TaskRenewal(here.task, here.job.fence, START_LEASE_MS))
        return
    lists.stop.append(here.task)


def read_reply(
    members: Iterable[MemberHere], reply: SyncReply, stopped: Iterable[str], view_offset: int
) -> SyncResult:
    """Return the reports that a reply calls for; `stopped` are the tasks it was asked to stop."""
    tasks = {report.task: report for report in reply.tasks}
    asked_to_stop = frozenset(stopped)
    reports: list[MemberReport] = []
    expected: set[str] = set()
    for here in members:
        report = tasks.get(here.task)
        state = here.status.state
        if state in ENDED_MEMBERS:
            continue
        expected.add(here.task)
        seen = _seen(here, report, here.task in asked_to_stop)
        if seen is None or seen == state:
            continue
        detail = report.detail if report is not None else "the worker does not have the task"
        checkpoint = report.checkpoint if report is not None else ""
        key = here.job.key
        reports.append(
            MemberReport(
                key[0],
                key[1],
                here.job.attempt,
                here.status.member.worker,
                seen,
                detail,
                checkpoint,
            )
        )
    forget, stop = _unexpected(reply.tasks, expected, view_offset)
    return SyncResult(tuple(reports), forget, stop)


_STATES = {
    TaskState.RUNNING: MemberState.RUNNING,
    TaskState.FINISHED: MemberState.FINISHED,
    TaskState.FAILED: MemberState.FAILED,
    TaskState.STOPPED: MemberState.STOPPED,
    TaskState.LAPSED: MemberState.LOST,
}


def _seen(here: MemberHere, report: TaskReport | None, stopped: bool) -> MemberState | None:
    if report is not None and report.state in _STATES:
        return _STATES[report.state]
    # A refused or unknown task does not run. It is retried until the start bound, and it has
    # ended once the worker was asked to stop it.
    if here.status.state == MemberState.RUNNING:
        return MemberState.LOST
    return MemberState.STOPPED if stopped else None


def _unexpected(
    tasks: Iterable[TaskReport], expected: set[str], view_offset: int
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the ended tasks to forget and the running ones to stop."""
    forget: list[str] = []
    stop: list[str] = []
    for report in tasks:
        if report.task in expected or not report.task.startswith(JOB_TASK_PREFIX):
            continue
        # A placement at or after the view's offset is not folded here yet: another keeper that
        # is further in the log has started it.
        if report.fence >= view_offset:
            continue
        if report.state == TaskState.RUNNING:
            stop.append(report.task)
            continue
        forget.append(report.task)
    return tuple(forget), tuple(stop)
