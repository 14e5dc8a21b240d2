"""What earlier progress suggests: how fast workers are."""

from hornbeamfold.estimates.progress_rates import ProgressRates
from hornbeamfold.estimates.sibling_durations import SiblingDurations
from hornbeamfold.estimates.worker_speeds import SpeedChange, WorkerSpeeds

__all__ = ["ProgressRates", "SiblingDurations", "SpeedChange", "WorkerSpeeds"]
