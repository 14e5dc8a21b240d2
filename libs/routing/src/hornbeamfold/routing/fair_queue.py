"""The bounded request queue of an instance: urgent first, weighted fair by organisation."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.timing import PATIENT_REQUEST_AGEING_MS

P = TypeVar("P")
Key = tuple[str, str]

# While urgent requests wait, aged patient requests get this share of the work that is started.
# Without a limit, a long overload ages all patient requests, and urgent ones wait behind them.
AGED_SHARE = 0.25
# Limits how much aged work starts in a row after a period without any.
MAX_AGED_CREDIT_MS = 1_000.0
# The deadline heap is rebuilt when its length exceeds twice that of the queue plus this number.
MAX_STALE_DEADLINES = 64
# A weight of zero would cause a division by zero and starve the organisation.
MIN_WEIGHT = 0.01


@dataclass(frozen=True)
class QueuedRequest(Generic[P]):
    """A queued request; `service_ms` is its expected service time."""

    key: Key
    urgent: bool
    arrived_ms: int
    deadline_ms: int
    service_ms: float
    payload: P

    @property
    def organisation(self) -> str:
        """The organisation that the request is charged to."""
        return self.key[0]


@dataclass(frozen=True)
class Queued(Generic[P]):
    """The request was queued; `evicted` lost its place to it and is refused as not run."""

    expected_wait_ms: float
    evicted: QueuedRequest[P] | None = None


class _PriorityClass(Generic[P]):
    """The requests of one priority class: start-time fair queueing over organisations."""

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._weight_of = weight_of
        self._queues: dict[str, OrderedDict[Key, QueuedRequest[P]]] = {}
        self._start_tags: dict[str, float] = {}
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

    def push(self, request: QueuedRequest[P]) -> None:
        organisation = request.organisation
        queue = self._queues.get(organisation)
        if queue is None:
            queue = self._queues[organisation] = OrderedDict()
            # An organisation gets no credit for the time in which it was idle.
            tag = self._start_tags.get(organisation, 0.0)
            self._start_tags[organisation] = max(tag, self._virtual_ms)
            self._work[organisation] = 0.0
        queue[request.key] = request
        self._work[organisation] += request.service_ms
        self._size += 1
        self._work_ms += request.service_ms

    def push_front(self, request: QueuedRequest[P]) -> None:
        """Put a request that was taken but not started at the head, and undo its charge."""
        self.push(request)
        self._queues[request.organisation].move_to_end(request.key, last=False)
        self._start_tags[request.organisation] -= self._charge(request)

    def peek(self) -> QueuedRequest[P] | None:
        """Return the first request of the organisation with the smallest start tag."""
        if not self._queues:
            return None
        # Equal tags are ordered by name, so that a request that is put back is next again.
        organisation = min(self._queues, key=lambda name: (self._start_tags[name], name))
        return next(iter(self._queues[organisation].values()))

    def dequeue(self, request: QueuedRequest[P]) -> None:
        """Remove a request that is started, and charge it to its organisation."""
        organisation = request.organisation
        self._virtual_ms = max(self._virtual_ms, self._start_tags[organisation])
        self._start_tags[organisation] += self._charge(request)
        self.remove(request)

    def remove(self, request: QueuedRequest[P]) -> None:
        queue = self._queues[request.organisation]
        del queue[request.key]
        self._work[request.organisation] -= request.service_ms
        self._size -= 1
        self._work_ms = self._work_ms - request.service_ms if self._size else 0.0
        if not queue:
            del self._queues[request.organisation]
            del self._work[request.organisation]

    def weighted_length(self, organisation: str, more: int = 0) -> float:
        """Return the number of an organisation's requests, divided by its weight."""
        held = len(self._queues.get(organisation, ())) + more
        return held / self._weight_of(organisation)

    def work_ahead_ms(self, request: QueuedRequest[P]) -> float:
        """Return the work that starts before a new request of this organisation."""
        own_weight = self._weight_of(request.organisation)
        active = self._queues.keys() | {request.organisation}
        weights = sum(self._weight_of(name) for name in active)
        own_ms = self._work.get(request.organisation, 0.0) + request.service_ms
        return min(self._work_ms, own_ms * weights / own_weight)

    def eviction_candidate(self) -> QueuedRequest[P] | None:
        """Return the newest request of the organisation with the largest weighted length."""
        if not self._queues:
            return None
        organisation = max(self._queues, key=self.weighted_length)
        return next(reversed(self._queues[organisation].values()))

    def _charge(self, request: QueuedRequest[P]) -> float:
        return request.service_ms / self._weight_of(request.organisation)


class FairQueue(Generic[P]):
    """The requests that wait in one instance."""

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

        self._classes: dict[bool, _PriorityClass[P]] = {
            True: _PriorityClass(weight),
            False: _PriorityClass(weight),
        }
        self._requests: dict[Key, QueuedRequest[P]] = {}
        self._patient_by_arrival: OrderedDict[Key, QueuedRequest[P]] = OrderedDict()
        self._deadlines: list[tuple[int, Key]] = []
        self._expired_until_ms = 0
        self._aged_credit_ms = MAX_AGED_CREDIT_MS
        self._credit_before_take: tuple[Key, float] = (("", ""), 0.0)

    def __len__(self) -> int:
        return len(self._requests)

    def offer(self, request: QueuedRequest[P], running: int, now_ms: int) -> Queued[P] | Refused:
        """Queue a request unless it would miss its deadline.

        `running` is the number of requests in flight.
        """
        if request.key in self._requests:
            return Refused(ErrorKind.DUPLICATE_REQUEST, "the request is already queued here")
        wait_ms = self._expected_wait_ms(request, running)
        if now_ms + wait_ms + request.service_ms > request.deadline_ms:
            detail = f"the expected wait of {wait_ms:.0f} ms exceeds the deadline"
            return Refused(ErrorKind.OVERLOADED, detail)
        evicted: QueuedRequest[P] | None = None
        if len(self._requests) >= self._limit:
            evicted = self._request_to_evict(request)
            if evicted is None:
                return Refused(ErrorKind.OVERLOADED, "the queue is full")
            self._remove_from_index(evicted)
            self._classes[evicted.urgent].remove(evicted)
        self._classes[request.urgent].push(request)
        self._add_to_index(request)
        self._track_deadline(request)
        return Queued(wait_ms, evicted)

    def take(self, now_ms: int) -> QueuedRequest[P] | None:
        """Remove and return the next request to start, or None if the queue is empty."""
        request = self._peek(now_ms)
        if request is None:
            return None
        self._classes[request.urgent].dequeue(request)
        self._remove_from_index(request)
        self._charge_aged(request, now_ms)
        return request

    def put_back(self, request: QueuedRequest[P]) -> None:
        """Return a request that was taken but not started to its former place.

        The caller ensures that no request with the same key was offered in between.
        """
        self._classes[request.urgent].push_front(request)
        key, credit_ms = self._credit_before_take
        if key == request.key:
            self._aged_credit_ms = credit_ms
        self._add_to_index(request)
        if request.deadline_ms <= self._expired_until_ms:
            self._track_deadline(request)
        if not request.urgent:
            self._patient_by_arrival.move_to_end(request.key, last=False)

    def cancel(self, key: Key) -> QueuedRequest[P] | None:
        """Remove and return a request, or return None if it is not queued here."""
        request = self._requests.get(key)
        if request is not None:
            self._remove_from_index(request)
            self._classes[request.urgent].remove(request)
        return request

    def pop_expired(self, now_ms: int) -> tuple[QueuedRequest[P], ...]:
        """Remove and return the requests whose deadline has passed."""
        found: list[QueuedRequest[P]] = []
        self._expired_until_ms = now_ms
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            deadline_ms, key = heappop(self._deadlines)
            request = self._requests.get(key)
            if request is None or request.deadline_ms != deadline_ms:
                continue
            self._remove_from_index(request)
            self._classes[request.urgent].remove(request)
            found.append(request)
        return tuple(found)

    def _peek(self, now_ms: int) -> QueuedRequest[P] | None:
        urgent = self._classes[True].peek()
        oldest = next(iter(self._patient_by_arrival.values()), None)
        if oldest is None or not self._is_aged(oldest, now_ms):
            return urgent or self._classes[False].peek()
        return oldest if urgent is None or self._aged_credit_ms >= 0.0 else urgent

    def _is_aged(self, request: QueuedRequest[P], now_ms: int) -> bool:
        return not request.urgent and now_ms - request.arrived_ms >= self._ageing_ms

    def _charge_aged(self, request: QueuedRequest[P], now_ms: int) -> None:
        """Charge an aged request to the aged credit, or earn credit for an urgent one."""
        self._credit_before_take = (request.key, self._aged_credit_ms)
        if request.urgent:
            earned_ms = request.service_ms * AGED_SHARE / (1.0 - AGED_SHARE)
            self._aged_credit_ms = min(MAX_AGED_CREDIT_MS, self._aged_credit_ms + earned_ms)
        elif self._is_aged(request, now_ms) and self._classes[True].size:
            self._aged_credit_ms -= request.service_ms

    def _expected_wait_ms(self, request: QueuedRequest[P], running: int) -> float:
        work_ahead_ms = self._classes[request.urgent].work_ahead_ms(request)
        if not request.urgent:
            work_ahead_ms += self._classes[True].work_ms
        return work_ahead_ms / max(1, running)

    def _request_to_evict(self, request: QueuedRequest[P]) -> QueuedRequest[P] | None:
        patient = self._classes[False].eviction_candidate()
        if request.urgent and patient is not None:
            return patient
        priority_class = self._classes[request.urgent]
        candidate = priority_class.eviction_candidate()
        if candidate is None:
            return None
        own_length = priority_class.weighted_length(request.organisation, more=1)
        return (
            candidate
            if priority_class.weighted_length(candidate.organisation) > own_length
            else None
        )

    def _add_to_index(self, request: QueuedRequest[P]) -> None:
        self._requests[request.key] = request
        if not request.urgent:
            self._patient_by_arrival[request.key] = request

    def _track_deadline(self, request: QueuedRequest[P]) -> None:
        """Add the deadline to the heap; entries of removed requests are dropped in bulk."""
        heappush(self._deadlines, (request.deadline_ms, request.key))
        if len(self._deadlines) > 2 * len(self._requests) + MAX_STALE_DEADLINES:
            self._deadlines = [(w.deadline_ms, w.key) for w in self._requests.values()]
            heapify(self._deadlines)

    def _remove_from_index(self, request: QueuedRequest[P]) -> None:
        del self._requests[request.key]
        self._patient_by_arrival.pop(request.key, None)
