"""One worker's session: keeps its lease and takes note of ends."""

from collections.abc import Callable
from dataclasses import dataclass, replace

import eventlet
from eventlet.event import Event

from hornbeamfold.batch import (
    Bounds,
    Clock,
    EndedTask,
    LeaseRenewal,
    LeaseReport,
    NoAnswer,
    Refusal,
    Refused,
    Worker,
    WorkerPort,
)
from hornbeamfold.coordinator.orders import RETRY_MS, OrderHooks, Orders, WorkerLink
from hornbeamfold.telemetry import get_logger

logger = get_logger("hornbeamfold.coordinator.session")

# A renewal waits so long at the worker for an end: the worker's bound for it, and less while runs
# are there whose progress has to be watched.
RENEW_WAIT_MS = 2_000
WATCH_WAIT_MS = 800
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
# A worker's clock may be 2% slow; with a margin for the way of the order.
CLOCK_RATE = 0.97
CLOCK_MARGIN_MS = 300


def lease_ms(bounds: Bounds) -> int:
    """Return for how long a renewal lets a worker go on."""
    return min(bounds.lease_max_ms, MAX_LEASE_MS)


@dataclass(frozen=True)
class SessionHooks:
    """What a session tells its coordinator."""

    orders: OrderHooks
    on_report: Callable[["Session", LeaseReport, int], None]
    on_ended: Callable[["Session", tuple[EndedTask, ...]], None]
    on_gone: Callable[["Session", str], None]  # all runs there are certainly over
    after_store: Callable[[Callable[[], None]], None]


class Session:
    """Renews the lease of one worker in one green thread."""

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
        link = WorkerLink(
            lambda: self._worker, self._worker_clock, lambda: not self._closed, self._report_now
        )
        self._orders = Orders(link, token, port, hooks.orders, bounds, clock)
        self._lost = False
        self._watched = False

    @property
    def worker(self) -> Worker:
        """The worker as it last described itself."""
        return self._worker

    @property
    def orders(self) -> Orders:
        """The orders to the worker."""
        return self._orders

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
        while self._hooks.orders.is_active() and not self._closed:
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
            if self._closed or not self._hooks.orders.is_active():
                return
            match outcome:
                case LeaseReport():
                    self._take(outcome, sent_ms)
                case Refused(Refusal.FENCED):
                    self._hooks.orders.on_fenced(f"worker {self._worker.worker_id}")
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
        knowledge = self._hooks.orders.knowledge_ms()
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

    def _report_now(self) -> None:
        """Ask for a report beside the renewal that waits, and leave the lease as it is."""
        sent_ms = self._clock()
        renewal = LeaseRenewal(self._token, self._acknowledged, 0)
        report = self._port.renew(self._worker, renewal)
        if isinstance(report, LeaseReport) and report.born_ms == self._worker.born_ms:
            self._hooks.on_report(self, report, sent_ms)
