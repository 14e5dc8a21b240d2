"""One planning pass: ready steps in order, each placed whole or as far as room goes."""

from collections.abc import Mapping, Sequence
from dataclasses import replace

from hornbeamfold.scheduling.draft import Draft, Hold, pack
from hornbeamfold.scheduling.inputs import (
    Assignment,
    Occupant,
    Plan,
    Preemption,
    ReadyStep,
    Room,
)
from hornbeamfold.scheduling.locality import candidate_groups
from hornbeamfold.scheduling.reclaim import reclaim
from hornbeamfold.scheduling.reserve import reserve

# So many blocked steps have room held for them. With one, a large gang at the head would be passed
# by every large gang behind it; with many, most of the room would be held and idle.
MAX_RESERVATIONS = 2
# Work that would miss its objective if it took this many times its estimate from now on no longer
# leaves room for urgent work that may come.
RISK_FACTOR = 1.5
NO_HEADROOM: Mapping[str, int] = {}


def order_key(step: ReadyStep, now_ms: int) -> tuple[bool, int, bool, int, str, int, int]:
    """Return the place in the queue: guaranteed work, then by priority, then by its objective.

    Work that has missed its objective comes after the work of its priority that has not.
    """
    late = now_ms > step.due_ms
    return (
        not step.entitled,
        step.job.priority,
        late,
        step.due_ms,
        step.job.job_id,
        step.occurrence,
        step.step_index,
    )


def plan(
    steps: Sequence[ReadyStep],
    rooms: Sequence[Room],
    occupants: Sequence[Occupant],
    now_ms: int,
    headroom: Mapping[str, int] = NO_HEADROOM,
) -> Plan:
    """Return the starts and stops for this moment; times are on the coordinator's clock.

    `headroom` is how many accelerators of each service patient work leaves free for urgent work
    that is expected, so that less has to be stopped for it.
    """
    draft = Draft(rooms)
    assignments: list[Assignment] = []
    preemptions: list[Preemption] = []
    stopped: set[Occupant] = set()
    remaining: Sequence[Occupant] = occupants
    blocked = 0
    reservations = 0
    for step in sorted(steps, key=lambda each: order_key(each, now_ms)):
        groups = candidate_groups(draft, step, now_ms)
        most = _most_tasks(draft, step, headroom.get(step.job.service, 0), now_ms)
        chosen = _place(draft, step, groups, now_ms, most)
        for index, worker_id in zip(step.waiting, chosen, strict=False):
            draft.take(worker_id, step.step.reserved)
            reason = "entitled" if step.entitled else "tightest fit"
            assignments.append(Assignment(step.job.job_id, step.ref(index), worker_id, reason))
        rest = step.waiting[len(chosen) :]
        if not rest:
            continue
        blocked += 1
        if step.entitled:
            victims = _reclaim(draft, step, len(chosen), groups, remaining, now_ms)
            if victims:
                stopped.update(victims)
                remaining = [
                    replace(each, stopping=True) if each in stopped else each for each in remaining
                ]
            preemptions.extend(
                Preemption(each.name, each.worker_id, step.job.job_id) for each in victims
            )
            continue
        if reservations < MAX_RESERVATIONS and not chosen:
            reservations += reserve(draft, step, groups, occupants, now_ms)
    return Plan(tuple(assignments), tuple(preemptions), blocked)


def _most_tasks(draft: Draft, step: ReadyStep, headroom: int, now_ms: int) -> int:
    """Return how many tasks may be placed so that enough stays free for urgent work."""
    count = len(step.waiting)
    needed = step.step.demand.accelerators
    urgent = step.entitled or step.job.priority == 0
    at_risk = now_ms + RISK_FACTOR * step.step.estimate_ms > step.due_ms
    if urgent or at_risk or needed == 0 or headroom == 0:
        return count
    allowed = max(0, draft.idle_accelerators(step.job.service) - headroom) // needed
    if allowed >= count:
        return count
    return 0 if step.step.gang else allowed


def _place(
    draft: Draft, step: ReadyStep, groups: Sequence[Sequence[str]], now_ms: int, count: int
) -> list[str]:
    """Return workers for `count` waiting tasks: all of a gang or none, else as many as fit."""
    ends_ms = now_ms + step.step.estimate_ms
    best: list[str] = []
    for group in groups:
        chosen = pack(draft, step, count, group, lambda each: draft.available(each, ends_ms))
        if len(chosen) == count:
            return chosen
        if len(chosen) > len(best) and not step.step.gang:
            best = chosen
    return best


def _reclaim(
    draft: Draft,
    step: ReadyStep,
    placed: int,
    groups: Sequence[Sequence[str]],
    occupants: Sequence[Occupant],
    now_ms: int,
) -> tuple[Occupant, ...]:
    """Hold room for an entitled step where runs are stopping, and return what else must stop."""
    rest = replace(step, waiting=step.waiting[placed:])
    found = reclaim(draft, rest, groups, occupants)
    if found is None:
        return ()
    for worker_id in found.workers:
        draft.hold(Hold(worker_id, step.step.reserved, now_ms))
    return found.victims
