"""Selects the runs to preempt when a job within its organisation's guarantee does not fit."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from hornbeamfold.batch import Resources
from hornbeamfold.scheduling.cluster import ClusterCapacity, pack
from hornbeamfold.scheduling.inputs import PlacedRun, ReadyStep

# Later than the start of any reservation, so that capacity reserved for other steps is not counted
# as free.
FAR_FUTURE_MS = 1 << 62


@dataclass(frozen=True)
class ReclaimPlan:
    """Workers for all waiting tasks and the runs to preempt.

    `victims` is empty if the runs that are already stopping free enough capacity.
    """

    workers: tuple[str, ...]
    victims: tuple[PlacedRun, ...]
    lost_work: float


def reclaim(
    cluster: ClusterCapacity,
    step: ReadyStep,
    groups: Sequence[Sequence[str]],
    placed_runs: Sequence[PlacedRun],
) -> ReclaimPlan | None:
    """Return the plan that loses the least work, or None if preemption cannot free enough."""
    best: ReclaimPlan | None = None
    gangs: dict[tuple[str, int, int], list[PlacedRun]] = {}
    for run in placed_runs:
        if run.gang is not None:
            gangs.setdefault(run.gang, []).append(run)
    for group in groups:
        found = _reclaim_in(cluster, step, group, placed_runs, gangs)
        if found is not None and (best is None or found.lost_work < best.lost_work):
            best = found
    return best


def _reclaim_in(
    cluster: ClusterCapacity,
    step: ReadyStep,
    group: Sequence[str],
    placed_runs: Sequence[PlacedRun],
    gangs: Mapping[tuple[str, int, int], Sequence[PlacedRun]],
) -> ReclaimPlan | None:
    free = {each: cluster.available(each, FAR_FUTURE_MS) for each in group}
    by_worker: dict[str, list[PlacedRun]] = {each: [] for each in group}
    for run in placed_runs:
        if run.worker_id not in free:
            continue
        if run.stopping:
            free[run.worker_id] = free[run.worker_id] + run.reserved
        elif not run.protected and run.priority > step.job.priority:
            by_worker[run.worker_id].append(run)
    chosen = pack(cluster, step, len(step.waiting), group, free.__getitem__)
    victims: dict[PlacedRun, None] = {}
    for worker_id in chosen:
        free[worker_id] = free[worker_id] - step.step.reserved
    while len(chosen) < len(step.waiting):
        found = _cheapest_preemption(step, free, by_worker, victims, gangs)
        if found is None:
            return None
        worker_id, added_victims = found
        for victim in added_victims:
            victims[victim] = None
            if victim.worker_id in free:
                free[victim.worker_id] = free[victim.worker_id] + victim.reserved
        free[worker_id] = free[worker_id] - step.step.reserved
        chosen.append(worker_id)
    lost = sum(victim.lost_work for victim in victims)
    return ReclaimPlan(tuple(chosen), tuple(victims), lost)


def _cheapest_preemption(
    step: ReadyStep,
    free: Mapping[str, Resources],
    by_worker: Mapping[str, Sequence[PlacedRun]],
    victims: Mapping[PlacedRun, None],
    gangs: Mapping[tuple[str, int, int], Sequence[PlacedRun]],
) -> tuple[str, list[PlacedRun]] | None:
    """Return the worker where one more task loses the least work, and the runs to preempt."""
    best: tuple[float, str, list[PlacedRun]] | None = None
    for worker_id, candidates in by_worker.items():
        if worker_id in step.avoid:
            continue
        available = free[worker_id]
        added: dict[PlacedRun, None] = {}
        for run in sorted(candidates, key=lambda each: (each.lost_work, each.name)):
            if step.step.reserved.fits(available):
                break
            if run in victims or run in added:
                continue
            for member in _gang_members(run, gangs):
                if member in victims or member in added:
                    continue
                added[member] = None
                if member.worker_id == worker_id:
                    available = available + member.reserved
        if not step.step.reserved.fits(available):
            continue
        cost = sum(each.lost_work for each in added)
        if best is None or (cost, worker_id) < (best[0], best[1]):
            best = (cost, worker_id, list(added))
    return (best[1], best[2]) if best is not None else None


def _gang_members(
    run: PlacedRun, gangs: Mapping[tuple[str, int, int], Sequence[PlacedRun]]
) -> Iterable[PlacedRun]:
    return gangs[run.gang] if run.gang is not None else (run,)
