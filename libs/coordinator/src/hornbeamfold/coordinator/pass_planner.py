"""Makes the plan of one pass from the jobs, the workers and the recent demand."""

from collections.abc import Collection
from dataclasses import dataclass

from hornbeamfold.batch import Bounds, Clock, OperatorState
from hornbeamfold.coordinator.demand import UrgentDemand
from hornbeamfold.coordinator.health import WorkerHealth
from hornbeamfold.coordinator.interference import Interference
from hornbeamfold.coordinator.job_rotation import JobRotation
from hornbeamfold.coordinator.job_tracker import JobTracker
from hornbeamfold.coordinator.planner_inputs import (
    MAX_OFFERED_STEPS,
    PlacedRuns,
    candidate_workers,
    ready_steps,
)
from hornbeamfold.coordinator.session import Session
from hornbeamfold.coordinator.wait_log import WaitLog
from hornbeamfold.scheduling import Plan, plan
from hornbeamfold.telemetry import get_logger, histogram

logger = get_logger("hornbeamfold.coordinator.pass_planner")
_plan_ms = histogram("hornbeamfold_plan", "ms", "Time of one planning pass.")


@dataclass(frozen=True)
class PlannerDependencies:
    """What a PassPlanner needs from its term."""

    tracker: JobTracker
    health: WorkerHealth
    interference: Interference
    bounds: Bounds
    clock: Clock
    unix_clock: Clock


class PassPlanner:
    """Plans passes, and keeps between them what is estimated from the passes before."""

    def __init__(self, deps: PlannerDependencies) -> None:
        self._deps = deps
        self._urgent_demand = UrgentDemand()
        self._placed_runs = PlacedRuns()
        self._rotation = JobRotation()
        self._offers_limited = False
        self._wait_log = WaitLog(deps.clock)

    def plan(
        self, sessions: Collection[Session], all_workers: int, operator: OperatorState
    ) -> Plan | None:
        """Return a plan for the workers of these sessions, or None if no step is ready.

        `all_workers` is the number of workers including those that may not be used now.
        """
        tracker, health = self._deps.tracker, self._deps.health
        began = self._deps.clock()
        candidates = candidate_workers(sessions, tracker, health, operator)
        steps = ready_steps(
            tracker,
            operator,
            self._deps.unix_clock(),
            began,
            self._deps.bounds,
            len(candidates),
            self._rotation,
        )
        self._log_limited_offers(len(steps))
        if not steps:
            return None
        self._urgent_demand.record(steps, began)
        headroom = self._urgent_demand.headroom()
        placed_runs = self._placed_runs.current(tracker, began)
        interference = self._deps.interference
        new_plan = plan(steps, candidates, placed_runs, began, headroom, interference.slowdown())
        interference.log_kept_apart(steps, candidates, new_plan)
        _plan_ms(self._deps.clock() - began)
        ordinary = sum(not each.last_resort for each in candidates)
        self._wait_log.record(new_plan.waits, ordinary, health.excluded_count, all_workers)
        return new_plan

    def _log_limited_offers(self, steps: int) -> None:
        """Log when passes begin or cease to leave out steps that are ready."""
        limited = steps >= MAX_OFFERED_STEPS
        if limited is self._offers_limited:
            return
        self._offers_limited = limited
        logger.warning(
            "offers_limited" if limited else "offers_complete",
            extra={"steps": steps, "jobs": len(self._deps.tracker.jobs)},
        )
