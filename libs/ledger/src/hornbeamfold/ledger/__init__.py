"""Batch job records in a keyed log: codec, local replica and log follower."""

from hornbeamfold.ledger.codec import (
    CoordinatorRecord,
    encode_cancel,
    encode_coordinator,
    encode_job,
    encode_progress,
    encode_progress_tombstone,
    encode_state,
)
from hornbeamfold.ledger.follower import Follower
from hornbeamfold.ledger.progress import load_progress
from hornbeamfold.ledger.replica import Replica

__all__ = [
    "CoordinatorRecord",
    "Follower",
    "Replica",
    "encode_cancel",
    "encode_coordinator",
    "encode_job",
    "encode_progress",
    "encode_progress_tombstone",
    "encode_state",
    "load_progress",
]
