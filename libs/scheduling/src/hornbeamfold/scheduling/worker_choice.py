"""Which workers suit a step when some are faster than others."""

from collections.abc import Sequence

from hornbeamfold.scheduling.inputs import CandidateWorker, ReadyStep, Slowdown, no_slowdown

# Work that isn't urgent takes a slow worker only if it would end in time there even if it took this
# many times as long as expected.
IN_TIME_FACTOR = 1.5
# Slowdowns that differ less are equal, so that the best fit decides.
DIGITS = 2
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


def reluctance(step: ReadyStep, slowdown: float, now_ms: int) -> float:
    """Return the rank of workers of a slowdown for a step; the lowest are taken first.

    Urgent work takes the fastest. Other work leaves those to it, and takes the slowest of those
    where it ends in time; if it is late everywhere, the fastest too.
    """
    slowdown = round(slowdown, DIGITS)
    if step.entitled or step.job.priority == 0:
        return slowdown
    in_time = now_ms + IN_TIME_FACTOR * slowdown * step.expected_ms <= step.due_ms
    return -slowdown if in_time else slowdown


def may_try(step: ReadyStep) -> bool:
    """Return whether the tasks of a step may show how fast workers are, without harm to it."""
    urgent = step.entitled or step.job.priority == 0
    kept_together = step.step.gang or step.step.one_rack or step.step.preferred_rack
    return not (urgent or kept_together or step.isolated or step.step.long_running)
