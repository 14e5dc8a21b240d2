"""Chooses workers for requests, queues requests when all slots are taken, and sends them."""

from collections.abc import Set
from dataclasses import dataclass
from random import Random

import eventlet
from eventlet.event import Event

from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.follower import LogFollower
from hornbeamfold.daemon.slots import Slot
from hornbeamfold.daemon.worker_sync import JOB_TASK_PREFIX
from hornbeamfold.membership import PeerTable, rank_names
from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.events import (
    Applied,
    ClaimDone,
    ClaimMade,
    ClaimMoved,
    ClaimReleased,
    Entry,
    JobJudged,
    JobSubmitted,
    MembersReported,
    SnapshotPart,
)
from hornbeamfold.model.status import PeerHeartbeat
from hornbeamfold.model.timing import START_ORDER_VALIDITY_MS
from hornbeamfold.model.topology import Worker
from hornbeamfold.model.work import MemberState, Request
from hornbeamfold.routing import (
    Candidates,
    Choice,
    FairQueue,
    LatencyTable,
    LinkCosts,
    OutlierTable,
    QueuedRequest,
    RetryBudget,
    Router,
    make_candidates,
)
from hornbeamfold.telemetry import counter, gauge, log_decision
from hornbeamfold.workers import (
    CallFailure,
    NoReply,
    RunBusy,
    RunDone,
    RunFailed,
    RunOutcome,
    RunRequest,
    SyncReply,
    WorkerClient,
)

WORKER_CONNECTIONS = 64
# The connections to a worker are divided among at least this many instances.
MIN_INSTANCES = 9
# The part of the time to the deadline that is reserved for returning the reply.
REPLY_MARGIN_MS = 20
MIN_RUN_TIMEOUT_MS = 10
QUEUE_CHECK_MS = 100
# Each worker is in the preferred subset of this many instances.
SUBSET_INSTANCES = 3

# These events are frequent and do not change the capacities from which candidates are built.
EVENTS_WITHOUT_CAPACITY_CHANGE = (
    ClaimDone,
    ClaimMade,
    ClaimMoved,
    ClaimReleased,
    JobJudged,
    JobSubmitted,
    SnapshotPart,
)

count_dispatches = counter("hornbeamfold_dispatches", "Requests sent to workers by outcome")
count_cross_region = counter("hornbeamfold_cross_region_bytes", "Bytes sent to other regions")

Key = tuple[str, str]


@dataclass(frozen=True)
class _SlotWaiter:
    """A queued request, and the event that is sent its slot or a refusal."""

    request: Request
    exclude: frozenset[str]
    granted: Event


class Dispatcher:
    """Routes requests to workers and keeps the routing state of this instance."""

    def __init__(
        self,
        name: str,
        availability_zone: str,
        region: str,
        follower: LogFollower,
        peers: PeerTable,
        client: WorkerClient,
        clock: Clock,
        wall_clock: Clock,
        max_queue: int,
        rng: Random,
    ) -> None:
        self._name = name
        self._region = region
        self._follower = follower
        self._peers = peers
        self._client = client
        self._clock = clock
        self._wall_clock = wall_clock
        self._latencies = LatencyTable()
        limit = WORKER_CONNECTIONS // MIN_INSTANCES - 1
        self._router = Router(availability_zone, region, LinkCosts(), limit, self._latencies, rng)
        self._budget = RetryBudget(clock())
        self._outliers = OutlierTable()
        self._queue: FairQueue[_SlotWaiter] = FairQueue(max_queue, self._weight_of)
        self._running = 0
        self._leaving_workers: frozenset[str] = frozenset()
        self._subset_key: tuple[object, ...] = ()
        self._preferred: frozenset[str] = frozenset()
        self._candidates_key: tuple[object, ...] = ()
        self._candidates = Candidates((), ())
        self._candidates_view = follower.view
        self._capacity_changes = 0
        gauge("hornbeamfold_queued_requests", "Requests waiting here", lambda: len(self._queue))

    @property
    def in_flight(self) -> dict[str, int]:
        """The requests of this instance in flight on each worker; sent with the heartbeat."""
        return dict(self._router.in_flight)

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a slot; sent with the heartbeat."""
        return len(self._queue)

    @property
    def set_aside(self) -> tuple[str, ...]:
        """The workers that this instance has ejected as outliers; sent with the heartbeat."""
        return self._outliers.ejected_workers()

    def run_queue(self) -> None:
        """Periodically grant free slots and refuse queued requests whose deadline has passed.

        This covers slots that are freed by other instances.
        """
        while True:
            eventlet.sleep(QUEUE_CHECK_MS / 1_000)
            for queued_request in self._queue.pop_expired(self._wall_clock()):
                queued_request.payload.granted.send(
                    Refused(ErrorKind.DEADLINE_PASSED, "The deadline passed in the queue.")
                )
            self._grant_slots()

    def set_leaving(self, workers: frozenset[str]) -> None:
        """Set the workers that are leaving, which get no new requests."""
        self._leaving_workers = workers

    def on_worker_load(self, worker: str, reply: SyncReply) -> None:
        """Record the load that a worker reported in an exchange."""
        capacity = self._follower.view.capacities.get(worker)
        if capacity is not None:
            self._router.record_load_report(
                worker, capacity.free_slots, reply.free_slots, self._clock()
            )

    def on_applied(self, entry: Entry, applied: tuple[Applied, ...]) -> None:
        """Invalidate the candidates on capacity changes and record the outcomes of job members.

        All instances apply the same reports, so that all eject the same workers.
        """
        del entry
        now = self._clock()
        for verdict in applied:
            if not verdict.accepted or isinstance(verdict.event, EVENTS_WITHOUT_CAPACITY_CHANGE):
                continue
            self._capacity_changes += 1
            if not isinstance(verdict.event, MembersReported):
                continue
            for report in verdict.event.reports:
                if report.not_started:
                    continue
                key = (report.organisation, f"{JOB_TASK_PREFIX}{report.job_id}")
                if report.state == MemberState.FAILED:
                    self._outliers.record_failure(report.worker, key, now)
                if report.state == MemberState.FINISHED:
                    self._outliers.record_success(report.worker, now, now)

    def on_peer_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Record the load of a peer and the workers that it has ejected."""
        now = self._clock()
        self._router.record_peer_digest(heartbeat.name, heartbeat.in_flight, heartbeat.waiting, now)
        self._outliers.set_peer_ejections(heartbeat.name, heartbeat.set_aside, now)

    def acquire(self, request: Request, exclude: frozenset[str]) -> Slot | Refused:
        """Choose a worker and take a slot on it, queueing the request while all are taken."""
        if not exclude:
            self._budget.deposit()
        if len(self._queue) == 0:
            choice = self._choose(request, exclude)
            if isinstance(choice, Choice):
                return self._reserve_slot(request, choice)
            if choice.kind != ErrorKind.OVERLOADED:
                return self._log_refusal(request, choice)
        return self._wait_for_slot(request, exclude)

    def cancel(self, key: Key) -> bool:
        """Cancel a queued request; return False if it was not in the queue."""
        queued_request = self._queue.cancel(key)
        if queued_request is None:
            return False
        queued_request.payload.granted.send(
            Refused(ErrorKind.CANCELLED, "The request was cancelled.")
        )
        return True

    def may_retry(self, request: Request) -> bool:
        """Spend a token of the retry budget; return False if none is left."""
        del request
        return self._budget.try_withdraw(self._clock())

    def hedge_delay(self, request: Request) -> float | None:
        """Return the delay in ms before a hedged request, or None without enough samples."""
        return self._latencies.hedge_after_ms(request.kind, self._clock())

    def hedge(self, request: Request, exclude: frozenset[str]) -> Slot | None:
        """Return a slot on a second worker if one is free and the retry budget allows it."""
        # A hedged request must not take a slot that a queued request needs.
        if len(self._queue):
            return None
        choice = self._choose(request, exclude)
        if not isinstance(choice, Choice) or not self._budget.try_withdraw(self._clock()):
            return None
        return self._reserve_slot(request, choice, "hedge: ")

    def run(self, request: Request, digest: str, task: str, slot: Slot) -> RunOutcome:
        """Send a request to the worker of its slot and update the routing state."""
        worker = slot.worker
        started_ms = self._clock()
        remaining_ms = request.deadline_ms - self._wall_clock() - REPLY_MARGIN_MS
        message = RunRequest(
            task,
            request.organisation,
            request.request_id,
            request.kind,
            request.body,
            digest,
            request.deadline_ms,
            self._wall_clock() + START_ORDER_VALIDITY_MS,
        )
        self._running += 1
        self._outliers.record_start(worker.name, started_ms)
        try:
            outcome = self._client.run(worker, message, max(MIN_RUN_TIMEOUT_MS, remaining_ms))
        finally:
            self._running -= 1
            slot.release()
        self._record_outcome(request, worker, outcome, started_ms)
        if slot.choice.crosses_regions:
            answer = outcome.answer if isinstance(outcome, RunDone) else ""
            count_cross_region(len(request.body) + len(answer))
        count_dispatches(1, outcome=type(outcome).__name__)
        return outcome

    def _record_outcome(
        self, request: Request, worker: Worker, outcome: RunOutcome, started_ms: int
    ) -> None:
        now = self._clock()
        if isinstance(outcome, RunDone):
            self._outliers.record_success(worker.name, started_ms, now)
            size = len(outcome.answer)
            self._router.record_answer(worker.name, request.kind, now - started_ms, size, now)
            return
        if isinstance(outcome, RunBusy):
            self._outliers.record_abandoned(worker.name)
            self._router.record_busy(worker.name, now)
            return
        timed_out = isinstance(outcome, NoReply) and self._wall_clock() >= request.deadline_ms
        if timed_out or not isinstance(outcome, RunFailed | CallFailure):
            self._outliers.record_abandoned(worker.name)
            return
        blame = self._outliers.record_failure(worker.name, request.key, now)
        log_decision(
            "blame",
            blame.value,
            outcome.detail,
            worker=worker.name,
            organisation=request.organisation,
            request_id=request.request_id,
        )

    def _wait_for_slot(self, request: Request, exclude: frozenset[str]) -> Slot | Refused:
        now = self._wall_clock()
        waiter = _SlotWaiter(request, exclude, Event())
        service_ms = self._latencies.typical_ms(request.kind, self._clock())
        queued_request = QueuedRequest(
            request.key, request.urgent, now, request.deadline_ms, service_ms, waiter
        )
        queued = self._queue.offer(queued_request, max(self._running, 1), now)
        if isinstance(queued, Refused):
            return self._log_refusal(request, queued)
        if queued.evicted is not None:
            queued.evicted.payload.granted.send(
                Refused(
                    ErrorKind.OVERLOADED,
                    "The queue is full, and the request was displaced by an urgent one or by one "
                    "of an organisation with a smaller share.",
                )
            )
        self._grant_slots()
        granted = waiter.granted.wait()
        if isinstance(granted, Refused):
            return self._log_refusal(request, granted)
        return granted

    def _grant_slots(self) -> None:
        """Grant free slots to queued requests in queue order."""
        candidates = self._current_candidates()
        while len(self._queue):
            if self._router.exceeds_fair_share(candidates, len(self._queue), self._clock()):
                return
            queued_request = self._queue.take(self._wall_clock())
            if queued_request is None:
                return
            waiter = queued_request.payload
            choice = self._choose(waiter.request, waiter.exclude)
            if isinstance(choice, Choice):
                waiter.granted.send(self._reserve_slot(waiter.request, choice, "after a wait: "))
                continue
            if choice.kind == ErrorKind.OVERLOADED:
                self._queue.put_back(queued_request)
                return
            waiter.granted.send(choice)

    def _choose(self, request: Request, exclude: Set[str]) -> Choice | Refused:
        candidates = self._current_candidates()
        now = self._clock()
        ejected = self._outliers.excluded(
            now, len(candidates.all), request.idempotent, request.urgent
        )
        return self._router.choose(request, candidates, now, frozenset(exclude) | ejected)

    def _reserve_slot(self, request: Request, choice: Choice, prefix: str = "") -> Slot:
        worker = self._follower.view.workers[choice.worker]
        self._router.request_started(worker.name)
        log_decision(
            "route",
            worker.name,
            prefix + choice.reason,
            organisation=request.organisation,
            request_id=request.request_id,
            request_kind=request.kind,
            urgent=request.urgent,
            idempotent=request.idempotent,
            compared=list(choice.compared),
            expected_ms=round(choice.expected_ms, 1),
            busy=round(choice.load.busy, 1),
            crosses_regions=choice.crosses_regions,
            offset=self._follower.view.offset,
        )
        return Slot(worker, choice, self._on_slot_released)

    def _on_slot_released(self, worker: str) -> None:
        self._router.request_ended(worker)
        if len(self._queue):
            self._grant_slots()

    def _log_refusal(self, request: Request, refused: Refused) -> Refused:
        log_decision(
            "route",
            "refuse",
            refused.detail,
            error=refused.kind.value,
            organisation=request.organisation,
            request_id=request.request_id,
            queued=len(self._queue),
        )
        return refused

    def _current_candidates(self) -> Candidates:
        view = self._follower.view
        live = self._peers.live(self._clock())
        subset_key = (live, view.workers_version)
        if subset_key != self._subset_key:
            self._subset_key = subset_key
            self._preferred = self._preferred_subset([name for name, _ in live] or [self._name])
        candidates_key = (subset_key, self._capacity_changes, self._leaving_workers)
        # Loading a snapshot replaces the view without any event.
        if candidates_key != self._candidates_key or view is not self._candidates_view:
            self._candidates_key = candidates_key
            self._candidates_view = view
            self._candidates = make_candidates(
                view.capacities.values(), self._preferred, self._leaving_workers
            )
        return self._candidates

    def _preferred_subset(self, names: list[str]) -> frozenset[str]:
        """Return the workers that this instance prefers, and update its connection limit."""
        share = WORKER_CONNECTIONS // max(MIN_INSTANCES, len(names))
        self._router.set_connection_limit(max(1, share - 1))
        return frozenset(
            worker
            for worker in self._follower.view.workers
            if self._name in rank_names(worker, names)[:SUBSET_INSTANCES]
        )

    def _weight_of(self, organisation: str) -> float:
        known = self._follower.view.organisations.get(organisation)
        return known.weight if known is not None and known.weight > 0 else 1.0
