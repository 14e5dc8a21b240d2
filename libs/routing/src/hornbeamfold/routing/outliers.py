"""Outlier ejection of workers that fail requests, unless the requests themselves are at fault.

An ejected worker gets no requests until its ejection has ended and one probe request has succeeded.
"""

from collections import OrderedDict
from collections.abc import Iterable
from enum import StrEnum

Key = tuple[str, str]

FAILURES_TO_EJECT = 3
# Needed for a worker that a peer has ejected. It is not zero: an instance ejects no worker without
# a failure of its own.
CONFIRMING_FAILURES_TO_EJECT = 1
PEER_EJECTIONS_TTL_MS = 2_000
FIRST_EJECTION_MS = 5_000
MAX_EJECTION_MS = 300_000
# Each ejection lasts twice as long as the one before, until the worker was healthy for this long.
BACKOFF_RESET_MS = 300_000
# A request is blamed after it failed on this many workers that succeed with other requests.
HEALTHY_WORKERS_TO_BLAME_REQUEST = 2
MAX_OTHER_FAILURES_OF_HEALTHY_WORKER = 1
# A success within this time shows that a worker is healthy.
RECENT_SUCCESS_MS = 60_000
# If no suitable request has come for this long, any idempotent request may be the probe.
PROBE_WAIT_MS = 2_000
# At most this share of all workers is ejected: if more of them fail, the cause is elsewhere.
MAX_EJECTED_SHARE = 0.5
MAX_FAILED_REQUESTS = 10_000


class Blame(StrEnum):
    """Whether a failure is attributed to the worker or to the request."""

    WORKER = "worker"
    REQUEST = "request"


class _WorkerRecord:
    """The recent outcomes of one worker.

    `failing_requests` maps the requests that failed since the last success to the times of their
    first failures.
    """

    def __init__(self) -> None:
        self.failing_requests: dict[Key, int] = {}
        self.succeeded_ms: int | None = None
        self.ejected_ms: int | None = None
        self.until_ms = 0
        self.ejections = 0
        self.probing = False
        self.restored_ms = 0


class OutlierTable:
    """The outcomes of requests on each worker, as seen by one instance."""

    def __init__(self) -> None:
        self._records: dict[str, _WorkerRecord] = {}
        self._workers_failed_on: OrderedDict[Key, set[str]] = OrderedDict()
        self._ejected: dict[str, _WorkerRecord] = {}
        self._peer_ejections: dict[str, tuple[int, frozenset[str]]] = {}

    def record_success(self, worker: str, started_ms: int, now_ms: int) -> None:
        """Record a success.

        It ends a run of failures or an ejection only if the request started after that began.
        """
        record = self._records.setdefault(worker, _WorkerRecord())
        record.succeeded_ms = now_ms
        if record.failing_requests and started_ms < min(record.failing_requests.values()):
            return
        if record.ejected_ms is not None:
            if started_ms < record.ejected_ms:
                return
            record.restored_ms = now_ms
            self._restore(worker, record)
        record.failing_requests.clear()

    def record_failure(self, worker: str, key: Key, now_ms: int) -> Blame:
        """Record a failure, and return what it is attributed to."""
        record = self._records.setdefault(worker, _WorkerRecord())
        failed_on = self._workers_failed_on.setdefault(key, set())
        failed_on.add(worker)
        if len(self._workers_failed_on) > MAX_FAILED_REQUESTS:
            self._workers_failed_on.popitem(last=False)
        if self.is_blamed(key, now_ms):
            for name in failed_on:
                self._records[name].failing_requests.pop(key, None)
            record.probing = False
            return Blame.REQUEST
        record.failing_requests.setdefault(key, now_ms)
        needed = (
            CONFIRMING_FAILURES_TO_EJECT
            if self.is_ejected_by_peer(worker, now_ms)
            else FAILURES_TO_EJECT
        )
        if record.ejected_ms is not None:
            if record.probing:
                self._eject(worker, record, now_ms)
        elif len(record.failing_requests) >= needed:
            if now_ms - record.restored_ms > BACKOFF_RESET_MS:
                record.ejections = 0
            self._eject(worker, record, now_ms)
        return Blame.WORKER

    def is_blamed(self, key: Key, now_ms: int) -> bool:
        """Return whether the request failed on enough workers that succeed with other requests."""
        healthy = 0
        for worker in self._workers_failed_on.get(key, ()):
            record = self._records[worker]
            if record.succeeded_ms is None or now_ms - record.succeeded_ms > RECENT_SUCCESS_MS:
                continue
            # A worker that is failing more requests than this may have started to fail all.
            other_failures = len(record.failing_requests) - (key in record.failing_requests)
            if other_failures <= MAX_OTHER_FAILURES_OF_HEALTHY_WORKER:
                healthy += 1
        return healthy >= HEALTHY_WORKERS_TO_BLAME_REQUEST

    def record_start(self, worker: str, now_ms: int) -> None:
        """Record that a request was sent; it is the probe if the ejection has ended."""
        record = self._ejected.get(worker)
        if record is not None and now_ms >= record.until_ms:
            record.probing = True

    def record_abandoned(self, worker: str) -> None:
        """Record that a request ended with no outcome, so that another one may be the probe."""
        record = self._ejected.get(worker)
        if record is not None:
            record.probing = False

    def excluded(self, now_ms: int, workers: int, idempotent: bool, urgent: bool) -> frozenset[str]:
        """Return the workers that a request with these properties must not use.

        `workers` is the total number of workers. A worker whose ejection has ended takes one
        probe. An idempotent request that is not urgent is the best probe.
        """
        found: list[str] = []
        max_ejected = int(workers * MAX_EJECTED_SHARE)
        for worker, record in self._ejected.items():
            if len(found) >= max_ejected:
                break
            probe_from_ms = record.until_ms + (PROBE_WAIT_MS if urgent else 0)
            if idempotent and not record.probing and now_ms >= probe_from_ms:
                continue
            found.append(worker)
        return frozenset(found)

    def ejected_workers(self) -> tuple[str, ...]:
        """Return the ejected workers, for the heartbeat."""
        return tuple(self._ejected)

    def set_peer_ejections(self, peer: str, workers: Iterable[str], now_ms: int) -> None:
        """Replace the list of workers that a peer has ejected."""
        self._peer_ejections[peer] = (now_ms, frozenset(workers))
        for name, (at_ms, _) in list(self._peer_ejections.items()):
            if now_ms - at_ms > PEER_EJECTIONS_TTL_MS:
                del self._peer_ejections[name]

    def is_ejected_by_peer(self, worker: str, now_ms: int) -> bool:
        """Return whether the recent list of any peer contains the worker."""
        for at_ms, workers in self._peer_ejections.values():
            if worker in workers and now_ms - at_ms <= PEER_EJECTIONS_TTL_MS:
                return True
        return False

    def _eject(self, worker: str, record: _WorkerRecord, now_ms: int) -> None:
        ejection_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** min(record.ejections, 10))
        record.ejected_ms = now_ms
        record.until_ms = now_ms + ejection_ms
        record.ejections += 1
        record.probing = False
        self._ejected[worker] = record

    def _restore(self, worker: str, record: _WorkerRecord) -> None:
        record.ejected_ms = None
        record.probing = False
        del self._ejected[worker]
