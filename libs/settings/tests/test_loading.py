"""Tests of loading and validating settings."""

import tempfile
import unittest
from pathlib import Path

from hornbeamfold.settings import (
    Settings,
    SettingsErrors,
    format_settings_errors,
    load_settings,
    read_settings,
)

VALID_SETTINGS = """
name: entry-1
availability_zone: sousse
region: sahel-east
rpc_address: 127.0.0.1:7001
http_address: 127.0.0.1:7002
log_url: http://127.0.0.1:7100/
instances_url: http://127.0.0.1:7101
log_retention_ms: 3600000
"""

# The text appended to VALID_SETTINGS, the path of the error, and a part of its message.
INVALID_SETTINGS = (
    ("nmae: x", "nmae", "did you mean name?"),
    ("colour: red", "colour", "one of name"),
    ("7: x", "7", "is not a known key"),
    ("name: ''", "name", "1 to 128 printable characters"),
    ("name: a/b", "name", "'a/b' is not a name"),
    ("name: 12", "name", "12 is not a name"),
    ("region: null", "region", "None is not a name"),
    ("rpc_address: localhost:7001", "rpc_address", "'localhost' is not an IP address"),
    ("rpc_address: 127.0.0.1", "rpc_address", "not an address with a valid port"),
    ("rpc_address: 127.0.0.1:70000", "rpc_address", "ip:port"),
    ("rpc_address: '::1:7001'", "rpc_address", "brackets"),
    ("http_address: 127.0.0.1:7001", "http_address", "is the same as rpc_address"),
    ("log_url: ftp://x", "log_url", "is not a URL"),
    ("log_url: http://127.0.0.1:x", "log_url", "is not a URL"),
    ("instances_url: 7", "instances_url", "is not a URL"),
    ("log_retention_ms: 5", "log_retention_ms", "out of range"),
    ("log_retention_ms: true", "log_retention_ms", "not an integer"),
    ("bootstrap: 1", "bootstrap", "true or false"),
    ("log_level: loud", "log_level", "debug, info, warning, error"),
    ("sync_interval_ms: 99", "sync_interval_ms", "from 100 to 10000"),
    ("stop_bound_ms: 15001", "stop_bound_ms", "from 1000 to 15000"),
    ("max_queue: 1.5", "max_queue", "not an integer"),
    ("strict_invariants: 'yes'", "strict_invariants", "true or false"),
    ("link_delays: 3", "link_delays", "is not a mapping"),
    ("link_delays: {sousse: 1}", "link_delays.sousse", "zone-a/zone-b"),
    ("link_delays: {a/b: -1}", "link_delays.a/b", "from 0 to 10000"),
    ("link_delays: {a/b: .nan}", "link_delays.a/b", "not a number of milliseconds"),
    ("link_delays: {a/b: .inf}", "link_delays.a/b", "not a number of milliseconds"),
    ("link_delays: {a/b: 1" + "0" * 400 + "}", "link_delays.a/b", "out of range"),
    ("max_queue: 1" + "0" * 400, "max_queue", "out of range"),
    ("rpc_address: 127.0.0.1:" + "9" * 5_000, "rpc_address", "ip:port"),
)


class SettingsTest(unittest.TestCase):
    def load(self, text: str, **environ: str) -> Settings:
        settings = load_settings(text, environ)
        assert isinstance(settings, Settings), settings
        return settings

    def errors(self, text: str, **environ: str) -> SettingsErrors:
        errors = load_settings(text, environ)
        assert isinstance(errors, SettingsErrors), errors
        return errors

    def test_defaults(self) -> None:
        """Guards against defaults that differ from the design."""
        settings = self.load(VALID_SETTINGS)
        self.assertEqual(settings.log_url, "http://127.0.0.1:7100")
        self.assertEqual((settings.sync_interval_ms, settings.stop_bound_ms), (2_000, 15_000))
        self.assertEqual((settings.max_queue, settings.bootstrap), (1_000, False))
        self.assertEqual(dict(settings.link_delays), {})

    def test_each_error_has_its_path_and_the_allowed_values(self) -> None:
        """Guards against accepting a value that an instance cannot use."""
        for text, path, part in INVALID_SETTINGS:
            with self.subTest(text):
                (error,) = self.errors(VALID_SETTINGS + text).errors
                self.assertEqual(error.path, path)
                self.assertIn(part, format_settings_errors(SettingsErrors((error,))))

    def test_all_errors_are_reported_at_once(self) -> None:
        """Guards against reporting only the first error, so that each fix reveals the next one."""
        paths = {error.path for error in self.errors("naem: x\nmax_queue: 0").errors}
        missing = {"name", "availability_zone", "region", "rpc_address", "http_address"}
        missing |= {"log_url", "instances_url", "log_retention_ms"}
        self.assertEqual(paths, missing | {"naem", "max_queue"})

    def test_text_that_is_not_a_mapping(self) -> None:
        """Guards against a traceback for a file that does not contain settings."""
        for text in (
            "- a",
            "a: [",
            "x",
            "a: " + "[" * 10_000 + "]" * 10_000,
            "a: 2026-99-99",
            "a: " + "9" * 5_000,
            "a: !!binary x",
            "? [a]\n: 1",
        ):
            with self.subTest(text[:20]):
                self.assertEqual(self.errors(text).errors[0].path, "(file)")

    def test_the_environment_overrides_the_file(self) -> None:
        """Guards against a numeric name parsed as a number, and against lost nested keys."""
        settings = self.load(
            VALID_SETTINGS + "link_delays: {a/b: 1}",
            HORNBEAMFOLD_NAME="42",
            HORNBEAMFOLD_MAX_QUEUE="7",
            HORNBEAMFOLD_BOOTSTRAP="true",
            **{"HORNBEAMFOLD_LINK_DELAYS__A/c": "20.5"},
            HORNBEAMFOLD_ADDRESS="127.0.0.1:1",
            HOME="x",
        )
        self.assertEqual((settings.name, settings.max_queue), ("42", 7))
        self.assertTrue(settings.bootstrap)
        self.assertEqual(dict(settings.link_delays), {"a/b": 1.0, "A/c": 20.5})

    def test_errors_in_the_environment_name_the_variable(self) -> None:
        """Guards against ignoring a mistyped override."""
        errors = self.errors(
            VALID_SETTINGS,
            HORNBEAMFOLD_MAX_QEUE="7",
            HORNBEAMFOLD_MAX_QUEUE="many",
            HORNBEAMFOLD_NAME__X="y",
        )
        text = format_settings_errors(errors)
        self.assertEqual(len(errors.errors), 3)
        self.assertIn("(HORNBEAMFOLD_MAX_QEUE): is not a known key; allowed: did you mean", text)
        self.assertIn("(HORNBEAMFOLD_MAX_QUEUE): 'many' is not an integer", text)
        self.assertIn("(HORNBEAMFOLD_NAME__X): has no nested keys", text)

    def test_reading_a_file(self) -> None:
        """Guards against a traceback for a missing file."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.yaml"
            missing = read_settings(str(path), {})
            path.write_text(VALID_SETTINGS)
            self.assertIsInstance(read_settings(str(path), {}), Settings)
        assert isinstance(missing, SettingsErrors)
        self.assertEqual(missing.errors[0].path, str(path))
