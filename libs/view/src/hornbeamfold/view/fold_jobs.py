"""Folds decisions on jobs: submission, placement, stop, cancellation and feasibility."""

from dataclasses import replace

from hornbeamfold.model import (
    ENDED_JOBS,
    ErrorKind,
    Job,
    JobCancelled,
    JobJudged,
    JobPlaced,
    JobState,
    JobStopping,
    JobSubmitted,
    MemberStatus,
    Refused,
    Reservation,
    StopReason,
)
from hornbeamfold.model.timing import RESERVATION_MS
from hornbeamfold.view.placement_check import check_placement, check_window
from hornbeamfold.view.results import FoldResult, conflict, invalid, not_found, unknown_organisation
from hornbeamfold.view.state import State
from hornbeamfold.view.validation import validate_spec


def fold_job_submitted(state: State, event: JobSubmitted) -> FoldResult:
    """Queue a job; repeating the same submission has no effect."""
    spec = event.spec
    if spec.organisation not in state.organisations:
        return unknown_organisation(spec.organisation)
    problem = validate_spec(spec)
    if problem:
        return invalid(problem)
    before = state.jobs.get(spec.key)
    if before is not None and before.spec != spec:
        return Refused(
            ErrorKind.DUPLICATE_REQUEST, f"job {spec.job_id!r} exists with another specification"
        )
    if before is None:
        state.put_job(Job(spec=spec, submitted_ms=state.at_ms))
    return None


def fold_job_cancelled(state: State, event: JobCancelled) -> FoldResult:
    """Cancel a queued job, or stop an active one so that it is not queued again."""
    job = state.jobs.get((event.organisation, event.job_id))
    if job is None:
        return not_found(f"job {event.job_id!r} does not exist")
    if job.state is JobState.CANCELLED:
        return None
    if job.state in ENDED_JOBS:
        return conflict(f"job {event.job_id!r} is {job.state.value}")
    if job.state is JobState.QUEUED:
        state.reservations.drop(job.key)
        state.put_job(replace(job, state=JobState.CANCELLED, cancel_requested=True))
        return None
    if job.state is JobState.STOPPING:
        state.put_job(replace(job, cancel_requested=True))
        return None
    state.put_job(
        replace(
            job,
            state=JobState.STOPPING,
            stopping_ms=state.at_ms,
            stop_reason=StopReason.CANCEL,
            cancel_requested=True,
        )
    )
    return None


def fold_job_placed(state: State, event: JobPlaced) -> FoldResult:
    """Place a queued job if everything that its members need is free."""
    job = state.jobs.get((event.organisation, event.job_id))
    if job is None:
        return not_found(f"job {event.job_id!r} does not exist")
    if job.state is not JobState.QUEUED:
        return conflict(f"job {event.job_id!r} is {job.state.value}")
    if job.attempt != event.attempt:
        return conflict(f"job {event.job_id!r} is at attempt {job.attempt}, not {event.attempt}")
    refused = check_placement(state, job.spec, event.members)
    if refused is not None:
        return refused
    state.reservations.drop(job.key)
    for member in event.members:
        state.capacities.allocate(job.key, member)
    state.put_job(
        replace(
            job,
            state=JobState.PLACED,
            members=tuple(MemberStatus(member) for member in event.members),
            fence=state.folding_offset,
            placed_ms=state.at_ms,
            infeasible="",
            detail="",
        )
    )
    return None


def fold_job_stopping(state: State, event: JobStopping) -> FoldResult:
    """Stop an attempt of a job, and reserve the window for the beneficiary if there is one."""
    job = state.jobs.get((event.organisation, event.job_id))
    if job is None:
        return not_found(f"job {event.job_id!r} does not exist")
    if event.reason in (StopReason.NONE, StopReason.CANCEL):
        return invalid(f"{event.reason.value!r} is not a valid reason to stop an attempt")
    if job.attempt != event.attempt:
        return conflict(f"job {event.job_id!r} is at attempt {job.attempt}, not {event.attempt}")
    if job.state not in (JobState.PLACED, JobState.RUNNING):
        return conflict(f"job {event.job_id!r} is {job.state.value}")
    if event.reason is StopReason.START_TIMEOUT and job.state is JobState.RUNNING:
        return conflict(f"all members of job {event.job_id!r} are running")
    if event.beneficiary is not None:
        refused = _check_beneficiary(state, event)
        if refused is not None:
            return refused
    if event.beneficiary is not None and event.window:
        until_ms = state.at_ms + RESERVATION_MS
        state.reservations.put(Reservation(event.beneficiary, event.window, until_ms))
    state.put_job(
        replace(
            job,
            state=JobState.STOPPING,
            stopping_ms=state.at_ms,
            stop_reason=event.reason,
        )
    )
    return None


def fold_job_judged(state: State, event: JobJudged) -> FoldResult:
    """Record whether the topology in service can hold a queued job at all."""
    job = state.jobs.get((event.organisation, event.job_id))
    if job is None:
        return not_found(f"job {event.job_id!r} does not exist")
    if job.state is not JobState.QUEUED:
        return conflict(f"job {event.job_id!r} is {job.state.value}")
    if job.infeasible != event.infeasible:
        state.put_job(replace(job, infeasible=event.infeasible))
    return None


def _check_beneficiary(state: State, event: JobStopping) -> FoldResult:
    beneficiary = event.beneficiary
    assert beneficiary is not None
    if beneficiary not in state.queued:
        return conflict(f"beneficiary {beneficiary[1]!r} is not queued")
    if not event.window:
        return None
    reservation = state.reservations.by_job.get(beneficiary)
    if reservation is not None and reservation.members != event.window:
        # If two instances choose different windows, the jobs in only one of them may be stopped.
        return conflict(f"beneficiary {beneficiary[1]!r} has another window reserved")
    return check_window(state, beneficiary, event.window)
