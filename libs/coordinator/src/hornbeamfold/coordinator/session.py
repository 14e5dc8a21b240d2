"""One worker's session: keeps its lease, takes note of ends, and sends it orders."""

from collections.abc import Callable
from dataclasses import dataclass, replace

import eventlet
from eventlet.event import Event
from eventlet.semaphore import Semaphore

from hornbeamfold.batch import (
    Accepted,
    Bounds,
    Clock,
    EndedTask,
    LeaseRenewal,
    LeaseReport,
    NoAnswer,
    OrderOutcome,
    Refusal,
    Refused,
    RunName,
    StartOrder,
    StopOrder,
    Worker,
    WorkerPort,
)
from hornbeamfold.coordinator.book import Run
from hornbeamfold.telemetry import counter, get_logger, histogram, logged

logger = get_logger("hornbeamfold.coordinator.session")
_starts = counter("hornbeamfold_start_orders", "Start orders by outcome.")
_start_ms = histogram("hornbeamfold_start_order", "ms", "Time until a start order is answered.")

# A renewal waits so long at the worker for an end: the worker's bound for it, and less while runs
# are there whose progress has to be watched.
RENEW_WAIT_MS = 2_000
WATCH_WAIT_MS = 800
RETRY_MS = 250
# Without an answer to a renewal for so long the worker gets no new tasks.
REACHABLE_MS = 3_500
# A recorded end is acknowledged at once; an unrecorded one delays the next renewal at most so long.
RECORD_WAIT_MS = 1_000
# A coordinator that has not confirmed its knowledge for so long extends no lease: another one may
# have taken over, which counts on that. Outages of the store that are shorter cost no work.
RENEWAL_KNOWLEDGE_MS = 6_000
# Work on a worker that is lost begins again after its lease; with this and the time above, work
# goes on for 12 s without the store.
MAX_LEASE_MS = 6_000
# Orders that one worker gets at the same time, each on a connection of its own.
PARALLEL_ORDERS = 6
# One order in twenty may be lost or late at a worker; two in a row say that it is away.
START_TRIES = 2
# A worker's clock may be 2% slow; with a margin for the way of the order.
CLOCK_RATE = 0.97
CLOCK_MARGIN_MS = 300
# An order is valid for so long after the read that it rests on, less than the least of the bounds
# on zones, draining workers and cancelled jobs.
VALIDITY_MARGIN_MS = 700


def lease_ms(bounds: Bounds) -> int:
    """Return for how long a renewal lets a worker go on."""
    return min(bounds.lease_max_ms, MAX_LEASE_MS)


@dataclass(frozen=True)
class SessionHooks:
    """What a session tells its coordinator."""

    is_active: Callable[[], bool]
    knowledge_ms: Callable[[], int | None]  # when all that starts rest on was last confirmed
    on_report: Callable[["Session", LeaseReport, int], None]
    on_ended: Callable[["Session", tuple[EndedTask, ...]], None]
    on_settled: Callable[[RunName], None]
    on_not_started: Callable[[Run, Refusal], None]
    on_gone: Callable[["Session", str], None]  # all runs there are certainly over
    on_fenced: Callable[[str], None]
    is_listed: Callable[[RunName], bool]  # whether the run still takes room in the book
    may_start: Callable[[Run, Worker], bool]  # whether a start is still right when it is sent
    after_store: Callable[[Callable[[], None]], None]


class Session:
    """Renews the lease of one worker in one green thread; orders have threads of their own."""

    def __init__(
        self,
        worker: Worker,
        token: int,
        port: WorkerPort,
        hooks: SessionHooks,
        bounds: Bounds,
        clock: Clock,
        lease_until_ms: int,
    ) -> None:
        self._worker = worker
        self._token = token
        self._port = port
        self._hooks = hooks
        self._bounds = bounds
        self._clock = clock
        self._lease_until_ms = lease_until_ms
        self._lease_ms = lease_ms(bounds)
        self._acknowledged = 0
        self._clock_ms = 0
        self._clock_at_ms: int | None = None
        self._reported_ms: int | None = None
        self._foreign = 0
        self._closed = False
        self._registered = True
        self._orders = Semaphore(PARALLEL_ORDERS)
        self._lost = False
        self._watched = False

    @property
    def worker(self) -> Worker:
        """The worker as it last described itself."""
        return self._worker

    @property
    def registered(self) -> bool:
        """Whether the worker is in the platform's list."""
        return self._registered

    @property
    def usable(self) -> bool:
        """Whether the worker answers, and runs nothing that the book does not know."""
        if self._reported_ms is None or self._foreign or not self._registered:
            return False
        return self._clock() - self._reported_ms < REACHABLE_MS

    @property
    def reachable(self) -> bool:
        """Whether the worker answered lately."""
        return self._reported_ms is not None and self._clock() - self._reported_ms < REACHABLE_MS

    @property
    def lease_until_ms(self) -> int:
        """The time after which everything on the worker has ended if no renewal reaches it."""
        return self._lease_until_ms

    @property
    def _has_left(self) -> bool:
        """Whether the worker said that it would leave, and is no longer in the platform's list."""
        return self._worker.draining and not self._registered

    def update(self, worker: Worker) -> None:
        """Take over what the platform's list now says of the worker."""
        self._registered = True
        if worker.born_ms > self._worker.born_ms:
            self._reborn(worker)
            return
        if worker.born_ms == self._worker.born_ms:
            self._worker = worker

    def unregister(self) -> None:
        """Note that the platform's list no longer has the worker."""
        self._registered = False

    def close(self) -> None:
        """End the session."""
        self._closed = True

    def _reborn(self, worker: Worker) -> None:
        logger.info(
            "worker_reborn",
            extra={"worker": worker.worker_id, "born": worker.born_ms, "was": self._worker.born_ms},
        )
        self._hooks.on_gone(self, "reborn")
        self._worker = worker
        self._acknowledged = 0
        self._clock_at_ms = None
        self._reported_ms = None

    def run(self) -> None:
        """Renew the lease until the session is closed or the coordinator is replaced."""
        while self._hooks.is_active() and not self._closed:
            sent_ms = self._clock()
            # The first renewal must not wait: nothing may start before the worker's runs are known.
            first = self._reported_ms is None
            wait_ms = WATCH_WAIT_MS if self._watched else RENEW_WAIT_MS
            if first or self._lost:
                wait_ms = 0
            renewal = LeaseRenewal(
                self._token, self._acknowledged, wait_ms, self._lease_end(sent_ms)
            )
            self._note_lease(renewal, sent_ms)
            outcome = self._port.renew(self._worker, renewal)
            if self._closed or not self._hooks.is_active():
                return
            match outcome:
                case LeaseReport():
                    self._take(outcome, sent_ms)
                case Refused(Refusal.FENCED):
                    self._hooks.on_fenced(f"worker {self._worker.worker_id}")
                    return
                case Refused(Refusal.GONE):
                    self._hooks.on_gone(self, "another incarnation answers")
                    self._note_lost("gone")
                    eventlet.sleep(RETRY_MS / 1_000)
                case Refused(reason, _):
                    self._note_lost(reason.value)
                    eventlet.sleep(RETRY_MS / 1_000)
                case NoAnswer(reason, nobody_listens):
                    self._note_lost(reason)
                    if self._clock() > self._lease_until_ms:
                        self._hooks.on_gone(self, "lease expired")
                    elif nobody_listens and self._has_left:
                        self._hooks.on_gone(self, "left")
                    eventlet.sleep(RETRY_MS / 1_000)

    def _note_lost(self, reason: str) -> None:
        if not self._lost:
            self._lost = True
            logger.warning(
                "worker_lost", extra={"worker": self._worker.worker_id, "reason": reason}
            )

    def _worker_clock(self, at_ms: int) -> int | None:
        """Return the least that the worker's clock shows at a time of the local clock."""
        if self._clock_at_ms is None:
            return None
        return self._clock_ms + int((at_ms - self._clock_at_ms) * CLOCK_RATE)

    def _lease_end(self, now_ms: int) -> int | None:
        """Return until when the worker may go on, on its clock; None to leave that as it is.

        After an unanswered renewal the lease is left alone until one is answered. Otherwise a
        worker that is cut off one way would keep its runs for ever. It is left alone as well while
        this coordinator may have been replaced.
        """
        clock = self._worker_clock(now_ms)
        knowledge = self._hooks.knowledge_ms()
        if clock is None or self._lost or knowledge is None:
            return None
        if now_ms - knowledge > RENEWAL_KNOWLEDGE_MS:
            return None
        return clock + self._lease_ms

    def _note_lease(self, renewal: LeaseRenewal, sent_ms: int) -> None:
        """Note until when the worker may go on if it gets this renewal, answered or not."""
        if renewal.expires_ms is None:
            return
        until = sent_ms + int(self._lease_ms / CLOCK_RATE) + CLOCK_MARGIN_MS
        self._lease_until_ms = max(self._lease_until_ms, until)

    def _take(self, report: LeaseReport, sent_ms: int) -> None:
        now = self._clock()
        if self._lost:
            self._lost = False
            logger.info("worker_regained", extra={"worker": self._worker.worker_id})
        if report.born_ms and report.born_ms != self._worker.born_ms:
            self._reborn(replace(self._worker, born_ms=report.born_ms))
        self._clock_ms = report.clock_ms
        self._clock_at_ms = now
        self._watched = bool(report.running)
        self._reported_ms = now
        self._hooks.on_report(self, report, sent_ms)
        if report.ended:
            self._record_ends(report.ended)

    def set_foreign(self, count: int) -> None:
        """Note how many runs on the worker are not in the book."""
        self._foreign = count

    def _record_ends(self, ended: tuple[EndedTask, ...]) -> None:
        """Wait until the ends are in the store, then acknowledge them with the next renewal."""
        self._hooks.on_ended(self, ended)
        last = max(each.number for each in ended)
        born = self._worker.born_ms
        stored: Event = Event()

        def acknowledge() -> None:
            if self._worker.born_ms == born:
                self._acknowledged = max(self._acknowledged, last)
            if not stored.ready():
                stored.send(None)

        self._hooks.after_store(acknowledge)
        stored.wait(timeout=RECORD_WAIT_MS / 1_000)

    def start(self, run: Run, payload: str) -> None:
        """Send a start order in a thread of its own."""
        self._spawn(lambda: self._start(run, payload))

    def _spawn(self, order: Callable[[], None]) -> None:
        """Send an order in a thread of its own, a few at a time; never blocks the caller."""

        def limited() -> None:
            with self._orders:
                order()

        eventlet.spawn_n(logged(limited))

    def _start(self, run: Run, payload: str) -> None:
        knowledge = self._hooks.knowledge_ms()
        validity = min(self._bounds.drain_ms, self._bounds.cancel_ms, self._bounds.zone_out_ms)
        now = self._clock()
        until = None if knowledge is None else knowledge + validity - VALIDITY_MARGIN_MS
        clock = self._worker_clock(now)
        if until is None or until <= now or clock is None or not self._hooks.is_active():
            self._hooks.on_not_started(run, Refusal.TOO_LATE)
            return
        # The run was planned before it was recorded and waited for its turn here.
        if not self._hooks.may_start(run, self._worker):
            self._hooks.on_not_started(run, Refusal.TOO_LATE)
            return
        order = StartOrder(run.name, payload, self._token, clock + (until - now), run.checkpoint)
        outcome, tries = self._send_start(run, order, until)
        took_ms = self._clock() - now
        _start_ms(took_ms)
        answer = outcome.reason.value if isinstance(outcome, Refused) else type(outcome).__name__
        _starts(1, outcome=answer)
        logger.info(
            "start_sent",
            extra={
                "request": run.name.job_id,
                "task": list(run.name.task),
                "run": run.name.run,
                "worker": run.worker_id,
                "token": self._token,
                "knowledge_age_ms": now - knowledge if knowledge is not None else None,
                "outcome": answer,
                "tries": tries,
                "took_ms": took_ms,
            },
        )
        match outcome:
            case Accepted():
                self._hooks.on_settled(run.name)
            case Refused(Refusal.FENCED):
                self._hooks.on_fenced(f"worker {run.worker_id}")
            case Refused(reason, _) if tries == 1:
                self._hooks.on_not_started(run, reason)
            case _:
                # An order without an answer may still be on its way. A stop of the same run keeps
                # it from starting.
                self._stop(run, "start order unanswered")
                self._report_now()

    def _send_start(self, run: Run, order: StartOrder, until_ms: int) -> tuple[OrderOutcome, int]:
        """Send an order, again if there is no answer; return the last outcome and the tries.

        A worker that has the run already accepts its order again.
        """
        tries = 1
        outcome = self._port.start(self._worker, order)
        while isinstance(outcome, NoAnswer) and tries < START_TRIES:
            if self._clock() >= until_ms or not self._hooks.may_start(run, self._worker):
                break
            tries += 1
            outcome = self._port.start(self._worker, order)
        return outcome, tries

    def _report_now(self) -> None:
        """Ask for a report beside the renewal that waits, and leave the lease as it is."""
        sent_ms = self._clock()
        renewal = LeaseRenewal(self._token, self._acknowledged, 0)
        report = self._port.renew(self._worker, renewal)
        if isinstance(report, LeaseReport) and report.born_ms == self._worker.born_ms:
            self._hooks.on_report(self, report, sent_ms)

    def stop(self, run: Run) -> None:
        """Send a stop order in a thread of its own, until it is answered."""
        self._spawn(lambda: self._stop(run, run.stop_reason))

    def _stop(self, run: Run, reason: str) -> None:
        tries = 0
        while self._hooks.is_active() and not self._closed and self._hooks.is_listed(run.name):
            outcome = self._port.stop(self._worker, StopOrder(run.name, self._token))
            tries += 1
            match outcome:
                case Accepted():
                    logger.info(
                        "stop_sent",
                        extra={
                            "request": run.name.job_id,
                            "task": list(run.name.task),
                            "run": run.name.run,
                            "worker": run.worker_id,
                            "reason": reason,
                            "tries": tries,
                        },
                    )
                    self._hooks.on_settled(run.name)
                    return
                case Refused(Refusal.FENCED):
                    self._hooks.on_fenced(f"worker {run.worker_id}")
                    return
                case Refused(Refusal.GONE):
                    return
                case Refused() | NoAnswer():
                    eventlet.sleep(RETRY_MS / 1_000)

    def stop_unknown(self, name: RunName) -> None:
        """Stop a run that the worker lists and the book does not know."""
        self._spawn(lambda: self._stop_once(name))

    def _stop_once(self, name: RunName) -> None:
        outcome = self._port.stop(self._worker, StopOrder(name, self._token))
        if outcome == Refused(Refusal.FENCED):
            self._hooks.on_fenced(f"worker {self._worker.worker_id}")
