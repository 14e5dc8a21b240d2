"""Non-idempotent requests: claimed in the log before their dispatch."""

from collections.abc import Callable

import eventlet

from hornbeamfold.daemon.claim_ends import ask_worker, claim_outcome, end_event
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

LOOK_UP_PAUSE_MS = 250
MAX_DISPATCHED = 10_000

count_claims = counter("hornbeamfold_claims", "Claims on non-idempotent requests by outcome")

Key = tuple[str, str]
CheckAnswer = Callable[[Request, str, RunDone, str], Outcome]


class ClaimService:
    """The claims that this instance holds."""

    def __init__(
        self,
        incarnation: str,
        follower: LogFollower,
        writer: LogWriter,
        confirm: Confirm,
        freshness: Freshness,
        dispatcher: Dispatcher,
        client: WorkerClient,
        check_answer: CheckAnswer,
        clock: Clock,
        wall: Clock,
        draining: Callable[[], bool],
    ) -> None:
        self._incarnation = incarnation
        self._follower = follower
        self._writer = writer
        self._confirm = confirm
        self._freshness = freshness
        self._dispatcher = dispatcher
        self._client = client
        self._check_answer = check_answer
        self._clock = clock
        self._wall = wall
        self._draining = draining
        self._serving: set[Key] = set()
        self._dispatched: set[tuple[Key, int]] = set()

    def serve(self, request: Request, digest: str, arrived: int) -> Outcome:
        """Return the answer of a non-idempotent request, running it at most once."""
        self._serving.add(request.key)
        try:
            return self._serve(request, digest, arrived)
        finally:
            self._serving.discard(request.key)

    def is_serving(self, key: Key) -> bool:
        """Return whether a call for the request is under way here."""
        return key in self._serving

    def was_sent(self, claim: Claim) -> bool:
        """Return whether this instance sent the request under the claim."""
        return (claim.key, claim.epoch) in self._dispatched

    def _serve(self, request: Request, digest: str, arrived: int) -> Outcome:
        # A retry may follow a claim that this view has not folded yet.
        if request.attempt != 1 and not self._confirm(
            arrived, min(LOG_WAIT_MS, self._left(request))
        ):
            return Refused(ErrorKind.OUTCOME_UNKNOWN, "The log's end could not be confirmed.")
        if self._wall() > request.deadline_ms + CLAIM_RETENTION_MS:
            return Refused(ErrorKind.OUTCOME_UNKNOWN, "The request is older than claims are kept.")
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
            if self._wall() >= request.deadline_ms:
                return Refused(ErrorKind.DEADLINE_PASSED, "The deadline passed before it ran.")
            outcome = self._claim_and_run(request, digest)
            if outcome is not None:
                return outcome

    def _release_unsent(self, request: Request, claim: Claim) -> None:
        """Release an own claim that an earlier, refused call left behind without sending it."""
        if claim.holder != self._incarnation or self.was_sent(claim):
            return
        self._write_end(
            ClaimReleased(request.organisation, request.request_id, claim.epoch, "never sent")
        )

    def _wait_for_end(self, request: Request, claim: Claim) -> bool:
        """Wait until a claim is no longer open; return False once the deadline has passed."""
        while True:
            present = self._follower.view.claims.get(request.key)
            if present is None or present.state != ClaimState.OPEN or present.epoch != claim.epoch:
                return True
            left = self._left(request)
            # The caller finds the claim through any instance, so a drain need not wait for it.
            if left <= 0 or self._draining():
                return False
            self._follower.changed.wait(left)

    def _claim_and_run(self, request: Request, digest: str) -> Outcome | None:
        """Claim, dispatch and return the outcome; None if another instance claimed first."""
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
        applied = ticket.wait(min(LOG_WAIT_MS, self._left(request)))
        if applied is None:
            slot.release()
            # Only this instance may dispatch under its claim, and it will not: a claim that is
            # folded later is released by the resolving loop.
            ticket.withdraw()
            count_claims(1, outcome="log_unavailable")
            return Refused(ErrorKind.LOG_UNAVAILABLE, "The log service did not take the claim.")
        if not applied or not applied[0].accepted:
            slot.release()
            return None
        claim = self._follower.view.claims.get(request.key)
        if claim is None or claim.holder != self._incarnation:
            slot.release()
            return None
        return self._dispatch(request, digest, claim, slot)

    def _dispatch(self, request: Request, digest: str, claim: Claim, slot: Slot) -> Outcome | None:
        """Send the request to the worker that the claim names; move the claim if it did not run.

        Returns None if another instance has ended the claim meanwhile.
        """
        tried: set[str] = set()
        while True:
            worker = slot.worker
            refused = self._may_send(request)
            if refused is not None:
                slot.release()
                return self._release(request, claim, refused)
            self._check_once(claim, worker)
            task = request_task_id(request.key, claim.epoch)
            result = self._dispatcher.run(request, digest, task, slot)
            if isinstance(result, NoReply):
                result = self._ask(request, worker, task, claim)
            ended = self._ended(request, digest, claim, worker, result)
            if ended is not None:
                return ended
            tried.add(worker.name)
            next_slot = self._dispatcher.acquire(request, frozenset(tried))
            if isinstance(next_slot, Refused):
                return self._release(request, claim, next_slot)
            moved = self._move(request, claim, next_slot)
            if not isinstance(moved, Claim):
                next_slot.release()
                return moved
            claim, slot = moved, next_slot

    def _may_send(self, request: Request) -> Refused | None:
        if self._wall() >= request.deadline_ms:
            return Refused(ErrorKind.DEADLINE_PASSED, "The deadline passed before it was sent.")
        permit = self._freshness.may_start(self._clock())
        if not permit.granted:
            return Refused(ErrorKind.STALE_VIEW, permit.reason)
        return None

    def _check_once(self, claim: Claim, worker: Worker) -> None:
        mark = (claim.key, claim.epoch)
        named = claim.worker == worker.name and claim.holder == self._incarnation
        check_invariant(
            "I4 dispatched once", named and mark not in self._dispatched, f"{mark} {worker.name}"
        )
        self._dispatched.add(mark)
        self._forget_expired()

    def _forget_expired(self) -> None:
        """Drop what belongs to claims that the view no longer keeps."""
        if len(self._dispatched) <= MAX_DISPATCHED:
            return
        claims = self._follower.view.claims
        self._dispatched = {mark for mark in self._dispatched if mark[0] in claims}

    def _ended(
        self, request: Request, digest: str, claim: Claim, worker: Worker, result: RunOutcome
    ) -> Outcome | None:
        """Write the end of a claim; None if the request certainly did not run on this worker."""
        if isinstance(result, RunDone):
            outcome = self._check_answer(request, digest, result, worker.name)
            self._finish(claim, outcome)
            return outcome
        if isinstance(result, RunFailed):
            outcome = Refused(ErrorKind.FAILED, result.detail)
            self._finish(claim, outcome)
            return outcome
        if isinstance(result, RunBusy | RunRefused | NotSent):
            return None
        # The claim stays open: the resolving loop goes on asking the worker.
        return Refused(ErrorKind.OUTCOME_UNKNOWN, result.detail)

    def _ask(self, request: Request, worker: Worker, task: str, claim: Claim) -> RunOutcome:
        """Find out what became of a request whose reply was lost, until its deadline."""
        while True:
            result = ask_worker(self._client, worker, task, claim)
            if result is not None and not isinstance(result, NoReply):
                return result
            # The others resolve the claim once this instance has left.
            unreachable = result is not None
            if self._left(request) <= 0 or (unreachable and self._draining()):
                return NoReply("The worker did not say whether it ran the request.")
            eventlet.sleep(LOOK_UP_PAUSE_MS / 1_000)

    def _move(self, request: Request, claim: Claim, slot: Slot) -> Claim | Refused | None:
        """Make the next worker durable before it gets the request; return the moved claim."""
        event = ClaimMoved(
            request.organisation,
            request.request_id,
            claim.epoch,
            self._incarnation,
            slot.worker.name,
        )
        ticket = self._writer.submit((event,))
        applied = ticket.wait(min(LOG_WAIT_MS, max(1, self._left(request))))
        if applied is None:
            ticket.withdraw()
            # It ran nowhere, and nothing will be sent under this claim any more.
            return Refused(ErrorKind.LOG_UNAVAILABLE, "The log service did not take the move.")
        present = self._follower.view.claims.get(request.key)
        if applied and applied[0].accepted and present is not None:
            return present
        return None

    def _release(self, request: Request, claim: Claim, refused: Refused) -> Refused:
        """End a claim whose request certainly did not run."""
        log_decision(
            "route",
            "refuse",
            refused.detail,
            organisation=request.organisation,
            request_id=request.request_id,
            error=refused.kind.value,
        )
        count_claims(1, outcome="released")
        self._write_end(
            ClaimReleased(request.organisation, request.request_id, claim.epoch, refused.detail)
        )
        return Refused(refused.kind, refused.detail, ExecutionStatus.NOT_RUN)

    def _finish(self, claim: Claim, outcome: Outcome) -> None:
        count_claims(1, outcome="done" if isinstance(outcome, Done) else outcome.kind.value)
        self._write_end(end_event(claim, outcome))

    def _write_end(self, event: Event) -> None:
        """Append without waiting: the caller gets the outcome even if the log is down."""
        self._writer.submit((event,))

    def _left(self, request: Request) -> int:
        return max(0, request.deadline_ms - self._wall())
