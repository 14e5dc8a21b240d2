"""Serves non-idempotent requests: each is claimed in the log before it is dispatched.

A claim names the instance that holds it and the worker that gets the request, so that any instance
can find out later whether the request ran.
"""

from collections.abc import Callable

import eventlet

from hornbeamfold.daemon.claim_outcomes import claim_end_event, claim_outcome, query_run_outcome
from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.dispatch import Dispatcher
from hornbeamfold.daemon.follower import Confirm, LogFollower
from hornbeamfold.daemon.slots import Slot
from hornbeamfold.logclient import LogWriter
from hornbeamfold.membership import Freshness
from hornbeamfold.model.errors import Done, ErrorKind, ExecutionStatus, Outcome, Refused
from hornbeamfold.model.events import (
    ClaimMade,
    ClaimMoved,
    ClaimReleased,
    Event,
)
from hornbeamfold.model.invariants import check_invariant
from hornbeamfold.model.timing import CLAIM_RETENTION_MS, LOG_WAIT_MS
from hornbeamfold.model.topology import Worker
from hornbeamfold.model.work import Claim, ClaimState, Request, request_task_id
from hornbeamfold.telemetry import counter, log_decision
from hornbeamfold.workers import (
    NoReply,
    NotSent,
    RunBusy,
    RunDone,
    RunFailed,
    RunOutcome,
    RunRefused,
    WorkerClient,
)

LOOKUP_INTERVAL_MS = 250
MAX_DISPATCH_RECORDS = 10_000

count_claims = counter("hornbeamfold_claims", "Claims on non-idempotent requests by outcome")

Key = tuple[str, str]
VerifyAnswer = Callable[[Request, str, RunDone, str], Outcome]


class ClaimService:
    """Creates, dispatches and ends the claims of this instance."""

    def __init__(
        self,
        incarnation: str,
        follower: LogFollower,
        writer: LogWriter,
        confirm: Confirm,
        freshness: Freshness,
        dispatcher: Dispatcher,
        client: WorkerClient,
        verify_answer: VerifyAnswer,
        clock: Clock,
        wall_clock: Clock,
        draining: Callable[[], bool],
    ) -> None:
        self._incarnation = incarnation
        self._follower = follower
        self._writer = writer
        self._confirm = confirm
        self._freshness = freshness
        self._dispatcher = dispatcher
        self._client = client
        self._verify_answer = verify_answer
        self._clock = clock
        self._wall_clock = wall_clock
        self._draining = draining
        self._serving: set[Key] = set()
        self._dispatched: set[tuple[Key, int]] = set()

    def serve(self, request: Request, digest: str, arrived_ms: int) -> Outcome:
        """Run a non-idempotent request at most once and return its outcome."""
        self._serving.add(request.key)
        try:
            return self._serve(request, digest, arrived_ms)
        finally:
            self._serving.discard(request.key)

    def is_serving(self, key: Key) -> bool:
        """Return whether a call for the request is in progress in this instance."""
        return key in self._serving

    def was_sent(self, claim: Claim) -> bool:
        """Return whether this instance has sent the request of a claim to its worker."""
        return (claim.key, claim.epoch) in self._dispatched

    def _serve(self, request: Request, digest: str, arrived_ms: int) -> Outcome:
        # For a retry the log may hold a claim that has not been applied to this view yet.
        if request.attempt != 1 and not self._confirm(
            arrived_ms, min(LOG_WAIT_MS, self._remaining_ms(request))
        ):
            return Refused(ErrorKind.OUTCOME_UNKNOWN, "The log's end could not be confirmed.")
        if self._wall_clock() > request.deadline_ms + CLAIM_RETENTION_MS:
            return Refused(
                ErrorKind.OUTCOME_UNKNOWN, "The request is older than the claim retention time."
            )
        while True:
            claim = self._follower.view.claims.get(request.key)
            if claim is not None and claim.digest != digest:
                return Refused(
                    ErrorKind.DUPLICATE_REQUEST,
                    f"Request {request.request_id} exists with another body.",
                )
            if claim is not None and claim.state == ClaimState.DONE:
                return claim_outcome(claim)
            if claim is not None and claim.state == ClaimState.OPEN:
                self._release_unsent(request, claim)
                if not self._wait_for_end(request, claim):
                    return Refused(ErrorKind.OUTCOME_UNKNOWN, "The request is still being served.")
                continue
            if self._wall_clock() >= request.deadline_ms:
                return Refused(
                    ErrorKind.DEADLINE_PASSED, "The deadline passed before the request ran."
                )
            outcome = self._claim_and_run(request, digest)
            if outcome is not None:
                return outcome

    def _release_unsent(self, request: Request, claim: Claim) -> None:
        """Release a claim of this instance that an earlier, refused call left open and unsent."""
        if claim.holder != self._incarnation or self.was_sent(claim):
            return
        self._submit_end(
            ClaimReleased(request.organisation, request.request_id, claim.epoch, "never sent")
        )

    def _wait_for_end(self, request: Request, claim: Claim) -> bool:
        """Wait until a claim is no longer open; return False at the deadline or in a drain."""
        while True:
            current = self._follower.view.claims.get(request.key)
            if current is None or current.state != ClaimState.OPEN or current.epoch != claim.epoch:
                return True
            remaining_ms = self._remaining_ms(request)
            # The caller can find the claim through any instance, so a drain does not wait for it.
            if remaining_ms <= 0 or self._draining():
                return False
            self._follower.changed.wait(remaining_ms)

    def _claim_and_run(self, request: Request, digest: str) -> Outcome | None:
        """Claim and dispatch the request; return None if another instance claimed it first."""
        slot = self._dispatcher.acquire(request, frozenset())
        if isinstance(slot, Refused):
            return slot
        event = ClaimMade(
            request.organisation,
            request.request_id,
            digest,
            self._incarnation,
            slot.worker.name,
            request.deadline_ms,
        )
        ticket = self._writer.submit((event,))
        applied = ticket.wait(min(LOG_WAIT_MS, self._remaining_ms(request)))
        if applied is None:
            slot.release()
            # Only the holder of a claim may dispatch the request, and this instance no longer will.
            # If the claim is applied later, the claim resolver releases it.
            ticket.withdraw()
            count_claims(1, outcome="log_unavailable")
            return Refused(
                ErrorKind.LOG_UNAVAILABLE, "The log service did not accept the claim in time."
            )
        if not applied or not applied[0].accepted:
            slot.release()
            return None
        claim = self._follower.view.claims.get(request.key)
        if claim is None or claim.holder != self._incarnation:
            slot.release()
            return None
        return self._dispatch(request, digest, claim, slot)

    def _dispatch(self, request: Request, digest: str, claim: Claim, slot: Slot) -> Outcome | None:
        """Send the request to the worker of the claim; move the claim if it did not run there.

        Returns None if another instance has ended the claim in the meantime.
        """
        tried: set[str] = set()
        while True:
            worker = slot.worker
            refused = self._send_refusal(request)
            if refused is not None:
                slot.release()
                return self._release_claim(request, claim, refused)
            self._check_single_dispatch(claim, worker)
            task = request_task_id(request.key, claim.epoch)
            result = self._dispatcher.run(request, digest, task, slot)
            if isinstance(result, NoReply):
                result = self._resolve_lost_reply(request, worker, task, claim)
            ended = self._end_claim(request, digest, claim, worker, result)
            if ended is not None:
                return ended
            tried.add(worker.name)
            next_slot = self._dispatcher.acquire(request, frozenset(tried))
            if isinstance(next_slot, Refused):
                return self._release_claim(request, claim, next_slot)
            moved = self._move_claim(request, claim, next_slot)
            if not isinstance(moved, Claim):
                next_slot.release()
                return moved
            claim, slot = moved, next_slot

    def _send_refusal(self, request: Request) -> Refused | None:
        if self._wall_clock() >= request.deadline_ms:
            return Refused(
                ErrorKind.DEADLINE_PASSED, "The deadline passed before the request was sent."
            )
        permit = self._freshness.may_start(self._clock())
        if not permit.granted:
            return Refused(ErrorKind.STALE_VIEW, permit.reason)
        return None

    def _check_single_dispatch(self, claim: Claim, worker: Worker) -> None:
        dispatch_key = (claim.key, claim.epoch)
        matches_claim = claim.worker == worker.name and claim.holder == self._incarnation
        check_invariant(
            "I4 dispatched once",
            matches_claim and dispatch_key not in self._dispatched,
            f"{dispatch_key} {worker.name}",
        )
        self._dispatched.add(dispatch_key)
        self._prune_dispatched()

    def _prune_dispatched(self) -> None:
        """Drop dispatch records of claims that are no longer in the view."""
        if len(self._dispatched) <= MAX_DISPATCH_RECORDS:
            return
        claims = self._follower.view.claims
        self._dispatched = {
            dispatch_key for dispatch_key in self._dispatched if dispatch_key[0] in claims
        }

    def _end_claim(
        self, request: Request, digest: str, claim: Claim, worker: Worker, result: RunOutcome
    ) -> Outcome | None:
        """End the claim; return None if the request certainly did not run on this worker."""
        if isinstance(result, RunDone):
            outcome = self._verify_answer(request, digest, result, worker.name)
            self._complete_claim(claim, outcome)
            return outcome
        if isinstance(result, RunFailed):
            outcome = Refused(ErrorKind.FAILED, result.detail)
            self._complete_claim(claim, outcome)
            return outcome
        if isinstance(result, RunBusy | RunRefused | NotSent):
            return None
        # The claim stays open, and the claim resolver keeps querying the worker.
        return Refused(ErrorKind.OUTCOME_UNKNOWN, result.detail)

    def _resolve_lost_reply(
        self, request: Request, worker: Worker, task: str, claim: Claim
    ) -> RunOutcome:
        """Query the worker for the outcome of a request without a reply, until its deadline."""
        while True:
            result = query_run_outcome(self._client, worker, task, claim)
            if result is not None and not isinstance(result, NoReply):
                return result
            # The other instances resolve the claim once this instance has left.
            unreachable = result is not None
            if self._remaining_ms(request) <= 0 or (unreachable and self._draining()):
                return NoReply("The worker did not report whether it ran the request.")
            eventlet.sleep(LOOKUP_INTERVAL_MS / 1_000)

    def _move_claim(self, request: Request, claim: Claim, slot: Slot) -> Claim | Refused | None:
        """Record the next worker in the log before sending to it; return the moved claim."""
        event = ClaimMoved(
            request.organisation,
            request.request_id,
            claim.epoch,
            self._incarnation,
            slot.worker.name,
        )
        ticket = self._writer.submit((event,))
        applied = ticket.wait(min(LOG_WAIT_MS, max(1, self._remaining_ms(request))))
        if applied is None:
            ticket.withdraw()
            # The request ran nowhere, and it will not be sent under this claim any more.
            return Refused(
                ErrorKind.LOG_UNAVAILABLE, "The log service did not accept the moved claim in time."
            )
        current = self._follower.view.claims.get(request.key)
        if applied and applied[0].accepted and current is not None:
            return current
        return None

    def _release_claim(self, request: Request, claim: Claim, refused: Refused) -> Refused:
        """Release a claim whose request certainly did not run."""
        log_decision(
            "route",
            "refuse",
            refused.detail,
            organisation=request.organisation,
            request_id=request.request_id,
            error=refused.kind.value,
        )
        count_claims(1, outcome="released")
        self._submit_end(
            ClaimReleased(request.organisation, request.request_id, claim.epoch, refused.detail)
        )
        return Refused(refused.kind, refused.detail, ExecutionStatus.NOT_RUN)

    def _complete_claim(self, claim: Claim, outcome: Outcome) -> None:
        count_claims(1, outcome="done" if isinstance(outcome, Done) else outcome.kind.value)
        self._submit_end(claim_end_event(claim, outcome))

    def _submit_end(self, event: Event) -> None:
        """Submit without waiting, so that the caller gets the outcome even if the log is down."""
        self._writer.submit((event,))

    def _remaining_ms(self, request: Request) -> int:
        return max(0, request.deadline_ms - self._wall_clock())
