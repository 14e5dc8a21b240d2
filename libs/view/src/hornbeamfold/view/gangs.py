"""Checks that no gang runs with only some of its members (I1)."""

from hornbeamfold.model import Job, MemberState, check
from hornbeamfold.model.timing import PARTIAL_GANG_BOUND_MS
from hornbeamfold.view.view import View


def partial_gangs(view: View, now_ms: int) -> tuple[Job, ...]:
    """Report and return the gangs that have run partly for longer than the bound.

    `now_ms` is a time of the log. The cost is proportional to the gangs that run partly.
    """
    partial = []
    for key, since_ms in view.state.partial_since.items():
        partly_ms = now_ms - since_ms
        if partly_ms <= PARTIAL_GANG_BOUND_MS:
            continue
        job = view.jobs[key]
        partial.append(job)
        running = sum(status.state is MemberState.RUNNING for status in job.members)
        detail = (
            f"{running} of {len(job.members)} members of job {key} run alone for {partly_ms} ms"
        )
        check("I1", False, detail)
    return tuple(partial)
