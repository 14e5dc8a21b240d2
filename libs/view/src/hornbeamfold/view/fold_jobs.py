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
from hornbeamfold.view.shapes import spec_fault
from hornbeamfold.view.state import State
from hornbeamfold.view.verdict import Verdict, conflict, invalid, not_found, unknown_organisation


def fold_job_submitted(state: State, event: JobSubmitted) -> Verdict:
    """Queue a job; the same submission again has no second effect."""
    spec = event.spec
    if spec.organisation not in state.organisations:
        return unknown_organisation(spec.organisation)
    fault = spec_fault(spec)
    if fault:
        return invalid(fault)
    before = state.jobs.get(spec.key)
    if before is not None and before.spec != spec:
        return Refused(
            ErrorKind.DUPLICATE_REQUEST, f"job {spec.job_id!r} exists with another specification"
        )
    if before is None:
        state.put_job(Job(spec=spec, submitted_ms=state.at_ms))
    return None


def fold_job_cancelled(state: State, event: JobCancelled) -> Verdict:
    """Cancel a queued job, or stop an active one for good."""
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


def fold_job_placed(state: State, event: JobPlaced) -> Verdict:
    """Give accelerators to a queued job if all of them are free."""
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
        state.capacities.hold(job.key, member)
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


def fold_job_stopping(state: State, event: JobStopping) -> Verdict:
    """Stop an attempt of a job, and reserve the window for the beneficiary if there is one."""
    job = state.jobs.get((event.organisation, event.job_id))
    if job is None:
        return not_found(f"job {event.job_id!r} does not exist")
    if event.reason in (StopReason.NONE, StopReason.CANCEL):
        return invalid(f"{event.reason.value!r} is not a reason for this event")
    if job.attempt != event.attempt:
        return conflict(f"job {event.job_id!r} is at attempt {job.attempt}, not {event.attempt}")
    if job.state not in (JobState.PLACED, JobState.RUNNING):
        return conflict(f"job {event.job_id!r} is {job.state.value}")
    if event.reason is StopReason.START_TIMEOUT and job.state is JobState.RUNNING:
        return conflict(f"all members of job {event.job_id!r} run")
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


def fold_job_judged(state: State, event: JobJudged) -> Verdict:
    """Note whether any topology in service can hold a queued job."""
    job = state.jobs.get((event.organisation, event.job_id))
    if job is None:
        return not_found(f"job {event.job_id!r} does not exist")
    if job.state is not JobState.QUEUED:
        return conflict(f"job {event.job_id!r} is {job.state.value}")
    if job.infeasible != event.infeasible:
        state.put_job(replace(job, infeasible=event.infeasible))
    return None


def _check_beneficiary(state: State, event: JobStopping) -> Verdict:
    beneficiary = event.beneficiary
    assert beneficiary is not None
    if beneficiary not in state.queued:
        return conflict(f"beneficiary {beneficiary[1]!r} is not queued")
    if not event.window:
        return None
    reservation = state.reservations.by_job.get(beneficiary)
    if reservation is not None and reservation.members != event.window:
        # Two instances that chose different windows must not stop the tenants of both.
        return conflict(f"beneficiary {beneficiary[1]!r} has another window reserved")
    return check_window(state, beneficiary, event.window)
