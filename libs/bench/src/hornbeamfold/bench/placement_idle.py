"""Counts the accelerators that are idle while jobs wait, by reason."""

from collections.abc import Iterable, Mapping

from hornbeamfold.model import Job, JobState, Member, WorkerCapacity
from hornbeamfold.placement.blocks import mask_of

# An accelerator counts under the first of these reasons that applies to it.
REASONS = ("stopping", "reclaim", "aged", "urgent", "patient", "unfit")

ReservedWindows = Mapping[str, tuple[Member, ...]]


def idle_by_reason(
    demand: int,
    jobs: Iterable[Job],
    capacities: Mapping[str, WorkerCapacity],
    reserved: ReservedWindows,
) -> dict[str, int]:
    """Return how many accelerators in service are idle for each reason.

    `demand` is the number of further accelerators that waiting jobs could use; it limits the total.
    `reserved` maps a reason to the accelerators that are kept free for it: those of reclaims, and
    those for the job at the head of each queue group. Accelerators that are free and not reserved
    fit no waiting job and count as "unfit".
    """
    free = {name: item.free_mask for name, item in capacities.items() if item.eligible}
    idle = dict.fromkeys(REASONS, 0)
    for job in jobs:
        if job.state is not JobState.STOPPING:
            continue
        idle["stopping"] += sum(
            len(status.member.accelerators)
            for status in job.members
            if status.member.worker in free
        )
    for reason, members in reserved.items():
        for member in members:
            mask = free.get(member.worker, 0) & mask_of(member.accelerators)
            if mask:
                idle[reason] += mask.bit_count()
                free[member.worker] &= ~mask
    idle["unfit"] = sum(mask.bit_count() for mask in free.values())
    remaining = demand
    for reason in REASONS:
        idle[reason] = min(remaining, idle[reason])
        remaining -= idle[reason]
    return idle
