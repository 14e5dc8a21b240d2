"""Reports of violated invariants: a metric and an error line."""

from hornbeamfold.model.invariants import configure_invariants
from hornbeamfold.telemetry.logs import get_logger
from hornbeamfold.telemetry.metrics import counter

_logger = get_logger("hornbeamfold.invariants")
_count = counter("hornbeamfold_invariant_violations", "Violated invariants by name.")


def install_invariant_reporter(strict: bool) -> None:
    """Count and log each violated invariant; with `strict` the check also raises."""
    configure_invariants(_report, strict)


def _report(name: str, detail: str) -> None:
    _count(1, name=name)
    _logger.error("invariant_violated", extra={"invariant": name, "detail": detail})
