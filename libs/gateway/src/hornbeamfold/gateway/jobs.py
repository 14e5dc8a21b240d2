"""Submits jobs, reports their state and cancels them, with records in the store."""

from collections.abc import Callable

import eventlet

from hornbeamfold.batch import (
    TERMINAL_STATES,
    BatchJob,
    Clock,
    KeyedRecord,
    NotStored,
    Organisation,
    Rejected,
    Stored,
    StoreUnknown,
    TopicPort,
    stored_bytes,
)
from hornbeamfold.batch import JobState as State
from hornbeamfold.gateway.limits import limit_problem
from hornbeamfold.gateway.store_access import Spawn, StoreAccess
from hornbeamfold.ledger import Follower, Replica, encode_cancel, encode_job
from hornbeamfold.model import ErrorKind, Refused
from hornbeamfold.telemetry import counter, get_logger, histogram

logger = get_logger("hornbeamfold.gateway.jobs")
_count_answers = counter("hornbeamfold_job_calls", "Calls about jobs by kind and answer.")
_record_store_time = histogram(
    "hornbeamfold_job_store", "ms", "Time until a record of a call is stored."
)

# The timeout of one append; a slow store may take this long, after that the append is repeated.
APPEND_TIMEOUT_MS = 1_000
RETRY_MS = 100
# If the store keeps refusing, the call is refused after this time: another instance may serve it.
MAX_REFUSED_MS = 350
# If the outcome of the append stays unknown, the call ends after this time: the caller can ask
# another instance for the outcome.
MAX_UNKNOWN_MS = 1_500
# With records that are not older, another instance of the region certainly reaches the store.
MAX_CURRENT_AGE_MS = 1_000
# The time before the deadline that is reserved for the answer to reach the caller.
ANSWER_MARGIN_MS = 150


class JobService:
    """Handles the calls about jobs. An accepted call is in the store before it is answered."""

    def __init__(
        self,
        topic: TopicPort,
        replica: Replica,
        follower: Follower,
        clock: Clock,
        spawn: Spawn = eventlet.spawn_n,
    ) -> None:
        self._topic = topic
        self._replica = replica
        self._follower = follower
        self._clock = clock
        self._store_access = StoreAccess(topic, lambda: follower.end_offset, clock, spawn)
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """The number of calls that wait for the store."""
        return self._in_flight

    @property
    def store_suspected_ms(self) -> int:
        """For how long the store has not answered this instance; 0 if it does."""
        return self._store_access.suspected_ms()

    def submit(
        self, job: BatchJob, deadline_ms: int, organisation: Organisation | None = None
    ) -> State | Refused:
        """Store a job, unless a job with the same id is known: that is the same job.

        `deadline_ms` is a time of the local clock. Returns a refusal with "not run" only if the
        store has refused every attempt, or cannot store a job of this size, or if the limit of its
        organisation can never have room for it.
        """
        if self._replica.job(job.job_id) is None:
            refused = self._beyond_limit(job, organisation)
            if refused is not None:
                return self._log_answer("submit", job.job_id, refused)
            refused = self._store(
                encode_job(job), deadline_ms, lambda: self._replica.job(job.job_id) is not None
            )
            if refused is not None:
                return self._log_answer("submit", job.job_id, refused)
        return self._log_answer("submit", job.job_id, self._replica.state(job.job_id))

    def state(self, job_id: str) -> State | Refused:
        """Return the state of a job; for an unknown job the log is read to its end first."""
        if self._replica.job(job_id) is None:
            missing = self._find_in_log(job_id)
            if missing is not None:
                return self._log_answer("state", job_id, missing)
        return self._replica.state(job_id)

    def cancel(self, job_id: str, organisation: str, deadline_ms: int) -> State | Refused:
        """Cancel a job, and return its state; a job that has ended is not changed."""
        if self._replica.job(job_id) is None:
            missing = self._find_in_log(job_id)
            if missing is not None:
                return self._log_answer("cancel", job_id, missing)
        if self._replica.state(job_id) not in TERMINAL_STATES:
            refused = self._store(
                encode_cancel(job_id, organisation),
                deadline_ms,
                lambda: self._replica.is_cancelled(job_id),
            )
            if refused is not None:
                return self._log_answer("cancel", job_id, refused)
        return self._log_answer("cancel", job_id, self._replica.state(job_id))

    def waiting(self, queue: str) -> int:
        """Return how many jobs of a queue have not started."""
        return self._replica.pending_count(queue)

    def _beyond_limit(self, job: BatchJob, organisation: Organisation | None) -> Refused | None:
        """Return a refusal if a job that is not in the log can never run within a limit.

        A repeated call may bring a job that was accepted when the limit was higher.
        """
        problem = limit_problem(job, organisation)
        if not problem:
            return None
        missing = self._find_in_log(job.job_id)
        if missing is None or missing.kind is not ErrorKind.UNKNOWN_JOB:
            return missing
        return Refused(ErrorKind.INFEASIBLE, problem)

    def _find_in_log(self, job_id: str) -> Refused | None:
        """Read to the end of the log; return a refusal if the job is still unknown."""
        log_read = self._follower.confirm()
        if self._replica.job(job_id) is not None:
            return None
        if not log_read:
            return Refused(
                ErrorKind.LOG_UNAVAILABLE, "the job is not known here and the log cannot be read"
            )
        return Refused(ErrorKind.UNKNOWN_JOB, "no job has this id")

    def _store(
        self, record: KeyedRecord, deadline_ms: int, is_known: Callable[[], bool]
    ) -> Refused | None:
        """Store a record; return why it is not, or not certainly, stored.

        `is_known` returns whether the record, or an equal one, was read from the log.
        """
        max_bytes = self._topic.limits.record_bytes
        if stored_bytes(record) > max_bytes:
            return Refused(ErrorKind.BODY_TOO_LARGE, f"the record exceeds {max_bytes} bytes")
        self._in_flight += 1
        try:
            return self._append_until_stored(record, deadline_ms - ANSWER_MARGIN_MS, is_known)
        finally:
            self._in_flight -= 1

    def _append_until_stored(
        self, record: KeyedRecord, deadline_ms: int, is_known: Callable[[], bool]
    ) -> Refused | None:
        """Append the record until it is stored or a time limit ends the attempts.

        Once the outcome of an attempt was unknown, the record may be stored later: the refusal is
        then OUTCOME_UNKNOWN, whatever the outcomes of later attempts.
        """
        if self._follower.failing or self._store_access.suspected:
            return self._unavailable("the store does not answer")
        started_ms = self._clock()
        unknown_reason = ""
        while True:
            now = self._clock()
            if now >= deadline_ms:
                if unknown_reason:
                    return Refused(ErrorKind.OUTCOME_UNKNOWN, unknown_reason)
                return self._unavailable("the store did not accept the record in time")
            outcome = self._topic.append(
                [record], None, max(1, min(APPEND_TIMEOUT_MS, deadline_ms - now))
            )
            self._store_access.record(outcome)
            match outcome:
                case Stored(offset):
                    _record_store_time(self._clock() - started_ms)
                    self._replica.apply([KeyedRecord(record.key, record.value, offset)])
                    return None
                case StoreUnknown(reason):
                    if is_known():
                        return None
                    unknown_reason = reason
                    if self._follower.failing or self._clock() - started_ms > MAX_UNKNOWN_MS:
                        return Refused(ErrorKind.OUTCOME_UNKNOWN, reason)
                case NotStored(reason) | Rejected(reason):
                    if not unknown_reason and self._clock() - started_ms > MAX_REFUSED_MS:
                        return self._unavailable(reason)
                case _:
                    return Refused(ErrorKind.INTERNAL, f"unexpected {outcome}")
            eventlet.sleep(RETRY_MS / 1_000)

    def _unavailable(self, reason: str) -> Refused:
        """Return a refusal; the caller may return at once if other instances reach the store.

        That is known if the records are current although the store does not answer this instance.
        A store that answers reads refuses the records of other instances as well.
        """
        current = not self._follower.failing and self._follower.age_ms() <= MAX_CURRENT_AGE_MS
        others_served = current and self._store_access.cut_off
        return Refused(
            ErrorKind.LOG_UNAVAILABLE, reason, retry_after_s=0 if others_served else None
        )

    def _log_answer(self, call: str, job_id: str, answer: State | Refused) -> State | Refused:
        kind = answer.kind.value if isinstance(answer, Refused) else answer.value
        _count_answers(1, call=call, answer=kind)
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
