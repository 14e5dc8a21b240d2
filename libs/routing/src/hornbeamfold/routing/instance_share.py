"""The fair share of each instance when the slots of the workers are not enough for all."""

from collections.abc import Sequence


def fair_share(slots: float, demands: Sequence[int]) -> float:
    """Return the level up to which every instance may use slots so that all are used.

    Instances that want less than the level leave the rest to the others.
    """
    left = slots
    waiting = len(demands)
    for demand in sorted(demands):
        level = left / waiting
        if demand >= level:
            return level
        left -= demand
        waiting -= 1
    return float("inf")
