"""The choice of a worker for a request, and the load that it is based on."""

from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from math import ceil
from random import Random

from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.work import Request
from hornbeamfold.routing.candidates import Candidate, Candidates, Choice, Links, Load
from hornbeamfold.routing.instance_share import fair_share
from hornbeamfold.routing.latency import MAX_KINDS, LatencyTable

CHOICES = 2
# Bounds the cost of one choice; smaller sets of candidates are searched completely.
PROBE_LIMIT = 64
# A load report counts less with its age, and not at all after this time.
REPORT_KEEP_MS = 4_000
PEER_KEEP_MS = 3_000
# A worker that answered busy is left alone until peers' digests can show the load.
BUSY_HOLD_MS = 250
# The weight of a worker's load in its expected delay, as a share of the service time.
CROWDING = 0.5
SLOWNESS_WEIGHT = 0.1
ANSWER_BYTES_WEIGHT = 0.1
# A peer that is short of less than this is left to catch up by itself.
SHARE_SLACK = 1.0
# A peer that does not take the slots left to it within this time cannot use them.
YIELD_LIMIT_MS = 2_000
# Primes as strides, so that a walk from a random start visits each candidate once.
STRIDES = (1, 7, 13, 29, 43, 61, 89, 113)


@dataclass(frozen=True)
class _Digest:
    """The load digest of a peer; `moved_ms` is when it last started more or had none waiting."""

    at_ms: int
    in_flight: Mapping[str, int]
    in_flight_total: int
    waiting: int
    moved_ms: int


class Router:
    """The load known to one instance."""

    def __init__(
        self,
        availability_zone: str,
        region: str,
        links: Links,
        connection_limit: int,
        latencies: LatencyTable,
        rng: Random,
    ) -> None:
        self._zone = availability_zone
        self._region = region
        self._links = links
        self._connection_limit = connection_limit
        self._latencies = latencies
        self._rng = rng
        self._own: dict[str, int] = {}
        self._own_total = 0
        self._peers: dict[str, _Digest] = {}
        self._peers_total: dict[str, int] = {}
        self._reports: dict[str, tuple[int, int]] = {}
        self._held_until: dict[str, int] = {}
        self._slowness: dict[str, float] = {}
        self._answer_bytes: dict[str, float] = {}

    @property
    def in_flight(self) -> Mapping[str, int]:
        """The own requests on each worker, for the load digest."""
        return self._own

    def limit_connections(self, connection_limit: int) -> None:
        """Set how many own requests may be on one worker at once."""
        self._connection_limit = connection_limit

    def started(self, worker: str) -> None:
        """Count a request as on the worker from its choice on."""
        self._own[worker] = self._own.get(worker, 0) + 1
        self._own_total += 1

    def ended(self, worker: str) -> None:
        """Count a request as gone from the worker, whatever its outcome."""
        # The slot that it leaves shows that the worker is not full any more.
        self._held_until.pop(worker, None)
        self._own_total -= 1
        left = self._own.get(worker, 0) - 1
        if left > 0:
            self._own[worker] = left
        else:
            self._own.pop(worker, None)

    def answered(
        self, worker: str, kind: str, elapsed_ms: float, answer_bytes: int, now_ms: int
    ) -> None:
        """Learn from a success; failures say nothing about speed."""
        typical = max(1.0, self._latencies.typical_ms(kind, now_ms))
        slowness = self._slowness.get(worker, 1.0)
        self._slowness[worker] = slowness + SLOWNESS_WEIGHT * (elapsed_ms / typical - slowness)
        size = self._answer_bytes.pop(kind, float(answer_bytes))
        if len(self._answer_bytes) >= MAX_KINDS:
            del self._answer_bytes[next(iter(self._answer_bytes))]
        self._answer_bytes[kind] = size + ANSWER_BYTES_WEIGHT * (answer_bytes - size)
        self._latencies.add(kind, elapsed_ms, now_ms)

    def busy(self, worker: str, now_ms: int) -> None:
        """Note that the worker had no free slot."""
        self._held_until[worker] = now_ms + BUSY_HOLD_MS

    def reported(self, worker: str, log_free_slots: int, free_slots: int, now_ms: int) -> None:
        """Take over a load report: slots in use beyond those that are counted anyway."""
        counted = self._own.get(worker, 0) + self._peers_total.get(worker, 0)
        self._reports[worker] = (now_ms, max(0, log_free_slots - free_slots - counted))

    def peer_reported(
        self, peer: str, in_flight: Mapping[str, int], waiting: int, now_ms: int
    ) -> None:
        """Take over a peer's load digest, and drop those of peers that are silent."""
        before = self._peers.get(peer)
        total = sum(in_flight.values())
        moved = before is None or not waiting or total > before.in_flight_total
        moved_ms = now_ms if before is None or moved else before.moved_ms
        self._replace(peer, in_flight)
        self._peers[peer] = _Digest(now_ms, in_flight, total, waiting, moved_ms)
        for name, digest in list(self._peers.items()):
            if now_ms - digest.at_ms > PEER_KEEP_MS:
                self._replace(name, {})
                del self._peers[name]

    def exceeds_share(self, candidates: Candidates, waiting: int, now_ms: int) -> bool:
        """Return whether this instance should leave a slot to a peer that has too few.

        Without this, an instance that reuses its slots at once keeps them through an overload.
        """
        short = [
            digest.in_flight_total
            for digest in self._peers.values()
            if digest.waiting and now_ms - digest.moved_ms <= YIELD_LIMIT_MS
        ]
        if not short or self._own_total <= min(short):
            return False
        demands = [digest.in_flight_total + digest.waiting for digest in self._peers.values()]
        share = fair_share(candidates.slots, [*demands, self._own_total + waiting])
        return self._own_total >= share and min(short) < share - SHARE_SLACK

    def load(self, worker: str, now_ms: int) -> Load:
        """Return what is known of a worker's load."""
        at_ms, extra = self._reports.get(worker, (-1, 0))
        age_ms = now_ms - at_ms if at_ms >= 0 else -1
        weight = max(0.0, 1.0 - age_ms / REPORT_KEEP_MS) if extra else 0.0
        own, peers = self._own.get(worker, 0), self._peers_total.get(worker, 0)
        return Load(own, peers, extra * weight, age_ms)

    def choose(
        self,
        request: Request,
        candidates: Candidates,
        now_ms: int,
        exclude: AbstractSet[str] = frozenset(),
    ) -> Choice | Refused:
        """Choose a worker that is expected to have a free slot, or say that there is none."""
        every = candidates.every
        if len(every) <= len(exclude) and all(c.worker in exclude for c in every):
            return Refused(ErrorKind.NO_TARGET, "no worker in service may take the request")
        service_ms = self._latencies.typical_ms(request.kind, now_ms)
        size_kb = (len(request.body) + self._answer_bytes.get(request.kind, 0.0)) / 1024
        for group, reason in (
            (candidates.own, "own subset"),
            (candidates.every, "no free slot in the own subset"),
        ):
            found = self._sample(group, now_ms, exclude)
            if not found:
                continue
            scored = [(self._delay(c, now_ms, service_ms, size_kb), c.worker, c) for c in found]
            expected_ms, worker, best = min(scored)
            crosses = best.region != self._region
            compared = tuple(c.worker for c in found)
            load = self.load(worker, now_ms)
            return Choice(worker, reason, expected_ms, crosses, compared, load)
        return Refused(ErrorKind.OVERLOADED, "no worker is expected to have a free slot")

    def _sample(
        self, group: Sequence[Candidate], now_ms: int, exclude: AbstractSet[str]
    ) -> list[Candidate]:
        """Walk the group from a random start until enough candidates have a free slot."""
        found: list[Candidate] = []
        size = len(group)
        if size == 0:
            return found
        at = self._rng.randrange(size)
        stride = self._rng.choice(STRIDES)
        if size % stride == 0:
            stride = 1
        for _ in range(min(size, PROBE_LIMIT)):
            candidate = group[at]
            at = (at + stride) % size
            if candidate.worker in exclude or not self._has_room(candidate, now_ms):
                continue
            found.append(candidate)
            if len(found) == CHOICES:
                break
        return found

    def _has_room(self, candidate: Candidate, now_ms: int) -> bool:
        worker = candidate.worker
        own = self._own.get(worker, 0)
        if own >= self._connection_limit or self._held_until.get(worker, 0) > now_ms:
            return False
        return own + self._foreign(worker, now_ms) < candidate.free_slots

    def _foreign(self, worker: str, now_ms: int) -> int:
        """Return the slots in use by others, rounded up because the slots are a hard limit."""
        peers = self._peers_total.get(worker, 0)
        at_ms, extra = self._reports.get(worker, (0, 0))
        if not extra:
            return peers
        return peers + ceil(extra * max(0.0, 1.0 - (now_ms - at_ms) / REPORT_KEEP_MS))

    def _delay(self, candidate: Candidate, now_ms: int, service_ms: float, size_kb: float) -> float:
        """Return the expected delay, with bytes across regions priced as delay."""
        worker = candidate.worker
        busy = self._own.get(worker, 0) + self._foreign(worker, now_ms)
        service_ms *= self._slowness.get(worker, 1.0)
        delay_ms = service_ms * (1.0 + CROWDING * busy / candidate.free_slots)
        if candidate.region != self._region:
            links = self._links
            return delay_ms + 2 * links.region_ms + size_kb * links.region_price_ms_per_kb
        if candidate.availability_zone != self._zone:
            return delay_ms + 2 * self._links.zone_ms
        return delay_ms

    def _replace(self, peer: str, in_flight: Mapping[str, int]) -> None:
        totals = self._peers_total
        known = self._peers.get(peer)
        before = known.in_flight if known is not None else {}
        for worker, count in before.items():
            totals[worker] = totals.get(worker, 0) - count
        for worker, count in in_flight.items():
            totals[worker] = totals.get(worker, 0) + count
        for worker in before:
            if totals.get(worker) == 0:
                del totals[worker]
