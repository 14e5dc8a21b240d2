"""The session with one worker: renews its lease and collects its reports of runs."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

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
    RunEnd,
    Worker,
    WorkerPort,
)
from hornbeamfold.coordinator.lease import WorkerLease
from hornbeamfold.coordinator.orders import RETRY_MS, OrderHooks, Orders, WorkerLink
from hornbeamfold.telemetry import get_logger

logger = get_logger("hornbeamfold.coordinator.session")

# How long a renewal waits at the worker for a run to end: the worker's maximum when it is idle, and
# less while it has runs whose progress must be monitored.
MAX_RENEWAL_WAIT_MS = 2_000
MIN_BUSY_RENEWAL_WAIT_MS = 800
# The processor time of one renewal on a standard core, and the share of the processor for renewals
# that bring no news. With more workers for each core, renewals wait longer.
RENEWAL_COST_MS = 1.2
MAX_RENEWAL_SHARE = 0.2
# A worker that has not answered a renewal for this long gets no new tasks.
REACHABILITY_TIMEOUT_MS = 3_500
# Ends of runs are acknowledged once they are stored; waiting for that delays the next renewal by at
# most this time.
RECORD_WAIT_MS = 1_000
# A coordinator whose state was last confirmed longer ago than this extends no lease: another one
# may have taken over, which relies on that. Shorter outages of the store lose no work.
MAX_RENEWAL_STATE_AGE_MS = 6_000


class RunsLost(StrEnum):
    """Why all runs on a worker are certainly over."""

    ANOTHER_ANSWERS = "another incarnation answers"
    LEASE_EXPIRED = "lease expired"


def busy_renewal_wait_ms(workers: int, cores: float) -> int:
    """Return how long renewals wait at workers with runs, for a coordinator with this capacity."""
    wait_ms = workers * RENEWAL_COST_MS / (MAX_RENEWAL_SHARE * min(1.0, cores))
    return int(min(MAX_RENEWAL_WAIT_MS, max(MIN_BUSY_RENEWAL_WAIT_MS, wait_ms)))


@dataclass(frozen=True)
class SessionHooks:
    """The callbacks of a session to its coordinator."""

    orders: OrderHooks
    busy_wait_ms: Callable[[], int]  # how long a renewal waits at a worker that has runs
    on_report: Callable[["Session", LeaseReport, int], None]
    # Returns how many of the ends, from the first, are known to be recorded with the next write.
    on_ended: Callable[["Session", tuple[EndedTask, ...]], int]
    # All runs on incarnations born until then, a Unix time, are over.
    on_runs_lost: Callable[["Session", RunsLost, int], None]
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
        self._clock = clock
        self._lease = WorkerLease(bounds, clock, lease_until_ms)
        self._acknowledged_end = 0
        self._reported_ms: int | None = None
        self._has_reported = False
        self._unknown_runs = 0
        self._closed = False
        self._registered = True
        self._described = True
        link = WorkerLink(
            lambda: self._worker,
            self._lease.grant_start,
            lambda: not self._closed,
            self._request_report,
        )
        self._orders = Orders(link, token, port, hooks.orders, bounds, clock)
        self._disconnected = False
        # The incarnations that announced that they leave, by their birth.
        self._drained: set[int] = set()
        self._note_drain(worker)
        self._has_running_tasks = False
        self._incarnation_known_ms = clock()

    @property
    def worker(self) -> Worker:
        """The latest description of the worker."""
        return self._worker

    @property
    def orders(self) -> Orders:
        """The sender of orders to the worker."""
        return self._orders

    @property
    def registered(self) -> bool:
        """Whether the worker is in the platform's registry."""
        return self._registered

    @property
    def has_unknown_runs(self) -> bool:
        """Whether the worker listed runs that the job tracker does not have."""
        return self._unknown_runs > 0

    @property
    def unknown_runs_until_ms(self) -> int:
        """The time by which runs that the job tracker does not have are over; 0 if there are none.

        Until its first report, a worker may have such runs of a former coordinator.
        """
        if self._has_reported and not self._unknown_runs:
            return 0
        return self._lease.expired_by_ms

    @property
    def usable(self) -> bool:
        """Whether the worker is registered and reachable and has no unknown runs.

        A new incarnation may have less capacity, so its own entry in the registry is waited for.
        """
        if self._reported_ms is None or self._unknown_runs or not self._registered:
            return False
        if not self._described:
            return False
        return self._clock() - self._reported_ms < REACHABILITY_TIMEOUT_MS

    @property
    def reachable(self) -> bool:
        """Whether the worker answered a renewal recently."""
        return (
            self._reported_ms is not None
            and self._clock() - self._reported_ms < REACHABILITY_TIMEOUT_MS
        )

    @property
    def connected(self) -> bool:
        """Whether the last renewal was answered."""
        return not self._disconnected

    @property
    def lease_until_ms(self) -> int:
        """The time by which all runs on the worker have ended if no renewal reaches it."""
        return self._lease.expired_by_ms

    def update(self, worker: Worker) -> None:
        """Update the worker from its entry in the platform's registry."""
        self._registered = True
        self._note_drain(worker)
        if worker.born_ms > self._worker.born_ms:
            self._on_new_incarnation(worker)
            self._described = True
            return
        if worker.born_ms == self._worker.born_ms:
            self._worker = worker
            self._described = True

    def unregister(self) -> None:
        """Record that the worker is no longer in the platform's registry."""
        self._registered = False

    def close(self) -> None:
        """End the session."""
        self._closed = True

    def lost_run_end(self, born_ms: int, lost: RunsLost | None = None) -> RunEnd:
        """Return how a run without a reported end ended on the incarnation born at `born_ms`.

        `lost` is why the runs on the worker are over, or None after a report. A worker that is cut
        off may outlive its lease, refuse or reset connections meanwhile, and may lose its entry in
        the registry as well.
        """
        if born_ms in self._drained:
            return RunEnd.LOST
        if born_ms != self._worker.born_ms:
            # The entry in the registry may be older than an incarnation that has not reported.
            replaced = self._reported_ms is not None or born_ms < self._worker.born_ms
            return RunEnd.WORKER_CRASHED if replaced else RunEnd.LOST
        if lost is RunsLost.ANOTHER_ANSWERS:
            return RunEnd.WORKER_CRASHED
        if lost is None:
            return RunEnd.LOST
        return RunEnd.LOST if self._registered else RunEnd.WORKER_VANISHED

    def has_drained(self, born_ms: int) -> bool:
        """Return whether the incarnation born at `born_ms` announced that it leaves."""
        return born_ms in self._drained

    def _note_drain(self, worker: Worker) -> None:
        if worker.draining:
            self._drained.add(worker.born_ms)

    def _on_new_incarnation(self, worker: Worker) -> None:
        logger.info(
            "worker_reborn",
            extra={"worker": worker.worker_id, "born": worker.born_ms, "was": self._worker.born_ms},
        )
        now = self._clock()
        self._worker = worker
        self._incarnation_known_ms = now
        # No run is lost before this incarnation reports, or before the lease of a run that a late
        # start order began on it would have expired.
        self._lease.begin_incarnation()
        self._acknowledged_end = 0
        self._reported_ms = None

    def run(self) -> None:
        """Renew the lease until the session is closed or the coordinator is replaced."""
        while self._hooks.orders.is_active() and not self._closed:
            sent_ms = self._clock()
            born_ms = self._worker.born_ms
            # The first renewal does not wait, as nothing may start before the worker's runs are
            # known.
            first = self._reported_ms is None
            wait_ms = self._hooks.busy_wait_ms() if self._has_running_tasks else MAX_RENEWAL_WAIT_MS
            if first or self._disconnected:
                wait_ms = 0
            # After a failed renewal another incarnation may answer, which numbers its ends anew. It
            # must not drop any of them as acknowledged.
            acknowledged = 0 if self._disconnected else self._acknowledged_end
            renewal = LeaseRenewal(self._token, acknowledged, wait_ms, self._grant_renewal())
            outcome = self._port.renew(self._worker, renewal)
            if self._closed or not self._hooks.orders.is_active():
                return
            match outcome:
                case LeaseReport():
                    self._on_report(outcome, sent_ms)
                case Refused(Refusal.FENCED):
                    self._hooks.orders.on_fenced(f"worker {self._worker.worker_id}")
                    return
                case Refused(Refusal.GONE):
                    self._hooks.on_runs_lost(self, RunsLost.ANOTHER_ANSWERS, born_ms)
                    self._note_disconnected("gone")
                    eventlet.sleep(RETRY_MS / 1_000)
                case Refused(reason, _):
                    self._note_disconnected(reason.value)
                    eventlet.sleep(RETRY_MS / 1_000)
                case NoAnswer(reason):
                    self._note_disconnected(reason)
                    # Whatever the worker's host answers, only its lease ends its runs for certain.
                    if self._clock() > self._lease.expired_by_ms:
                        self._hooks.on_runs_lost(self, RunsLost.LEASE_EXPIRED, self._worker.born_ms)
                    eventlet.sleep(RETRY_MS / 1_000)

    def _note_disconnected(self, reason: str) -> None:
        if not self._disconnected:
            self._disconnected = True
            logger.warning(
                "worker_lost", extra={"worker": self._worker.worker_id, "reason": reason}
            )

    def _grant_renewal(self) -> int | None:
        """Return the new lease expiry on the worker's clock, or None to leave the lease unchanged.

        After an unanswered renewal the lease is not extended until one is answered. Otherwise a
        worker that receives renewals but cannot answer would keep its runs for ever. The lease is
        also not extended while this coordinator may have been replaced.
        """
        confirmed_ms = self._hooks.orders.state_confirmed_ms()
        if self._disconnected or confirmed_ms is None:
            return None
        if self._clock() - confirmed_ms > MAX_RENEWAL_STATE_AGE_MS:
            return None
        return self._lease.grant_renewal()

    def _on_report(self, report: LeaseReport, sent_ms: int) -> None:
        now = self._clock()
        is_other_incarnation = bool(report.born_ms) and report.born_ms != self._worker.born_ms
        if is_other_incarnation and sent_ms < self._incarnation_known_ms:
            # A late answer of the previous incarnation.
            return
        if self._disconnected:
            self._disconnected = False
            logger.info("worker_regained", extra={"worker": self._worker.worker_id})
        if is_other_incarnation:
            self._on_new_incarnation(replace(self._worker, born_ms=report.born_ms))
            self._described = False
        self._lease.set_worker_clock(report.clock_ms)
        self._has_running_tasks = bool(report.running)
        self._reported_ms = now
        self._has_reported = True
        self._hooks.on_report(self, report, sent_ms)
        if report.ended:
            self._record_ends(tuple(sorted(report.ended, key=lambda each: each.number)))

    def set_unknown_runs(self, count: int) -> None:
        """Set the number of runs on the worker that the job tracker does not have."""
        self._unknown_runs = count

    def _record_ends(self, ended: tuple[EndedTask, ...]) -> None:
        """Wait until the ends are stored, so that the next renewal acknowledges them."""
        taken = self._hooks.on_ended(self, ended)
        if taken < len(ended):
            # The worker answers the next renewal at once, as it has more ends.
            eventlet.sleep(RETRY_MS / 1_000)
        if not taken:
            return
        last_number = max(each.number for each in ended[:taken])
        born = self._worker.born_ms
        stored: Event = Event()

        def acknowledge() -> None:
            if self._worker.born_ms == born:
                self._acknowledged_end = max(self._acknowledged_end, last_number)
            if not stored.ready():
                stored.send(None)

        self._hooks.after_store(acknowledge)
        stored.wait(timeout=RECORD_WAIT_MS / 1_000)

    def _request_report(self) -> None:
        """Request a report while another renewal waits, without extending the lease."""
        sent_ms = self._clock()
        renewal = LeaseRenewal(self._token, 0, 0)
        report = self._port.renew(self._worker, renewal)
        if isinstance(report, LeaseReport) and report.born_ms == self._worker.born_ms:
            self._hooks.on_report(self, report, sent_ms)
