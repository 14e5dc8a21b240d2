"""Chooses workers for the waiting tasks of a step from what is free on them."""

from collections.abc import Sequence
from math import inf

from hornbeamfold.batch import Resources
from hornbeamfold.scheduling.cluster import ClusterCapacity, WorkerGroup, pack
from hornbeamfold.scheduling.inputs import ReadyStep
from hornbeamfold.scheduling.locality import ALL_RACKS
from hornbeamfold.scheduling.worker_choice import Reluctance

# A step that would miss its objective by taking this many times its estimate from now on ignores
# the headroom for urgent work.
RISK_FACTOR = 1.5


def tasks_beside_headroom(
    cluster: ClusterCapacity, step: ReadyStep, headroom: int, now_ms: int
) -> int:
    """Return how many tasks may be placed without using the headroom for urgent work."""
    count = len(step.waiting)
    needed = step.step.demand.accelerators
    urgent = step.entitled or step.job.priority == 0
    at_risk = now_ms + RISK_FACTOR * step.expected_ms > step.due_ms
    if urgent or at_risk or needed == 0 or headroom == 0:
        return count
    allowed = max(0, cluster.idle_accelerators(step.job.service) - headroom) // needed
    if allowed >= count:
        return count
    return 0 if step.step.gang else allowed


def place_tasks(
    cluster: ClusterCapacity,
    step: ReadyStep,
    groups: Sequence[WorkerGroup],
    now_ms: int,
    count: int,
) -> list[str]:
    """Return workers for `count` waiting tasks: all or none of a gang, otherwise as many as fit."""
    best: list[str] = []
    if count == 0:
        return best
    best_reluctance: Reluctance = (inf, inf)
    needed = step.step.demand.accelerators

    def available(worker_id: str) -> Resources:
        took_ms = int(step.expected_ms * cluster.slowdown(step, worker_id))
        return cluster.available(worker_id, now_ms + took_ms)

    for group in groups:
        if len(best) == count and not _may_be_faster(cluster, step, group):
            break
        idle = cluster.idle_accelerators(step.job.service, group.rack)
        if idle < needed * (count if step.step.gang else 1):
            continue
        members = cluster.members_with_accelerators(step, group)
        chosen = pack(cluster, step, count, members, available)
        if len(chosen) == count:
            slowest = max(cluster.reluctance(step, each) for each in chosen)
            if slowest < best_reluctance:
                best, best_reluctance = chosen, slowest
        elif len(chosen) > len(best) and not step.step.gang:
            best = chosen
    return best


def _may_be_faster(cluster: ClusterCapacity, step: ReadyStep, group: WorkerGroup) -> bool:
    """Return whether a step that fits elsewhere may be faster in this group.

    A gang for one rack is as fast as its slowest worker, whichever rack it gets. Away from its data
    or across racks it would take several times as long.
    """
    if cluster.is_even or group.rack is None:
        return False
    return step.step.gang and step.step.one_rack and not step.step.preferred_rack


def may_ever_fit(cluster: ClusterCapacity, step: ReadyStep) -> bool:
    """Return whether a task of a step, or its gang, fits on the workers if they are idle."""
    needed = len(step.waiting) if step.step.gang else 1
    if cluster.has_last_resorts(step.job.service):
        return True
    return cluster.task_capacity(step, ALL_RACKS) >= needed
