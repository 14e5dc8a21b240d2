"""Batch job records in a keyed log: codec, local replica and log follower."""

from hornbeamfold.ledger.codec import (
    CoordinatorRecord,
    encode_cancel,
    encode_coordinator,
    encode_job,
    encode_progress,
    encode_progress_tombstones,
    encode_speeds,
    encode_state,
    parse_progress_key,
)
from hornbeamfold.ledger.follower import Follower
from hornbeamfold.ledger.parts import TaskParts, task_parts
from hornbeamfold.ledger.progress import LoadedProgress, load_progress
from hornbeamfold.ledger.replica import Replica

__all__ = [
    "CoordinatorRecord",
    "Follower",
    "LoadedProgress",
    "Replica",
    "TaskParts",
    "encode_cancel",
    "encode_coordinator",
    "encode_job",
    "encode_progress",
    "encode_progress_tombstones",
    "encode_speeds",
    "encode_state",
    "load_progress",
    "parse_progress_key",
    "task_parts",
]
