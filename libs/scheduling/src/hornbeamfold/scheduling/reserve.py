"""Reserves capacity for a step that does not fit, so that smaller work cannot starve it."""

from collections.abc import Sequence

from hornbeamfold.batch import Resources
from hornbeamfold.scheduling.cluster import ClusterCapacity, Reservation, pack
from hornbeamfold.scheduling.inputs import PlacedRun, ReadyStep


def reserve(
    cluster: ClusterCapacity,
    step: ReadyStep,
    groups: Sequence[Sequence[str]],
    placed_runs: Sequence[PlacedRun],
    now_ms: int,
) -> bool:
    """Reserve capacity where all waiting tasks fit the earliest, as placed runs end.

    Returns False if they fit in no group of workers.
    """
    best: tuple[int, list[str]] | None = None
    for group in groups:
        found = _earliest_fit(cluster, step, group, placed_runs)
        if found is not None and (best is None or found[0] < best[0]):
            best = found
    if best is None:
        return False
    remaining_ms, chosen = best
    for worker_id in chosen:
        cluster.add_reservation(Reservation(worker_id, step.step.reserved, now_ms + remaining_ms))
    return True


def _earliest_fit(
    cluster: ClusterCapacity,
    step: ReadyStep,
    group: Sequence[str],
    placed_runs: Sequence[PlacedRun],
) -> tuple[int, list[str]] | None:
    """Return the delay in ms until all waiting tasks fit in a group, and their workers."""
    members = set(group)
    free: dict[str, Resources] = {each: cluster.free(each) for each in group}
    count = len(step.waiting)
    by_end_time = [each for each in placed_runs if each.worker_id in members]
    by_end_time.sort(key=lambda each: (each.remaining_ms, each.name))
    chosen = pack(cluster, step, count, group, free.__getitem__)
    if len(chosen) == count:
        return 0, chosen
    for position, run in enumerate(by_end_time):
        free[run.worker_id] = free[run.worker_id] + run.reserved
        following = by_end_time[position + 1 : position + 2]
        if following and following[0].remaining_ms == run.remaining_ms:
            continue
        chosen = pack(cluster, step, count, group, free.__getitem__)
        if len(chosen) == count:
            return run.remaining_ms, chosen
    return None
