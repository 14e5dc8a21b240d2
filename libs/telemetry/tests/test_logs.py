"""Tests of the JSON log lines."""

import contextlib
import io
import json
import logging
import unittest
from datetime import datetime, timedelta
from typing import Any

from hornbeamfold.model.topology import Shape
from hornbeamfold.telemetry.logs import configure_logging, get_logger, log_decision


class JsonLinesTest(unittest.TestCase):
    def setUp(self) -> None:
        root = logging.getLogger()
        handlers, level = root.handlers, root.level
        self.addCleanup(logging.captureWarnings, False)
        self.addCleanup(root.setLevel, level)
        self.addCleanup(setattr, root, "handlers", handlers)
        self.stderr = io.StringIO()
        with contextlib.redirect_stderr(self.stderr):
            configure_logging("entry-1", "info")

    def lines(self) -> list[dict[str, object]]:
        return [json.loads(line) for line in self.stderr.getvalue().splitlines()]

    def test_a_line_has_the_fixed_fields(self) -> None:
        """Guards against lines that cannot be merged across instances by UTC time."""
        get_logger("a").warning("peer_suspected", extra={"peer": "entry-2"})
        (line,) = self.lines()
        time = datetime.fromisoformat(str(line.pop("time")))
        self.assertEqual(time.utcoffset(), timedelta(0))
        self.assertEqual(
            line,
            {
                "instance": "entry-1",
                "level": "WARNING",
                "logger": "a",
                "event": "peer_suspected",
                "peer": "entry-2",
            },
        )

    def test_a_decision_is_one_line_for_any_input(self) -> None:
        """Guards against inputs that logging (`name`) or JSON (sets, tuple keys) rejects."""
        inputs = {"name": "x", "args": frozenset({1}), "n": {("o", "j"): Shape(2)}}
        log_decision("route", "worker-3", "shortest delay", **inputs)
        (line,) = self.lines()
        self.assertEqual(line["event"], "decision")
        self.assertEqual((line["decision"], line["choice"]), ("route", "worker-3"))
        self.assertEqual(line["reason"], "shortest delay")
        written: Any = line["inputs"]
        self.assertEqual(set(written), {"name", "args", "n"})
        self.assertEqual(written["n"]["o/j"]["accelerators"], 2)

    def test_an_exception_stays_on_its_line(self) -> None:
        """Guards against tracebacks that break the format of one object per line."""
        try:
            raise ValueError("broken")
        except ValueError:
            get_logger("a").exception("call_failed")
        (line,) = self.lines()
        self.assertIn("ValueError: broken", str(line["exc_info"]))

    def test_lines_below_the_level_are_left_out(self) -> None:
        """Guards against writing debug lines at the default level."""
        get_logger("a").debug("detail")
        self.assertEqual(self.lines(), [])
