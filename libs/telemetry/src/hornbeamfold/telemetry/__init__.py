"""JSON logs, decision log lines, OpenTelemetry metrics and invariant reports."""

from hornbeamfold.telemetry.invariants import install_invariant_reporter
from hornbeamfold.telemetry.logs import configure_logging, get_logger, log_decision
from hornbeamfold.telemetry.metrics import (
    Record,
    counter,
    gauge,
    histogram,
    metrics_text,
    setup_metrics,
)
from hornbeamfold.telemetry.threads import logged

__all__ = [
    "Record",
    "configure_logging",
    "counter",
    "gauge",
    "get_logger",
    "histogram",
    "install_invariant_reporter",
    "log_decision",
    "logged",
    "metrics_text",
    "setup_metrics",
]
