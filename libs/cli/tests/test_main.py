"""Tests of the command-line tool against a fake instance in another process."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from typer.testing import CliRunner

from hornbeamfold.cli.main import app
from hornbeamfold.model.errors import ERROR_RESPONSES, ErrorKind

INSTANCE = Path(__file__).parents[2] / "rpc" / "tests" / "rpc_fake_instance.py"
WORKERS = """
workers:
  - {name: w1, address: '127.0.0.1:9', availability_zone: sousse, rack: r1, position: 0,
     processors: 64, memory_gb: 256, accelerators: 8, slots: 8, connections: 64}
"""
JOB = ("job", "submit", "rampes", "j1", "proof", "--minutes", "1")


def free_address() -> str:
    """Return an address without a listener."""
    with socket.create_server(("127.0.0.1", 0)) as unused:
        return f"127.0.0.1:{unused.getsockname()[1]}"


class ToolTest(unittest.TestCase):
    def setUp(self) -> None:
        self.instance = subprocess.Popen(
            [sys.executable, "-W", "ignore", str(INSTANCE), "500"],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(self.end_instance)
        assert self.instance.stdout is not None
        self.address = self.instance.stdout.readline().strip()

    def end_instance(self) -> None:
        self.instance.kill()
        self.instance.communicate()

    def invoke_cli(self, *arguments: str, addresses: str = "", stdin: str = "") -> Any:
        environ = {"HORNBEAMFOLD_ADDRESS": addresses or self.address}
        return CliRunner().invoke(app, arguments, input=stdin, env=environ)

    def text(self, *arguments: str, stdin: str = "") -> str:
        result = self.invoke_cli(*arguments, stdin=stdin)
        self.assertEqual(result.exit_code, 0, result.output)
        return result.stdout

    def json(self, *arguments: str) -> Any:
        return json.loads(self.text("--output", "json", *arguments))

    def error(self, *arguments: str, addresses: str = "") -> tuple[int, str]:
        result = self.invoke_cli(*arguments, addresses=addresses)
        return result.exit_code, result.stderr

    def events(self) -> list[str]:
        return json.loads(self.text("request", "answer", "probe", "events"))

    def test_requests(self) -> None:
        """Guards against a request that loses its body or its answer."""
        submit = ("request", "submit", "rampes", "q1", "echo")
        self.assertEqual(self.text(*submit, "--body", "é"), "é\n")
        self.assertEqual(self.text(*submit, "--body-file", "-", stdin="two\nlines"), "two\nlines\n")
        self.assertEqual(self.json(*submit, "--body", "b")["worker"], "worker-1")
        self.assertIn("cancelled; not run", self.text("request", "cancel", "rampes", "queued"))
        code, message = self.error("request", "cancel", "rampes", "other")
        self.assertEqual(code, 5)
        self.assertIn("hornbeamfold request answer rampes other", message)

    def test_exit_codes_match_the_error_responses(self) -> None:
        """Guards against wrong exit codes, on which scripts would repeat work."""
        for kind in ErrorKind:
            submit = ("request", "submit", "rampes", "q1", "refuse", "--body", kind.value)
            code, message = self.error(*submit)
            self.assertEqual(code, ERROR_RESPONSES[kind].exit_code)
            self.assertIn(f"Error ({kind.value}): détail\nIt may have run", message)
            self.assertIn("hornbeamfold" if kind is ErrorKind.OUTCOME_UNKNOWN else "", message)
            code, message = self.error("--output", "json", *submit)
            error = json.loads(message)["error"]
            self.assertEqual((error["kind"], error["ran"]), (kind.value, "unknown"))

    def test_jobs(self) -> None:
        """Guards against a state of a job that the tool cannot show."""
        self.assertIn("hornbeamfold job follow rampes j1", self.text(*JOB, "--span", "zone"))
        shown = self.json("job", "show", "rampes", "j1")
        self.assertEqual((shown["state"], shown["declared_ms"]), ("queued", 60_000))
        self.assertEqual(shown["shape"]["span"], "zone")
        self.assertIn("rampes/j1  queued", self.text("job", "cancel", "rampes", "j1"))
        self.assertIn("rampes", self.text("job", "list", "--state", "queued"))
        self.assertEqual(len(self.json("job", "list", "--organisation", "other")["jobs"]), 0)
        self.assertIn("finished", self.text("job", "follow", "rampes", "j1"))
        self.assertEqual(self.error("job", "follow", "rampes", "none")[0], 3)
        self.assertEqual(self.error("job", "list", "--state", "asleep")[0], 2)
        self.assertIn("12 accelerators free, 8", self.text("placements"))

    def test_changes_read_the_version_first(self) -> None:
        """Guards against sending a change with a wrong expected version."""
        self.assertIn("version 4", self.text("zone", "out", "sousse"))
        self.assertIn("out", self.text("zone", "list"))
        self.assertIn("version 5", self.text("zone", "in", "sousse"))
        self.assertIn("version 1", self.text("zone", "in", "sfax", "--region", "sahel-south"))
        shape = "accelerators=8,memory_gb=64,span=zone"
        put = ("organisation", "put", "rampes")
        self.assertIn("version 1", self.text(*put, "--guarantee", shape, "--weight", "2"))
        self.assertIn("version 2", self.text(*put, "--weight", "3"))
        (organisation,) = self.json("organisation", "list")
        self.assertEqual((organisation["weight"], organisation["version"]), (3.0, 2))
        self.assertEqual(organisation["guarantee"][0]["memory_gb"], 64)
        self.assertIn("version 3", self.text("organisation", "remove", "rampes"))
        self.assertIn("1 workers set", self.text("workers", "put", "-", stdin=WORKERS))
        self.assertIn("version 2", self.text("target", "drain", "w1"))
        self.assertIn("draining", self.text("target", "list"))
        self.assertIn("version 3", self.text("target", "undrain", "w1"))
        self.assertEqual(self.json("configuration", "show")["workers_version"], 3)
        self.assertIn("entry-1", self.text("configuration", "show"))
        self.assertIn("confirmed 30 ms ago", self.text("instances"))

    def test_a_wrong_version_is_a_conflict(self) -> None:
        """Guards against overwriting the change of another operator."""
        zone = ("zone", "out", "sousse", "--version", "2")
        for arguments in (zone, (*zone, "--region", "sahel-east")):
            code, message = self.error(*arguments)
            self.assertEqual(code, 5)
            self.assertIn("Another operator changed it first", message)
        self.assertEqual(self.error("target", "drain", "w1", "--version", "9")[0], 5)

    def test_unknown_names_list_the_known_ones(self) -> None:
        """Guards against creating a zone by a typing error."""
        code, message = self.error("zone", "out", "suose")
        self.assertEqual(code, 3)
        self.assertIn("known: sousse", message)
        self.assertIn("--region", message)
        self.assertEqual(self.error("target", "drain", "w9")[0], 3)
        self.assertEqual(self.error("organisation", "remove", "none")[0], 3)

    def test_all_errors_of_the_input_are_reported(self) -> None:
        """Guards against errors in a file that are reported one at a time or not at all."""
        file = "workers: [{name: 1, slots: true, colour: red}]\nremove: [x]\nremoved: [2]"
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as yaml:
            yaml.write(file)
            yaml.flush()
            code, message = self.error("workers", "put", yaml.name)
        self.assertEqual(code, 2)
        for part in (
            "[0].name: must be a string",
            "[0].slots: must be an integer",
            "[0].colour: is not",
        ):
            self.assertIn(part, message)
        for part in ("[0].rack: is missing", "remove: is not one of", "removed[0]: must be a name"):
            self.assertIn(part, message)
        put = ("organisation", "put", "rampes", "--guarantee")
        for shape in ("accelerators=-1", "processors=2", "span=moon,accelerators=1"):
            code, message = self.error(*put, shape)
            self.assertEqual(code, 2)
            self.assertIn("a shape looks like", message)
        self.assertEqual(self.error(*JOB, "--processors", "99999999999")[0], 2)

    def test_the_next_address_is_tried_only_where_that_is_safe(self) -> None:
        """Guards against running a request on two instances."""
        unused_address = free_address()
        submit = ("request", "submit", "rampes", "q1")
        both = f"{unused_address} {self.address}"
        self.assertEqual(self.invoke_cli(*submit, "echo", addresses=both).exit_code, 0)
        self.assertEqual(self.invoke_cli("instances", addresses=both).exit_code, 0)
        twice = f"{self.address} {self.address}"
        refuse = (*submit, "refuse", "--body", "stale_view")
        self.assertEqual(self.error(*refuse, addresses=twice)[0], 7)
        self.assertEqual(self.error("--timeout", "0.3", *submit, "wait", addresses=twice)[0], 10)
        self.assertEqual(self.events().count("submitted q1"), 3)
        with socket.create_server(("127.0.0.1", 0)) as silent:
            first = f"127.0.0.1:{silent.getsockname()[1]}"
            slow = ("--timeout", "0.5", "instances")
            self.assertEqual(
                self.invoke_cli(*slow, addresses=f"{first} {self.address}").exit_code, 0
            )
            drain = ("--timeout", "0.5", "target", "drain", "w1", "--version", "0")
            self.assertEqual(self.error(*drain, addresses=f"{first} {self.address}")[0], 10)
        self.assertEqual(self.error("instances", addresses=unused_address)[0], 11)

    def test_no_address(self) -> None:
        """Guards against calling a default address."""
        result = CliRunner().invoke(app, ["instances"], env={"HORNBEAMFOLD_ADDRESS": ""})
        self.assertEqual(result.exit_code, 2)
        self.assertIn("HORNBEAMFOLD_ADDRESS", result.stderr)


class ProgramTest(unittest.TestCase):
    def test_help_has_examples_for_every_command(self) -> None:
        """Guards against a command whose help shows no example."""
        groups: dict[str, tuple[str, ...]] = {
            "request": ("submit", "answer", "cancel"),
            "job": ("submit", "show", "cancel", "list", "follow"),
            "organisation": ("put", "remove", "list"),
            "zone": ("out", "in", "list"),
            "target": ("drain", "undrain", "list"),
            "workers": ("put",),
            "configuration": ("show",),
        }
        commands = [(group, name) for group, names in groups.items() for name in names]
        for command in ((), ("placements",), ("instances",), *commands):
            result = CliRunner().invoke(app, [*command, "--help"])
            self.assertEqual(result.exit_code, 0)
            first = "hornbeamfold" if command else "export"
            self.assertRegex(result.stdout, rf"Examples:\n +{first} ")

    def test_the_module_runs_without_eventlet(self) -> None:
        """Guards against a slow start and against warnings of eventlet, a server dependency."""
        script = "import sys, hornbeamfold.cli.main; sys.exit('eventlet' in sys.modules)"
        self.assertEqual(subprocess.run([sys.executable, "-c", script], check=False).returncode, 0)
        run = subprocess.run(
            [sys.executable, "-m", "hornbeamfold.cli", "instances"],
            env={**os.environ, "HORNBEAMFOLD_ADDRESS": free_address()},
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(run.returncode, 11)
        self.assertIn("Error (unreachable): no connection to", run.stderr)
