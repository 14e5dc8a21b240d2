"""Gang placement, guarantees, reclaim, backfill and run time estimates as plain functions."""

from hornbeamfold.placement.estimates import estimated_ms, expected_end_ms
from hornbeamfold.placement.fit import NoPlacement, Placement, explain_infeasibility, place
from hornbeamfold.placement.fragmentation import Fragmentation, fragmentation
from hornbeamfold.placement.guarantees import entitled_keys, guarantees_fit
from hornbeamfold.placement.plan import Plan, ReservationGroup, plan, plan_with_heads
from hornbeamfold.placement.plan_builder import Decision, PlanningState
from hornbeamfold.placement.queue import order_queue

__all__ = [
    "Decision",
    "Fragmentation",
    "NoPlacement",
    "Placement",
    "Plan",
    "PlanningState",
    "ReservationGroup",
    "entitled_keys",
    "estimated_ms",
    "expected_end_ms",
    "explain_infeasibility",
    "fragmentation",
    "guarantees_fit",
    "order_queue",
    "place",
    "plan",
    "plan_with_heads",
]
