"""Finds gangs of which only some members run."""

from hornbeamfold.model import Job
from hornbeamfold.model.timing import PARTIAL_GANG_BOUND_MS
from hornbeamfold.view.view import View


def partial_gangs(view: View, now_ms: int) -> tuple[Job, ...]:
    """Return the gangs that have been partial for longer than the bound.

    `now_ms` is a log time. In the view, a member on an unreachable worker stays running after its
    lease has expired, so whether invariant I1 is violated follows from the workers' reports only.
    """
    partial = []
    for key, since_ms in view.state.partial_since.items():
        partial_ms = now_ms - since_ms
        if partial_ms <= PARTIAL_GANG_BOUND_MS:
            continue
        partial.append(view.jobs[key])
    return tuple(partial)
