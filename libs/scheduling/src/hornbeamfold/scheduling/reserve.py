"""Reserves capacity for a step that does not fit, so that smaller work cannot starve it."""

from collections.abc import Sequence
from dataclasses import replace

from hornbeamfold.batch import Resources
from hornbeamfold.scheduling.cluster import (
    FAR_FUTURE_MS,
    ClusterCapacity,
    Reservation,
    WorkerGroup,
    fitting_tasks,
    pack,
)
from hornbeamfold.scheduling.inputs import PlacedRun, ReadyStep


def reserve(
    cluster: ClusterCapacity,
    step: ReadyStep,
    groups: Sequence[WorkerGroup],
    by_end_time: Sequence[PlacedRun],
    now_ms: int,
    max_wait_ms: float,
    firm: bool,
) -> bool:
    """Reserve capacity where all waiting tasks fit the earliest, as placed runs end.

    `by_end_time` has the placed runs in the order in which they end. Returns False if the tasks
    fit in no group of workers within `max_wait_ms`. Isolated tasks need whole workers, so that only
    one of them gets a reservation, or else one gang.
    """
    if step.isolated and not step.step.gang:
        step = replace(step, waiting=step.waiting[:1])
    best = earliest_fit(cluster, step, groups, by_end_time, max_wait_ms)
    if best is None:
        return False
    remaining_ms, chosen = best
    for worker_id in chosen:
        resources = cluster.worker(worker_id).capacity if step.isolated else step.step.reserved
        cluster.add_reservation(Reservation(worker_id, resources, now_ms + remaining_ms, firm))
    return True


def earliest_fit(
    cluster: ClusterCapacity,
    step: ReadyStep,
    groups: Sequence[WorkerGroup],
    by_end_time: Sequence[PlacedRun],
    max_wait_ms: float,
) -> tuple[int, list[str]] | None:
    """Return the delay in ms until all waiting tasks fit in one of the groups, and their workers.

    Returns None if they fit in no group within `max_wait_ms`.
    """
    best: tuple[int, list[str]] | None = None
    for group in groups:
        found = _earliest_fit_in(cluster, step, group, by_end_time, max_wait_ms)
        if found is not None and (best is None or found[0] < best[0]):
            best = found
    return best


def _earliest_fit_in(
    cluster: ClusterCapacity,
    step: ReadyStep,
    group: WorkerGroup,
    by_end_time: Sequence[PlacedRun],
    max_wait_ms: float,
) -> tuple[int, list[str]] | None:
    """Return the delay in ms until all waiting tasks fit in a group, and their workers."""
    count = len(step.waiting)
    free: dict[str, Resources] = {}
    fits: dict[str, int] = {}
    total = 0
    for worker_id in cluster.members(step, group):
        free[worker_id] = cluster.available(worker_id, FAR_FUTURE_MS)
        fits[worker_id] = fitting_tasks(step, cluster.worker(worker_id), free[worker_id], count)
        total += fits[worker_id]
    if total >= count:
        return 0, pack(cluster, step, count, free, free.__getitem__)
    for run in by_end_time:
        if run.remaining_ms > max_wait_ms:
            return None
        worker_id = run.worker_id
        if worker_id not in free:
            continue
        free[worker_id] = free[worker_id] + run.reserved
        fit = fitting_tasks(step, cluster.worker(worker_id), free[worker_id], count)
        total += fit - fits[worker_id]
        fits[worker_id] = fit
        if total >= count:
            return run.remaining_ms, pack(cluster, step, count, free, free.__getitem__)
    return None
