"""The whole decision: judge, place, reclaim and backfill, as one consistent batch."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from hornbeamfold.model import ACTIVE_JOBS, Job, JobJudged, JobState, Shape, StopReason
from hornbeamfold.model.timing import PATIENT_JOB_AGEING_MS
from hornbeamfold.placement.backfill import HeadReservation, reserve_head, reserve_oldest
from hornbeamfold.placement.blocks import free_index
from hornbeamfold.placement.defragment import worthwhile_moves
from hornbeamfold.placement.entitled import EntitledPlacer, valid_reservations
from hornbeamfold.placement.estimates import STOPPING_MS, estimated_ms
from hornbeamfold.placement.fit import Feasibility
from hornbeamfold.placement.guarantees import entitled_queue
from hornbeamfold.placement.occupancy import Tenant
from hornbeamfold.placement.plan_builder import Decision, Draft, PlanningState
from hornbeamfold.placement.queue import is_aged, oldest_aged, ordered

# One call looks at so many queued jobs behind the head. A job further back is seldom the one that
# fits, and the next call, after these decisions, starts from the head again.
LOOKED_AT = 256
# More placements in one call would delay the first of them by the time to decide the others.
PLACEMENTS_PER_PLAN = 64
# Estimates that are always too short could move the window of the head again and again. A head
# this old gets the window with the oldest tenants and no backfill, which stays the same window.
STRICT_AGE_MS = 2 * PATIENT_JOB_AGEING_MS


class Group(Enum):
    """Groups of queued jobs that have a reservation each.

    Urgent jobs have one beside the oldest aged patient job: with a single one, a large urgent job
    would wait for every aged job before it. Other patient jobs have one if nobody else needs it.
    """

    AGED = 0
    URGENT = 1
    PATIENT = 2


@dataclass(frozen=True)
class Plan:
    """The decisions, and the windows that were held for the heads of the queue meanwhile."""

    decisions: tuple[Decision, ...] = ()
    heads: Mapping[Group, HeadReservation] = field(default_factory=dict)


def plan(state: PlanningState, now_ms: int) -> tuple[Decision, ...]:
    """Return the decisions for this state; later ones see the effect of earlier ones."""
    return plan_with_heads(state, now_ms).decisions


def plan_with_heads(state: PlanningState, now_ms: int) -> Plan:
    """Return the decisions together with what was held while they were made."""
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
    feasible, judged = _judge(state, queued)
    draft = Draft(state, now_ms, free_index(state.capacities), active, feasible, judged)
    if state.reservations:
        draft.keep_reservations(valid_reservations(draft))
    draft.entitle(
        entitled_queue(
            state.organisations, draft.entitled_active, feasible, frozenset(draft.reservations)
        )
    )
    order = ordered(feasible, active, state.organisations, draft.entitled, now_ms)
    heads = _place_in_order(draft, order)
    return Plan(draft.decisions, heads)


# This memory only saves time: the verdicts depend on nothing but the workers in service.
_feasibility = Feasibility()


def _judge(state: PlanningState, queued: Iterable[Job]) -> tuple[list[Job], list[Decision]]:
    """Return the jobs that some topology in service can hold, and the verdicts that changed."""
    reason_of = _feasibility.reasons(state.capacities)
    feasible: list[Job] = []
    decisions: list[Decision] = []
    for job in queued:
        verdict = reason_of(job.spec.shape)
        if verdict != job.infeasible:
            event = JobJudged(job.spec.organisation, job.spec.job_id, verdict)
            reason = verdict or "a topology in service can hold the shape again"
            decisions.append(Decision(event, reason))
        if not verdict:
            feasible.append(job)
    return feasible, decisions


def _place_in_order(draft: Draft, order: Iterable[Job]) -> dict[Group, HeadReservation]:
    keys = draft.entitled
    entitled = [job for job in draft.queued if job.key in keys] if keys else []
    placer = EntitledPlacer(draft, entitled)
    # A job placed before an entitled one could be in the window that this one has to reclaim, and
    # could only be stopped in a later call.
    for job in sorted(entitled, key=lambda job: (not job.spec.urgent, job.submitted_ms, job.key)):
        placer.place(job)
    oldest = oldest_aged(draft.queued, keys, draft.now_ms)
    heads: dict[Group, HeadReservation | None] = {}
    failed: set[tuple[Shape, frozenset[Group]]] = set()
    looked = 0
    for job in order:
        if job.key in keys:
            continue
        looked += 1
        if looked > LOOKED_AT or len(draft.placed) >= PLACEMENTS_PER_PLAN:
            break
        if _place_behind(draft, job, heads, failed):
            continue
        group = Group.URGENT if job.spec.urgent else Group.PATIENT
        if job is oldest:
            group = Group.AGED
        if group in heads or (group is Group.PATIENT and heads):
            continue
        head = _reserve(draft, job, group)
        heads[group] = head
        if head is not None:
            draft.index.hold(head.members)
    return {group: head for group, head in heads.items() if head is not None}


def _reserve(draft: Draft, job: Job, group: Group) -> HeadReservation | None:
    if group is Group.AGED and draft.now_ms - job.submitted_ms > STRICT_AGE_MS:
        return reserve_oldest(job.spec.shape, draft.index, draft.tenants, draft.now_ms)
    head = reserve_head(job.spec.shape, draft.index, draft.tenants, draft.now_ms)
    return head if group is Group.PATIENT else _moved_for(draft, job, head)


def _moved_for(draft: Draft, job: Job, head: HeadReservation | None) -> HeadReservation | None:
    """Move younger checkpointable jobs out of a window for a head, if its wait is worth it."""
    if draft.stops:
        return head
    keep = {item.key for jobs in draft.entitled_active.values() for item in jobs}

    def movable(tenant: Tenant) -> bool:
        other = tenant.job
        if not other.spec.checkpointable or other.spec.urgent or other.key in keep:
            return False
        # It must come after the gang in the queue, or it would take the window back.
        if job.spec.urgent:
            return not is_aged(other, draft.now_ms)
        return other.submitted_ms > job.submitted_ms

    wait_ms = head.start_ms - draft.now_ms if head is not None else float("inf")
    found = worthwhile_moves(job.spec.shape, wait_ms, draft.index, draft.tenants, movable)
    if found is None:
        return head
    for tenant in found.stops:
        draft.stop(
            tenant.job, StopReason.DEFRAGMENT, None, (),
            f"moved for {'/'.join(job.key)}, which would wait {wait_ms / 1000:.0f} s",
        )  # fmt: skip
    return HeadReservation(draft.now_ms + STOPPING_MS, found.window)


def _place_behind(
    draft: Draft,
    job: Job,
    heads: dict[Group, HeadReservation | None],
    failed: set[tuple[Shape, frozenset[Group]]],
) -> bool:
    """Place a job outside the reservations, or inside those before whose start it ends."""
    ends = draft.now_ms + estimated_ms(job.spec, draft.state.estimates)
    passed = {
        group: head for group, head in heads.items() if head is not None and ends <= head.start_ms
    }
    # What was tried with the same reservations in force fails again, because room only shrinks.
    attempt = (job.spec.shape, frozenset(heads).difference(passed))
    if attempt in failed:
        return False
    for head in passed.values():
        draft.index.hold(head.members, -1)
    found = draft.find(job)
    for head in passed.values():
        draft.index.hold(head.members)
    if found is None:
        failed.add(attempt)
        return False
    if not heads:
        reason = "first in order, smallest sufficient free run"
    elif passed:
        reason = "ends before the reservation for the head of the queue"
    else:
        reason = "outside the reservation for the head of the queue"
    draft.place(job, found.members, reason)
    return True
