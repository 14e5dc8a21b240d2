"""Runtime checks of invariants.

A violation is counted and reported; in strict mode, as in tests, it also raises an error.
"""

from collections import Counter
from collections.abc import Callable

Reporter = Callable[[str, str], None]


class InvariantViolationError(AssertionError):
    """Raised for a violated invariant in strict mode."""


class _InvariantChecks:
    """The number of violations by invariant, and how to handle one."""

    def __init__(self) -> None:
        self._violations: Counter[str] = Counter()
        self._reporter: Reporter = lambda name, detail: None
        self._strict = False


_checks = _InvariantChecks()


def configure_invariants(reporter: Reporter, strict: bool) -> None:
    """Set the function that is called with each violation, and whether checks are strict."""
    _checks._reporter = reporter
    _checks._strict = strict


def check_invariant(name: str, ok: bool, detail: str) -> None:
    """Report a violation of the invariant `name` unless `ok`."""
    if ok:
        return
    _checks._violations[name] += 1
    _checks._reporter(name, detail)
    if _checks._strict:
        raise InvariantViolationError(f"{name}: {detail}")


def invariant_violations() -> dict[str, int]:
    """Return the number of violations of each invariant in this process."""
    return dict(_checks._violations)
