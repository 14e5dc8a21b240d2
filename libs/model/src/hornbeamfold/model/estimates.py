"""Corrects declared run times by an exponential moving average of actual ones."""

MIN_FACTOR = 0.1
MAX_FACTOR = 10.0
# Weight of the newest run in the moving average. It lets a few normal runs outweigh one outlier.
SMOOTHING_FACTOR = 0.3


def update_correction_factor(factor: float, declared_ms: int, actual_ms: int) -> float:
    """Return the correction factor updated by a run that took `actual_ms`.

    `factor` is the moving average of actual by declared run time. It is returned unchanged for a
    run without a declared or an actual time.
    """
    if declared_ms <= 0 or actual_ms <= 0:
        return factor
    ratio = min(MAX_FACTOR, max(MIN_FACTOR, actual_ms / declared_ms))
    smoothed = (1.0 - SMOOTHING_FACTOR) * factor + SMOOTHING_FACTOR * ratio
    return min(MAX_FACTOR, max(MIN_FACTOR, smoothed))
