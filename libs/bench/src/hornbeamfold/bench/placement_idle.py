"""Counts accelerators that are idle while jobs wait, by the reason for it."""

from collections.abc import Iterable, Mapping

from hornbeamfold.model import Job, JobState, Member, WorkerCapacity
from hornbeamfold.placement.blocks import mask_of

# The first reason that applies to an accelerator counts.
REASONS = ("stopping", "reclaim", "aged", "urgent", "patient", "unfit")

Held = Mapping[str, tuple[Member, ...]]


def idle_by_reason(
    demand: int, jobs: Iterable[Job], capacities: Mapping[str, WorkerCapacity], held: Held
) -> dict[str, int]:
    """Return how many accelerators in service are idle for each reason.

    `demand` is how many more accelerators waiting jobs could use; no more than these count.
    `held` are the windows by reason: of reclaims, and of the heads of the groups. What is free
    and not held fits no waiting job.
    """
    free = {name: item.free_mask for name, item in capacities.items() if item.eligible}
    found = dict.fromkeys(REASONS, 0)
    for job in jobs:
        if job.state is not JobState.STOPPING:
            continue
        found["stopping"] += sum(
            len(status.member.accelerators)
            for status in job.members
            if status.member.worker in free
        )
    for reason, members in held.items():
        for member in members:
            mask = free.get(member.worker, 0) & mask_of(member.accelerators)
            if mask:
                found[reason] += mask.bit_count()
                free[member.worker] &= ~mask
    found["unfit"] = sum(mask.bit_count() for mask in free.values())
    left = demand
    for reason in REASONS:
        found[reason] = min(left, found[reason])
        left -= found[reason]
    return found
