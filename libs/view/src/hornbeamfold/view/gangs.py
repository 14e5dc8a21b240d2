"""Checks that no gang runs with only some of its members (I1)."""

from hornbeamfold.model import Job, MemberState, check
from hornbeamfold.model.timing import PARTIAL_GANG_BOUND_MS
from hornbeamfold.view.view import View


def partial_gangs(view: View, now_ms: int) -> tuple[Job, ...]:
    """Report and return the gangs that have run partly for longer than the bound.

    Only jobs that start or stop can run partly, so the cost is proportional to these.
    """
    partial = []
    for job in view.unsettled.values():
        running = sum(status.state is MemberState.RUNNING for status in job.members)
        if running in (0, len(job.members)):
            continue
        # A gang that never ran as a whole has run partly since its placement.
        since_ms = job.stopping_ms if job.running_ms else job.placed_ms
        if now_ms - since_ms <= PARTIAL_GANG_BOUND_MS:
            continue
        partial.append(job)
        check(
            "I1",
            False,
            f"{running} of {len(job.members)} members of job {job.key} have run for "
            f"{now_ms - since_ms} ms without the others",
        )
    return tuple(partial)
