"""A planning pass: feasibility, placement, reclaim and backfill as one consistent batch."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from hornbeamfold.model import ACTIVE_JOBS, Job, JobJudged, JobState, Shape, StopReason
from hornbeamfold.model.timing import PATIENT_JOB_AGEING_MS
from hornbeamfold.placement.backfill import HeadReservation, reserve_head, reserve_oldest
from hornbeamfold.placement.blocks import free_index
from hornbeamfold.placement.defragment import worthwhile_moves
from hornbeamfold.placement.entitled import EntitledPlacer, valid_reservations
from hornbeamfold.placement.estimates import MAX_STOPPING_MS, estimated_ms
from hornbeamfold.placement.fit import FeasibilityCache
from hornbeamfold.placement.guarantees import entitled_queue
from hornbeamfold.placement.occupancy import Occupant
from hornbeamfold.placement.plan_builder import Decision, PlanBuilder, PlanningState
from hornbeamfold.placement.queue import is_aged, oldest_aged, order_by_class

# The number of queued jobs that one pass examines. A job further back is seldom the one that
# fits, and the next pass, after these decisions, starts from the head again.
MAX_JOBS_EXAMINED = 256
# More placements in one pass would delay the first of them until the others are decided.
MAX_PLACEMENTS_PER_PLAN = 64
# If estimates are always too short, the window of the head can move again and again. A head older
# than this gets the window with the oldest occupants, without backfill, and that window is stable.
NO_BACKFILL_AGE_MS = 2 * PATIENT_JOB_AGEING_MS


class ReservationGroup(Enum):
    """The groups of queued jobs; the first waiting job of each group can have a reservation.

    Urgent jobs have one in addition to the oldest aged patient job: with a single reservation, a
    large urgent job would wait for every aged job before it. Other patient jobs have one only if
    neither of these groups needs one.
    """

    AGED = 0
    URGENT = 1
    PATIENT = 2


@dataclass(frozen=True)
class Plan:
    """The decisions, and the windows that were held for the heads of the queue."""

    decisions: tuple[Decision, ...] = ()
    heads: Mapping[ReservationGroup, HeadReservation] = field(default_factory=dict)


def plan(state: PlanningState, now_ms: int) -> tuple[Decision, ...]:
    """Return the decisions for this state; later decisions take earlier ones into account."""
    return plan_with_heads(state, now_ms).decisions


def plan_with_heads(state: PlanningState, now_ms: int) -> Plan:
    """Return the decisions together with the reservations for the heads of the queue."""
    active: list[Job] = []
    queued: list[Job] = []
    for job in state.jobs:
        if job.state is JobState.QUEUED:
            if not job.cancel_requested:
                queued.append(job)
        elif job.state in ACTIVE_JOBS:
            active.append(job)
    if not queued:
        return Plan()
    feasible, feasibility_changes = _check_feasibility(state, queued)
    builder = PlanBuilder(
        state, now_ms, free_index(state.capacities), active, feasible, feasibility_changes
    )
    if state.reservations:
        builder.hold_reservations(valid_reservations(builder))
    builder.set_entitled(
        entitled_queue(
            state.organisations, builder.entitled_active, feasible, frozenset(builder.reservations)
        )
    )
    order = order_by_class(feasible, active, state.organisations, builder.entitled, now_ms)
    heads = _place_in_order(builder, order)
    return Plan(builder.decisions, heads)


# The cache does not affect results: feasibility depends only on the workers in service.
_feasibility_cache = FeasibilityCache()


def _check_feasibility(
    state: PlanningState, queued: Iterable[Job]
) -> tuple[list[Job], list[Decision]]:
    """Return the jobs that some topology in service can hold, and the changes of feasibility."""
    infeasibility = _feasibility_cache.reason_function(state.capacities)
    feasible: list[Job] = []
    decisions: list[Decision] = []
    for job in queued:
        infeasible = infeasibility(job.spec.shape)
        if infeasible != job.infeasible:
            event = JobJudged(job.spec.organisation, job.spec.job_id, infeasible)
            reason = infeasible or "a topology in service can hold the shape again"
            decisions.append(Decision(event, reason))
        if not infeasible:
            feasible.append(job)
    return feasible, decisions


def _place_in_order(
    builder: PlanBuilder, order: Iterable[Job]
) -> dict[ReservationGroup, HeadReservation]:
    keys = builder.entitled
    entitled = [job for job in builder.queued if job.key in keys] if keys else []
    placer = EntitledPlacer(builder, entitled)
    # Entitled jobs are placed first: another job placed before one could occupy the window that
    # it has to reclaim, and could only be stopped in a later pass.
    for job in sorted(entitled, key=lambda job: (not job.spec.urgent, job.submitted_ms, job.key)):
        placer.place(job)
    oldest = oldest_aged(builder.queued, keys, builder.now_ms)
    heads: dict[ReservationGroup, HeadReservation | None] = {}
    failed_attempts: set[tuple[Shape, frozenset[ReservationGroup]]] = set()
    examined = 0
    for job in order:
        if job.key in keys:
            continue
        examined += 1
        if examined > MAX_JOBS_EXAMINED or len(builder.placed) >= MAX_PLACEMENTS_PER_PLAN:
            break
        if _place_around_reservations(builder, job, heads, failed_attempts):
            continue
        group = ReservationGroup.URGENT if job.spec.urgent else ReservationGroup.PATIENT
        if job is oldest:
            group = ReservationGroup.AGED
        if group in heads or (group is ReservationGroup.PATIENT and heads):
            continue
        head = _reserve(builder, job, group)
        heads[group] = head
        if head is not None:
            builder.index.hold(head.members)
    return {group: head for group, head in heads.items() if head is not None}


def _reserve(builder: PlanBuilder, job: Job, group: ReservationGroup) -> HeadReservation | None:
    if group is ReservationGroup.AGED and builder.now_ms - job.submitted_ms > NO_BACKFILL_AGE_MS:
        return reserve_oldest(job.spec.shape, builder.index, builder.occupancy, builder.now_ms)
    head = reserve_head(job.spec.shape, builder.index, builder.occupancy, builder.now_ms)
    return head if group is ReservationGroup.PATIENT else _reserve_by_moving(builder, job, head)


def _reserve_by_moving(
    builder: PlanBuilder, job: Job, head: HeadReservation | None
) -> HeadReservation | None:
    """Move later checkpointable jobs out of a window for a head, if its wait justifies that."""
    if builder.stop_count:
        return head
    entitled = {item.key for jobs in builder.entitled_active.values() for item in jobs}

    def is_movable(occupant: Occupant) -> bool:
        other = occupant.job
        if not other.spec.checkpointable or other.spec.urgent or other.key in entitled:
            return False
        # The other job must be behind the gang in the queue, or it would take the window again.
        if job.spec.urgent:
            return not is_aged(other, builder.now_ms)
        return other.submitted_ms > job.submitted_ms

    wait_ms = head.start_ms - builder.now_ms if head is not None else float("inf")
    moves = worthwhile_moves(job.spec.shape, wait_ms, builder.index, builder.occupancy, is_movable)
    if moves is None:
        return head
    for occupant in moves.stops:
        builder.stop(
            occupant.job, StopReason.DEFRAGMENT, None, (),
            f"moved for {'/'.join(job.key)}, which would wait {wait_ms / 1000:.0f} s",
        )  # fmt: skip
    return HeadReservation(builder.now_ms + MAX_STOPPING_MS, moves.window)


def _place_around_reservations(
    builder: PlanBuilder,
    job: Job,
    heads: dict[ReservationGroup, HeadReservation | None],
    failed_attempts: set[tuple[Shape, frozenset[ReservationGroup]]],
) -> bool:
    """Place a job outside the reservations, or within those that start after it ends."""
    ends_ms = builder.now_ms + estimated_ms(job.spec, builder.state.estimates)
    passable_heads = {
        group: head
        for group, head in heads.items()
        if head is not None and ends_ms <= head.start_ms
    }
    # A shape that failed with the same reservations in force fails again, because the free
    # resources only shrink during a pass.
    attempt = (job.spec.shape, frozenset(heads).difference(passable_heads))
    if attempt in failed_attempts:
        return False
    for head in passable_heads.values():
        builder.index.hold(head.members, -1)
    placement = builder.find_placement(job)
    for head in passable_heads.values():
        builder.index.hold(head.members)
    if placement is None:
        failed_attempts.add(attempt)
        return False
    if not heads:
        reason = "first in order, smallest sufficient free run"
    elif passable_heads:
        reason = "ends before the reservation for the head of the queue"
    else:
        reason = "outside the reservation for the head of the queue"
    builder.place(job, placement.members, reason)
    return True
