"""Request operations for callers: validation, joining, idempotent serving and answers."""

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b

import eventlet
from eventlet.event import Event

from hornbeamfold.daemon.answers import AnswerStore
from hornbeamfold.daemon.claims import ClaimService
from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.dispatch import Dispatcher
from hornbeamfold.daemon.follower import Confirm, LogFollower
from hornbeamfold.daemon.idempotent import IdempotentService
from hornbeamfold.model.errors import Done, ErrorKind, ExecutionStatus, Outcome, Refused
from hornbeamfold.model.status import CancelState, FoundAnswer, RequestAnswer
from hornbeamfold.model.timing import CLAIM_RETENTION_MS, LOG_WAIT_MS, MAX_DEADLINE_MS
from hornbeamfold.model.work import ClaimState, Request
from hornbeamfold.telemetry import counter, get_logger, histogram

# Requests that fail on this many workers are themselves to blame.
MAX_FAILED_WORKERS = 2
PEER_POLL_MS = 500

logger = get_logger("hornbeamfold.daemon.requests")
count_requests = counter("hornbeamfold_requests", "Requests by outcome")
request_time = histogram("hornbeamfold_request_time", "ms", "Time from arrival to answer")

Key = tuple[str, str]
FindAnswer = Callable[[str, str], FoundAnswer]
CancelElsewhere = Callable[[str, str], CancelState]


@dataclass(frozen=True)
class InFlight:
    """A request that this instance is serving."""

    digest: str
    finished: Event


def body_digest(request: Request) -> str:
    """Return the digest that ties an answer to its request."""
    digest = blake2b(digest_size=16)
    for part in (request.organisation, request.request_id, request.kind, request.body):
        digest.update(len(part.encode()).to_bytes(4, "big"))
        digest.update(part.encode())
    digest.update(b"idempotent" if request.idempotent else b"once")
    return digest.hexdigest()


class RequestService:
    """The requests of one instance."""

    def __init__(
        self,
        follower: LogFollower,
        confirm: Confirm,
        idempotent: IdempotentService,
        dispatcher: Dispatcher,
        claims: ClaimService,
        find_answer: FindAnswer,
        cancel_elsewhere: CancelElsewhere,
        clock: Clock,
        wall: Clock,
        draining: Callable[[], bool],
    ) -> None:
        self._follower = follower
        self._confirm = confirm
        self._idempotent = idempotent
        self._dispatcher = dispatcher
        self._claims = claims
        self._find_answer = find_answer
        self._cancel_elsewhere = cancel_elsewhere
        self._clock = clock
        self._wall = wall
        self._draining = draining
        self._answers = AnswerStore()
        self._in_flight: dict[Key, InFlight] = {}

    @property
    def in_flight(self) -> int:
        """The number of requests being served."""
        return len(self._in_flight)

    def submit(self, request: Request) -> RequestAnswer | Refused:
        """Run a request and return its whole answer, waiting until the deadline at most."""
        arrived = self._clock()
        digest = body_digest(request)
        outcome = self._submit(request, digest, arrived)
        if isinstance(outcome, Refused):
            outcome = self._truthful(request, outcome, arrived)
            count_requests(1, kind=outcome.kind.value)
            logger.info(
                "Request refused",
                extra={
                    "organisation": request.organisation,
                    "request_id": request.request_id,
                    "kind": outcome.kind.value,
                    "ran": outcome.effective_ran.value,
                    "detail": outcome.detail,
                },
            )
            return outcome
        count_requests(1, kind="done")
        request_time(self._clock() - arrived, urgent=str(request.urgent).lower())
        return RequestAnswer(
            request.organisation,
            request.request_id,
            outcome.answer,
            outcome.worker,
            "done",
            digest,
        )

    def get_answer(
        self, organisation: str, request_id: str, wait_ms: int
    ) -> RequestAnswer | Refused:
        """Return the answer of an earlier request, from any instance that knows it."""
        deadline = self._clock() + wait_ms
        key = (organisation, request_id)
        while True:
            found = self.know(organisation, request_id)
            if found.state == "unknown":
                found = self._find_answer(organisation, request_id)
            left = deadline - self._clock()
            if found.state == "done" or left <= 0:
                return self._found(key, found)
            self._follower.changed.wait(min(left, PEER_POLL_MS))

    def cancel(self, organisation: str, request_id: str) -> Refused | None:
        """Cancel a request that was not dispatched, wherever it waits; None if it was cancelled."""
        state = self.cancel_here(organisation, request_id)
        if state == CancelState.UNKNOWN:
            state = self._cancel_elsewhere(organisation, request_id)
        if state == CancelState.CANCELLED:
            return None
        if state == CancelState.DISPATCHED:
            return Refused(
                ErrorKind.CONFLICT, "The request was dispatched already.", ExecutionStatus.UNKNOWN
            )
        return Refused(
            ErrorKind.NOT_FOUND,
            "No instance that answers is serving the request.",
            ExecutionStatus.UNKNOWN,
        )

    def cancel_here(self, organisation: str, request_id: str) -> CancelState:
        """Cancel a request if it waits in this instance."""
        key = (organisation, request_id)
        if self._dispatcher.cancel(key):
            return CancelState.CANCELLED
        if key in self._in_flight or key in self._follower.view.open_claims:
            return CancelState.DISPATCHED
        return CancelState.UNKNOWN

    def hand_over(self) -> int:
        """End the wait of all callers at the bound of a stop; return how many there were.

        The other instances find the outcome of a claimed request on its worker; an idempotent one
        can be sent again.
        """
        waiting = [flight for flight in self._in_flight.values() if not flight.finished.ready()]
        for flight in waiting:
            flight.finished.send(
                Refused(
                    ErrorKind.OUTCOME_UNKNOWN,
                    "The instance stops before the request has ended; ask for the answer, or send "
                    "it again with a larger attempt, through another instance.",
                )
            )
        return len(waiting)

    def know(self, organisation: str, request_id: str) -> FoundAnswer:
        """Return what this instance knows of a request, without asking others."""
        key = (organisation, request_id)
        claim = self._follower.view.claims.get(key)
        if claim is not None and claim.state == ClaimState.DONE:
            kind = claim.kind.value if claim.kind is not None else ""
            return FoundAnswer("done", claim.digest, claim.answer, claim.worker, kind, claim.detail)
        kept = self._answers.get(key, self._clock())
        if kept is not None:
            return _known(kept.digest, kept.outcome)
        flight = self._in_flight.get(key)
        if flight is not None:
            return FoundAnswer("running", flight.digest)
        if claim is not None and claim.state == ClaimState.OPEN:
            return FoundAnswer("running", claim.digest, worker=claim.worker)
        return FoundAnswer("unknown")

    def _submit(self, request: Request, digest: str, arrived: int) -> Outcome:
        refused = self._check(request)
        if refused is not None:
            return refused
        flight = self._in_flight.get(request.key)
        if flight is not None:
            return self._join(request, digest, flight)
        kept = self._answers.get(request.key, self._clock())
        if kept is not None and not isinstance(kept.outcome, Refused):
            return kept.outcome if kept.digest == digest else _duplicate(request)
        flight = InFlight(digest, Event())
        self._in_flight[request.key] = flight
        eventlet.spawn(self._serve_flight, request, arrived, flight)
        return flight.finished.wait()

    def _serve_flight(self, request: Request, arrived: int, flight: InFlight) -> None:
        """Serve a request and tell all who wait for it, unless the instance stopped before."""
        outcome: Outcome = Refused(ErrorKind.INTERNAL, "The request ended without an outcome.")
        try:
            outcome = self._serve(request, flight.digest, arrived)
        except Exception:
            logger.exception("A request failed", extra={"request_id": request.request_id})
        finally:
            del self._in_flight[request.key]
        if request.idempotent:
            self._answers.put(request.key, flight.digest, outcome, self._clock())
        if not flight.finished.ready():
            flight.finished.send(outcome)

    def _serve(self, request: Request, digest: str, arrived: int) -> Outcome:
        if self._wall() >= request.deadline_ms and request.idempotent:
            return Refused(ErrorKind.DEADLINE_PASSED, "The deadline was over at arrival.")
        if not request.idempotent:
            return self._claims.serve(request, digest, arrived)
        if request.attempt != 1:
            found = self._find_answer(request.organisation, request.request_id)
            if found.state == "done" and not found.kind:
                if found.digest != digest:
                    return _duplicate(request)
                return Done(found.answer, found.worker)
        return self._idempotent.serve(request, digest)

    def _check(self, request: Request) -> Refused | None:
        if self._draining():
            return Refused(ErrorKind.DRAINING, "This instance is shutting down.")
        if not self._follower.ready:
            return Refused(ErrorKind.STALE_VIEW, "This instance has not read the log yet.")
        if request.organisation not in self._follower.view.organisations:
            return Refused(
                ErrorKind.UNKNOWN_ORGANISATION, f"No organisation {request.organisation} is known."
            )
        if request.deadline_ms > self._wall() + MAX_DEADLINE_MS:
            return Refused(ErrorKind.INVALID, "deadline_ms is more than one hour ahead.")
        return None

    def _join(self, request: Request, digest: str, flight: InFlight) -> Outcome:
        """Wait for the outcome of the same request that is being served already."""
        if flight.digest != digest:
            return _duplicate(request)
        with eventlet.Timeout(max(0, request.deadline_ms - self._wall()) / 1_000, False):
            return flight.finished.wait()
        return Refused(ErrorKind.OUTCOME_UNKNOWN, "The request is still being served.")

    def _found(self, key: Key, found: FoundAnswer) -> RequestAnswer | Refused:
        if found.state == "unknown":
            return Refused(
                ErrorKind.NOT_FOUND,
                "No instance that answers knows this request.",
                ExecutionStatus.UNKNOWN,
            )
        if found.state == "done" and found.kind:
            ran = ExecutionStatus(found.ran) if found.ran else None
            return Refused(ErrorKind(found.kind), found.detail, ran)
        return RequestAnswer(key[0], key[1], found.answer, found.worker, found.state, found.digest)

    def _truthful(self, request: Request, refused: Refused, arrived: int) -> Refused:
        """Say "not run" only where this instance can know it.

        An earlier attempt may have run elsewhere. For a first attempt nothing else was sent; for
        a later one a view confirmed after its arrival must hold no claim.
        """
        if refused.effective_ran != ExecutionStatus.NOT_RUN or request.attempt == 1:
            return refused
        if refused.kind in (ErrorKind.INVALID, ErrorKind.DUPLICATE_REQUEST):
            return Refused(refused.kind, refused.detail, ExecutionStatus.UNKNOWN)
        if not request.idempotent and self._never_claimed(request, arrived):
            return refused
        return Refused(
            ErrorKind.OUTCOME_UNKNOWN,
            f"Refused here ({refused.kind.value}: {refused.detail}), "
            "but an earlier attempt may have run.",
        )

    def _never_claimed(self, request: Request, arrived: int) -> bool:
        if self._wall() > request.deadline_ms + CLAIM_RETENTION_MS:
            return False
        if not self._confirm(arrived, LOG_WAIT_MS):
            return False
        claim = self._follower.view.claims.get(request.key)
        return claim is None or claim.state == ClaimState.RELEASED


def _known(digest: str, outcome: Outcome) -> FoundAnswer:
    if isinstance(outcome, Refused):
        return FoundAnswer(
            "done",
            digest,
            kind=outcome.kind.value,
            detail=outcome.detail,
            ran=outcome.effective_ran.value,
        )
    return FoundAnswer("done", digest, outcome.answer, outcome.worker)


def _duplicate(request: Request) -> Refused:
    return Refused(
        ErrorKind.DUPLICATE_REQUEST,
        f"Request {request.request_id} exists with another body.",
    )
