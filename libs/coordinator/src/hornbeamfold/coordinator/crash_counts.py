"""What the crashes and losses of its workers count for against a task."""

from dataclasses import replace

from hornbeamfold.batch import TaskProgress, WorkerLoss

# After this many crashes of its workers a task runs alone on a worker.
ISOLATION_CRASHES = 2
# A task that crashes its workers fails its job after this many crashes if its run was alone on the
# worker in the last, and otherwise after the second number of crashes. Workers that may only have
# been cut off are no evidence by themselves, but a task is not started again for ever either.
MAX_CRASHES_ALONE = 3
MAX_CRASHES = 4
MIN_CRASHES_WITH_EVIDENCE = 2
MAX_CRASHES_WITHOUT_EVIDENCE = 5
# The workers of a task that are waited for at the same time to learn what became of them.
MAX_OPEN_LOSSES = 8


def with_crash(task: TaskProgress, evident: bool) -> TaskProgress:
    """Return a task with one more crash; `evident` says that it is evidence against the task."""
    return replace(task, crashes=task.crashes + 1, vanished=task.vanished + (not evident))


def with_loss(task: TaskProgress, loss: WorkerLoss) -> TaskProgress:
    """Return a task with a loss, in place of an earlier one of the same worker.

    If there are too many, one that does not count as a crash is left out.
    """
    others = [each for each in task.losses if each.worker_id != loss.worker_id]
    if len(others) >= MAX_OPEN_LOSSES:
        others.remove(next((each for each in others if not each.counted), others[0]))
    return replace(task, losses=(*others, loss))


def without_loss(task: TaskProgress, loss: WorkerLoss) -> TaskProgress:
    """Return a task without a loss."""
    return replace(task, losses=tuple(each for each in task.losses if each != loss))


def without_crashes(task: TaskProgress) -> TaskProgress:
    """Return a task without crashes and losses."""
    return replace(task, crashes=0, vanished=0, losses=())


def must_run_alone(task: TaskProgress) -> bool:
    """Return whether a task may be what crashes its workers."""
    return task.suspected_crashes >= ISOLATION_CRASHES


def is_given_up(task: TaskProgress, alone: bool, evident: bool) -> bool:
    """Return whether a task has crashed too many workers to be started again.

    `alone` says that its run, or its gang, was the only one on the last of them, and `evident` that
    this crash is evidence against the task.
    """
    limit = MAX_CRASHES_WITHOUT_EVIDENCE
    if evident and task.crashes - task.vanished >= MIN_CRASHES_WITH_EVIDENCE:
        limit = MAX_CRASHES_ALONE if alone else MAX_CRASHES
    return task.suspected_crashes >= limit
