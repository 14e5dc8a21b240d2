"""Which workers suit a step when some are faster than others."""

from collections.abc import Sequence

from hornbeamfold.scheduling.inputs import CandidateWorker, ReadyStep, Slowdown, no_slowdown

# Work that isn't urgent takes a slow worker only if it would end in time there even if it took this
# many times as long as expected.
IN_TIME_FACTOR = 1.5
# Slowdowns that differ less are equal, so that the best fit decides.
DIGITS = 2
# The rank of a worker, lowest first; the second number decides between equal first ones.
Reluctance = tuple[float, float]
# The single tasks that show how fast a worker is.
TRIAL_TASKS = 2


def product(slowdowns: Sequence[Slowdown]) -> Slowdown:
    """Return a slowdown from several causes, which are independent of one another."""
    effective = [each for each in slowdowns if each is not no_slowdown]
    if not effective:
        return no_slowdown
    if len(effective) == 1:
        return effective[0]

    def combined(step: ReadyStep, worker: CandidateWorker) -> float:
        factor = 1.0
        for each in effective:
            factor *= each(step, worker)
        return factor

    return combined


def reluctance(step: ReadyStep, slowdown: float, disturbance: float, now_ms: int) -> Reluctance:
    """Return the rank of a worker for a step; the lowest are taken first.

    `slowdown` is by the worker's speed and `disturbance` by other tasks there. Urgent work takes
    the worker on which it ends first. Other work leaves fast workers to it: of those where it is
    disturbed the least, it takes the slowest on which it ends in time. If it is late everywhere, it
    takes the fastest too.
    """
    disturbance = round(disturbance, DIGITS)
    combined = round(slowdown * disturbance, DIGITS)
    if step.entitled or step.job.priority == 0:
        return combined, 0.0
    in_time = now_ms + IN_TIME_FACTOR * combined * step.expected_ms <= step.due_ms
    return (disturbance, -round(slowdown, DIGITS)) if in_time else (combined, 0.0)


def may_try(step: ReadyStep) -> bool:
    """Return whether the tasks of a step may show how fast workers are, without harm to it."""
    urgent = step.entitled or step.job.priority == 0
    kept_together = step.step.gang or step.step.one_rack or step.step.preferred_rack
    return not (urgent or kept_together or step.isolated or step.step.long_running)
