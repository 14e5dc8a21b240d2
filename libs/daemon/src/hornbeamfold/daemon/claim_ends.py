"""How claims end: what a worker says of a claimed request, and the events that follow."""

from hornbeamfold.model.errors import Done, ErrorKind, Outcome, Refused
from hornbeamfold.model.events import ClaimDone
from hornbeamfold.model.topology import Worker
from hornbeamfold.model.work import Claim
from hornbeamfold.workers import (
    LookedUp,
    NoReply,
    RunDone,
    RunFailed,
    RunOutcome,
    RunRefused,
    RunState,
    Voided,
    VoidState,
    WorkerClient,
)

LOOK_UP_MS = 1_000
# The clocks of workers and of the log service differ by less than this.
CLOCK_SKEW_MS = 5_000
MAX_LOGGED_ANSWER_BYTES = 200 * 1024


def ask_worker(client: WorkerClient, worker: Worker, task: str, claim: Claim) -> RunOutcome | None:
    """Look a task up and void it if the worker never saw it; None while it runs."""
    seen = client.look_up(worker, task, LOOK_UP_MS)
    if not isinstance(seen, LookedUp):
        return NoReply(seen.detail)
    if seen.state == RunState.RUNNING:
        return None
    if seen.state == RunState.FINISHED:
        return RunDone(seen.answer, seen.request_id, seen.digest)
    if seen.state == RunState.FAILED:
        return RunFailed(seen.detail)
    voided = client.void(worker, task, LOOK_UP_MS)
    if not isinstance(voided, Voided):
        return NoReply(f"The worker does not know the task: {voided.detail}")
    if voided.state != VoidState.VOIDED:
        return None
    # A worker that lost its memory after the claim may have run the task before.
    remembers = 0 <= voided.complete_since_ms < claim.claimed_ms - CLOCK_SKEW_MS
    if not remembers:
        return NoReply("The worker no longer remembers all requests since the claim.")
    return RunRefused()


def claim_outcome(claim: Claim) -> Outcome:
    """Return the outcome that an ended claim holds."""
    if claim.kind is None:
        return Done(claim.answer, claim.worker)
    return Refused(claim.kind, claim.detail)


def checked_claim(claim: Claim, done: RunDone) -> Outcome:
    """Return the answer that a worker kept, if it belongs to the claim."""
    if done.request_id == claim.request_id and done.digest == claim.digest:
        return Done(done.answer, claim.worker)
    return Refused(ErrorKind.OUTCOME_UNKNOWN, "The worker kept the answer of another request.")


def end_event(claim: Claim, outcome: Outcome) -> ClaimDone:
    """Return the event that ends a claim with an outcome."""
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


def unknown_event(claim: Claim, detail: str) -> ClaimDone:
    """Return the event that ends a claim whose request may have run."""
    return ClaimDone(
        claim.organisation, claim.request_id, claim.epoch, "", ErrorKind.OUTCOME_UNKNOWN, detail
    )
