"""Folds log records into the cluster view; writes and restores snapshots of it."""

from hornbeamfold.view.fold_config import GuaranteesFit
from hornbeamfold.view.gangs import partial_gangs
from hornbeamfold.view.snapshot import (
    SnapshotCollector,
    may_replace,
    snapshot_parts,
    verify_snapshot,
)
from hornbeamfold.view.view import View

__all__ = [
    "GuaranteesFit",
    "SnapshotCollector",
    "View",
    "may_replace",
    "partial_gangs",
    "snapshot_parts",
    "verify_snapshot",
]
