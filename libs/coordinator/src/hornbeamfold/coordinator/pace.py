"""Finds runs that stand still, are far slower than others of their step, or cannot end in time."""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

from hornbeamfold.batch import RunName, Step, Worker
from hornbeamfold.coordinator.book import Book, Run

# A run whose progress stands still for so long, over at least two reports, is started elsewhere.
STALLED_MS = 2_500
# Less progress or time says too little about the pace.
MIN_PERCENT = 5.0
MIN_ELAPSED_MS = 700
# A run this many times slower than its siblings is on a slow worker.
SLOW_FACTOR = 3.0
# The tasks of a step differ among themselves, so fewer siblings say too little.
MIN_SIBLINGS = 2
# A move must save this share of the time that remains here, as estimates of the rest are rough.
MOVE_GAIN = 1.4
# Placing, recording and starting a run again.
RESTART_MS = 300
# A worker that drains often stays longer than it says; work that would be lost gets this chance.
LINGER_MS = 3_000


@dataclass(frozen=True)
class LateRun:
    """A run that should be started elsewhere, and why."""

    name: RunName
    reason: str


def late_runs(book: Book, runs: Iterable[Run], now_ms: int) -> list[LateRun]:
    """Return the runs of one worker that stand still or would end sooner elsewhere."""
    found: list[LateRun] = []
    for run in runs:
        tracked = book.jobs.get(run.name.job_id)
        if tracked is None or run.stop_reason or run.settled_ms is None:
            continue
        step = tracked.job.steps[run.name.task.step]
        if step.long_running or run.percent >= 100:
            continue
        if now_ms - run.moved_ms > STALLED_MS:
            found.append(LateRun(run.name, "stalled"))
        elif is_slow(run, step, usual_ms(book, run, now_ms), now_ms):
            found.append(LateRun(run.name, "slow"))
    return found


def leaving_runs(book: Book, runs: Iterable[Run], worker: Worker, now_ms: int) -> list[LateRun]:
    """Return the runs that will not end before their worker leaves.

    What has checkpoints loses nothing by moving early. Lasting work stays to the end.
    """
    if not worker.draining:
        return []
    found: list[LateRun] = []
    for run in runs:
        tracked = book.jobs.get(run.name.job_id)
        if tracked is None or run.stop_reason or run.settled_ms is None:
            continue
        step = tracked.job.steps[run.name.task.step]
        chance_ms = 0 if step.checkpointing else LINGER_MS
        left_ms = remaining_ms(run, step, now_ms)
        if not step.long_running and left_ms > worker.drain_remaining_ms + chance_ms:
            found.append(LateRun(run.name, "worker leaves"))
    return found


def remaining_ms(run: Run, step: Step, now_ms: int) -> float:
    """Return how long a run goes on, by its pace if that is known and else by its estimate."""
    whole = run.whole_ms(now_ms, MIN_PERCENT)
    if whole is None:
        return step.estimate_ms - (now_ms - run.begun_ms)
    return whole * (100 - run.percent) / 100


def whole_ms(run: Run, now_ms: int) -> float | None:
    """Return how long a run will take in all at its pace; None if too little is known of it."""
    if now_ms - run.begun_ms < MIN_ELAPSED_MS:
        return None
    return run.whole_ms(now_ms, MIN_PERCENT)


def usual_ms(book: Book, run: Run, now_ms: int) -> float | None:
    """Return how long tasks of the same step take on other workers; None if nothing is known.

    The estimates of callers are too rough for this, as they are often several times off.
    """
    tracked = book.jobs[run.name.job_id]
    step_key = (run.name.task.occurrence, run.name.task.step)
    known: list[float] = list(tracked.finished_ms(*step_key))
    for other in book.runs_of(run.name.job_id):
        if other.worker_id == run.worker_id or other.name.task[:2] != step_key:
            continue
        whole = whole_ms(other, now_ms)
        if whole is not None:
            known.append(whole)
    return median(known) if len(known) >= MIN_SIBLINGS else None


def is_slow(run: Run, step: Step, usual: float | None, now_ms: int) -> bool:
    """Tell whether a run is far slower than its siblings and would end sooner if it began again.

    The members of a gang have one pace, and tasks that depend on their rack are slow for a reason
    that another worker does not cure.
    """
    if usual is None or step.gang or step.one_rack or step.preferred_rack:
        return False
    whole = whole_ms(run, now_ms)
    if whole is None or whole < SLOW_FACTOR * usual:
        return False
    left_share = (100 - run.percent) / 100
    again_ms = usual * (left_share if step.checkpointing else 1.0) + RESTART_MS
    return whole * left_share > MOVE_GAIN * again_ms
