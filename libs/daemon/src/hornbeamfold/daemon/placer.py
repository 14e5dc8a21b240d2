"""Plans placements and stops of jobs and proposes them to the log.

The live instances are ranked; the lower-ranked ones only propose if the first one does not.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace

import eventlet

from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.follower import LogFollower
from hornbeamfold.daemon.job_ages import JobAges
from hornbeamfold.logclient import LogWriter
from hornbeamfold.membership import Freshness, PeerTable
from hornbeamfold.model.events import Event, JobJudged, JobPlaced, JobStopping
from hornbeamfold.model.timing import LOG_WAIT_MS, RANK_DELAY_MS, START_BOUND_MS
from hornbeamfold.model.topology import WorkerCapacity
from hornbeamfold.model.work import Job, JobState, StopReason
from hornbeamfold.placement import Decision, PlanningState, plan
from hornbeamfold.telemetry import counter, get_logger, histogram, log_decision
from hornbeamfold.view import View

PLACEMENT_RANK_KEY = "placement"
# Start deadlines and ageing take effect without a log entry, so passes also run periodically.
IDLE_WAIT_MS = 500

logger = get_logger("hornbeamfold.daemon.placer")
count_decisions = counter("hornbeamfold_placement_decisions", "Placement decisions by verdict")
plan_time = histogram("hornbeamfold_plan_time", "ms", "Time of one planning pass")


def required_stops(view: View, ages: JobAges, drained: frozenset[str]) -> tuple[Decision, ...]:
    """Return stops of jobs in zones out of service, on drained workers, or with a late start."""
    decisions: list[Decision] = []
    for job in view.active.values():
        if job.state == JobState.STOPPING:
            continue
        reason = _stop_reason(job, view, ages, drained)
        if reason == StopReason.NONE:
            continue
        event = JobStopping(job.key[0], job.key[1], job.attempt, reason)
        decisions.append(Decision(event, f"{reason.value} at offset {view.offset}"))
    return tuple(decisions)


def _stop_reason(job: Job, view: View, ages: JobAges, drained: frozenset[str]) -> StopReason:
    for status in job.members:
        capacity = view.capacities.get(status.member.worker)
        if capacity is None:
            continue
        zone = view.zones.get(capacity.worker.availability_zone)
        if zone is not None and not zone.in_service:
            return StopReason.ZONE_OUT
        # Jobs without checkpoints would lose their work, so a drain lets them finish. The others
        # continue on another worker.
        if status.member.worker in drained and job.spec.checkpointable:
            return StopReason.TARGET_DRAIN
    if job.state == JobState.PLACED and ages.placed_age(job.key, job.attempt) > START_BOUND_MS:
        return StopReason.START_TIMEOUT
    return StopReason.NONE


def usable_capacities(view: View, unavailable: frozenset[str]) -> dict[str, WorkerCapacity]:
    """Return the capacities with unavailable workers marked as not eligible."""
    capacities = dict(view.capacities)
    for name in unavailable:
        capacity = capacities.get(name)
        if capacity is not None and capacity.eligible:
            capacities[name] = replace(capacity, eligible=False)
    return capacities


class Placer:
    """Runs the planning loop of one instance."""

    def __init__(
        self,
        follower: LogFollower,
        writer: LogWriter,
        peers: PeerTable,
        freshness: Freshness,
        ages: JobAges,
        clock: Clock,
        wall_clock: Clock,
        unavailable: Callable[[], frozenset[str]],
        leaving: Callable[[], frozenset[str]],
    ) -> None:
        self._follower = follower
        self._writer = writer
        self._peers = peers
        self._freshness = freshness
        self._ages = ages
        self._clock = clock
        self._wall_clock = wall_clock
        self._unavailable = unavailable
        self._leaving = leaving
        self._planned_offset = -1
        self._planned_unavailable: frozenset[str] = frozenset()
        self._planned_ms = 0
        self._running = True

    def run(self) -> None:
        """Run a planning pass after each change until stopped."""
        while self._running:
            offset = self._follower.view.offset
            try:
                self._step()
            except Exception:
                logger.exception("A planning pass failed")
                eventlet.sleep(IDLE_WAIT_MS / 1_000)
            # Entries that were applied during the pass trigger the next one without a wait.
            if self._follower.view.offset == offset:
                self._follower.changed.wait(IDLE_WAIT_MS)

    def stop(self) -> None:
        """End the loop after the current pass."""
        self._running = False

    def _step(self) -> None:
        now = self._clock()
        if not self._follower.ready or not self._freshness.may_start(now).granted:
            return
        rank = self._peers.rank(PLACEMENT_RANK_KEY, now)
        if rank > 0:
            offset = self._follower.view.offset
            eventlet.sleep(rank * RANK_DELAY_MS / 1_000)
            # If the log has advanced, a higher-ranked instance is likely to be planning already.
            if self._follower.view.offset != offset:
                return
        decisions = self._decide()
        if not decisions:
            return
        self._propose(decisions, rank)

    def _decide(self) -> tuple[Decision, ...]:
        view = self._follower.view
        unavailable = self._unavailable()
        stops = required_stops(view, self._ages, view.draining | self._leaving())
        if stops:
            return stops
        if not view.queued:
            return ()
        unchanged = (
            view.offset == self._planned_offset
            and unavailable == self._planned_unavailable
            and self._clock() - self._planned_ms < 10 * IDLE_WAIT_MS
        )
        if unchanged:
            return ()
        started = self._clock()
        state = PlanningState(
            jobs=tuple(view.queued.values()) + tuple(view.active.values()),
            capacities=usable_capacities(view, unavailable),
            organisations=view.organisations,
            reservations=tuple(view.reservations.values()),
            estimates=view.estimates,
            offset=view.offset,
        )
        decisions = plan(state, self._wall_clock())
        self._planned_offset = view.offset
        self._planned_unavailable = unavailable
        self._planned_ms = self._clock()
        plan_time(self._clock() - started)
        return decisions

    def _propose(self, decisions: Iterable[Decision], rank: int) -> None:
        proposed = tuple(decisions)
        ticket = self._writer.submit(tuple(decision.event for decision in proposed))
        applied = ticket.wait(LOG_WAIT_MS)
        if applied is None:
            ticket.withdraw()
        for index, decision in enumerate(proposed):
            verdict = "unknown"
            detail = ""
            if applied is not None and index < len(applied):
                verdict = "accepted" if applied[index].accepted else "rejected"
                detail = applied[index].detail
            count_decisions(1, verdict=verdict)
            log_decision(
                "placement",
                _describe_event(decision.event),
                decision.reason,
                verdict=verdict,
                detail=detail,
                rank=rank,
                offset=self._follower.view.offset,
            )


def _describe_event(event: Event) -> str:
    if isinstance(event, JobPlaced):
        members = " ".join(
            f"{member.worker}:{','.join(map(str, member.accelerators))}" for member in event.members
        )
        return f"place {event.organisation}/{event.job_id}#{event.attempt} on {members}"
    if isinstance(event, JobStopping):
        return f"stop {event.organisation}/{event.job_id}#{event.attempt} {event.reason.value}"
    if isinstance(event, JobJudged):
        verdict = event.infeasible or "feasible"
        return f"judge {event.organisation}/{event.job_id}: {verdict}"
    return type(event).__name__
