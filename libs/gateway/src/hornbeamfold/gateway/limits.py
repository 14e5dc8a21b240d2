"""Checks that a job can run within the limit of its organisation."""

from hornbeamfold.batch import BatchJob, Organisation, within_limit


def limit_problem(job: BatchJob, organisation: Organisation | None) -> str:
    """Return why a job can never run within its organisation's limit; empty if it can.

    A task needs room for itself and a gang for all of its members, however little else runs.
    """
    if organisation is None:
        return ""
    for index, step in enumerate(job.steps):
        needed = step.demand.times(step.count if step.gang else 1)
        if within_limit(needed, organisation.limit):
            continue
        what = "its gang" if step.gang else "a task"
        return (
            f"step {index}: {what} needs {needed.accelerators} accelerators, {needed.cpu_millis} "
            f"millicores and {needed.memory_mb} MB, and organisation {organisation.name} may use "
            f"{_limit_text(organisation)}"
        )
    return ""


def _limit_text(organisation: Organisation) -> str:
    limit = organisation.limit
    amounts = (
        (limit.accelerators, "accelerators"),
        (limit.cpu_millis, "millicores"),
        (limit.memory_mb, "MB"),
    )
    return ", ".join(f"{amount} {unit}" for amount, unit in amounts if amount)
