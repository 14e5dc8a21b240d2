"""Workers set aside because they fail everything, told apart from requests that always fail."""

from collections import OrderedDict
from collections.abc import Iterable
from enum import StrEnum

Key = tuple[str, str]

FAILURES_TO_EJECT = 3
# A peer that set the worker aside lowers what this instance must see itself, but not to zero.
HINTED_FAILURES_TO_EJECT = 1
HINT_KEEP_MS = 2_000
FIRST_EJECTION_MS = 5_000
MAX_EJECTION_MS = 300_000
# A worker that was ejected stays on its step of the doubling until it was well for this long.
FORGIVE_MS = 300_000
# A request is blamed after failing on this many workers that succeed with other requests.
WORKERS_TO_BLAME = 2
OTHER_FAILURES_OF_A_WORKING_WORKER = 1
# A success within this time shows that a worker works.
PROOF_MS = 60_000
# Without a fitting probe for this long, any idempotent request may be the probe.
PROBE_WAIT_MS = 2_000
# More than this share of all workers is never set aside: the cause is then elsewhere.
MAX_EJECTED_SHARE = 0.5
MAX_FAILED_REQUESTS = 10_000


class Blame(StrEnum):
    """What a failure counts against."""

    WORKER = "worker"
    REQUEST = "request"


class _Record:
    """The recent outcomes of one worker; `streak` maps failed requests to their times."""

    def __init__(self) -> None:
        self.streak: dict[Key, int] = {}
        self.succeeded_ms: int | None = None
        self.ejected_ms: int | None = None
        self.until_ms = 0
        self.steps = 0
        self.probing = False
        self.restored_ms = 0


class OutlierTable:
    """The outcomes on each worker, as seen by one instance."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._failed_on: OrderedDict[Key, set[str]] = OrderedDict()
        self._ejected: dict[str, _Record] = {}
        self._hints: dict[str, tuple[int, frozenset[str]]] = {}

    def succeeded(self, worker: str, started_ms: int, now_ms: int) -> None:
        """Note a success; one that started before the failures proves nothing against them."""
        record = self._records.setdefault(worker, _Record())
        record.succeeded_ms = now_ms
        if record.streak and started_ms < min(record.streak.values()):
            return
        if record.ejected_ms is not None:
            if started_ms < record.ejected_ms:
                return
            record.restored_ms = now_ms
            self._restore(worker, record)
        record.streak.clear()

    def failed(self, worker: str, key: Key, now_ms: int) -> Blame:
        """Note a failure, and return what it counts against."""
        record = self._records.setdefault(worker, _Record())
        failed_on = self._failed_on.setdefault(key, set())
        failed_on.add(worker)
        if len(self._failed_on) > MAX_FAILED_REQUESTS:
            self._failed_on.popitem(last=False)
        if self.is_blamed(key, now_ms):
            for name in failed_on:
                self._records[name].streak.pop(key, None)
            record.probing = False
            return Blame.REQUEST
        record.streak.setdefault(key, now_ms)
        needed = HINTED_FAILURES_TO_EJECT if self.hinted(worker, now_ms) else FAILURES_TO_EJECT
        if record.ejected_ms is not None:
            if record.probing:
                self._eject(worker, record, now_ms)
        elif len(record.streak) >= needed:
            if now_ms - record.restored_ms > FORGIVE_MS:
                record.steps = 0
            self._eject(worker, record, now_ms)
        return Blame.WORKER

    def is_blamed(self, key: Key, now_ms: int) -> bool:
        """Return whether the request failed on enough workers that succeed with others."""
        working = 0
        for worker in self._failed_on.get(key, ()):
            record = self._records[worker]
            if record.succeeded_ms is None or now_ms - record.succeeded_ms > PROOF_MS:
                continue
            # A worker with more open failures may have started to fail everything.
            others = len(record.streak) - (key in record.streak)
            if others <= OTHER_FAILURES_OF_A_WORKING_WORKER:
                working += 1
        return working >= WORKERS_TO_BLAME

    def started(self, worker: str, now_ms: int) -> None:
        """Note that a request was sent; it is the probe if the ejection has ended."""
        record = self._ejected.get(worker)
        if record is not None and now_ms >= record.until_ms:
            record.probing = True

    def abandoned(self, worker: str) -> None:
        """Note that a request ended without evidence, so that another may be the probe."""
        record = self._ejected.get(worker)
        if record is not None:
            record.probing = False

    def excluded(self, now_ms: int, workers: int, idempotent: bool, urgent: bool) -> frozenset[str]:
        """Return the workers that such a request must not use, out of `workers` in all.

        A worker whose ejection has ended takes one probe. A request that may be repeated and
        that nobody waits for urgently is the best probe.
        """
        found: list[str] = []
        most = int(workers * MAX_EJECTED_SHARE)
        for worker, record in self._ejected.items():
            if len(found) >= most:
                break
            probe_from_ms = record.until_ms + (PROBE_WAIT_MS if urgent else 0)
            if idempotent and not record.probing and now_ms >= probe_from_ms:
                continue
            found.append(worker)
        return frozenset(found)

    def set_aside(self) -> tuple[str, ...]:
        """Return the ejected workers, for the heartbeat."""
        return tuple(self._ejected)

    def hint(self, peer: str, workers: Iterable[str], now_ms: int) -> None:
        """Take over a peer's list of set-aside workers."""
        self._hints[peer] = (now_ms, frozenset(workers))
        for name, (at_ms, _) in list(self._hints.items()):
            if now_ms - at_ms > HINT_KEEP_MS:
                del self._hints[name]

    def hinted(self, worker: str, now_ms: int) -> bool:
        """Return whether a peer that was heard lately set the worker aside."""
        for at_ms, workers in self._hints.values():
            if worker in workers and now_ms - at_ms <= HINT_KEEP_MS:
                return True
        return False

    def _eject(self, worker: str, record: _Record, now_ms: int) -> None:
        ejection_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** min(record.steps, 10))
        record.ejected_ms = now_ms
        record.until_ms = now_ms + ejection_ms
        record.steps += 1
        record.probing = False
        self._ejected[worker] = record

    def _restore(self, worker: str, record: _Record) -> None:
        record.ejected_ms = None
        record.probing = False
        del self._ejected[worker]
