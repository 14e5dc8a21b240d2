"""Reports violated invariants as a metric and an error in the log."""

from hornbeamfold.model.invariants import configure_invariants
from hornbeamfold.telemetry.logs import get_logger
from hornbeamfold.telemetry.metrics import counter

_logger = get_logger("hornbeamfold.invariants")
_violations = counter("hornbeamfold_invariant_violations", "Violated invariants by name.")


def install_invariant_reporter(strict: bool) -> None:
    """Count and log each violated invariant; with `strict`, the check also raises an exception."""
    configure_invariants(_report, strict)


def _report(name: str, detail: str) -> None:
    _violations(1, name=name)
    _logger.error("invariant_violated", extra={"invariant": name, "detail": detail})
