"""How fast a worker is relative to others, as suggested by the runs on it."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import log, sqrt

from hornbeamfold.batch import RunName

# Speeds are distinguished in steps of this ratio, so that noise does not order workers that are
# alike.
LEVEL_RATIO = 1.25
_LOG_LEVEL = log(LEVEL_RATIO)
# A level is kept until the speed is closer to another one by this share of a step.
HYSTERESIS = 0.2
# The standard error of a median, relative to that of a mean.
MEDIAN_ERROR = 1.25
# A deviation from what was believed before counts if it exceeds this many standard errors: more
# where the workers are alike as a whole, so that chance alone tells few of them apart.
SIGNIFICANCE_AMONG_EVEN = 3.0
SIGNIFICANCE_AMONG_UNEVEN = 1.0
# A single run may be slow by its own nature.
MIN_WEIGHT = 1.5
# Workers are uneven if their deviations are this many times as large as samples explain.
UNEVEN_SPREAD = 1.6
# A sample counts half as much after this time, as workers change their speed.
HALF_LIFE_MS = 20_000


@dataclass(frozen=True)
class SpeedSample:
    """What a run suggests: the logarithm of how many times as fast as usual its worker is."""

    run: RunName
    log_speed: float
    at_ms: int


@dataclass(frozen=True)
class SpeedBelief:
    """How fast a worker is thought to be, and the evidence.

    `level` counts steps of `LEVEL_RATIO` from the usual speed. `log_speed` is the median of the
    samples, shrunk towards the usual speed, and `weight` their number, where older ones count less.
    """

    level: int = 0
    log_speed: float = 0.0
    weight: float = 0.0
    updated_ms: int = 0

    @property
    def speed(self) -> float:
        """How many times as fast as usual the worker is."""
        return speed_of_level(self.level)


USUAL = SpeedBelief()


def speed_of_level(level: int) -> float:
    """Return how many times as fast as usual workers of a level are."""
    return LEVEL_RATIO**level


def sample_weight(at_ms: int, now_ms: int) -> float:
    """Return how much a sample of this time counts, from 0 to 1."""
    return 0.5 ** ((now_ms - at_ms) / HALF_LIFE_MS)


def weighted_median(samples: Sequence[tuple[float, float]]) -> float:
    """Return the median of (value, weight) pairs; the mean of the middle two at a tie."""
    ordered = sorted(samples)
    half = sum(weight for _, weight in ordered) / 2
    passed = 0.0
    for index, (value, weight) in enumerate(ordered):
        passed += weight
        if passed > half:
            return value
        if passed == half and index + 1 < len(ordered):
            return (value + ordered[index + 1][0]) / 2
    return ordered[-1][0] if ordered else 0.0


@dataclass(frozen=True)
class Surroundings:
    """What the samples of all workers show: the usual speed, as a logarithm, and how they differ.

    `noise` is the standard deviation of the samples of one worker.
    """

    usual: float = 0.0
    noise: float = 0.3
    uneven: bool = False

    @property
    def significance(self) -> float:
        """How many standard errors a deviation must exceed to count."""
        return SIGNIFICANCE_AMONG_UNEVEN if self.uneven else SIGNIFICANCE_AMONG_EVEN


def standard_error(noise: float, weight: float) -> float:
    """Return the standard error of a median of samples that count as `weight`."""
    return MEDIAN_ERROR * noise / sqrt(weight)


def belief(
    samples: Sequence[SpeedSample],
    surroundings: Surroundings,
    before: SpeedBelief,
    former: SpeedBelief,
    now_ms: int,
) -> SpeedBelief:
    """Return what to believe of a worker with these samples, of which one is needed.

    Without a significant difference, the worker is what its machine was before, `former`, which is
    forgotten with time.
    """
    weighted = [
        (each.log_speed - surroundings.usual, sample_weight(each.at_ms, now_ms)) for each in samples
    ]
    weight = sum(each for _, each in weighted)
    middle = weighted_median(weighted)
    error = standard_error(surroundings.noise, weight)
    log_speed = former.log_speed * sample_weight(former.updated_ms, now_ms)
    significant = abs(middle - log_speed) > surroundings.significance * error
    if significant and weight >= MIN_WEIGHT:
        log_speed += (middle - log_speed) * weight / (weight + 1)
    return SpeedBelief(
        believed_level(log_speed, before.level),
        log_speed,
        weight,
        max(each.at_ms for each in samples),
    )


def believed_level(log_speed: float, before: int) -> int:
    """Return the level of a speed; that of `before` if it is nearly as close."""
    exact = log_speed / _LOG_LEVEL
    if abs(exact - before) <= 0.5 + HYSTERESIS:
        return before
    return round(exact)
