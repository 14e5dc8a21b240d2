"""Checks a configuration before it is sent, and compares it with another one."""

from hornbeamfold.configcheck.checks import check_configuration
from hornbeamfold.configcheck.differences import Change, Difference, differences
from hornbeamfold.configcheck.findings import Finding, Fleet, Place, Severity

__all__ = [
    "Change",
    "Difference",
    "Finding",
    "Fleet",
    "Place",
    "Severity",
    "check_configuration",
    "differences",
]
