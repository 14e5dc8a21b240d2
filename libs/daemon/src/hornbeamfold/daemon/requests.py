"""Request operations for callers: validation, joining of duplicates, serving and answers."""

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b

import eventlet
from eventlet.event import Event

from hornbeamfold.daemon.answers import AnswerCache
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

# A request that fails on this many workers is considered faulty itself and is not retried.
MAX_FAILED_WORKERS = 2
PEER_POLL_MS = 500

logger = get_logger("hornbeamfold.daemon.requests")
count_requests = counter("hornbeamfold_requests", "Requests by outcome")
request_time = histogram("hornbeamfold_request_time", "ms", "Time from arrival to answer")

Key = tuple[str, str]
FindAnswer = Callable[[str, str], FoundAnswer]
CancelOnPeers = Callable[[str, str], CancelState]


@dataclass(frozen=True)
class InFlightRequest:
    """A request that this instance is serving, and the event that is sent its outcome."""

    digest: str
    finished: Event


def body_digest(request: Request) -> str:
    """Return the digest by which an answer is matched to its request."""
    digest = blake2b(digest_size=16)
    for part in (request.organisation, request.request_id, request.kind, request.body):
        digest.update(len(part.encode()).to_bytes(4, "big"))
        digest.update(part.encode())
    digest.update(b"idempotent" if request.idempotent else b"once")
    return digest.hexdigest()


class RequestService:
    """Serves the requests of one instance."""

    def __init__(
        self,
        follower: LogFollower,
        confirm: Confirm,
        idempotent: IdempotentService,
        dispatcher: Dispatcher,
        claims: ClaimService,
        find_on_peers: FindAnswer,
        cancel_on_peers: CancelOnPeers,
        clock: Clock,
        wall_clock: Clock,
        draining: Callable[[], bool],
    ) -> None:
        self._follower = follower
        self._confirm = confirm
        self._idempotent = idempotent
        self._dispatcher = dispatcher
        self._claims = claims
        self._find_on_peers = find_on_peers
        self._cancel_on_peers = cancel_on_peers
        self._clock = clock
        self._wall_clock = wall_clock
        self._draining = draining
        self._answers = AnswerCache()
        self._in_flight: dict[Key, InFlightRequest] = {}

    @property
    def in_flight(self) -> int:
        """The number of requests being served."""
        return len(self._in_flight)

    def submit(self, request: Request) -> RequestAnswer | Refused:
        """Run a request and return its whole answer, waiting at most until the deadline."""
        arrived_ms = self._clock()
        digest = body_digest(request)
        outcome = self._submit(request, digest, arrived_ms)
        if isinstance(outcome, Refused):
            outcome = self._verify_not_run(request, outcome, arrived_ms)
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
        request_time(self._clock() - arrived_ms, urgent=str(request.urgent).lower())
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
        """Return the answer of an earlier request, also if another instance served it."""
        deadline = self._clock() + wait_ms
        key = (organisation, request_id)
        while True:
            found = self.local_answer(organisation, request_id)
            if found.state == "unknown":
                found = self._find_on_peers(organisation, request_id)
            remaining_ms = deadline - self._clock()
            if found.state == "done" or remaining_ms <= 0:
                return self._to_request_answer(key, found)
            self._follower.changed.wait(min(remaining_ms, PEER_POLL_MS))

    def cancel(self, organisation: str, request_id: str) -> Refused | None:
        """Cancel a request that is queued in any instance; return None if it was cancelled."""
        state = self.cancel_local(organisation, request_id)
        if state == CancelState.UNKNOWN:
            state = self._cancel_on_peers(organisation, request_id)
        if state == CancelState.CANCELLED:
            return None
        if state == CancelState.DISPATCHED:
            return Refused(
                ErrorKind.CONFLICT,
                "The request has already been dispatched.",
                ExecutionStatus.UNKNOWN,
            )
        return Refused(
            ErrorKind.NOT_FOUND,
            "No reachable instance is serving the request.",
            ExecutionStatus.UNKNOWN,
        )

    def cancel_local(self, organisation: str, request_id: str) -> CancelState:
        """Cancel a request if it is queued in this instance."""
        key = (organisation, request_id)
        if self._dispatcher.cancel(key):
            return CancelState.CANCELLED
        if key in self._in_flight or key in self._follower.view.open_claims:
            return CancelState.DISPATCHED
        return CancelState.UNKNOWN

    def release_callers(self) -> int:
        """Answer all waiting callers before the instance stops; return their number.

        Other instances can query the outcome of a claimed request from its worker, and an
        idempotent request can be sent again.
        """
        waiting = [
            in_flight for in_flight in self._in_flight.values() if not in_flight.finished.ready()
        ]
        for in_flight in waiting:
            in_flight.finished.send(
                Refused(
                    ErrorKind.OUTCOME_UNKNOWN,
                    "The instance is stopping before the request has ended; get the answer from "
                    "another instance, or send the request to one again with a larger attempt.",
                )
            )
        return len(waiting)

    def local_answer(self, organisation: str, request_id: str) -> FoundAnswer:
        """Return what this instance knows of a request, without querying peers."""
        key = (organisation, request_id)
        claim = self._follower.view.claims.get(key)
        if claim is not None and claim.state == ClaimState.DONE:
            kind = claim.kind.value if claim.kind is not None else ""
            return FoundAnswer("done", claim.digest, claim.answer, claim.worker, kind, claim.detail)
        cached = self._answers.get(key, self._clock())
        if cached is not None:
            return _to_found_answer(cached.digest, cached.outcome)
        in_flight = self._in_flight.get(key)
        if in_flight is not None:
            return FoundAnswer("running", in_flight.digest)
        if claim is not None and claim.state == ClaimState.OPEN:
            return FoundAnswer("running", claim.digest, worker=claim.worker)
        return FoundAnswer("unknown")

    def _submit(self, request: Request, digest: str, arrived_ms: int) -> Outcome:
        refused = self._check_preconditions(request)
        if refused is not None:
            return refused
        in_flight = self._in_flight.get(request.key)
        if in_flight is not None:
            return self._join(request, digest, in_flight)
        cached = self._answers.get(request.key, self._clock())
        if cached is not None and not isinstance(cached.outcome, Refused):
            return cached.outcome if cached.digest == digest else _duplicate(request)
        in_flight = InFlightRequest(digest, Event())
        self._in_flight[request.key] = in_flight
        eventlet.spawn(self._serve_in_flight, request, arrived_ms, in_flight)
        return in_flight.finished.wait()

    def _serve_in_flight(
        self, request: Request, arrived_ms: int, in_flight: InFlightRequest
    ) -> None:
        """Serve a request and send its outcome to all callers, unless they were released before."""
        outcome: Outcome = Refused(ErrorKind.INTERNAL, "The request ended without an outcome.")
        try:
            outcome = self._serve(request, in_flight.digest, arrived_ms)
        except Exception:
            logger.exception("A request failed", extra={"request_id": request.request_id})
        finally:
            del self._in_flight[request.key]
        if request.idempotent:
            self._answers.put(request.key, in_flight.digest, outcome, self._clock())
        if not in_flight.finished.ready():
            in_flight.finished.send(outcome)

    def _serve(self, request: Request, digest: str, arrived_ms: int) -> Outcome:
        if self._wall_clock() >= request.deadline_ms and request.idempotent:
            return Refused(ErrorKind.DEADLINE_PASSED, "The deadline had passed at arrival.")
        if not request.idempotent:
            return self._claims.serve(request, digest, arrived_ms)
        if request.attempt != 1:
            found = self._find_on_peers(request.organisation, request.request_id)
            if found.state == "done" and not found.kind:
                if found.digest != digest:
                    return _duplicate(request)
                return Done(found.answer, found.worker)
        return self._idempotent.serve(request, digest)

    def _check_preconditions(self, request: Request) -> Refused | None:
        if self._draining():
            return Refused(ErrorKind.DRAINING, "This instance is shutting down.")
        if not self._follower.ready:
            return Refused(ErrorKind.STALE_VIEW, "This instance has not read the log yet.")
        if request.organisation not in self._follower.view.organisations:
            return Refused(
                ErrorKind.UNKNOWN_ORGANISATION, f"No organisation {request.organisation} is known."
            )
        if request.deadline_ms > self._wall_clock() + MAX_DEADLINE_MS:
            return Refused(ErrorKind.INVALID, "deadline_ms is more than one hour ahead.")
        return None

    def _join(self, request: Request, digest: str, in_flight: InFlightRequest) -> Outcome:
        """Wait for the outcome of the same request, which is already being served."""
        if in_flight.digest != digest:
            return _duplicate(request)
        with eventlet.Timeout(max(0, request.deadline_ms - self._wall_clock()) / 1_000, False):
            return in_flight.finished.wait()
        return Refused(ErrorKind.OUTCOME_UNKNOWN, "The request is still being served.")

    def _to_request_answer(self, key: Key, found: FoundAnswer) -> RequestAnswer | Refused:
        if found.state == "unknown":
            return Refused(
                ErrorKind.NOT_FOUND,
                "No reachable instance knows this request.",
                ExecutionStatus.UNKNOWN,
            )
        if found.state == "done" and found.kind:
            ran = ExecutionStatus(found.ran) if found.ran else None
            return Refused(ErrorKind(found.kind), found.detail, ran)
        return RequestAnswer(key[0], key[1], found.answer, found.worker, found.state, found.digest)

    def _verify_not_run(self, request: Request, refused: Refused, arrived_ms: int) -> Refused:
        """Report "not run" only if this instance can be certain of it.

        Before a first attempt nothing was sent. An earlier attempt may have run through another
        instance, so for a retry a view confirmed after its arrival must hold no claim.
        """
        if refused.effective_ran != ExecutionStatus.NOT_RUN or request.attempt == 1:
            return refused
        if refused.kind in (ErrorKind.INVALID, ErrorKind.DUPLICATE_REQUEST):
            return Refused(refused.kind, refused.detail, ExecutionStatus.UNKNOWN)
        if not request.idempotent and self._never_claimed(request, arrived_ms):
            return refused
        return Refused(
            ErrorKind.OUTCOME_UNKNOWN,
            f"Refused here ({refused.kind.value}: {refused.detail}), "
            "but an earlier attempt may have run.",
        )

    def _never_claimed(self, request: Request, arrived_ms: int) -> bool:
        if self._wall_clock() > request.deadline_ms + CLAIM_RETENTION_MS:
            return False
        if not self._confirm(arrived_ms, LOG_WAIT_MS):
            return False
        claim = self._follower.view.claims.get(request.key)
        return claim is None or claim.state == ClaimState.RELEASED


def _to_found_answer(digest: str, outcome: Outcome) -> FoundAnswer:
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
