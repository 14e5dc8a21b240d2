"""How much longer tasks take on a worker because of the tasks beside them."""

from collections.abc import Callable, Mapping
from math import exp, log

from hornbeamfold.batch import WorkKind

# Larger factors make no difference to a placement.
MAX_FACTOR = 4.0
# Factors are rounded down to multiples of this, so that small differences do not outweigh best fit.
FACTOR_STEP = 0.25

Effect = Callable[[WorkKind, WorkKind], float]


def quantised(factor: float) -> float:
    """Return a factor rounded down to a step, at least 1 and at most the maximum."""
    # The small addition keeps factors that are a step up to rounding errors.
    steps = int((min(factor, MAX_FACTOR) - 1) / FACTOR_STEP + 1e-6)
    return 1.0 + max(0, steps) * FACTOR_STEP


def expected_factor(effect: Effect, kind: WorkKind, residents: Mapping[WorkKind, float]) -> float:
    """Return how many times as long as usual a task takes beside these tasks, quantised.

    The time that it costs the residents is added as if it were its own. `effect` returns the
    logarithm of the slowdown of a kind by one task of another.
    """
    own = 0.0
    others = 0.0
    for resident, tasks in residents.items():
        own += tasks * effect(kind, resident)
        harm = effect(resident, kind)
        if harm > 0:
            others += tasks * (exp(harm) - 1)
    return quantised(exp(min(own, log(MAX_FACTOR))) + others)
