"""The coordinator: election, progress journal, worker sessions and planning loop."""

from hornbeamfold.coordinator.coordination import Coordination
from hornbeamfold.coordinator.election import Election
from hornbeamfold.coordinator.latency import StoreLatency
from hornbeamfold.coordinator.term import Term, TermDependencies

__all__ = ["Coordination", "Election", "StoreLatency", "Term", "TermDependencies"]
