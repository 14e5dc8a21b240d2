"""The state transitions of one leased task, as functions of its last state and the time."""

from dataclasses import dataclass, replace
from math import inf

from hornbeamfold.standins.worker_data import StartOrder, TaskReport, Work

RUNNING = "running"


@dataclass(frozen=True)
class Task:
    """A task that was started; all times are Unix times in milliseconds.

    `done_ms` is the work done until `since_ms`, as time at full speed; from then on the task runs
    at `share` of its full speed.
    """

    start: StartOrder
    work: Work
    started_ms: float
    since_ms: float
    lease_until_ms: float
    fails_at_ms: float = inf
    state: str = RUNNING
    detail: str = ""
    done_ms: float = 0.0
    share: float = 1.0
    checkpoint: str = ""
    next_checkpoint: str = ""
    next_checkpoint_ms: float = inf
    ended_ms: float = inf


def begin(start: StartOrder, work: Work, fail_after_ms: int | None, now_ms: float) -> Task:
    """Return a task that starts now, from its checkpoint if there is one."""
    return Task(
        start=start,
        work=work,
        started_ms=now_ms,
        since_ms=now_ms,
        lease_until_ms=now_ms + start.lease_ms,
        fails_at_ms=inf if fail_after_ms is None else now_ms + fail_after_ms,
        done_ms=_checkpointed_ms(start.checkpoint),
        checkpoint=start.checkpoint,
    )


def advance(task: Task, now_ms: float) -> Task:
    """Return the task in its state at this time: completed checkpoints and its end are applied."""
    if task.state != RUNNING:
        return task
    outcomes = (
        (_end_ms(task), "failed" if task.work.fail else "finished", "declared"),
        (task.fails_at_ms, "failed", "failed before its end"),
        (task.lease_until_ms, "lapsed", "the lease was not renewed"),
    )
    at_ms, state, detail = min(outcomes)
    until_ms = min(at_ms, now_ms)
    if task.next_checkpoint_ms <= until_ms:
        task = replace(
            task,
            checkpoint=task.next_checkpoint,
            next_checkpoint="",
            next_checkpoint_ms=inf,
        )
    if at_ms > now_ms:
        return task
    return end(task, state, detail, at_ms)


def end(task: Task, state: str, detail: str, at_ms: float) -> Task:
    """Return the task after its end."""
    return replace(
        task,
        state=state,
        detail=detail,
        ended_ms=at_ms,
        since_ms=at_ms,
        done_ms=_done_ms(task, at_ms),
        share=0.0,
    )


def renew(task: Task, lease_ms: int, now_ms: float) -> Task:
    """Return the task with its lease renewed from now."""
    return replace(task, lease_until_ms=now_ms + lease_ms)


def throttle(task: Task, share: float, now_ms: float) -> Task:
    """Return the task, running at another share of its full speed from now on."""
    return replace(task, done_ms=_done_ms(task, now_ms), since_ms=now_ms, share=share)


def start_checkpoint(task: Task, duration_ms: int, now_ms: float) -> Task:
    """Return the task with a checkpoint in progress; one already in progress continues."""
    if task.next_checkpoint:
        return task
    return replace(
        task,
        next_checkpoint=f"{task.start.task}@{int(_done_ms(task, now_ms))}",
        next_checkpoint_ms=now_ms + duration_ms,
    )


def report(task: Task, now_ms: float) -> TaskReport:
    """Return the report on the task for the instances."""
    run_ms = max(task.work.run_ms, 1)
    return TaskReport(
        task=task.start.task,
        fence=task.start.fence,
        state=task.state,
        checkpoint=task.checkpoint,
        progress=min(_done_ms(task, now_ms) / run_ms, 1.0),
        detail=task.detail,
    )


def _done_ms(task: Task, now_ms: float) -> float:
    return task.done_ms + max(now_ms - task.since_ms, 0.0) * task.share


def _end_ms(task: Task) -> float:
    remaining_ms = max(task.work.run_ms - task.done_ms, 0.0)
    return task.since_ms + remaining_ms / task.share if task.share > 0 else inf


def _checkpointed_ms(checkpoint: str) -> float:
    _, _, done = checkpoint.rpartition("@")
    return float(done) if done.isdigit() else 0.0
