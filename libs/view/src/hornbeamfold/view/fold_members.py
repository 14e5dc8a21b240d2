"""Folds reports on gang members and the life cycle of jobs that follows from them."""

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
from hornbeamfold.view.capacity import JobKey
from hornbeamfold.view.state import State
from hornbeamfold.view.verdict import Verdict, conflict

# A job that failed on this many different workers is itself to blame.
MAX_FAILED_WORKERS = 3
# Ends a job that fails again and again where fewer than three workers can hold it.
MAX_FAILURES = 10


def fold_members_reported(state: State, event: MembersReported) -> Verdict:
    """Apply the reports that say something new; refuse the batch if none does."""
    # Reports of one job are applied together, so that a large gang is rebuilt once.
    by_job: dict[JobKey, list[MemberReport]] = {}
    for report in event.reports:
        by_job.setdefault((report.organisation, report.job_id), []).append(report)
    changed = False
    for key, reports in by_job.items():
        job = state.jobs.get(key)
        if job is None or job.state not in ACTIVE_JOBS:
            continue
        news = _news(job, reports)
        if not news:
            continue
        changed = True
        _advance(state, _with_news(job, news), news)
    return None if changed else conflict("no report says anything new of an active attempt")


def _news(job: Job, reports: list[MemberReport]) -> list[MemberReport]:
    """Return the reports that change a member or the checkpoint of the active attempt."""
    states = {status.member.worker: status.state for status in job.members}
    news = []
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
        news.append(report)
    return news


def _with_news(job: Job, news: list[MemberReport]) -> Job:
    states = {report.worker: report.state for report in news}
    checkpoint = job.checkpoint
    for report in news:
        checkpoint = report.checkpoint or checkpoint
    members = tuple(
        MemberStatus(status.member, states.get(status.member.worker, status.state))
        for status in job.members
    )
    return replace(job, members=members, checkpoint=checkpoint)


def _advance(state: State, job: Job, news: list[MemberReport]) -> None:
    """Store the job in the state that follows from its members."""
    states = {status.state for status in job.members}
    if states == {MemberState.FINISHED}:
        _finish(state, job)
        return
    if job.state is not JobState.STOPPING:
        if states & {MemberState.FAILED, MemberState.STOPPED, MemberState.LOST}:
            job = _stop(job, news, state.at_ms)
        elif job.state is JobState.PLACED and MemberState.PENDING not in states:
            job = replace(job, state=JobState.RUNNING, running_ms=state.at_ms)
    if job.state is JobState.STOPPING and states <= ENDED_MEMBERS:
        _end_stopped(state, job)
        return
    state.put_job(job)


def _stop(job: Job, news: list[MemberReport], at_ms: int) -> Job:
    """Stop a job because a member ended without success."""
    stopping = replace(job, state=JobState.STOPPING, stopping_ms=at_ms)
    for report in news:
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
    for report in news:
        if report.state in (MemberState.STOPPED, MemberState.LOST):
            return replace(stopping, stop_reason=StopReason.MEMBER_LOST, detail=report.detail)
    return stopping


def _finish(state: State, job: Job) -> None:
    _release(state, job)
    # A run that continued from a checkpoint says nothing of the whole run time.
    if job.attempt == 1 or not job.checkpoint:
        actual_ms = state.at_ms - (job.running_ms or job.placed_ms)
        key = (job.spec.organisation, job.spec.kind)
        state.estimates.observe(key, job.spec.declared_ms, actual_ms)
    state.put_job(replace(job, state=JobState.FINISHED))


def _end_stopped(state: State, job: Job) -> None:
    """Queue a stopped job again unless it was cancelled or is to blame for its failures."""
    _release(state, job)
    if job.cancel_requested:
        state.put_job(replace(job, state=JobState.CANCELLED))
        return
    blamed = len(job.failed_on) >= MAX_FAILED_WORKERS or job.failures >= MAX_FAILURES
    if blamed and job.stop_reason is StopReason.MEMBER_FAILED:
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
