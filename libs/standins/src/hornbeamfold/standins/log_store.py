"""The records of the log stand-in: offsets, times, retention and the append rate limit."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from eventlet import Timeout, sleep
from eventlet.event import Event

MAX_RECORD_BYTES = 256 * 1024
# A read returns at least one record and stops at this size: a real service limits its replies.
MAX_READ_BYTES = 4 * 1024 * 1024
# The burst of appends that is not delayed, as time at the allowed rate.
BURST_MS = 100.0


@dataclass(frozen=True)
class StoredRecord:
    """One stored record."""

    offset: int
    at_ms: int
    data: str


@dataclass(frozen=True)
class Limits:
    """Retention and append rate; a retention limit of 0 keeps everything."""

    max_records: int = 0
    max_age_ms: int = 0
    appends_per_s: int = 300


@dataclass(frozen=True)
class Page:
    """The result of a read; `expired` is set if its start is no longer kept."""

    records: tuple[StoredRecord, ...]
    first: int
    end: int
    expired: bool = False


class LogStore:
    """The retained records, by offset."""

    def __init__(self, limits: Limits, clock: Callable[[], float]) -> None:
        self._limits = limits
        self._clock = clock
        self._records: deque[StoredRecord] = deque()
        self._end = 0
        self._last_ms = 0
        self._next_slot_ms = 0.0
        self._stale_end: int | None = None
        self._appended = Event()

    @property
    def end(self) -> int:
        """One past the last offset."""
        return self._end

    def append(self, data: str) -> int:
        """Store a record, after a delay if the rate is exceeded, and return its offset."""
        self._wait_for_slot()
        # Times never decrease, so that readers can use them as the clock of the log.
        self._last_ms = max(self._last_ms, int(self._clock()))
        self._records.append(StoredRecord(self._end, self._last_ms, data))
        self._end += 1
        self.wake_readers()
        return self._end - 1

    def read(self, start: int, limit: int, wait_ms: int) -> Page:
        """Return records from `start`; wait up to `wait_ms` if there are none yet."""
        if wait_ms > 0 and start >= self._visible_end():
            with Timeout(wait_ms / 1000, False):
                self._appended.wait()
        self._expire()
        first, end = self._first_offset(), self._visible_end()
        if start < first:
            return Page((), first, end, expired=True)
        records: list[StoredRecord] = []
        size = 0
        for offset in range(start, min(end, start + limit)):
            record = self._records[offset - first]
            size += len(record.data)
            if records and size > MAX_READ_BYTES:
                break
            records.append(record)
        return Page(tuple(records), first, end)

    def set_stale(self, stale: bool) -> None:
        """Hide records appended after this moment from readers until this is unset."""
        if stale and self._stale_end is None:
            self._stale_end = self._end
        if not stale:
            self._stale_end = None
        self.wake_readers()

    def wake_readers(self) -> None:
        """Wake all waiting readers."""
        appended, self._appended = self._appended, Event()
        appended.send()

    def _visible_end(self) -> int:
        return self._end if self._stale_end is None else self._stale_end

    def _first_offset(self) -> int:
        return self._records[0].offset if self._records else self._end

    def _expire(self) -> None:
        limits = self._limits
        while limits.max_records and len(self._records) > limits.max_records:
            self._records.popleft()
        oldest_ms = self._clock() - limits.max_age_ms
        while limits.max_age_ms and self._records and self._records[0].at_ms < oldest_ms:
            self._records.popleft()

    def _wait_for_slot(self) -> None:
        now_ms = self._clock()
        slot_ms = max(now_ms - BURST_MS, self._next_slot_ms)
        self._next_slot_ms = slot_ms + 1000 / self._limits.appends_per_s
        if slot_ms > now_ms:
            sleep((slot_ms - now_ms) / 1000)
