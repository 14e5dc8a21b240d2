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
from hornbeamfold.scheduling.organisation_limits import OrganisationUse, can_start_any
from hornbeamfold.scheduling.plan import plan
from hornbeamfold.scheduling.worker_choice import product

__all__ = [
    "Assignment",
    "CandidateWorker",
    "Claim",
    "OrganisationUse",
    "PlacedRun",
    "Plan",
    "Preemption",
    "ReadyStep",
    "Slowdown",
    "Wait",
    "WaitReason",
    "can_start_any",
    "no_slowdown",
    "plan",
    "product",
    "weighted_cores",
]
