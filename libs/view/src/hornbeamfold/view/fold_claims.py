"""Folds claims on non-idempotent requests: the first claim in log order wins."""

from dataclasses import replace

from hornbeamfold.model import (
    Claim,
    ClaimDone,
    ClaimMade,
    ClaimMoved,
    ClaimReleased,
    ClaimState,
    ErrorKind,
    Refused,
)
from hornbeamfold.model.timing import MAX_DEADLINE_MS
from hornbeamfold.view.results import FoldResult, conflict, invalid, not_found, unknown_organisation
from hornbeamfold.view.state import State

# The clocks of callers, instances and the log service differ by less than this.
CLOCK_SKEW_MS = 60_000


def fold_claim_made(state: State, event: ClaimMade) -> FoldResult:
    """Claim a request that is not claimed yet or whose claim was released."""
    if event.organisation not in state.organisations:
        return unknown_organisation(event.organisation)
    if not event.request_id or not event.holder:
        return invalid("a claim needs a request id and a holder")
    before = state.claims.get((event.organisation, event.request_id))
    if before is not None and before.digest != event.digest:
        return Refused(
            ErrorKind.DUPLICATE_REQUEST,
            f"request {event.request_id!r} was sent before with another body",
        )
    if before is not None and before.state is not ClaimState.RELEASED:
        return conflict(f"request {event.request_id!r} is claimed by {before.holder}")
    if event.deadline_ms <= state.at_ms:
        return Refused(ErrorKind.DEADLINE_PASSED, "the deadline passed before the claim")
    if event.deadline_ms > state.at_ms + MAX_DEADLINE_MS + CLOCK_SKEW_MS:
        return invalid(f"the deadline is more than {MAX_DEADLINE_MS} ms away")
    refused = _check_worker(state, event.worker)
    if refused is not None:
        return refused
    state.put_claim(
        Claim(
            organisation=event.organisation,
            request_id=event.request_id,
            digest=event.digest,
            holder=event.holder,
            worker=event.worker,
            deadline_ms=event.deadline_ms,
            epoch=1 if before is None else before.epoch + 1,
            fence=state.folding_offset,
            claimed_ms=state.at_ms,
        )
    )
    return None


def fold_claim_moved(state: State, event: ClaimMoved) -> FoldResult:
    """Move an open claim to another worker under a new epoch.

    The new epoch invalidates a release that was decided from a look-up at the previous worker.
    """
    claim = _open_claim(state, event)
    if isinstance(claim, Refused):
        return claim
    if claim.holder != event.holder:
        return conflict(f"the claim is held by {claim.holder}, not by {event.holder}")
    refused = _check_worker(state, event.worker)
    if refused is not None:
        return refused
    state.put_claim(
        replace(claim, worker=event.worker, epoch=claim.epoch + 1, fence=state.folding_offset)
    )
    return None


def fold_claim_done(state: State, event: ClaimDone) -> FoldResult:
    """Complete an open claim with its answer or with an error kind.

    A late answer replaces an unknown outcome of the same epoch.
    """
    claim = _open_claim(state, event, event.kind is not ErrorKind.OUTCOME_UNKNOWN)
    if isinstance(claim, Refused):
        return claim
    state.put_claim(
        replace(
            claim,
            state=ClaimState.DONE,
            answer=event.answer,
            kind=event.kind,
            detail=event.detail,
        )
    )
    return None


def fold_claim_released(state: State, event: ClaimReleased) -> FoldResult:
    """Release an open claim whose request is known not to have run."""
    claim = _open_claim(state, event)
    if isinstance(claim, Refused):
        return claim
    state.put_claim(replace(claim, state=ClaimState.RELEASED, detail=event.detail))
    return None


def _open_claim(
    state: State,
    event: ClaimMoved | ClaimDone | ClaimReleased,
    include_unknown_outcome: bool = False,
) -> Claim | Refused:
    claim = state.claims.get((event.organisation, event.request_id))
    if claim is None:
        return not_found(f"request {event.request_id!r} is not claimed")
    if claim.epoch != event.epoch:
        return conflict(f"the claim has epoch {claim.epoch}, not {event.epoch}")
    if include_unknown_outcome and claim.kind is ErrorKind.OUTCOME_UNKNOWN:
        return claim
    if claim.state is not ClaimState.OPEN:
        return conflict(f"the claim is {claim.state.value}")
    return claim


def _check_worker(state: State, name: str) -> FoldResult:
    capacity = state.capacities.by_name.get(name)
    if capacity is None:
        return not_found(f"worker {name!r} does not exist")
    if not capacity.eligible:
        return conflict(f"worker {name!r} is draining or its availability zone is out of service")
    return None
