"""The choice of a worker for a request, and the load data that it is based on."""

from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from math import ceil
from random import Random

from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.work import Request
from hornbeamfold.routing.candidates import Candidate, Candidates, Choice, LinkCosts, Load
from hornbeamfold.routing.instance_share import fair_share
from hornbeamfold.routing.latency import MAX_KINDS, LatencyTable

# The best of two random candidates with a free slot is chosen (the power of two choices).
SAMPLE_SIZE = 2
# Bounds the cost of one choice; smaller sets of candidates are searched completely.
MAX_EXAMINED_CANDIDATES = 64
# The weight of a load report falls with its age, to zero at this age.
LOAD_REPORT_TTL_MS = 4_000
PEER_DIGEST_TTL_MS = 3_000
# A worker that answered "busy" gets no requests for this long, in which the load digests of the
# peers can arrive that show its load.
BUSY_BACKOFF_MS = 250
# The expected delay on a fully loaded worker is longer by this fraction of the service time.
LOAD_DELAY_FACTOR = 0.5
SLOWNESS_EWMA_ALPHA = 0.1
ANSWER_BYTES_EWMA_ALPHA = 0.1
# A peer at most this many slots below its fair share is left to catch up by itself.
FAIR_SHARE_TOLERANCE = 1.0
# A peer that does not use the slots yielded to it within this time cannot use them.
MAX_YIELD_MS = 2_000
# Prime strides, so that a walk from a random start visits each candidate once.
STRIDES = (1, 7, 13, 29, 43, 61, 89, 113)


@dataclass(frozen=True)
class _LoadDigest:
    """The load digest of a peer.

    `progress_ms` is when the number of its requests in flight last grew or no request waited.
    """

    at_ms: int
    in_flight: Mapping[str, int]
    in_flight_total: int
    waiting: int
    progress_ms: int


class Router:
    """Chooses workers by the load that one instance knows."""

    def __init__(
        self,
        availability_zone: str,
        region: str,
        links: LinkCosts,
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
        self._own_in_flight: dict[str, int] = {}
        self._own_in_flight_total = 0
        self._peer_digests: dict[str, _LoadDigest] = {}
        self._peers_in_flight: dict[str, int] = {}
        self._reports: dict[str, tuple[int, int]] = {}
        self._busy_until: dict[str, int] = {}
        self._slowness: dict[str, float] = {}
        self._answer_bytes: dict[str, float] = {}

    @property
    def in_flight(self) -> Mapping[str, int]:
        """The requests of this instance on each worker, for the load digest."""
        return self._own_in_flight

    def set_connection_limit(self, connection_limit: int) -> None:
        """Set how many requests of this instance one worker may have at once."""
        self._connection_limit = connection_limit

    def request_started(self, worker: str) -> None:
        """Count a request as in flight, from the choice of its worker on."""
        self._own_in_flight[worker] = self._own_in_flight.get(worker, 0) + 1
        self._own_in_flight_total += 1

    def request_ended(self, worker: str) -> None:
        """Count a request as ended, whatever its outcome."""
        # The freed slot shows that the worker is no longer full.
        self._busy_until.pop(worker, None)
        self._own_in_flight_total -= 1
        left = self._own_in_flight.get(worker, 0) - 1
        if left > 0:
            self._own_in_flight[worker] = left
        else:
            self._own_in_flight.pop(worker, None)

    def record_answer(
        self, worker: str, kind: str, elapsed_ms: float, answer_bytes: int, now_ms: int
    ) -> None:
        """Record the latency and size of a successful answer.

        Failures are not recorded, as they say nothing about the speed of the worker.
        """
        typical = max(1.0, self._latencies.typical_ms(kind, now_ms))
        slowness = self._slowness.get(worker, 1.0)
        self._slowness[worker] = slowness + SLOWNESS_EWMA_ALPHA * (elapsed_ms / typical - slowness)
        size = self._answer_bytes.pop(kind, float(answer_bytes))
        if len(self._answer_bytes) >= MAX_KINDS:
            del self._answer_bytes[next(iter(self._answer_bytes))]
        self._answer_bytes[kind] = size + ANSWER_BYTES_EWMA_ALPHA * (answer_bytes - size)
        self._latencies.add(kind, elapsed_ms, now_ms)

    def record_busy(self, worker: str, now_ms: int) -> None:
        """Record that the worker answered that it has no free slot."""
        self._busy_until[worker] = now_ms + BUSY_BACKOFF_MS

    def record_load_report(
        self, worker: str, log_free_slots: int, free_slots: int, now_ms: int
    ) -> None:
        """Record a worker's load report: the slots in use beyond the requests counted already."""
        counted = self._own_in_flight.get(worker, 0) + self._peers_in_flight.get(worker, 0)
        self._reports[worker] = (now_ms, max(0, log_free_slots - free_slots - counted))

    def record_peer_digest(
        self, peer: str, in_flight: Mapping[str, int], waiting: int, now_ms: int
    ) -> None:
        """Record a peer's load digest, and drop the digests that have expired."""
        before = self._peer_digests.get(peer)
        total = sum(in_flight.values())
        progressed = before is None or not waiting or total > before.in_flight_total
        progress_ms = now_ms if before is None or progressed else before.progress_ms
        self._replace_peer_counts(peer, in_flight)
        self._peer_digests[peer] = _LoadDigest(now_ms, in_flight, total, waiting, progress_ms)
        for name, digest in list(self._peer_digests.items()):
            if now_ms - digest.at_ms > PEER_DIGEST_TTL_MS:
                self._replace_peer_counts(name, {})
                del self._peer_digests[name]

    def exceeds_fair_share(self, candidates: Candidates, waiting: int, now_ms: int) -> bool:
        """Return whether this instance should yield a slot to a peer below its fair share.

        Without this, an instance that reuses each freed slot at once would keep all its slots for
        as long as an overload lasts.
        """
        waiting_peer_totals = [
            digest.in_flight_total
            for digest in self._peer_digests.values()
            if digest.waiting and now_ms - digest.progress_ms <= MAX_YIELD_MS
        ]
        if not waiting_peer_totals or self._own_in_flight_total <= min(waiting_peer_totals):
            return False
        demands = [
            digest.in_flight_total + digest.waiting for digest in self._peer_digests.values()
        ]
        share = fair_share(candidates.slots, [*demands, self._own_in_flight_total + waiting])
        return (
            self._own_in_flight_total >= share
            and min(waiting_peer_totals) < share - FAIR_SHARE_TOLERANCE
        )

    def load(self, worker: str, now_ms: int) -> Load:
        """Return the known load of a worker."""
        at_ms, unaccounted = self._reports.get(worker, (-1, 0))
        age_ms = now_ms - at_ms if at_ms >= 0 else -1
        weight = max(0.0, 1.0 - age_ms / LOAD_REPORT_TTL_MS) if unaccounted else 0.0
        own, peers = self._own_in_flight.get(worker, 0), self._peers_in_flight.get(worker, 0)
        return Load(own, peers, unaccounted * weight, age_ms)

    def choose(
        self,
        request: Request,
        candidates: Candidates,
        now_ms: int,
        exclude: AbstractSet[str] = frozenset(),
    ) -> Choice | Refused:
        """Choose a worker that is expected to have a free slot, or refuse if there is none."""
        every = candidates.all
        if len(every) <= len(exclude) and all(c.worker in exclude for c in every):
            return Refused(ErrorKind.NO_TARGET, "no worker in service may take the request")
        service_ms = self._latencies.typical_ms(request.kind, now_ms)
        size_kb = (len(request.body) + self._answer_bytes.get(request.kind, 0.0)) / 1024
        for group, reason in (
            (candidates.own_subset, "own subset"),
            (candidates.all, "no free slot in the own subset"),
        ):
            found = self._sample(group, now_ms, exclude)
            if not found:
                continue
            scored = [
                (self._expected_delay_ms(c, now_ms, service_ms, size_kb), c.worker, c)
                for c in found
            ]
            expected_ms, worker, best = min(scored)
            crosses = best.region != self._region
            compared = tuple(c.worker for c in found)
            load = self.load(worker, now_ms)
            return Choice(worker, reason, expected_ms, crosses, compared, load)
        return Refused(ErrorKind.OVERLOADED, "no worker is expected to have a free slot")

    def _sample(
        self, group: Sequence[Candidate], now_ms: int, exclude: AbstractSet[str]
    ) -> list[Candidate]:
        """Walk the group from a random start until enough candidates with a free slot are found."""
        found: list[Candidate] = []
        size = len(group)
        if size == 0:
            return found
        at = self._rng.randrange(size)
        stride = self._rng.choice(STRIDES)
        if size % stride == 0:
            stride = 1
        for _ in range(min(size, MAX_EXAMINED_CANDIDATES)):
            candidate = group[at]
            at = (at + stride) % size
            if candidate.worker in exclude or not self._has_free_slot(candidate, now_ms):
                continue
            found.append(candidate)
            if len(found) == SAMPLE_SIZE:
                break
        return found

    def _has_free_slot(self, candidate: Candidate, now_ms: int) -> bool:
        worker = candidate.worker
        own = self._own_in_flight.get(worker, 0)
        if own >= self._connection_limit or self._busy_until.get(worker, 0) > now_ms:
            return False
        return own + self._slots_used_by_others(worker, now_ms) < candidate.free_slots

    def _slots_used_by_others(self, worker: str, now_ms: int) -> int:
        """Return the slots that others use, rounded up because the slots are a hard limit."""
        peers = self._peers_in_flight.get(worker, 0)
        at_ms, unaccounted = self._reports.get(worker, (0, 0))
        if not unaccounted:
            return peers
        return peers + ceil(unaccounted * max(0.0, 1.0 - (now_ms - at_ms) / LOAD_REPORT_TTL_MS))

    def _expected_delay_ms(
        self, candidate: Candidate, now_ms: int, service_ms: float, size_kb: float
    ) -> float:
        """Return the expected delay, to which traffic between regions adds its cost as delay."""
        worker = candidate.worker
        busy = self._own_in_flight.get(worker, 0) + self._slots_used_by_others(worker, now_ms)
        service_ms *= self._slowness.get(worker, 1.0)
        delay_ms = service_ms * (1.0 + LOAD_DELAY_FACTOR * busy / candidate.free_slots)
        if candidate.region != self._region:
            links = self._links
            return delay_ms + 2 * links.region_ms + size_kb * links.region_price_ms_per_kb
        if candidate.availability_zone != self._zone:
            return delay_ms + 2 * self._links.zone_ms
        return delay_ms

    def _replace_peer_counts(self, peer: str, in_flight: Mapping[str, int]) -> None:
        totals = self._peers_in_flight
        known = self._peer_digests.get(peer)
        before = known.in_flight if known is not None else {}
        for worker, count in before.items():
            totals[worker] = totals.get(worker, 0) - count
        for worker, count in in_flight.items():
            totals[worker] = totals.get(worker, 0) + count
        for worker in before:
            if totals.get(worker) == 0:
                del totals[worker]
