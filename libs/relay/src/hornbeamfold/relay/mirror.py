"""The newest records of one topic, as the relay has read them."""

from collections.abc import Iterable

import eventlet
from eventlet.event import Event

from hornbeamfold.batch import Clock, KeyedRecord


class Mirror:
    """Newest records by key in log order; records of removed keys stay, so that readers learn."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, KeyedRecord] = {}
        self._end: int | None = None
        self._confirmed_ms: int | None = None
        self._reloading = False
        self._changed: Event = Event()

    @property
    def end(self) -> int | None:
        """One past the last record that was read; None before the first load."""
        return self._end

    def age_ms(self) -> int | None:
        """Return how long ago all that was stored was known here; None before the first read."""
        return None if self._confirmed_ms is None else self._clock() - self._confirmed_ms

    def begin_reload(self) -> None:
        """Expect all newest records next: a key that is not among them was removed."""
        self._reloading = True

    def apply(self, records: Iterable[KeyedRecord]) -> None:
        """Take records in log order."""
        taken = tuple(records)
        if self._reloading:
            self._reloading = False
            self._remove_all_but({record.key for record in taken}, taken)
        for record in sorted(taken, key=lambda each: each.offset):
            known = self._records.get(record.key)
            if known is not None and known.offset >= record.offset:
                continue
            # Taken out first, so that the order of the keys is that of the log.
            self._records.pop(record.key, None)
            self._records[record.key] = record

    def _remove_all_but(self, present: set[str], taken: tuple[KeyedRecord, ...]) -> None:
        removed = [key for key in self._records if key not in present]
        last = max([self._end or 0, *(record.offset for record in taken)])
        for key in removed:
            del self._records[key]
            self._records[key] = KeyedRecord(key, b"", last)

    def confirm(self, end: int, confirmed_ms: int | None) -> None:
        """Note that all records before `end` were taken, and when that was all there was."""
        changed = self._end is None or end > self._end
        self._end = end if self._end is None else max(self._end, end)
        self._confirmed_ms = confirmed_ms
        if changed:
            waiting, self._changed = self._changed, Event()
            waiting.send(None)

    def since(self, offset: int) -> tuple[KeyedRecord, ...]:
        """Return the newest records from an offset on, in log order."""
        found: list[KeyedRecord] = []
        for record in reversed(self._records.values()):
            if record.offset < offset:
                break
            found.append(record)
        return tuple(reversed(found))

    def wait_beyond(self, offset: int, timeout_ms: int) -> None:
        """Wait until something was written from an offset on, at most for a time."""
        with eventlet.Timeout(timeout_ms / 1_000, False):
            while self._end is None or self._end <= offset:
                self._changed.wait()
