"""Explains why a ready step waits, for logs."""

from hornbeamfold.scheduling.cluster import ClusterCapacity, pack, tasks_that_fit
from hornbeamfold.scheduling.inputs import ReadyStep, Wait, WaitReason
from hornbeamfold.scheduling.locality import ALL_RACKS

# Shorter waits are usual: runs end and preempted runs stop meanwhile.
EXPLAINED_IDLE_MS = 1_000


def stranded_accelerators(cluster: ClusterCapacity, step: ReadyStep) -> int:
    """Return how many free accelerators of its service no task of a step could use."""
    needed = step.step.reserved.accelerators
    if not needed:
        return 0
    members = cluster.members(step, ALL_RACKS)
    usable = sum(
        tasks_that_fit(step.step.reserved, cluster.free(each), step.step.count) for each in members
    )
    return max(0, cluster.idle_accelerators(step.job.service) - usable * needed)


def explain_wait(
    cluster: ClusterCapacity, step: ReadyStep, headroom: int, max_tasks: int, now_ms: int
) -> Wait | None:
    """Return why the waiting tasks of a step were not placed.

    Returns None if the job has a run or has had none for a short time only. `max_tasks` is how many
    of the tasks the headroom of `headroom` accelerators leaves room for.
    """
    idle_ms = step.idle_ms(now_ms)
    if idle_ms < EXPLAINED_IDLE_MS:
        return None
    waiting = len(step.waiting)
    needed = waiting if step.step.gang else 1
    members = cluster.members_with_accelerators(step, ALL_RACKS)
    fitting = len(pack(cluster, step, 2 * waiting, members, cluster.free))
    ends_ms = now_ms + step.expected_ms
    reason = WaitReason.RACK
    if fitting < needed:
        reason = WaitReason.NO_ROOM
    elif (
        len(pack(cluster, step, needed, members, lambda e: cluster.available(e, ends_ms))) < needed
    ):
        reason = WaitReason.RESERVED
    elif max_tasks < needed:
        reason = WaitReason.HEADROOM
    return _wait(cluster, step, reason, idle_ms, fitting, headroom)


def explain_limit(cluster: ClusterCapacity, step: ReadyStep, now_ms: int) -> Wait | None:
    """Return that a step waits for its organisation's limit, if its job has waited for a while."""
    idle_ms = step.idle_ms(now_ms)
    if idle_ms < EXPLAINED_IDLE_MS:
        return None
    return _wait(cluster, step, WaitReason.LIMIT, idle_ms, 0, 0)


def _wait(
    cluster: ClusterCapacity,
    step: ReadyStep,
    reason: WaitReason,
    idle_ms: int,
    fitting: int,
    headroom: int,
) -> Wait:
    service = step.job.service
    return Wait(
        step.job.job_id,
        step.occurrence,
        step.step_index,
        reason,
        idle_ms,
        len(step.waiting),
        fitting,
        cluster.idle_accelerators(service),
        cluster.total_accelerators(service),
        headroom,
    )
