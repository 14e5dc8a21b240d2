"""Tests of the metrics and the reporter of invariant violations."""

import unittest

from hornbeamfold.model.invariants import (
    InvariantViolationError,
    check_invariant,
    configure_invariants,
)
from hornbeamfold.telemetry.invariants import install_invariant_reporter
from hornbeamfold.telemetry.metrics import (
    counter,
    gauge,
    histogram,
    metrics_text,
    setup_metrics,
)


class MetricsTest(unittest.TestCase):
    def test_instruments_declared_before_the_setup_are_exported(self) -> None:
        """Guards against losing the metrics that libraries declare at import."""
        count = counter("test_calls", "Calls.")
        latency = histogram("test_latency", "ms", "Latency.")
        gauge("test_depth", "Depth.", lambda: 4)
        gauge("test_load", "Load.", lambda: [(0.5, {"worker": "a"}), (2, {"worker": "b"})])
        count(1, kind="early")
        setup_metrics("entry-1")
        count(2, kind="render")
        latency(12, kind="render")
        text = metrics_text().decode()
        self.assertIn('test_calls_total{kind="render"} 2.0', text)
        self.assertNotIn("early", text)
        self.assertIn('test_latency_milliseconds_count{kind="render"} 1.0', text)
        self.assertIn("test_depth 4.0", text)
        self.assertIn('test_load{worker="b"} 2.0', text)
        self.assertIn('service_instance_id="entry-1"', text)

    def test_a_second_setup_starts_from_zero(self) -> None:
        """Guards against exporting values recorded before the setup for another instance."""
        count = counter("test_resets", "Resets.")
        setup_metrics("entry-1")
        count(5)
        setup_metrics("entry-2")
        count(1)
        self.assertIn("test_resets_total 1.0", metrics_text().decode())


class InvariantReporterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.addCleanup(configure_invariants, lambda name, detail: None, False)
        setup_metrics("entry-1")

    def test_a_violation_is_counted_and_logged(self) -> None:
        """Guards against a violated invariant that is not reported."""
        install_invariant_reporter(strict=False)
        with self.assertLogs("hornbeamfold.invariants", "ERROR") as logs:
            check_invariant("I3", False, "accelerator 2 of worker-1 is held twice")
        self.assertEqual(logs.records[0].__dict__["invariant"], "I3")
        text = metrics_text().decode()
        self.assertIn('hornbeamfold_invariant_violations_total{name="I3"} 1.0', text)

    def test_a_violation_raises_when_strict(self) -> None:
        """Guards against tests that pass in spite of a violated invariant."""
        install_invariant_reporter(strict=True)
        with self.assertLogs("hornbeamfold.invariants", "ERROR"):
            self.assertRaises(InvariantViolationError, check_invariant, "I3", False, "held twice")
