"""Applies reports on gang members and the job state transitions that follow from them."""

from dataclasses import replace

from hornbeamfold.model import (
    ACTIVE_JOBS,
    ENDED_MEMBERS,
    Job,
    JobState,
    MemberReport,
    MembersReported,
    MemberState,
    MemberStatus,
    StopReason,
)
from hornbeamfold.view.capacity import EntityKey
from hornbeamfold.view.results import FoldResult, conflict
from hornbeamfold.view.state import State

# A job that failed on this many different workers is taken to be faulty itself and fails for good.
MAX_FAILED_WORKERS = 3
# Ends a job that keeps failing where fewer than three workers have the capacity for it.
MAX_FAILURES = 10


def fold_members_reported(state: State, event: MembersReported) -> FoldResult:
    """Apply the reports that change a member or a checkpoint; refuse the batch if none does."""
    # Reports on one job are applied together, so that the members of a large gang are copied once.
    by_job: dict[EntityKey, list[MemberReport]] = {}
    for report in event.reports:
        by_job.setdefault((report.organisation, report.job_id), []).append(report)
    changed = False
    for key, reports in by_job.items():
        job = state.jobs.get(key)
        if job is None or job.state not in ACTIVE_JOBS:
            continue
        effective = _effective_reports(job, reports)
        if not effective:
            continue
        changed = True
        _put_updated_job(state, _with_reports(job, effective), effective)
    return None if changed else conflict("no report changes an active attempt")


def _effective_reports(job: Job, reports: list[MemberReport]) -> list[MemberReport]:
    """Return the reports that change a member or the checkpoint of the active attempt."""
    states = {status.member.worker: status.state for status in job.members}
    effective = []
    for report in reports:
        if report.attempt != job.attempt or report.worker not in states:
            continue
        before = states[report.worker]
        if before in ENDED_MEMBERS:
            continue
        if before is MemberState.RUNNING and report.state is MemberState.PENDING:
            continue
        if before is report.state and report.checkpoint in ("", job.checkpoint):
            continue
        states[report.worker] = report.state
        effective.append(report)
    return effective


def _with_reports(job: Job, reports: list[MemberReport]) -> Job:
    states = {report.worker: report.state for report in reports}
    checkpoint = job.checkpoint
    for report in reports:
        checkpoint = report.checkpoint or checkpoint
    members = tuple(
        MemberStatus(status.member, states.get(status.member.worker, status.state))
        for status in job.members
    )
    return replace(job, members=members, checkpoint=checkpoint)


def _put_updated_job(state: State, job: Job, reports: list[MemberReport]) -> None:
    """Store the job in the state that follows from the states of its members."""
    states = {status.state for status in job.members}
    if states == {MemberState.FINISHED}:
        _finish(state, job)
        return
    if job.state is not JobState.STOPPING:
        if states & {MemberState.FAILED, MemberState.STOPPED, MemberState.LOST}:
            job = _stop(job, reports, state.at_ms)
        elif job.state is JobState.PLACED and MemberState.PENDING not in states:
            job = replace(job, state=JobState.RUNNING, running_ms=state.at_ms)
    if job.state is JobState.STOPPING and states <= ENDED_MEMBERS:
        _end_stopped(state, job)
        return
    state.put_job(job)


def _stop(job: Job, reports: list[MemberReport], at_ms: int) -> Job:
    """Return the job as stopping because a member failed, was stopped or was lost."""
    stopping = replace(job, state=JobState.STOPPING, stopping_ms=at_ms)
    for report in reports:
        if report.state is not MemberState.FAILED:
            continue
        known = report.worker in job.failed_on
        return replace(
            stopping,
            stop_reason=StopReason.MEMBER_FAILED,
            failures=job.failures + 1,
            failed_on=job.failed_on if known else (*job.failed_on, report.worker),
            detail=report.detail,
        )
    for report in reports:
        if report.state in (MemberState.STOPPED, MemberState.LOST):
            return replace(stopping, stop_reason=StopReason.MEMBER_LOST, detail=report.detail)
    return stopping


def _finish(state: State, job: Job) -> None:
    _release(state, job)
    # A run that resumed from a checkpoint does not measure the full run time.
    if job.attempt == 1 or not job.checkpoint:
        actual_ms = state.at_ms - (job.running_ms or job.placed_ms)
        key = (job.spec.organisation, job.spec.kind)
        state.estimates.observe(key, job.spec.declared_ms, actual_ms)
    state.put_job(replace(job, state=JobState.FINISHED))


def _end_stopped(state: State, job: Job) -> None:
    """Requeue a stopped job unless it was cancelled or has reached a failure limit."""
    _release(state, job)
    if job.cancel_requested:
        state.put_job(replace(job, state=JobState.CANCELLED))
        return
    failure_limit_reached = len(job.failed_on) >= MAX_FAILED_WORKERS or job.failures >= MAX_FAILURES
    if failure_limit_reached and job.stop_reason is StopReason.MEMBER_FAILED:
        state.put_job(replace(job, state=JobState.FAILED))
        return
    state.put_job(
        replace(
            job,
            state=JobState.QUEUED,
            attempt=job.attempt + 1,
            members=(),
            fence=-1,
            placed_ms=0,
            running_ms=0,
            stopping_ms=0,
            stop_reason=StopReason.NONE,
            detail=job.detail or f"stopped: {job.stop_reason.value}",
        )
    )


def _release(state: State, job: Job) -> None:
    for status in job.members:
        state.capacities.release(job.key, status.member)
