"""Start and stop orders to one worker, each sent until it is known what became of it."""

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

logger = get_logger("hornbeamfold.coordinator.orders")
_starts = counter("hornbeamfold_start_orders", "Start orders by outcome.")
_start_ms = histogram("hornbeamfold_start_order", "ms", "Time until a start order is answered.")

RETRY_MS = 250
# Orders that one worker gets at the same time, each on a connection of its own.
PARALLEL_ORDERS = 6
# One order in twenty may be lost or late at a worker; two in a row say that it is away.
START_TRIES = 2
# An order is valid for so long after the read that it rests on, less than the least of the bounds
# on zones, draining workers and cancelled jobs.
VALIDITY_MARGIN_MS = 700


@dataclass(frozen=True)
class OrderHooks:
    """What orders ask and tell their coordinator."""

    is_active: Callable[[], bool]
    knowledge_ms: Callable[[], int | None]  # when all that starts rest on was last confirmed
    on_settled: Callable[[RunName], None]
    on_not_started: Callable[[Run, Refusal], None]
    on_fenced: Callable[[str], None]
    is_listed: Callable[[RunName], bool]  # whether the run still takes room in the book
    may_start: Callable[[Run, Worker], bool]  # whether a start is still right when it is sent


@dataclass(frozen=True)
class WorkerLink:
    """What orders need of the session with their worker."""

    worker: Callable[[], Worker]
    worker_clock: Callable[[int], int | None]  # the least that it shows at a local time
    is_open: Callable[[], bool]
    report_now: Callable[[], None]


class Orders:
    """Sends the orders to one worker, each in a green thread of its own, a few at a time."""

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
        self._slots = Semaphore(PARALLEL_ORDERS)

    def start(self, run: Run, payload: str) -> None:
        """Send a start order, beside the caller."""
        self._spawn(lambda: self.send_start(run, payload))

    def _spawn(self, order: Callable[[], None]) -> None:
        def limited() -> None:
            with self._slots:
                order()

        eventlet.spawn_n(logged(limited))

    def send_start(self, run: Run, payload: str) -> None:
        """Send a start order and report what became of it."""
        knowledge = self._hooks.knowledge_ms()
        validity = min(self._bounds.drain_ms, self._bounds.cancel_ms, self._bounds.zone_out_ms)
        now = self._clock()
        until = None if knowledge is None else knowledge + validity - VALIDITY_MARGIN_MS
        clock = self._link.worker_clock(now)
        if until is None or until <= now or clock is None or not self._hooks.is_active():
            self._hooks.on_not_started(run, Refusal.TOO_LATE)
            return
        # The run was planned before it was recorded and waited for its turn here.
        if not self._hooks.may_start(run, self._link.worker()):
            self._hooks.on_not_started(run, Refusal.TOO_LATE)
            return
        order = StartOrder(run.name, payload, self._token, clock + (until - now), run.checkpoint)
        outcome, tries = self._start_until_answered(run, order, until)
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
                self._link.report_now()

    def _start_until_answered(
        self, run: Run, order: StartOrder, until_ms: int
    ) -> tuple[OrderOutcome, int]:
        """Send an order, again if there is no answer; return the last outcome and the tries.

        A worker that has the run already accepts its order again.
        """
        tries = 1
        outcome = self._port.start(self._link.worker(), order)
        while isinstance(outcome, NoAnswer) and tries < START_TRIES:
            if self._clock() >= until_ms or not self._hooks.may_start(run, self._link.worker()):
                break
            tries += 1
            outcome = self._port.start(self._link.worker(), order)
        return outcome, tries

    def stop(self, run: Run) -> None:
        """Send a stop order until it is answered, beside the caller."""
        self._spawn(lambda: self._stop(run, run.stop_reason))

    def _stop(self, run: Run, reason: str) -> None:
        tries = 0
        while self._hooks.is_active() and self._link.is_open() and self._hooks.is_listed(run.name):
            outcome = self._port.stop(self._link.worker(), StopOrder(run.name, self._token))
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
        outcome = self._port.stop(self._link.worker(), StopOrder(name, self._token))
        if outcome == Refused(Refusal.FENCED):
            self._hooks.on_fenced(f"worker {self._link.worker().worker_id}")
