"""Sends orders to one worker; those to start and stop until their outcome is known."""

from collections.abc import Callable
from dataclasses import dataclass

import eventlet
from eventlet.semaphore import Semaphore

from hornbeamfold.batch import (
    Accepted,
    Bounds,
    Clock,
    NoAnswer,
    OrderOutcome,
    PaceOrder,
    Refusal,
    Refused,
    RunName,
    StartOrder,
    StopOrder,
    Worker,
    WorkerPort,
)
from hornbeamfold.coordinator.job_tracker import Holding, Run
from hornbeamfold.telemetry import (
    counter,
    get_logger,
    histogram,
    log_exceptions,
    report_unexpected,
)

logger = get_logger("hornbeamfold.coordinator.orders")
_starts = counter("hornbeamfold_start_orders", "Start orders by outcome.")
_start_ms = histogram("hornbeamfold_start_order", "ms", "Time until a start order is answered.")

RETRY_MS = 250
# The maximum number of concurrent orders to one worker, each on its own connection.
MAX_CONCURRENT_ORDERS = 6
# Up to one order in twenty may be lost or delayed; two in a row indicate an unreachable worker.
MAX_START_ATTEMPTS = 2
# A start order relies on the last confirmed read. It expires this long before the shortest of the
# bounds, from that read on, on starts in zones out of service, on draining workers, of cancelled
# jobs and by a former configuration.
VALIDITY_MARGIN_MS = 700


@dataclass(frozen=True)
class OrderHooks:
    """The callbacks of orders to their coordinator."""

    is_active: Callable[[], bool]
    state_confirmed_ms: Callable[[], int | None]  # when the state behind starts was last confirmed
    on_settled: Callable[[RunName], None]
    on_not_started: Callable[[Run, Refusal], None]
    on_fenced: Callable[[str], None]
    is_active_run: Callable[[RunName], bool]  # whether the run is tracked and has not ended
    may_start: Callable[[Run, Worker], bool]  # whether the run may still start when it is sent
    on_sent: Callable[[RunName, int], None]  # a start order is sent to the incarnation born then
    on_held: Callable[[RunName, Holding], None]
    on_start_done: Callable[[], None] = lambda: None  # an attempt to start a run has ended


@dataclass(frozen=True)
class WorkerLink:
    """What orders need from the session with their worker."""

    worker: Callable[[], Worker]
    grant_start: Callable[[int], int | None]  # the deadline of a start that is valid until then
    is_open: Callable[[], bool]
    request_report: Callable[[], None]


class Orders:
    """Sends the orders to one worker, each in its own green thread, a few at a time."""

    def __init__(
        self,
        link: WorkerLink,
        token: int,
        port: WorkerPort,
        hooks: OrderHooks,
        bounds: Bounds,
        clock: Clock,
    ) -> None:
        self._link = link
        self._token = token
        self._port = port
        self._hooks = hooks
        self._bounds = bounds
        self._clock = clock
        self._slots = Semaphore(MAX_CONCURRENT_ORDERS)
        self._pending_starts: set[RunName] = set()
        self._pending_stops: set[RunName] = set()

    @property
    def pending_starts(self) -> int:
        """The number of start orders that wait for a slot or for their answers."""
        return len(self._pending_starts)

    def start(self, run: Run, payload: str) -> None:
        """Send a start order in the background."""
        self._pending_starts.add(run.name)
        eventlet.spawn_n(log_exceptions(self.send_start), run, payload)

    def send_start(self, run: Run, payload: str) -> None:
        """Send a start order and report its outcome through the hooks."""
        try:
            with self._slots:
                outcome_known = self._attempt_start(run, payload)
        finally:
            self._pending_starts.discard(run.name)
            self._hooks.on_start_done()
        if not outcome_known:
            # An unanswered order may still reach the worker. A stop order for the same run prevents
            # its start.
            self._stop_until_answered(run, "start order unanswered")
            self._link.request_report()

    def _attempt_start(self, run: Run, payload: str) -> bool:
        """Send a start order; return False if it may still reach the worker later."""
        confirmed_ms = self._hooks.state_confirmed_ms()
        validity_ms = min(
            self._bounds.drain_ms,
            self._bounds.cancel_ms,
            self._bounds.zone_out_ms,
            self._bounds.configuration_ms,
        )
        now = self._clock()
        until_ms = None if confirmed_ms is None else confirmed_ms + validity_ms - VALIDITY_MARGIN_MS
        # The state may have changed while the run was recorded and waited for a slot.
        if (
            until_ms is None
            or not self._hooks.is_active()
            or not self._hooks.may_start(run, self._link.worker())
        ):
            self._hooks.on_not_started(run, Refusal.TOO_LATE)
            return True
        deadline_ms = self._link.grant_start(until_ms)
        if deadline_ms is None:
            logger.info(
                "start_too_late",
                extra={
                    "request": run.name.job_id,
                    "task": list(run.name.task),
                    "run": run.name.run,
                    "worker": run.worker_id,
                    "valid_for_ms": until_ms - now,
                },
            )
            self._hooks.on_not_started(run, Refusal.TOO_LATE)
            return True
        order = StartOrder(run.name, payload, self._token, deadline_ms, run.checkpoint)
        outcome, attempts = self._start_until_answered(run, order, until_ms)
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
                "knowledge_age_ms": now - confirmed_ms if confirmed_ms is not None else None,
                "outcome": answer,
                "tries": attempts,
                "took_ms": took_ms,
            },
        )
        match outcome:
            case Accepted():
                self._hooks.on_settled(run.name)
            case Refused(Refusal.FENCED):
                self._hooks.on_fenced(f"worker {run.worker_id}")
            case Refused(reason, _) if attempts == 1:
                self._hooks.on_not_started(run, reason)
            case _:
                return False
        return True

    def _start_until_answered(
        self, run: Run, order: StartOrder, until_ms: int
    ) -> tuple[OrderOutcome, int]:
        """Send an order, retrying if there is no answer; return the last outcome and the attempts.

        A retry is safe, as a worker that already has the run accepts its order again.
        """
        attempts = 1
        outcome = self._send_start_once(run, order)
        while isinstance(outcome, NoAnswer) and attempts < MAX_START_ATTEMPTS:
            if self._clock() >= until_ms or not self._hooks.may_start(run, self._link.worker()):
                break
            attempts += 1
            outcome = self._send_start_once(run, order)
        return outcome, attempts

    def _send_start_once(self, run: Run, order: StartOrder) -> OrderOutcome:
        worker = self._link.worker()
        self._hooks.on_sent(run.name, worker.born_ms)
        outcome = _outcome_of(lambda: self._port.start(worker, order), run.name, worker)
        # An order without an answer may never have reached a worker that is cut off or down.
        match outcome:
            case Accepted():
                self._hooks.on_held(run.name, Holding.CERTAIN)
            case NoAnswer(closed=True):
                self._hooks.on_held(run.name, Holding.POSSIBLE)
        return outcome

    def stop(self, run: Run) -> None:
        """Send a stop order in the background until it is answered, unless one is under way."""
        if run.name in self._pending_stops:
            return
        self._pending_stops.add(run.name)

        def stop() -> None:
            try:
                self._stop_until_answered(run, run.stop_reason)
            finally:
                self._pending_stops.discard(run.name)

        eventlet.spawn_n(log_exceptions(stop))

    def _stop_until_answered(self, run: Run, reason: str) -> None:
        attempts = 0
        while (
            self._hooks.is_active() and self._link.is_open() and self._hooks.is_active_run(run.name)
        ):
            outcome = self._send_stop_once(run.name)
            attempts += 1
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
                            "tries": attempts,
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

    def pace(self, name: RunName, percent: int, on_outcome: Callable[[OrderOutcome], None]) -> None:
        """Send a pace order once, in the background."""

        def pace() -> None:
            on_outcome(self._send_pace_once(name, percent))

        eventlet.spawn_n(log_exceptions(pace))

    def _send_pace_once(self, name: RunName, percent: int) -> OrderOutcome:
        order = PaceOrder(name, percent, self._token)
        with self._slots:
            if not self._hooks.is_active() or not self._link.is_open():
                return Refused(Refusal.TOO_LATE)
            worker = self._link.worker()
            outcome = _outcome_of(lambda: self._port.pace(worker, order), name, worker)
        if outcome == Refused(Refusal.FENCED):
            self._hooks.on_fenced(f"worker {worker.worker_id}")
        return outcome

    def stop_unknown_run(self, name: RunName) -> None:
        """Stop a run that the worker lists and the job tracker does not have."""
        eventlet.spawn_n(log_exceptions(self._stop_once), name)

    def _send_stop_once(self, name: RunName) -> OrderOutcome:
        order = StopOrder(name, self._token)
        # The slot is not kept between two attempts: starts must not wait for a stop to be answered.
        with self._slots:
            worker = self._link.worker()
            return _outcome_of(lambda: self._port.stop(worker, order), name, worker)

    def _stop_once(self, name: RunName) -> None:
        outcome = self._send_stop_once(name)
        if outcome == Refused(Refusal.FENCED):
            self._hooks.on_fenced(f"worker {self._link.worker().worker_id}")


def _outcome_of(send: Callable[[], OrderOutcome], name: RunName, worker: Worker) -> OrderOutcome:
    """Return the outcome of an order; one that raises an exception may have been carried out.

    A run whose order was never settled would count as running for as long as its worker lives.
    """
    try:
        return send()
    except Exception as error:
        report_unexpected("order", request=name.job_id, worker=worker.worker_id)
        return NoAnswer(repr(error))
