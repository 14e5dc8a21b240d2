"""Tests of the non-blocking log handler."""

import logging
import os
import subprocess
import sys
import time
import unittest

from hornbeamfold.telemetry.bounded import (
    MAX_BUFFERED_BYTES,
    MAX_LINES_PER_SECOND,
    BoundedHandler,
)

# Runs in a process of its own, as the patches of eventlet last as long as the process.
LOG_FROM_GREEN_THREADS = """
import eventlet

eventlet.monkey_patch()

import logging
import os

from hornbeamfold.telemetry.bounded import BoundedHandler

reader, writer = os.pipe()
handler = BoundedHandler(writer)
switches = []
eventlet.spawn_n(lambda: switches.append("switched"))
for second in range(100):
    handler.handle(logging.makeLogRecord({"msg": "x" * 5_000, "created": float(second)}))
print(len(switches))
"""
PROCESS_TIMEOUT_S = 20


class BoundedHandlerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.handler = BoundedHandler(writer)
        self.handler.setFormatter(logging.Formatter("%(message)s"))

    def emit(self, message: str, second: int) -> None:
        record = logging.makeLogRecord({"msg": message, "created": float(second)})
        self.handler.emit(record)

    def read(self) -> list[str]:
        os.set_blocking(self.reader, False)
        return os.read(self.reader, 1 << 20).decode().splitlines()

    def test_the_rate_limit_of_one_event_does_not_drop_others(self) -> None:
        for _ in range(MAX_LINES_PER_SECOND + 50):
            self.emit("flood", 1)
        self.emit("other", 1)
        self.emit("later", 2)
        lines = self.read()
        self.assertEqual(lines.count("flood"), MAX_LINES_PER_SECOND)
        self.assertEqual(lines[-3:], ["other", "log_lines_omitted", "later"])

    def test_a_stalled_reader_does_not_block_the_writer(self) -> None:
        start_s = time.monotonic()
        for second in range(100):
            self.emit("x" * 5_000, second)
        self.assertLess(time.monotonic() - start_s, 5.0)
        self.assertLessEqual(len(self.handler._buffer), MAX_BUFFERED_BYTES)

    def test_a_log_line_does_not_switch_to_another_green_thread(self) -> None:
        """Guards against a log line that lets other code run within a decision, or waits.

        Found by: a measurement of the cost of a line; the process hung once its reader stalled.
        """
        done = subprocess.run(
            [sys.executable, "-W", "ignore", "-c", LOG_FROM_GREEN_THREADS],
            capture_output=True,
            text=True,
            timeout=PROCESS_TIMEOUT_S,
            check=True,
        )
        self.assertEqual(done.stdout.strip(), "0", done.stderr)

    def test_lines_are_not_truncated_after_a_pause_of_the_reader(self) -> None:
        sent = [f"{second:05d}" * 1_000 for second in range(20)]
        data = b""
        for second, line in enumerate(sent):
            self.emit(line, second)
        os.set_blocking(self.reader, False)
        data += os.read(self.reader, 1 << 20)
        self.emit("end", 40)
        data += os.read(self.reader, 1 << 20)
        self.assertEqual(data.decode().splitlines(), [*sent, "end"])


if __name__ == "__main__":
    unittest.main()
