"""One planning pass: places ready steps in queue order, as far as capacity allows."""

from collections.abc import Mapping, Sequence
from dataclasses import replace

from hornbeamfold.scheduling.cluster import ClusterCapacity, Reservation, pack
from hornbeamfold.scheduling.inputs import (
    Assignment,
    CandidateWorker,
    PlacedRun,
    Plan,
    Preemption,
    ReadyStep,
)
from hornbeamfold.scheduling.locality import candidate_groups
from hornbeamfold.scheduling.reclaim import reclaim
from hornbeamfold.scheduling.reserve import reserve

# The maximum number of blocked steps with reserved capacity. With one, every large gang further
# back would overtake a large gang near the head of the queue; with many, most of the capacity would
# be reserved and idle.
MAX_RESERVATIONS = 2
# A step that would miss its objective by taking this many times its estimate from now on ignores
# the headroom for urgent work.
RISK_FACTOR = 1.5
NO_HEADROOM: Mapping[str, int] = {}


def order_key(step: ReadyStep, now_ms: int) -> tuple[bool, int, bool, int, str, int, int]:
    """Return the queue sort key: guaranteed work first, then by priority, then by objective.

    Within a priority, steps that have missed their objective come after those that have not.
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
    workers: Sequence[CandidateWorker],
    placed_runs: Sequence[PlacedRun],
    now_ms: int,
    headroom: Mapping[str, int] = NO_HEADROOM,
) -> Plan:
    """Return the starts and preemptions to carry out now; times are on the coordinator's clock.

    `headroom` is the number of accelerators of each service that non-urgent work leaves free for
    the urgent work that is expected, so that fewer runs have to be preempted for it.
    """
    cluster = ClusterCapacity(workers)
    assignments: list[Assignment] = []
    preemptions: list[Preemption] = []
    victim_runs: set[PlacedRun] = set()
    remaining: Sequence[PlacedRun] = placed_runs
    blocked = 0
    reserved_steps = 0
    for step in sorted(steps, key=lambda each: order_key(each, now_ms)):
        groups = candidate_groups(cluster, step, now_ms)
        max_tasks = _max_tasks(cluster, step, headroom.get(step.job.service, 0), now_ms)
        chosen = _place(cluster, step, groups, now_ms, max_tasks)
        for index, worker_id in zip(step.waiting, chosen, strict=False):
            cluster.allocate(worker_id, step.step.reserved)
            reason = "entitled" if step.entitled else "tightest fit"
            assignments.append(Assignment(step.job.job_id, step.ref(index), worker_id, reason))
        unplaced = step.waiting[len(chosen) :]
        if not unplaced:
            continue
        blocked += 1
        if step.entitled:
            victims = _reclaim(cluster, step, len(chosen), groups, remaining, now_ms)
            if victims:
                victim_runs.update(victims)
                remaining = [
                    replace(each, stopping=True) if each in victim_runs else each
                    for each in remaining
                ]
            preemptions.extend(
                Preemption(each.name, each.worker_id, step.job.job_id) for each in victims
            )
            continue
        if reserved_steps < MAX_RESERVATIONS and not chosen:
            reserved_steps += reserve(cluster, step, groups, placed_runs, now_ms)
    return Plan(tuple(assignments), tuple(preemptions), blocked)


def _max_tasks(cluster: ClusterCapacity, step: ReadyStep, headroom: int, now_ms: int) -> int:
    """Return how many tasks may be placed without using the headroom for urgent work."""
    count = len(step.waiting)
    needed = step.step.demand.accelerators
    urgent = step.entitled or step.job.priority == 0
    at_risk = now_ms + RISK_FACTOR * step.step.estimate_ms > step.due_ms
    if urgent or at_risk or needed == 0 or headroom == 0:
        return count
    allowed = max(0, cluster.idle_accelerators(step.job.service) - headroom) // needed
    if allowed >= count:
        return count
    return 0 if step.step.gang else allowed


def _place(
    cluster: ClusterCapacity,
    step: ReadyStep,
    groups: Sequence[Sequence[str]],
    now_ms: int,
    count: int,
) -> list[str]:
    """Return workers for `count` waiting tasks: all or none of a gang, otherwise as many as fit."""
    ends_ms = now_ms + step.step.estimate_ms
    best: list[str] = []
    for group in groups:
        chosen = pack(cluster, step, count, group, lambda each: cluster.available(each, ends_ms))
        if len(chosen) == count:
            return chosen
        if len(chosen) > len(best) and not step.step.gang:
            best = chosen
    return best


def _reclaim(
    cluster: ClusterCapacity,
    step: ReadyStep,
    placed: int,
    groups: Sequence[Sequence[str]],
    placed_runs: Sequence[PlacedRun],
    now_ms: int,
) -> tuple[PlacedRun, ...]:
    """Reserve the capacity of stopping runs for an entitled step; return the runs to preempt."""
    unplaced_step = replace(step, waiting=step.waiting[placed:])
    found = reclaim(cluster, unplaced_step, groups, placed_runs)
    if found is None:
        return ()
    for worker_id in found.workers:
        cluster.add_reservation(Reservation(worker_id, step.step.reserved, now_ms))
    return found.victims
