"""Checks of what must hold at all times; a violation is reported and, in tests, raised."""

from collections import Counter
from collections.abc import Callable

Reporter = Callable[[str, str], None]


class InvariantViolationError(AssertionError):
    """Raised for a violated invariant when checks are strict."""


class _Checks:
    """The counts of violations and what is done on one."""

    def __init__(self) -> None:
        self._violations: Counter[str] = Counter()
        self._reporter: Reporter = lambda name, detail: None
        self._strict = False


_checks = _Checks()


def configure(reporter: Reporter, strict: bool) -> None:
    """Set who is told of a violation, and whether it also raises."""
    _checks._reporter = reporter
    _checks._strict = strict


def check(name: str, ok: bool, detail: str) -> None:
    """Report a violation of the invariant `name` unless `ok`."""
    if ok:
        return
    _checks._violations[name] += 1
    _checks._reporter(name, detail)
    if _checks._strict:
        raise InvariantViolationError(f"{name}: {detail}")


def violations() -> dict[str, int]:
    """Return how often each invariant was violated in this process."""
    return dict(_checks._violations)
