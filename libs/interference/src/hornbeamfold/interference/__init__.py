"""Learns which tasks slow each other down on one worker, and paces best-effort tasks."""

from hornbeamfold.interference.evidence import (
    MIN_EFFECT,
    MIN_SAMPLES,
    NO_EVIDENCE,
    Evidence,
    certain_effect,
    with_sample,
)
from hornbeamfold.interference.learner import (
    DisturbanceLearner,
    Finding,
    Observation,
)
from hornbeamfold.interference.pacing import (
    FULL_PERCENT,
    PaceLimits,
    PaceState,
    Reading,
    is_starved,
    next_pace,
)
from hornbeamfold.interference.slowdown import (
    MAX_FACTOR,
    expected_factor,
    quantised,
)

__all__ = [
    "FULL_PERCENT",
    "MAX_FACTOR",
    "MIN_EFFECT",
    "MIN_SAMPLES",
    "NO_EVIDENCE",
    "DisturbanceLearner",
    "Evidence",
    "Finding",
    "Observation",
    "PaceLimits",
    "PaceState",
    "Reading",
    "certain_effect",
    "expected_factor",
    "is_starved",
    "next_pace",
    "quantised",
    "with_sample",
]
