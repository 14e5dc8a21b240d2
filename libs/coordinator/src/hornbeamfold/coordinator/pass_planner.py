"""Makes the plan of one pass from the jobs, the workers and the recent demand."""

from collections.abc import Collection
from dataclasses import dataclass, field

from hornbeamfold.batch import Bounds, Clock, OperatorState, Resources
from hornbeamfold.coordinator.demand import UrgentDemand
from hornbeamfold.coordinator.health import WorkerHealth
from hornbeamfold.coordinator.interference import Interference
from hornbeamfold.coordinator.job_rotation import JobRotation
from hornbeamfold.coordinator.job_tracker import JobTracker
from hornbeamfold.coordinator.limit_log import LimitLog
from hornbeamfold.coordinator.organisation_use import NOTHING, organisation_uses
from hornbeamfold.coordinator.owed_rate import OwedRates
from hornbeamfold.coordinator.planner_inputs import (
    MAX_OFFERED_STEPS,
    PlacedRuns,
    candidate_workers,
    ready_steps,
)
from hornbeamfold.coordinator.run_speeds import RunSpeeds
from hornbeamfold.coordinator.session import Session
from hornbeamfold.coordinator.wait_log import WaitLog
from hornbeamfold.scheduling import Claim, Plan, can_start_any, plan
from hornbeamfold.telemetry import get_logger, histogram

logger = get_logger("hornbeamfold.coordinator.pass_planner")
_plan_ms = histogram("hornbeamfold_plan", "ms", "Time of one planning pass.")
_stranded = histogram(
    "hornbeamfold_stranded_accelerators",
    "accelerators",
    "Free accelerators that no task of the oldest waiting gang can use, by pass.",
)


@dataclass(frozen=True)
class PlannerDependencies:
    """What a PassPlanner needs from its term."""

    tracker: JobTracker
    health: WorkerHealth
    speeds: RunSpeeds
    interference: Interference
    bounds: Bounds
    clock: Clock
    unix_clock: Clock
    owed: OwedRates = field(default_factory=OwedRates)


class PassPlanner:
    """Plans passes, and keeps between them what is estimated from the passes before."""

    def __init__(self, deps: PlannerDependencies) -> None:
        self._deps = deps
        self._urgent_demand = UrgentDemand()
        self._placed_runs = PlacedRuns()
        self._rotation = JobRotation()
        self._offers_limited = False
        self._claims: tuple[Claim, ...] = ()
        self._wait_log = WaitLog(deps.clock)
        self._limit_log = LimitLog(deps.clock)

    @property
    def limited_organisations(self) -> int:
        """The number of organisations that wait for their limits."""
        return len(self._limit_log.limited)

    def plan(
        self,
        sessions: Collection[Session],
        all_workers: int,
        operator: OperatorState,
        uncertain_use: Resources = NOTHING,
    ) -> Plan | None:
        """Return a plan for the workers of these sessions, or None if no step is ready.

        `all_workers` is the number of workers including those that may not be used now, and
        `uncertain_use` the most that runs may use that the tracker does not know.
        """
        tracker, health = self._deps.tracker, self._deps.health
        began = self._deps.clock()
        self._deps.speeds.update()
        candidates = self._deps.speeds.classified(
            candidate_workers(sessions, tracker, health, operator)
        )
        steps = ready_steps(
            tracker,
            operator,
            self._deps.unix_clock(),
            began,
            self._deps.bounds,
            len(candidates),
            self._rotation,
            self._deps.owed,
            dict.fromkeys(each.job_id for each in self._claims),
        )
        self._log_limited_offers(len(steps))
        uses = organisation_uses(operator.configuration, tracker.used_by, uncertain_use)
        version = None if operator.configuration is None else operator.configuration.version
        if not steps:
            self._limit_log.record((), uses, version)
            self._claims = ()
            return None
        startable = (each for each in steps if can_start_any(each, uses))
        self._urgent_demand.record(startable, began)
        headroom = self._urgent_demand.headroom()
        placed_runs = self._placed_runs.current(tracker, began)
        interference = self._deps.interference
        new_plan = plan(
            steps,
            candidates,
            placed_runs,
            began,
            headroom,
            self._deps.speeds.slowdown(),
            interference.slowdown(),
            organisations=uses,
            claims=self._claims,
        )
        interference.log_kept_apart(steps, candidates, new_plan)
        self._claims = new_plan.claims
        self._placed_runs.record_preemptions(new_plan.preemptions)
        _plan_ms(self._deps.clock() - began)
        self._limit_log.record(new_plan.limited, uses, version)
        _stranded(new_plan.stranded_accelerators)
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
