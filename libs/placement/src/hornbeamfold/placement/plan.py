"""The whole decision: judge, place, reclaim and backfill, as one consistent batch."""

from collections.abc import Iterable

from hornbeamfold.model import ACTIVE_JOBS, Job, JobJudged, JobState, Shape
from hornbeamfold.placement.backfill import HeadReservation, reserve_head
from hornbeamfold.placement.blocks import FreeIndex, free_index, total_index
from hornbeamfold.placement.draft import Decision, Draft, PlanningState
from hornbeamfold.placement.entitled import place_entitled, valid_reservations
from hornbeamfold.placement.estimates import estimated_ms
from hornbeamfold.placement.fit import infeasible_reason
from hornbeamfold.placement.guarantees import entitled_queue
from hornbeamfold.placement.queue import ordered

# One call looks at so many queued jobs behind the head. A job further back is seldom the one that
# fits, and the next call, after these decisions, starts from the head again.
LOOKED_AT = 256
# More placements in one call would delay the first of them by the time to decide the others.
PLACEMENTS_PER_PLAN = 64


def plan(state: PlanningState, now_ms: int) -> tuple[Decision, ...]:
    """Return the decisions for this state; later ones see the effect of earlier ones."""
    active: list[Job] = []
    queued: list[Job] = []
    for job in state.jobs:
        if job.state is JobState.QUEUED:
            if not job.cancel_requested:
                queued.append(job)
        elif job.state in ACTIVE_JOBS:
            active.append(job)
    if not queued:
        return ()
    draft = Draft(state, now_ms, free_index(state.capacities), active, queued, {})
    draft.queued = _judge(draft)
    draft.reservations = valid_reservations(draft) if state.reservations else {}
    for reservation in draft.reservations.values():
        draft.index.hold(reservation.members)
    draft.entitled = entitled_queue(
        state.organisations, active, draft.queued, frozenset(draft.reservations)
    )
    order = ordered(draft.queued, active, state.organisations, draft.entitled, now_ms)
    _place_in_order(draft, order)
    return tuple(draft.decisions)


def _judge(draft: Draft) -> list[Job]:
    """Judge each queued job and return those that some topology in service can hold."""
    totals: FreeIndex | None = None
    verdicts: dict[Shape, str] = {}
    feasible = []
    for job in draft.queued:
        shape = job.spec.shape
        verdict = verdicts.get(shape)
        if verdict is None:
            if totals is None:
                totals = total_index(draft.state.capacities.values(), only_eligible=True)
            verdict = infeasible_reason(shape, totals)
            verdicts[shape] = verdict
        if verdict != job.infeasible:
            event = JobJudged(job.spec.organisation, job.spec.job_id, verdict)
            reason = verdict or "a topology in service can hold the shape again"
            draft.decisions.append(Decision(event, reason))
        if not verdict:
            feasible.append(job)
    return feasible


def _place_in_order(draft: Draft, order: Iterable[Job]) -> None:
    entitled = [job for job in draft.queued if job.key in draft.entitled]
    entitled.sort(key=lambda job: (not job.spec.urgent, job.submitted_ms, job.key))
    place_entitled(draft, entitled)
    head: HeadReservation | None = None
    blocked = False
    failed: set[Shape] = set()
    looked = 0
    for job in order:
        if job.key in draft.entitled:
            continue
        looked += 1
        if looked > LOOKED_AT or len(draft.placed) >= PLACEMENTS_PER_PLAN:
            break
        shape = job.spec.shape
        if not blocked:
            found = draft.find(job)
            if found is not None:
                draft.place(job, found.members, "first in order, smallest sufficient free run")
                continue
            blocked = True
            head = reserve_head(shape, draft.index, draft.tenants, draft.now_ms)
            if head is not None:
                draft.index.hold(head.members)
            failed.add(shape)
            continue
        _backfill(draft, job, head, failed)


def _backfill(draft: Draft, job: Job, head: HeadReservation | None, failed: set[Shape]) -> None:
    shape = job.spec.shape
    ends = draft.now_ms + estimated_ms(job.spec, draft.state.estimates)
    short = head is not None and ends <= head.start_ms
    if shape in failed:
        return
    found = draft.find(job)
    if found is not None:
        draft.place(job, found.members, "outside the reservation for the head of the queue")
        return
    if head is None or not short:
        # A short job of this shape may still fit inside the reservation.
        return
    draft.index.hold(head.members, -1)
    found = draft.find(job)
    if found is not None:
        draft.place(job, found.members, "ends before the reservation for the head of the queue")
    else:
        failed.add(shape)
    draft.index.hold(head.members)
