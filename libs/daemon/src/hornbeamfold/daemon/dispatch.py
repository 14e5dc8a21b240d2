"""Chooses workers for requests, queues requests when all slots are taken, and sends them."""

from collections.abc import Set
from dataclasses import dataclass
from random import Random

import eventlet
from eventlet.event import Event

from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.follower import LogFollower
from hornbeamfold.daemon.keeper import JOB_TASK_PREFIX
from hornbeamfold.daemon.slots import Slot
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
# The connections of a worker are shared by at least this many instances.
MIN_INSTANCES = 9
# The rest of a deadline that is left to the reply's way back.
REPLY_MARGIN_MS = 20
MIN_RUN_MS = 10
PUMP_MS = 100
# Each worker is in the own subset of this many instances.
SUBSET_OWNERS = 3

# These events are frequent and change nothing that the candidates are made of.
WITHOUT_CAPACITY = (
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
class _Wait:
    """A request that waits for a slot, and the event that brings its outcome."""

    request: Request
    exclude: frozenset[str]
    granted: Event


class Dispatcher:
    """The routing state of one instance."""

    def __init__(
        self,
        name: str,
        availability_zone: str,
        region: str,
        follower: LogFollower,
        peers: PeerTable,
        client: WorkerClient,
        clock: Clock,
        wall: Clock,
        max_queue: int,
        rng: Random,
    ) -> None:
        self._name = name
        self._region = region
        self._follower = follower
        self._peers = peers
        self._client = client
        self._clock = clock
        self._wall = wall
        self._latencies = LatencyTable()
        limit = WORKER_CONNECTIONS // MIN_INSTANCES - 1
        self._router = Router(availability_zone, region, LinkCosts(), limit, self._latencies, rng)
        self._budget = RetryBudget(clock())
        self._outliers = OutlierTable()
        self._queue: FairQueue[_Wait] = FairQueue(max_queue, self._weight)
        self._running = 0
        self._leaving: frozenset[str] = frozenset()
        self._owners: tuple[object, ...] = ()
        self._own: frozenset[str] = frozenset()
        self._basis: tuple[object, ...] = ()
        self._candidates = Candidates((), ())
        self._basis_view = follower.view
        self._capacity_changes = 0
        gauge("hornbeamfold_queued_requests", "Requests waiting here", lambda: len(self._queue))

    @property
    def in_flight(self) -> dict[str, int]:
        """Own requests on each worker, for the heartbeat."""
        return dict(self._router.in_flight)

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a slot, for the heartbeat."""
        return len(self._queue)

    @property
    def set_aside(self) -> tuple[str, ...]:
        """The workers that this instance has ejected, for the heartbeat."""
        return self._outliers.ejected_workers()

    def run_queue(self) -> None:
        """Grant slots that free up elsewhere, and refuse requests whose deadline has passed."""
        while True:
            eventlet.sleep(PUMP_MS / 1_000)
            for waiting in self._queue.pop_expired(self._wall()):
                waiting.payload.granted.send(
                    Refused(ErrorKind.DEADLINE_PASSED, "The deadline passed in the queue.")
                )
            self._pump()

    def set_leaving(self, workers: frozenset[str]) -> None:
        """Take over the workers that leave."""
        self._leaving = workers

    def worker_reported(self, worker: str, reply: SyncReply) -> None:
        """Take over the load that a worker reported to its keeper."""
        capacity = self._follower.view.capacities.get(worker)
        if capacity is not None:
            self._router.record_load_report(
                worker, capacity.free_slots, reply.free_slots, self._clock()
            )

    def folded(self, entry: Entry, applied: tuple[Applied, ...]) -> None:
        """Note changes of capacities, and learn which workers fail everything they start.

        All instances fold the same reports, so that all set the same workers aside.
        """
        del entry
        now = self._clock()
        for verdict in applied:
            if not verdict.accepted or isinstance(verdict.event, WITHOUT_CAPACITY):
                continue
            self._capacity_changes += 1
            if not isinstance(verdict.event, MembersReported):
                continue
            for report in verdict.event.reports:
                key = (report.organisation, f"{JOB_TASK_PREFIX}{report.job_id}")
                if report.state == MemberState.FAILED:
                    self._outliers.record_failure(report.worker, key, now)
                if report.state == MemberState.FINISHED:
                    self._outliers.record_success(report.worker, now, now)

    def peer_reported(self, heartbeat: PeerHeartbeat) -> None:
        """Take over a peer's load digest and its ejected workers."""
        now = self._clock()
        self._router.record_peer_digest(heartbeat.name, heartbeat.in_flight, heartbeat.waiting, now)
        self._outliers.set_peer_ejections(heartbeat.name, heartbeat.set_aside, now)

    def acquire(self, request: Request, exclude: frozenset[str]) -> Slot | Refused:
        """Choose a worker, waiting in the queue while all slots are taken."""
        if not exclude:
            self._budget.deposit()
        if len(self._queue) == 0:
            choice = self._choose(request, exclude)
            if isinstance(choice, Choice):
                return self._take(request, choice)
            if choice.kind != ErrorKind.OVERLOADED:
                return self._refuse(request, choice)
        return self._wait(request, exclude)

    def cancel(self, key: Key) -> bool:
        """Cancel a request that waits in the queue; return whether it did."""
        waiting = self._queue.cancel(key)
        if waiting is None:
            return False
        waiting.payload.granted.send(Refused(ErrorKind.CANCELLED, "The request was cancelled."))
        return True

    def may_retry(self, request: Request) -> bool:
        """Take a token of the retry budget."""
        del request
        return self._budget.try_withdraw(self._clock())

    def hedge_delay(self, request: Request) -> float | None:
        """Return when a second try is worth it, or None if that is not known."""
        return self._latencies.hedge_after_ms(request.kind, self._clock())

    def hedge(self, request: Request, exclude: frozenset[str]) -> Slot | None:
        """Return a second worker if there is a free slot and a token for it."""
        # A second copy must not take a slot that a waiting request needs.
        if len(self._queue):
            return None
        choice = self._choose(request, exclude)
        if not isinstance(choice, Choice) or not self._budget.try_withdraw(self._clock()):
            return None
        return self._take(request, choice, "hedge: ")

    def run(self, request: Request, digest: str, task: str, slot: Slot) -> RunOutcome:
        """Send a request to the worker of its slot and learn from the outcome."""
        worker = slot.worker
        started = self._clock()
        left = request.deadline_ms - self._wall() - REPLY_MARGIN_MS
        message = RunRequest(
            task,
            request.organisation,
            request.request_id,
            request.kind,
            request.body,
            digest,
            request.deadline_ms,
            self._wall() + START_ORDER_VALIDITY_MS,
        )
        self._running += 1
        self._outliers.record_start(worker.name, started)
        try:
            outcome = self._client.run(worker, message, max(MIN_RUN_MS, left))
        finally:
            self._running -= 1
            slot.release()
        self._learn(request, worker, outcome, started)
        if slot.choice.crosses_regions:
            answer = outcome.answer if isinstance(outcome, RunDone) else ""
            count_cross_region(len(request.body) + len(answer))
        count_dispatches(1, outcome=type(outcome).__name__)
        return outcome

    def _learn(self, request: Request, worker: Worker, outcome: RunOutcome, started: int) -> None:
        now = self._clock()
        if isinstance(outcome, RunDone):
            self._outliers.record_success(worker.name, started, now)
            size = len(outcome.answer)
            self._router.record_answer(worker.name, request.kind, now - started, size, now)
            return
        if isinstance(outcome, RunBusy):
            self._outliers.record_abandoned(worker.name)
            self._router.record_busy(worker.name, now)
            return
        timed_out = isinstance(outcome, NoReply) and self._wall() >= request.deadline_ms
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

    def _wait(self, request: Request, exclude: frozenset[str]) -> Slot | Refused:
        now = self._wall()
        wait = _Wait(request, exclude, Event())
        service_ms = self._latencies.typical_ms(request.kind, self._clock())
        waiting = QueuedRequest(
            request.key, request.urgent, now, request.deadline_ms, service_ms, wait
        )
        queued = self._queue.offer(waiting, max(self._running, 1), now)
        if isinstance(queued, Refused):
            return self._refuse(request, queued)
        if queued.evicted is not None:
            queued.evicted.payload.granted.send(
                Refused(ErrorKind.OVERLOADED, "An organisation with a smaller share was queued.")
            )
        self._pump()
        granted = wait.granted.wait()
        if isinstance(granted, Refused):
            return self._refuse(request, granted)
        return granted

    def _pump(self) -> None:
        """Give free slots to waiting requests in the order of the queue."""
        candidates = self._present_candidates()
        while len(self._queue):
            if self._router.exceeds_fair_share(candidates, len(self._queue), self._clock()):
                return
            waiting = self._queue.take(self._wall())
            if waiting is None:
                return
            wait = waiting.payload
            choice = self._choose(wait.request, wait.exclude)
            if isinstance(choice, Choice):
                wait.granted.send(self._take(wait.request, choice, "after a wait: "))
                continue
            if choice.kind == ErrorKind.OVERLOADED:
                self._queue.put_back(waiting)
                return
            wait.granted.send(choice)

    def _choose(self, request: Request, exclude: Set[str]) -> Choice | Refused:
        candidates = self._present_candidates()
        now = self._clock()
        ejected = self._outliers.excluded(
            now, len(candidates.all), request.idempotent, request.urgent
        )
        return self._router.choose(request, candidates, now, frozenset(exclude) | ejected)

    def _take(self, request: Request, choice: Choice, prefix: str = "") -> Slot:
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
        return Slot(worker, choice, self._released)

    def _released(self, worker: str) -> None:
        self._router.request_ended(worker)
        if len(self._queue):
            self._pump()

    def _refuse(self, request: Request, refused: Refused) -> Refused:
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

    def _present_candidates(self) -> Candidates:
        view = self._follower.view
        live = self._peers.live(self._clock())
        owners = (live, view.workers_version)
        if owners != self._owners:
            self._owners = owners
            self._own = self._own_subset([name for name, _ in live] or [self._name])
        basis = (owners, self._capacity_changes, self._leaving)
        # A loaded snapshot brings another view without events.
        if basis != self._basis or view is not self._basis_view:
            self._basis = basis
            self._basis_view = view
            self._candidates = make_candidates(view.capacities.values(), self._own, self._leaving)
        return self._candidates

    def _own_subset(self, names: list[str]) -> frozenset[str]:
        """Return the workers that this instance prefers, and share the connections anew."""
        share = WORKER_CONNECTIONS // max(MIN_INSTANCES, len(names))
        self._router.set_connection_limit(max(1, share - 1))
        return frozenset(
            worker
            for worker in self._follower.view.workers
            if self._name in rank_names(worker, names)[:SUBSET_OWNERS]
        )

    def _weight(self, organisation: str) -> float:
        known = self._follower.view.organisations.get(organisation)
        return known.weight if known is not None and known.weight > 0 else 1.0
