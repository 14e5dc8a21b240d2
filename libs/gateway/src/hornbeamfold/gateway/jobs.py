"""Takes jobs, reports their state and cancels them, against the records in the store."""

import eventlet

from hornbeamfold.batch import (
    TERMINAL_STATES,
    BatchJob,
    Clock,
    KeyedRecord,
    NotStored,
    Stored,
    StoreUnknown,
    TopicPort,
)
from hornbeamfold.batch import JobState as State
from hornbeamfold.ledger import Follower, Replica, encode_cancel, encode_job
from hornbeamfold.model import ErrorKind, Refused
from hornbeamfold.telemetry import counter, get_logger, histogram

logger = get_logger("hornbeamfold.gateway.jobs")
_answers = counter("hornbeamfold_job_calls", "Calls about jobs by kind and answer.")
_store_ms = histogram("hornbeamfold_job_store", "ms", "Time until a record of a call is stored.")

# One append to a slow store; a try that takes longer is repeated.
APPEND_TIMEOUT_MS = 1_000
RETRY_MS = 100
# While the store refuses, a call is refused after this time: the caller can go elsewhere.
REFUSED_TRIES_MS = 350
# An append whose outcome stays unknown for so long ends the call; the caller can ask elsewhere.
UNKNOWN_TRIES_MS = 1_500
# Time that is kept for the way of the answer.
ANSWER_MARGIN_MS = 150


class JobCalls:
    """Calls of requesters. A call that was accepted is in the store before it is answered."""

    def __init__(
        self,
        topic: TopicPort,
        replica: Replica,
        follower: Follower,
        clock: Clock,
    ) -> None:
        self._topic = topic
        self._replica = replica
        self._follower = follower
        self._clock = clock
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """How many calls wait for the store."""
        return self._in_flight

    def submit(self, job: BatchJob, deadline_ms: int) -> State | Refused:
        """Store a job; a job with a known id is the same job.

        `deadline_ms` is a time of the local clock. Returns a refusal with "not run" only if the
        store has answered every try with a refusal.
        """
        if self._replica.job(job.job_id) is None:
            refused = self._store(encode_job(job), deadline_ms)
            if refused is not None:
                return self._answered("submit", job.job_id, refused)
        return self._answered("submit", job.job_id, self._replica.state(job.job_id))

    def state(self, job_id: str) -> State | Refused:
        """Return the state of a job; an unknown job is looked for in the store first."""
        if self._replica.job(job_id) is None:
            missing = self._look(job_id)
            if missing is not None:
                return self._answered("state", job_id, missing)
        return self._replica.state(job_id)

    def cancel(self, job_id: str, organisation: str, deadline_ms: int) -> State | Refused:
        """Cancel a job; one that has ended stays as it is."""
        if self._replica.job(job_id) is None:
            missing = self._look(job_id)
            if missing is not None:
                return self._answered("cancel", job_id, missing)
        if self._replica.state(job_id) not in TERMINAL_STATES:
            refused = self._store(encode_cancel(job_id, organisation), deadline_ms)
            if refused is not None:
                return self._answered("cancel", job_id, refused)
        return self._answered("cancel", job_id, self._replica.state(job_id))

    def waiting(self, queue: str) -> int:
        """Return how many jobs of a queue have not begun."""
        return self._replica.pending_count(queue)

    def _look(self, job_id: str) -> Refused | None:
        """Read to the end of the log; return a refusal if the job is still not known."""
        read = self._follower.confirm()
        if self._replica.job(job_id) is not None:
            return None
        if not read:
            return Refused(ErrorKind.LOG_UNAVAILABLE, "the job is not known here")
        return Refused(ErrorKind.UNKNOWN_JOB, "no such job")

    def _store(self, record: KeyedRecord, deadline_ms: int) -> Refused | None:
        self._in_flight += 1
        try:
            return self._try_to_store(record, deadline_ms - ANSWER_MARGIN_MS)
        finally:
            self._in_flight -= 1

    def _try_to_store(self, record: KeyedRecord, deadline_ms: int) -> Refused | None:
        """Append until stored, or until it is certain that it never will be, or time is over."""
        if self._follower.failing:
            return Refused(ErrorKind.LOG_UNAVAILABLE, "the store does not answer")
        began = self._clock()
        unknown = ""
        while True:
            now = self._clock()
            if now >= deadline_ms:
                if unknown:
                    return Refused(ErrorKind.OUTCOME_UNKNOWN, unknown)
                return Refused(ErrorKind.LOG_UNAVAILABLE, "the store did not take it in time")
            outcome = self._topic.append(
                [record], None, max(1, min(APPEND_TIMEOUT_MS, deadline_ms - now))
            )
            match outcome:
                case Stored(offset):
                    _store_ms(self._clock() - began)
                    self._replica.apply([KeyedRecord(record.key, record.value, offset)])
                    return None
                case StoreUnknown(reason):
                    unknown = reason
                    if self._follower.failing or self._clock() - began > UNKNOWN_TRIES_MS:
                        return Refused(ErrorKind.OUTCOME_UNKNOWN, reason)
                case NotStored(reason):
                    if not unknown and self._clock() - began > REFUSED_TRIES_MS:
                        return Refused(ErrorKind.LOG_UNAVAILABLE, reason)
                case _:
                    return Refused(ErrorKind.INTERNAL, f"unexpected {outcome}")
            eventlet.sleep(RETRY_MS / 1_000)

    def _answered(self, call: str, job_id: str, answer: State | Refused) -> State | Refused:
        kind = answer.kind.value if isinstance(answer, Refused) else answer.value
        _answers(1, call=call, answer=kind)
        age = self._follower.age_ms()
        logger.info(
            "answered",
            extra={
                "request": job_id,
                "call": call,
                "answer": kind,
                "detail": answer.detail if isinstance(answer, Refused) else "",
                "replica_age_ms": age if age != float("inf") else None,
            },
        )
        return answer
