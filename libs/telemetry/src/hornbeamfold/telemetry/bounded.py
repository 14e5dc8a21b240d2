"""A non-blocking log handler with a rate limit for each event."""

import logging
import os
from collections import Counter

from eventlet.patcher import original

from hornbeamfold.telemetry.metrics import counter

# Limit for each event; far more than any healthy instance writes.
MAX_LINES_PER_SECOND = 200
# Limit of the output buffered for a slow reader; about 200 lines.
MAX_BUFFERED_BYTES = 65_536

# eventlet's own `os.write` switches to other green threads before each write, and waits while the
# reader stalls.
_write_now = original("os").write

_dropped_lines = counter(
    "hornbeamfold_log_lines_omitted", "Log lines that were not written, by reason."
)


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor, which it switches to non-blocking mode.

    Lines over the limits are dropped and counted; the first record of a later second triggers one
    summary line with the counts.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._second = 0
        self._line_counts: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or drop and count it if it exceeds a limit."""
        event = record.getMessage()
        self._start_second(int(record.created))
        self._line_counts[event] += 1
        if self._line_counts[event] > MAX_LINES_PER_SECOND:
            self._count_dropped(event, "rate")
            return
        self._write(record, event)

    def _start_second(self, second: int) -> None:
        if second == self._second:
            return
        self._second = second
        self._line_counts.clear()
        if not self._dropped:
            return
        counts, self._dropped = dict(self._dropped), Counter()
        summary = logging.makeLogRecord(
            {"name": __name__, "levelname": "WARNING", "msg": "log_lines_omitted", "events": counts}
        )
        self._write(summary, "log_lines_omitted")

    def _count_dropped(self, event: str, reason: str) -> None:
        self._dropped[event] += 1
        _dropped_lines(1, reason=reason)

    def _write(self, record: logging.LogRecord, event: str) -> None:
        line = self.format(record).encode() + b"\n"
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self._flush()
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self._count_dropped(event, "slow reader")
            return
        self._buffer += line
        self._flush()

    def _flush(self) -> None:
        while self._buffer:
            try:
                written = _write_now(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, and there is no other channel to report that.
                _dropped_lines(1, reason="closed")
                self._buffer.clear()
                return
            del self._buffer[:written]
