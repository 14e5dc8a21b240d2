"""The relay's copy of the newest records of one topic."""

from collections.abc import Iterable

import eventlet
from eventlet.event import Event

from hornbeamfold.batch import Clock, KeyedRecord


class Mirror:
    """The newest record of each key, in log order.

    The empty records of removed keys (tombstones) are kept, so that readers remove these keys too.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, KeyedRecord] = {}
        self._end: int | None = None
        self._confirmed_ms: int | None = None
        self._reloading = False
        self._changed: Event = Event()

    @property
    def end(self) -> int | None:
        """The offset after the last record that was read; None before the first load."""
        return self._end

    def age_ms(self) -> int | None:
        """Return how long ago this copy was last complete; None before the first read."""
        return None if self._confirmed_ms is None else self._clock() - self._confirmed_ms

    def begin_reload(self) -> None:
        """Expect the newest records of all keys next: keys that are missing there were removed."""
        self._reloading = True

    def apply(self, records: Iterable[KeyedRecord]) -> None:
        """Store the records that are newer than the known ones of their keys."""
        batch = tuple(records)
        if self._reloading:
            self._reloading = False
            self._add_tombstones({record.key for record in batch}, batch)
        for record in sorted(batch, key=lambda each: each.offset):
            known = self._records.get(record.key)
            if known is not None and known.offset >= record.offset:
                continue
            # Removing the key first moves it to the end, which keeps the keys in log order.
            self._records.pop(record.key, None)
            self._records[record.key] = record

    def _add_tombstones(self, present: set[str], batch: tuple[KeyedRecord, ...]) -> None:
        removed = [key for key in self._records if key not in present]
        last_offset = max([self._end or 0, *(record.offset for record in batch)])
        for key in removed:
            del self._records[key]
            self._records[key] = KeyedRecord(key, b"", last_offset)

    def confirm(self, end: int, confirmed_ms: int | None) -> None:
        """Record that all records before `end` were applied, and when the copy was complete."""
        changed = self._end is None or end > self._end
        self._end = end if self._end is None else max(self._end, end)
        self._confirmed_ms = confirmed_ms
        if changed:
            event, self._changed = self._changed, Event()
            event.send(None)

    def since(self, offset: int) -> tuple[KeyedRecord, ...]:
        """Return the newest records from an offset on, in log order."""
        found: list[KeyedRecord] = []
        for record in reversed(self._records.values()):
            if record.offset < offset:
                break
            found.append(record)
        return tuple(reversed(found))

    def wait_beyond(self, offset: int, timeout_ms: int) -> None:
        """Wait until there is a record at or after `offset`, for at most `timeout_ms`."""
        with eventlet.Timeout(timeout_ms / 1_000, False):
            while self._end is None or self._end <= offset:
                self._changed.wait()
