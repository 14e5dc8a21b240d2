"""Worker selection, outlier ejection, retry budget, hedge delays, fair queueing, load shedding."""

from hornbeamfold.routing.candidates import (
    Candidate,
    Candidates,
    Choice,
    LinkCosts,
    Load,
    make_candidates,
)
from hornbeamfold.routing.fair_queue import FairQueue, Queued, QueuedRequest
from hornbeamfold.routing.latency import LatencyTable
from hornbeamfold.routing.outliers import Blame, OutlierTable
from hornbeamfold.routing.retry_budget import RetryBudget
from hornbeamfold.routing.router import Router

__all__ = [
    "Blame",
    "Candidate",
    "Candidates",
    "Choice",
    "FairQueue",
    "LatencyTable",
    "LinkCosts",
    "Load",
    "OutlierTable",
    "Queued",
    "QueuedRequest",
    "RetryBudget",
    "Router",
    "make_candidates",
]
