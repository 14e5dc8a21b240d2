"""Orders the groups of workers that are tried for the tasks of a step, by data locality."""

from collections.abc import Iterable

from hornbeamfold.scheduling.cluster import ClusterCapacity, is_eligible
from hornbeamfold.scheduling.inputs import ReadyStep

# Delay scheduling: a task takes several times as long away from its data, so it waits for capacity
# in the preferred rack for this share of its estimate before other racks are tried.
LOCALITY_WAIT_SHARE = 0.8


def candidate_groups(cluster: ClusterCapacity, step: ReadyStep, now_ms: int) -> list[list[str]]:
    """Return groups of workers, best first; one pass places all tasks of a step in one group."""
    eligible = [each for each in cluster.workers if is_eligible(step, cluster.worker(each))]
    preferred = step.step.preferred_rack
    waited_ms = now_ms - step.ready_ms
    wait_expired = waited_ms > LOCALITY_WAIT_SHARE * step.step.estimate_ms
    in_preferred_rack = [
        each for each in eligible if preferred and cluster.worker(each).rack == preferred
    ]
    if step.step.one_rack:
        return _rack_groups(cluster, step, eligible, in_preferred_rack, wait_expired)
    if not in_preferred_rack:
        return [eligible]
    return [in_preferred_rack, eligible] if wait_expired else [in_preferred_rack]


def _rack_groups(
    cluster: ClusterCapacity,
    step: ReadyStep,
    eligible: Iterable[str],
    in_preferred_rack: list[str],
    wait_expired: bool,
) -> list[list[str]]:
    by_rack: dict[str, list[str]] = {}
    for worker_id in eligible:
        by_rack.setdefault(cluster.worker(worker_id).rack, []).append(worker_id)
    # The remaining tasks must join the rack of the tasks that are already placed.
    racks = {cluster.worker(each).rack for each in step.placed_on if cluster.has_worker(each)}
    if len(racks) == 1:
        return [by_rack.get(racks.pop(), [])]
    groups = sorted(by_rack.values(), key=lambda group: -task_capacity(cluster, step, group))
    large_enough = [
        group for group in groups if task_capacity(cluster, step, group) >= step.step.count
    ]
    if not large_enough:
        return [[worker_id for group in groups for worker_id in group]]
    if not in_preferred_rack:
        return large_enough
    if task_capacity(cluster, step, in_preferred_rack) >= step.step.count and not wait_expired:
        return [in_preferred_rack]
    return [in_preferred_rack, *(group for group in large_enough if group != in_preferred_rack)]


def task_capacity(cluster: ClusterCapacity, step: ReadyStep, workers: Iterable[str]) -> int:
    """Return how many tasks of a step would fit on these workers if they were idle."""
    total = 0
    demand = step.step.reserved
    for worker_id in workers:
        capacity = cluster.worker(worker_id).capacity
        max_per_worker = step.step.max_per_worker or step.step.count
        if demand.cpu_millis:
            max_per_worker = min(max_per_worker, capacity.cpu_millis // demand.cpu_millis)
        if demand.memory_mb:
            max_per_worker = min(max_per_worker, capacity.memory_mb // demand.memory_mb)
        if demand.accelerators:
            max_per_worker = min(max_per_worker, capacity.accelerators // demand.accelerators)
        total += max_per_worker
    return total
