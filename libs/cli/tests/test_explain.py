"""Tests of the command `explain`."""

import json
import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner

from hornbeamfold.cli.main import app

LOGS = {
    "a.log": [
        {
            "time": "10:00:01",
            "instance": "a",
            "event": "answered",
            "request": "r1",
            "call": "submit",
        },
        {"time": "10:00:02", "instance": "a", "event": "store_lost", "topic": "jobs"},
        {"time": "10:00:09", "instance": "a", "event": "store_lost", "topic": "operators"},
    ],
    "b.log": [
        {"time": "10:00:04", "instance": "b", "event": "runs_lost", "requests": ["r2", "r1"]},
        {"time": "10:00:03", "instance": "b", "event": "placed", "request": "r1", "waited_ms": 7},
        {"time": "10:00:03", "instance": "b", "event": "placed", "request": "r2"},
    ],
    "c.log": [
        {"time": "09:00:01", "event": "worker_speed_changed", "worker": "w1", "speed": 0.8},
        {"time": "09:00:02", "event": "worker_speed_changed", "worker": "w1", "speed": 0.64},
        {"time": "09:00:03", "event": "worker_speed_changed", "worker": "w2", "speed": 1.56},
        {"time": "10:00:05", "event": "placed", "request": "r3", "workers": ["w1", "w3"]},
        {"time": "10:00:06", "event": "worker_speed_changed", "worker": "w1", "speed": 1.0},
    ],
}
# Lines that other programs may write to the same output.
ODD_LINES = '{"odd":' + "[" * 100_000 + '\n{"odd":' + "9" * 5_000 + "}\n"


class ExplainTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.arguments: list[str] = []
        for name, lines in LOGS.items():
            path = Path(folder.name) / name
            text = "\n".join(f"  0.1 {name} {json.dumps(line)}" for line in lines)
            path.write_text(f'{text}\n{ODD_LINES}not JSON\n{{"cut off', encoding="utf-8")
            self.arguments += ["--logs", str(path)]

    def test_lines_of_all_instances_are_in_chronological_order(self) -> None:
        result = CliRunner().invoke(app, ["--output", "json", "explain", "r1", *self.arguments])
        self.assertEqual(result.exit_code, 0, result.output)
        found = [(line["instance"], line["event"]) for line in json.loads(result.stdout)]
        expected = [("a", "answered"), ("a", "store_lost"), ("b", "placed"), ("b", "runs_lost")]
        self.assertEqual(found, expected)

    def test_text_has_the_inputs_of_each_decision(self) -> None:
        result = CliRunner().invoke(app, ["explain", "r1", *self.arguments])
        self.assertIn("waited_ms=7", result.stdout)

    def test_what_its_workers_were_thought_to_be_is_included(self) -> None:
        result = CliRunner().invoke(app, ["--output", "json", "explain", "r3", *self.arguments])
        speeds = [line["details"].get("speed") for line in json.loads(result.stdout)]
        self.assertEqual(speeds, [0.64, None])

    def test_an_unknown_request(self) -> None:
        result = CliRunner().invoke(app, ["explain", "r9", *self.arguments])
        self.assertEqual(result.exit_code, 3)


if __name__ == "__main__":
    unittest.main()
