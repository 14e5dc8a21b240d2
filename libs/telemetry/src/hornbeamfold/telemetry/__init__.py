"""JSON logs, decision log lines and OpenTelemetry metrics."""
