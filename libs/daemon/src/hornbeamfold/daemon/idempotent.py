"""Serves idempotent requests, with retries within a budget and hedging of slow urgent ones."""

from dataclasses import dataclass

import eventlet
from eventlet.event import Event

from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.dispatch import Dispatcher
from hornbeamfold.daemon.slots import Slot
from hornbeamfold.membership import Freshness
from hornbeamfold.model.errors import Done, ErrorKind, ExecutionStatus, Outcome, Refused
from hornbeamfold.model.invariants import check_invariant
from hornbeamfold.model.work import Request, request_task_id
from hornbeamfold.telemetry import get_logger, log_decision
from hornbeamfold.workers import NoReply, RunBusy, RunDone, RunFailed, RunOutcome

# A request that fails on this many workers is considered faulty itself and is not retried.
MAX_FAILED_WORKERS = 2
# A request during which the connections to this many workers broke may crash its workers, and is
# not retried.
MAX_BROKEN_WORKERS = 3

logger = get_logger("hornbeamfold.daemon.idempotent")


@dataclass(frozen=True)
class _Attempt:
    """The outcome of a request on one worker."""

    worker: str
    outcome: RunOutcome


class IdempotentService:
    """Serves the idempotent requests of one instance."""

    def __init__(
        self,
        incarnation: str,
        freshness: Freshness,
        dispatcher: Dispatcher,
        clock: Clock,
        wall_clock: Clock,
    ) -> None:
        self._incarnation = incarnation
        self._freshness = freshness
        self._dispatcher = dispatcher
        self._clock = clock
        self._wall_clock = wall_clock
        self._run_count = 0

    def serve(self, request: Request, digest: str) -> Outcome:
        """Dispatch until a worker answers, within the deadline and the retry budget."""
        failed: set[str] = set()
        broken: set[str] = set()
        tried: set[str] = set()
        detail = failure = ""
        ran = ExecutionStatus.NOT_RUN
        while True:
            slot = self._dispatcher.acquire(request, frozenset(tried))
            if isinstance(slot, Refused):
                return _with_earlier_attempts(slot, ran, detail)
            # The view may have become stale while the request waited for its slot.
            permit = self._freshness.may_start(self._clock())
            if not permit.granted:
                slot.release()
                return _with_earlier_attempts(
                    Refused(ErrorKind.STALE_VIEW, permit.reason), ran, detail
                )
            busy = True
            # A hedged run must not be the one that breaks a connection too many.
            may_hedge = request.urgent and len(broken) + 2 <= MAX_BROKEN_WORKERS
            for attempt in self._run_hedged(request, digest, slot, frozenset(tried), may_hedge):
                result = attempt.outcome
                if isinstance(result, RunDone):
                    return verify_answer(request, digest, result, attempt.worker)
                tried.add(attempt.worker)
                busy = busy and isinstance(result, RunBusy)
                detail = getattr(result, "detail", type(result).__name__)
                if isinstance(result, RunFailed):
                    ran = ExecutionStatus.RAN
                    failed.add(attempt.worker)
                    failure = result.detail
                if isinstance(result, NoReply):
                    if ran == ExecutionStatus.NOT_RUN:
                        ran = ExecutionStatus.UNKNOWN
                    if result.closed:
                        broken.add(attempt.worker)
            if len(failed) >= MAX_FAILED_WORKERS:
                return Refused(ErrorKind.FAILED, failure)
            if len(broken) >= MAX_BROKEN_WORKERS:
                return _give_up(request, broken, ran, detail)
            if self._wall_clock() >= request.deadline_ms:
                kind = (
                    ErrorKind.DEADLINE_PASSED
                    if ran == ExecutionStatus.NOT_RUN
                    else _error_kind(ran)
                )
                return Refused(kind, f"The deadline passed; last attempt: {detail}", ran)
            if not busy and not self._dispatcher.may_retry(request):
                kind = ErrorKind.OVERLOADED if ran == ExecutionStatus.NOT_RUN else _error_kind(ran)
                return Refused(kind, f"The retry budget is exhausted; last attempt: {detail}", ran)

    def _run_hedged(
        self,
        request: Request,
        digest: str,
        slot: Slot,
        tried: frozenset[str],
        may_hedge: bool,
    ) -> tuple[_Attempt, ...]:
        """Run on one worker; if hedging is allowed and it takes unusually long, also on a second.

        Returns the attempt that was answered, or all attempts if none was.
        """
        delay_ms = self._dispatcher.hedge_delay(request) if may_hedge else None
        first = eventlet.spawn(self._run_once, request, digest, slot)
        if delay_ms is None:
            return (first.wait(),)
        done = Event()
        first.link(_send_result, done)
        with eventlet.Timeout(delay_ms / 1_000, False):
            return (done.wait(),)
        fresh = self._freshness.may_start(self._clock()).granted
        exclude = tried | {slot.worker.name}
        second_slot = self._dispatcher.hedge(request, exclude) if fresh else None
        if second_slot is None:
            return (first.wait(),)
        second = eventlet.spawn(self._run_once, request, digest, second_slot)
        second.link(_send_result, done)
        ended = done.wait()
        if isinstance(ended.outcome, RunDone):
            return (ended,)
        # The first run to end gave no answer, so the result of the other one counts.
        other = (second if first.dead else first).wait()
        return (other,) if isinstance(other.outcome, RunDone) else (ended, other)

    def _run_once(self, request: Request, digest: str, slot: Slot) -> _Attempt:
        self._run_count += 1
        task = f"{request_task_id(request.key, self._run_count)}/{self._incarnation}"
        outcome = self._dispatcher.run(request, digest, task, slot)
        return _Attempt(slot.worker.name, outcome)


def verify_answer(request: Request, digest: str, done: RunDone, worker: str) -> Outcome:
    """Return the answer of a worker if it belongs to the request, else a refusal."""
    matches = done.request_id == request.request_id and done.digest == digest
    if matches:
        return Done(done.answer, worker)
    logger.error(
        "A worker answered another request",
        extra={"worker": worker, "request_id": request.request_id, "got": done.request_id},
    )
    check_invariant("I7 the answer matches its request id", False, f"{worker}: {done.request_id}")
    return Refused(ErrorKind.OUTCOME_UNKNOWN, "The worker answered another request.")


def _give_up(request: Request, broken: set[str], ran: ExecutionStatus, detail: str) -> Refused:
    """Return the final refusal of a request that may crash its workers."""
    workers = ", ".join(sorted(broken))
    log_decision(
        "retry",
        "give up",
        detail,
        organisation=request.organisation,
        request_id=request.request_id,
        workers=workers,
        ran=ran.value,
    )
    return Refused(
        _error_kind(ran),
        f"The connections to {len(broken)} workers broke while they had the request ({workers}); "
        f"it may crash them and is not tried again. Last attempt: {detail}",
        ran,
    )


def _send_result(thread: object, done: Event) -> None:
    """Send the result of a green thread to the event unless another thread was first."""
    if done.ready():
        return
    done.send(thread.wait())  # type: ignore[attr-defined]


def _error_kind(ran: ExecutionStatus) -> ErrorKind:
    return ErrorKind.FAILED if ran == ExecutionStatus.RAN else ErrorKind.OUTCOME_UNKNOWN


def _with_earlier_attempts(refused: Refused, ran: ExecutionStatus, detail: str) -> Refused:
    """Return a refusal that accounts for earlier attempts that ran or may have run."""
    if ran == ExecutionStatus.NOT_RUN:
        return refused
    return Refused(_error_kind(ran), f"{refused.detail} Last attempt: {detail}", ran)
