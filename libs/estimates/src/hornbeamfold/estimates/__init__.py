"""What earlier progress suggests: how fast workers are."""

from hornbeamfold.estimates.progress_rates import ProgressRates
from hornbeamfold.estimates.sibling_durations import SiblingDurations
from hornbeamfold.estimates.speed import (
    USUAL,
    SpeedBelief,
    SpeedSample,
    believed_level,
    speed_of_level,
)
from hornbeamfold.estimates.worker_speeds import SpeedChange, WorkerSpeeds

__all__ = [
    "USUAL",
    "ProgressRates",
    "SiblingDurations",
    "SpeedBelief",
    "SpeedChange",
    "SpeedSample",
    "WorkerSpeeds",
    "believed_level",
    "speed_of_level",
]
