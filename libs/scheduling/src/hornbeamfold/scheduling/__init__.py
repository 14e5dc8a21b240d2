"""Decides which tasks start on which workers and which runs are preempted."""

from hornbeamfold.scheduling.inputs import (
    Assignment,
    CandidateWorker,
    Claim,
    PlacedRun,
    Plan,
    Preemption,
    ReadyStep,
    Slowdown,
    Wait,
    WaitReason,
    no_slowdown,
    weighted_cores,
)
from hornbeamfold.scheduling.plan import plan

__all__ = [
    "Assignment",
    "CandidateWorker",
    "Claim",
    "PlacedRun",
    "Plan",
    "Preemption",
    "ReadyStep",
    "Slowdown",
    "Wait",
    "WaitReason",
    "no_slowdown",
    "plan",
    "weighted_cores",
]
