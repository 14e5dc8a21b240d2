"""The bounded queue of an instance: urgent first, weighted fair over organisations."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.timing import PATIENT_REQUEST_AGEING_MS

P = TypeVar("P")
Key = tuple[str, str]

# While urgent requests wait, aged patient ones get this share of the work that is started.
# Without a limit, a long overload ages all patient requests, and urgent ones wait behind them.
AGED_SHARE = 0.25
# Limits how much aged work starts in a row after a time without any.
MAX_AGED_CREDIT_MS = 1_000.0
MAX_STALE_DEADLINES = 64
# A weight of zero would divide by zero and starve the organisation.
MIN_WEIGHT = 0.01


@dataclass(frozen=True)
class Waiting(Generic[P]):
    """A request that waits for a slot; `service_ms` is its expected service time."""

    key: Key
    urgent: bool
    arrived_ms: int
    deadline_ms: int
    service_ms: float
    payload: P

    @property
    def organisation(self) -> str:
        """The organisation whose share the request counts against."""
        return self.key[0]


@dataclass(frozen=True)
class Queued(Generic[P]):
    """The request waits; `displaced` lost its place to it and is refused as not run."""

    expected_wait_ms: float
    displaced: Waiting[P] | None = None


class _Lane(Generic[P]):
    """One priority class: start-time fair queueing over organisations."""

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._weight_of = weight_of
        self._queues: dict[str, OrderedDict[Key, Waiting[P]]] = {}
        self._tags: dict[str, float] = {}
        self._work: dict[str, float] = {}
        self._virtual_ms = 0.0
        self._work_ms = 0.0
        self._size = 0

    @property
    def size(self) -> int:
        return self._size

    @property
    def work_ms(self) -> float:
        return self._work_ms

    def push(self, waiting: Waiting[P]) -> None:
        organisation = waiting.organisation
        queue = self._queues.get(organisation)
        if queue is None:
            queue = self._queues[organisation] = OrderedDict()
            # An organisation that was idle gets no credit for that time.
            tag = self._tags.get(organisation, 0.0)
            self._tags[organisation] = max(tag, self._virtual_ms)
            self._work[organisation] = 0.0
        queue[waiting.key] = waiting
        self._work[organisation] += waiting.service_ms
        self._size += 1
        self._work_ms += waiting.service_ms

    def push_front(self, waiting: Waiting[P]) -> None:
        """Undo the charge of a request that was taken but did not start."""
        self.push(waiting)
        self._queues[waiting.organisation].move_to_end(waiting.key, last=False)
        self._tags[waiting.organisation] -= self._charge(waiting)

    def next(self) -> Waiting[P] | None:
        """Return the first request of the organisation that has had the smallest share."""
        if not self._queues:
            return None
        # Equal tags are ordered by name, so that a request put back is the next one again.
        organisation = min(self._queues, key=lambda name: (self._tags[name], name))
        return next(iter(self._queues[organisation].values()))

    def start(self, waiting: Waiting[P]) -> None:
        """Remove a request that starts, and charge it to its organisation."""
        organisation = waiting.organisation
        self._virtual_ms = max(self._virtual_ms, self._tags[organisation])
        self._tags[organisation] += self._charge(waiting)
        self.remove(waiting)

    def remove(self, waiting: Waiting[P]) -> None:
        queue = self._queues[waiting.organisation]
        del queue[waiting.key]
        self._work[waiting.organisation] -= waiting.service_ms
        self._size -= 1
        self._work_ms = self._work_ms - waiting.service_ms if self._size else 0.0
        if not queue:
            del self._queues[waiting.organisation]
            del self._work[waiting.organisation]

    def share(self, organisation: str, more: int = 0) -> float:
        """Return how much of the lane an organisation holds, by its weight."""
        held = len(self._queues.get(organisation, ())) + more
        return held / self._weight_of(organisation)

    def ahead_ms(self, waiting: Waiting[P]) -> float:
        """Return the work that starts before a new request of its organisation."""
        mine = self._weight_of(waiting.organisation)
        active = self._queues.keys() | {waiting.organisation}
        weights = sum(self._weight_of(name) for name in active)
        own_ms = self._work.get(waiting.organisation, 0.0) + waiting.service_ms
        return min(self._work_ms, own_ms * weights / mine)

    def largest(self) -> Waiting[P] | None:
        """Return the newest request of the organisation that holds most, by its weight."""
        if not self._queues:
            return None
        organisation = max(self._queues, key=self.share)
        return next(reversed(self._queues[organisation].values()))

    def _charge(self, waiting: Waiting[P]) -> float:
        return waiting.service_ms / self._weight_of(waiting.organisation)


class FairQueue(Generic[P]):
    """Requests that wait in one instance."""

    def __init__(
        self,
        limit: int,
        weight_of: Callable[[str], float],
        ageing_ms: int = PATIENT_REQUEST_AGEING_MS,
    ) -> None:
        self._limit = limit
        self._ageing_ms = ageing_ms

        def weight(organisation: str) -> float:
            return max(MIN_WEIGHT, weight_of(organisation))

        self._lanes: dict[bool, _Lane[P]] = {True: _Lane(weight), False: _Lane(weight)}
        self._waiting: dict[Key, Waiting[P]] = {}
        self._patient_by_age: OrderedDict[Key, Waiting[P]] = OrderedDict()
        self._deadlines: list[tuple[int, Key]] = []
        self._expired_ms = 0
        self._aged_credit_ms = MAX_AGED_CREDIT_MS
        self._undo: tuple[Key, float] = (("", ""), 0.0)

    def __len__(self) -> int:
        return len(self._waiting)

    def offer(self, waiting: Waiting[P], running: int, now_ms: int) -> Queued[P] | Refused:
        """Queue a request unless it would miss its deadline; `running` requests are in flight."""
        if waiting.key in self._waiting:
            return Refused(ErrorKind.DUPLICATE_REQUEST, "the request is already waiting here")
        wait_ms = self._expected_wait_ms(waiting, running)
        if now_ms + wait_ms + waiting.service_ms > waiting.deadline_ms:
            detail = f"the expected wait of {wait_ms:.0f} ms exceeds the deadline"
            return Refused(ErrorKind.OVERLOADED, detail)
        displaced: Waiting[P] | None = None
        if len(self._waiting) >= self._limit:
            displaced = self._displaced_by(waiting)
            if displaced is None:
                return Refused(ErrorKind.OVERLOADED, "the queue is full")
            self._forget(displaced)
            self._lanes[displaced.urgent].remove(displaced)
        self._lanes[waiting.urgent].push(waiting)
        self._remember(waiting)
        self._watch(waiting)
        return Queued(wait_ms, displaced)

    def take(self, now_ms: int) -> Waiting[P] | None:
        """Remove and return the request that starts next, or None if none waits."""
        waiting = self._next(now_ms)
        if waiting is None:
            return None
        self._lanes[waiting.urgent].start(waiting)
        self._forget(waiting)
        self._charge_aged(waiting, now_ms)
        return waiting

    def put_back(self, waiting: Waiting[P]) -> None:
        """Return a request that was taken but did not start to its former place.

        The caller makes sure that no request of the same key was offered in between.
        """
        self._lanes[waiting.urgent].push_front(waiting)
        key, credit_ms = self._undo
        if key == waiting.key:
            self._aged_credit_ms = credit_ms
        self._remember(waiting)
        if waiting.deadline_ms <= self._expired_ms:
            self._watch(waiting)
        if not waiting.urgent:
            self._patient_by_age.move_to_end(waiting.key, last=False)

    def cancel(self, key: Key) -> Waiting[P] | None:
        """Remove a request; None means that it does not wait here."""
        waiting = self._waiting.get(key)
        if waiting is not None:
            self._forget(waiting)
            self._lanes[waiting.urgent].remove(waiting)
        return waiting

    def expired(self, now_ms: int) -> tuple[Waiting[P], ...]:
        """Remove and return the requests whose deadline has passed."""
        found: list[Waiting[P]] = []
        self._expired_ms = now_ms
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            deadline_ms, key = heappop(self._deadlines)
            waiting = self._waiting.get(key)
            if waiting is None or waiting.deadline_ms != deadline_ms:
                continue
            self._forget(waiting)
            self._lanes[waiting.urgent].remove(waiting)
            found.append(waiting)
        return tuple(found)

    def _next(self, now_ms: int) -> Waiting[P] | None:
        urgent = self._lanes[True].next()
        oldest = next(iter(self._patient_by_age.values()), None)
        if oldest is None or not self._is_aged(oldest, now_ms):
            return urgent or self._lanes[False].next()
        return oldest if urgent is None or self._aged_credit_ms >= 0.0 else urgent

    def _is_aged(self, waiting: Waiting[P], now_ms: int) -> bool:
        return not waiting.urgent and now_ms - waiting.arrived_ms >= self._ageing_ms

    def _charge_aged(self, waiting: Waiting[P], now_ms: int) -> None:
        """Charge an aged request to the credit, which the start of urgent ones restores."""
        self._undo = (waiting.key, self._aged_credit_ms)
        if waiting.urgent:
            earned_ms = waiting.service_ms * AGED_SHARE / (1.0 - AGED_SHARE)
            self._aged_credit_ms = min(MAX_AGED_CREDIT_MS, self._aged_credit_ms + earned_ms)
        elif self._is_aged(waiting, now_ms) and self._lanes[True].size:
            self._aged_credit_ms -= waiting.service_ms

    def _expected_wait_ms(self, waiting: Waiting[P], running: int) -> float:
        ahead_ms = self._lanes[waiting.urgent].ahead_ms(waiting)
        if not waiting.urgent:
            ahead_ms += self._lanes[True].work_ms
        return ahead_ms / max(1, running)

    def _displaced_by(self, waiting: Waiting[P]) -> Waiting[P] | None:
        patient = self._lanes[False].largest()
        if waiting.urgent and patient is not None:
            return patient
        lane = self._lanes[waiting.urgent]
        candidate = lane.largest()
        if candidate is None:
            return None
        mine = lane.share(waiting.organisation, more=1)
        return candidate if lane.share(candidate.organisation) > mine else None

    def _remember(self, waiting: Waiting[P]) -> None:
        self._waiting[waiting.key] = waiting
        if not waiting.urgent:
            self._patient_by_age[waiting.key] = waiting

    def _watch(self, waiting: Waiting[P]) -> None:
        """Note the deadline; entries of requests that left earlier are dropped in bulk."""
        heappush(self._deadlines, (waiting.deadline_ms, waiting.key))
        if len(self._deadlines) > 2 * len(self._waiting) + MAX_STALE_DEADLINES:
            self._deadlines = [(w.deadline_ms, w.key) for w in self._waiting.values()]
            heapify(self._deadlines)

    def _forget(self, waiting: Waiting[P]) -> None:
        del self._waiting[waiting.key]
        self._patient_by_age.pop(waiting.key, None)
