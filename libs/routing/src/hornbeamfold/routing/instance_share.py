"""The max-min fair share of each instance when the demand exceeds the slots of the workers."""

from collections.abc import Sequence


def fair_share(slots: float, demands: Sequence[int]) -> float:
    """Return the number of slots that each instance may use so that all slots are used.

    Slots that an instance with a smaller demand leaves are divided among the others. The share is
    infinite if there are slots for all demands.
    """
    free_slots = slots
    unsatisfied = len(demands)
    for demand in sorted(demands):
        share = free_slots / unsatisfied
        if demand >= share:
            return share
        free_slots -= demand
        unsatisfied -= 1
    return float("inf")
