"""Decides which tasks start where and which runs stop."""

from hornbeamfold.scheduling.inputs import (
    Assignment,
    Occupant,
    Plan,
    Preemption,
    ReadyStep,
    Room,
)
from hornbeamfold.scheduling.plan import plan

__all__ = ["Assignment", "Occupant", "Plan", "Preemption", "ReadyStep", "Room", "plan"]
