"""Orders the groups of workers that are tried for the tasks of a step, by data locality."""

from hornbeamfold.scheduling.cluster import ClusterCapacity, WorkerGroup
from hornbeamfold.scheduling.inputs import ReadyStep

# Delay scheduling: a task takes several times as long away from its data, so it waits for capacity
# in the preferred rack for this share of its estimate before other racks are tried.
LOCALITY_WAIT_SHARE = 0.8
# Across racks, a gang for one rack takes several times as long and as much capacity. After this
# wait, in which a rack should have become free, it is started across racks if at least this share
# of the accelerators is idle: a few long tasks then block each rack.
RACK_WAIT_FACTOR = 2.0
MIN_IDLE_SHARE_ACROSS_RACKS = 0.5
ALL_RACKS = WorkerGroup()


def candidate_groups(cluster: ClusterCapacity, step: ReadyStep, now_ms: int) -> list[WorkerGroup]:
    """Return groups of workers, best first; one pass places all tasks of a step in one group."""
    waited_ms = now_ms - step.ready_ms
    wait_expired = waited_ms > LOCALITY_WAIT_SHARE * step.expected_ms
    preferred = _preferred_group(cluster, step)
    if step.step.one_rack:
        groups = _rack_groups(cluster, step, preferred, wait_expired)
        if ALL_RACKS not in groups and _may_span_racks(cluster, step, waited_ms):
            groups.append(ALL_RACKS)
        return groups
    if preferred is None:
        return [ALL_RACKS]
    return [preferred, ALL_RACKS] if wait_expired else [preferred]


def _preferred_group(cluster: ClusterCapacity, step: ReadyStep) -> WorkerGroup | None:
    """Return the group of the rack with the step's data, if it has workers for the step."""
    if not step.step.preferred_rack:
        return None
    group = WorkerGroup(step.step.preferred_rack)
    return group if cluster.has_members(step, group) else None


def _may_span_racks(cluster: ClusterCapacity, step: ReadyStep, waited_ms: int) -> bool:
    """Return whether a gang for one rack should be started across racks rather than wait."""
    if step.placed_on or waited_ms <= RACK_WAIT_FACTOR * step.expected_ms:
        return False
    service = step.job.service
    total = cluster.total_accelerators(service)
    return cluster.idle_accelerators(service) >= MIN_IDLE_SHARE_ACROSS_RACKS * total


def _rack_groups(
    cluster: ClusterCapacity,
    step: ReadyStep,
    preferred: WorkerGroup | None,
    wait_expired: bool,
) -> list[WorkerGroup]:
    # The remaining tasks must join the rack of the tasks that are already placed.
    racks = {cluster.worker(each).rack for each in step.placed_on if cluster.has_worker(each)}
    if len(racks) == 1:
        return [WorkerGroup(racks.pop())]
    capacities = {
        WorkerGroup(rack): cluster.task_capacity(step, WorkerGroup(rack))
        for rack in cluster.racks(step.job.service)
    }
    large_enough = [group for group, tasks in capacities.items() if tasks >= step.step.count]
    if not large_enough:
        return [ALL_RACKS]
    large_enough.sort(key=lambda group: -capacities[group])
    if preferred is None:
        return large_enough
    if preferred in large_enough and not wait_expired:
        return [preferred]
    return [preferred, *(group for group in large_enough if group != preferred)]
