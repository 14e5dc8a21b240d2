"""The formula for learned run-time estimates."""

MIN_FACTOR = 0.1
MAX_FACTOR = 10.0
# Share of the newest run in the factor; a few runs outweigh one that was far off.
NEWEST_SHARE = 0.3


def learn(factor: float, declared_ms: int, actual_ms: int) -> float:
    """Return the factor after a run that took `actual_ms` where `declared_ms` was declared.

    A run without a declared or an actual time teaches nothing.
    """
    if declared_ms <= 0 or actual_ms <= 0:
        return factor
    ratio = min(MAX_FACTOR, max(MIN_FACTOR, actual_ms / declared_ms))
    mixed = (1.0 - NEWEST_SHARE) * factor + NEWEST_SHARE * ratio
    return min(MAX_FACTOR, max(MIN_FACTOR, mixed))
