"""Evidence of how much tasks of one kind slow down tasks of another, from noisy samples."""

from dataclasses import dataclass
from math import log, sqrt

# Samples and effects are logarithms of factors, so that a slowdown and its end cancel out.
# A sample outside of this range counts as its bound, so that one odd task decides nothing.
MAX_SAMPLE = log(3.0)
# An older sample weighs half as much after this many newer ones.
HALF_LIFE_SAMPLES = 40
DECAY = 0.5 ** (1 / HALF_LIFE_SAMPLES)
# Weight of the prior belief that tasks do not disturb each other, in samples.
PRIOR_WEIGHT = 2.0
# Standard deviation of a sample as long as few samples show it.
PRIOR_DEVIATION = 0.25
# An effect counts as far as it exceeds this many standard errors.
CONFIDENCE = 2.0
# With less evidence than this, tasks count as not disturbing each other.
MIN_SAMPLES = 6
MIN_WORKERS = 2
# Smaller effects are not worth another placement.
MIN_EFFECT = log(1.15)


@dataclass(frozen=True)
class Evidence:
    """Weighted samples of one pair of kinds; `deviations` is the sum of squared deviations.

    `workers` has the first workers that gave samples, as a single one may be the cause itself.
    """

    weight: float = 0.0
    mean: float = 0.0
    deviations: float = 0.0
    samples: int = 0
    workers: frozenset[str] = frozenset()


NO_EVIDENCE = Evidence()


def with_sample(evidence: Evidence, sample: float, worker_id: str) -> Evidence:
    """Return the evidence with one more sample, the logarithm of a factor."""
    sample = max(-MAX_SAMPLE, min(MAX_SAMPLE, sample))
    weight = evidence.weight * DECAY + 1
    change = sample - evidence.mean
    mean = evidence.mean + change / weight
    deviations = evidence.deviations * DECAY + change * (sample - mean)
    workers = evidence.workers
    if len(workers) < MIN_WORKERS:
        workers = workers | {worker_id}
    return Evidence(weight, mean, deviations, evidence.samples + 1, workers)


def certain_effect(evidence: Evidence) -> float:
    """Return the logarithm of the slowdown that the evidence shows with confidence; 0 if none."""
    if evidence.samples < MIN_SAMPLES or len(evidence.workers) < MIN_WORKERS:
        return 0.0
    weight = evidence.weight + PRIOR_WEIGHT
    variance = (evidence.deviations + PRIOR_WEIGHT * PRIOR_DEVIATION**2) / weight
    effect = evidence.mean * evidence.weight / weight - CONFIDENCE * sqrt(variance / weight)
    return effect if effect >= MIN_EFFECT else 0.0
