"""JSON logs, log lines for decisions, OpenTelemetry metrics and reports of invariant violations."""

from hornbeamfold.telemetry.invariants import install_invariant_reporter
from hornbeamfold.telemetry.logs import configure_logging, get_logger, log_decision
from hornbeamfold.telemetry.metrics import (
    Recorder,
    counter,
    gauge,
    histogram,
    metrics_text,
    setup_metrics,
)
from hornbeamfold.telemetry.threads import keep_running, log_exceptions, report_unexpected

__all__ = [
    "Recorder",
    "configure_logging",
    "counter",
    "gauge",
    "get_logger",
    "histogram",
    "install_invariant_reporter",
    "keep_running",
    "log_decision",
    "log_exceptions",
    "metrics_text",
    "report_unexpected",
    "setup_metrics",
]
