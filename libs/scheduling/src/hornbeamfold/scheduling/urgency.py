"""How urgent a step is: its place in the queue, and what it may do in order to start."""

from math import inf

from hornbeamfold.scheduling.inputs import ReadyStep, weighted_cores

# Guaranteed work must start within seconds, and stopping runs takes part of that time.
MAX_WAIT_BEFORE_PREEMPTION_MS = 700
# Urgent work without a guarantee preempts runs that lose less than this multiple of its own work:
# little for a start that is somewhat earlier, and more when the end would be of no use otherwise.
MAX_LOST_WORK_FACTOR = 0.5
LAST_CHANCE_LOST_WORK_FACTOR = 4.0
# A step that would expire by taking this many times its estimate from now on has its last chance.
LAST_CHANCE_FACTOR = 2.0


def order_key(
    step: ReadyStep, now_ms: int
) -> tuple[bool, bool, int, bool, bool, int, str, int, int]:
    """Return the queue sort key: guaranteed work first, then by priority, then by objective.

    Steps that can't end in time to be of use come after all that can. Within a priority, jobs
    beyond what their organisation is owed come last, and steps that can't meet their objective come
    after those that can.
    """
    earliest_end_ms = now_ms + step.expected_ms
    return (
        not step.entitled,
        earliest_end_ms > step.expired_ms,
        step.job.priority,
        step.beyond_owed,
        earliest_end_ms > step.due_ms,
        step.due_ms,
        step.job.job_id,
        step.occurrence,
        step.step_index,
    )


def may_preempt(step: ReadyStep, now_ms: int) -> bool:
    """Return whether an urgent step without a guarantee may preempt: if its end is of use then.

    What an organisation sends beyond its rate waits behind what others are owed.
    """
    if step.entitled or step.job.priority > 0 or step.beyond_owed:
        return False
    return now_ms + step.expected_ms <= step.expired_ms


def wait_before_preemption_ms(step: ReadyStep, now_ms: int) -> int:
    """Return for how long a step waits for runs to end instead of preempting."""
    waited_ms = now_ms - step.ready_ms
    slack_ms = step.due_ms - now_ms - step.expected_ms
    return min(MAX_WAIT_BEFORE_PREEMPTION_MS - waited_ms, slack_ms)


def preemption_budget(step: ReadyStep, now_ms: int) -> float:
    """Return the work in core-seconds that preemption for the waiting tasks may lose.

    Guaranteed work may preempt whatever it needs.
    """
    if step.entitled:
        return inf
    last_chance = now_ms + LAST_CHANCE_FACTOR * step.expected_ms > step.expired_ms
    factor = LAST_CHANCE_LOST_WORK_FACTOR if last_chance else MAX_LOST_WORK_FACTOR
    task_work = weighted_cores(step.step.demand) * step.expected_ms / 1_000
    return factor * len(step.waiting) * task_work
