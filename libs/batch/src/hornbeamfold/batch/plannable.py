"""Checks that a batch job can be planned."""

from hornbeamfold.batch.spec import BatchJob, Step

MAX_TASKS = 10_000
# The coordinator keeps the progress of each task that was started, of steps that are not done.
MAX_TASKS_OF_ALL_OCCURRENCES = 200_000
# Sums and products of a job's numbers are converted to floating point.
MAX_NUMBER = 2**53


def job_problem(job: BatchJob) -> str:
    """Return why a job cannot be planned; empty if it can."""
    if not job.steps:
        return "the job has no steps"
    for index, step in enumerate(job.steps):
        if step.count < 1:
            return f"step {index} has no tasks"
        if any(not 0 <= earlier < index for earlier in step.after):
            return f"step {index} depends on itself or a later step"
    tasks = sum(step.count for step in job.steps)
    if tasks > MAX_TASKS:
        return f"the job has more than {MAX_TASKS} tasks"
    if tasks * job.occurrences > MAX_TASKS_OF_ALL_OCCURRENCES:
        return f"the repetitions have more than {MAX_TASKS_OF_ALL_OCCURRENCES} tasks together"
    if any(abs(number) > MAX_NUMBER for number in _numbers(job)):
        return f"a number exceeds {MAX_NUMBER}"
    return ""


def _numbers(job: BatchJob) -> list[float]:
    numbers = [
        job.priority,
        job.max_attempts,
        job.stretch,
        job.slack_ms,
        job.submitted_ms,
        job.start_at_ms,
        job.interval_ms,
    ]
    for step in job.steps:
        numbers += _step_numbers(step)
    return numbers


def _step_numbers(step: Step) -> list[float]:
    return [
        step.demand.cpu_millis,
        step.demand.memory_mb,
        step.demand.accelerators,
        step.estimate_ms,
        step.max_per_worker,
        step.latency_target_ms,
        step.max_unavailable,
    ]
