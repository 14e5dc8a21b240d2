"""Finds gangs that run with only some of their members."""

from hornbeamfold.model import Job
from hornbeamfold.model.timing import PARTIAL_GANG_BOUND_MS
from hornbeamfold.view.view import View


def partial_gangs(view: View, now_ms: int) -> tuple[Job, ...]:
    """Return the gangs that count as running partly for longer than the bound.

    `now_ms` is a time of the log. A member on an unreachable worker stays running in the view
    although its lease has lapsed; what the workers report decides whether I1 is violated.
    """
    partial = []
    for key, since_ms in view.state.partial_since.items():
        partly_ms = now_ms - since_ms
        if partly_ms <= PARTIAL_GANG_BOUND_MS:
            continue
        partial.append(view.jobs[key])
    return tuple(partial)
