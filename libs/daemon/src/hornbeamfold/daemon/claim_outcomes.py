"""Determines the outcome of a claimed request from its worker and builds the event for it."""

from hornbeamfold.model.errors import Done, ErrorKind, Outcome, Refused
from hornbeamfold.model.events import ClaimDone
from hornbeamfold.model.topology import Worker
from hornbeamfold.model.work import Claim
from hornbeamfold.workers import (
    LookUpReply,
    NoReply,
    RunDone,
    RunFailed,
    RunOutcome,
    RunRefused,
    RunState,
    VoidReply,
    VoidState,
    WorkerClient,
)

LOOKUP_TIMEOUT_MS = 1_000
# Upper bound on the difference between the clocks of workers and of the log service.
CLOCK_SKEW_MS = 5_000
MAX_LOGGED_ANSWER_BYTES = 200 * 1024


def query_run_outcome(
    client: WorkerClient, worker: Worker, task: str, claim: Claim
) -> RunOutcome | None:
    """Look up a task on its worker and void it if it is unknown there; None while it runs."""
    lookup = client.look_up(worker, task, LOOKUP_TIMEOUT_MS)
    if not isinstance(lookup, LookUpReply):
        return NoReply(lookup.detail)
    if lookup.state == RunState.RUNNING:
        return None
    if lookup.state == RunState.FINISHED:
        return RunDone(lookup.answer, lookup.request_id, lookup.digest)
    if lookup.state == RunState.FAILED:
        return RunFailed(lookup.detail)
    voided = client.void(worker, task, LOOKUP_TIMEOUT_MS)
    if not isinstance(voided, VoidReply):
        return NoReply(f"The worker does not know the task: {voided.detail}")
    if voided.state != VoidState.VOIDED:
        return None
    # A worker that lost its task table after the claim may have run the task before that.
    history_complete = 0 <= voided.complete_since_ms < claim.claimed_ms - CLOCK_SKEW_MS
    if not history_complete:
        return NoReply("The worker's task table does not reach back to the time of the claim.")
    return RunRefused()


def claim_outcome(claim: Claim) -> Outcome:
    """Return the outcome that is stored in an ended claim."""
    if claim.kind is None:
        return Done(claim.answer, claim.worker)
    return Refused(claim.kind, claim.detail)


def verify_claim_answer(claim: Claim, done: RunDone) -> Outcome:
    """Return the answer that a worker stored if it belongs to the claim, else a refusal."""
    if done.request_id == claim.request_id and done.digest == claim.digest:
        return Done(done.answer, claim.worker)
    return Refused(ErrorKind.OUTCOME_UNKNOWN, "The worker stored the answer of another request.")


def claim_end_event(claim: Claim, outcome: Outcome) -> ClaimDone:
    """Return the event that records the outcome of a claim."""
    if isinstance(outcome, Refused):
        return ClaimDone(
            claim.organisation, claim.request_id, claim.epoch, "", outcome.kind, outcome.detail
        )
    if len(outcome.answer.encode()) > MAX_LOGGED_ANSWER_BYTES:
        return ClaimDone(
            claim.organisation,
            claim.request_id,
            claim.epoch,
            "",
            ErrorKind.ANSWER_TOO_LARGE,
            f"The answer has more than {MAX_LOGGED_ANSWER_BYTES} bytes.",
        )
    return ClaimDone(claim.organisation, claim.request_id, claim.epoch, outcome.answer)


def unknown_outcome_event(claim: Claim, detail: str) -> ClaimDone:
    """Return the event that ends a claim for which it is unknown whether the request ran."""
    return ClaimDone(
        claim.organisation, claim.request_id, claim.epoch, "", ErrorKind.OUTCOME_UNKNOWN, detail
    )
