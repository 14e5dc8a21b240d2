"""A log handler that never blocks and bounds how much each event may write."""

import logging
import os
from collections import Counter

from hornbeamfold.telemetry.metrics import counter

# Lines of one event in one second; far more than any healthy instance writes.
MAX_LINES_PER_SECOND = 200
# Bytes that wait for a reader that is slow; about 200 lines.
MAX_BUFFERED_BYTES = 65_536

_omitted = counter("hornbeamfold_log_lines_omitted", "Log lines that were not written, by reason.")


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor that it makes non-blocking.

    Lines beyond the bounds are counted; the counts are written as one line in the next second.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._second = 0
        self._lines: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it if there is no room for it."""
        event = record.getMessage()
        self._begin_second(int(record.created))
        self._lines[event] += 1
        if self._lines[event] > MAX_LINES_PER_SECOND:
            self._leave_out(event, "rate")
            return
        self._write(record, event)

    def _begin_second(self, second: int) -> None:
        if second == self._second:
            return
        self._second = second
        self._lines.clear()
        if not self._left_out:
            return
        counts, self._left_out = dict(self._left_out), Counter()
        summary = logging.makeLogRecord(
            {"name": __name__, "levelname": "WARNING", "msg": "log_lines_omitted", "events": counts}
        )
        self._write(summary, "log_lines_omitted")

    def _leave_out(self, event: str, reason: str) -> None:
        self._left_out[event] += 1
        _omitted(1, reason=reason)

    def _write(self, record: logging.LogRecord, event: str) -> None:
        line = self.format(record).encode() + b"\n"
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self._flush()
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self._leave_out(event, "slow reader")
            return
        self._buffer += line
        self._flush()

    def _flush(self) -> None:
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more. There is no other place to report that to.
                _omitted(1, reason="closed")
                self._buffer.clear()
                return
            del self._buffer[:written]
