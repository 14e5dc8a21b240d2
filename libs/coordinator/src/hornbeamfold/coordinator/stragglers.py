"""Finds runs to move: stalled, much slower than their siblings, or outlasting a draining worker."""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

from hornbeamfold.batch import RunName, Step, Worker
from hornbeamfold.coordinator.job_tracker import FULL_PACE, JobTracker, Run

# A run without progress for this long, which spans at least two reports, is started elsewhere.
STALL_TIMEOUT_MS = 2_500
# With less progress or elapsed time the rate of progress is too uncertain.
MIN_PROGRESS_PERCENT = 5.0
MIN_ELAPSED_MS = 700
# A run this many times slower than its siblings is taken to be on a slow worker.
SLOW_FACTOR = 3.0
# The tasks of a step vary in length, so fewer siblings are no basis for comparison.
MIN_SIBLINGS = 2
# The remaining time must exceed the time for a restart by this factor, as estimates are rough.
MIN_MOVE_GAIN = 1.4
# The time to place, record and start a run again.
RESTART_COST_MS = 300
# A draining worker often stays longer than announced. Runs that would lose their work are left to
# run if they would end within this time after the announced end.
DRAIN_OVERRUN_MS = 3_000


@dataclass(frozen=True)
class Relocation:
    """A decision to stop a run and start it on another worker, with the reason."""

    name: RunName
    reason: str


def straggling_runs(tracker: JobTracker, runs: Iterable[Run], now_ms: int) -> list[Relocation]:
    """Return the runs of one worker that have stalled or would end sooner elsewhere."""
    found: list[Relocation] = []
    # All runs of a step on one worker are compared with the same runs on other workers.
    typical_by_step: dict[tuple[str, int, int], float | None] = {}
    for run in runs:
        tracked = tracker.jobs.get(run.name.job_id)
        if tracked is None or run.stop_reason or run.settled_ms is None:
            continue
        step = tracked.job.steps[run.name.task.step]
        if step.long_running or run.percent >= 100 or run.pace_percent != FULL_PACE:
            continue
        if now_ms - run.moved_ms > STALL_TIMEOUT_MS:
            found.append(Relocation(run.name, "stalled"))
            continue
        if not is_comparable(step):
            continue
        key = (run.name.job_id, run.name.task.occurrence, run.name.task.step)
        if key not in typical_by_step:
            typical_by_step[key] = typical_duration_ms(tracker, run, now_ms)
        if is_straggler(run, step, typical_by_step[key], now_ms):
            found.append(Relocation(run.name, "slow"))
    return found


def runs_outlasting_drain(
    tracker: JobTracker, runs: Iterable[Run], worker: Worker, now_ms: int
) -> list[Relocation]:
    """Return the runs that will not end before their draining worker leaves.

    Runs with checkpoints lose no work by moving early. Long-running steps stay to the end.
    """
    if not worker.draining:
        return []
    found: list[Relocation] = []
    for run in runs:
        tracked = tracker.jobs.get(run.name.job_id)
        if tracked is None or run.stop_reason or run.settled_ms is None:
            continue
        step = tracked.job.steps[run.name.task.step]
        overrun_ms = 0 if step.checkpointing else DRAIN_OVERRUN_MS
        time_left_ms = remaining_ms(run, step, now_ms)
        if not step.long_running and time_left_ms > worker.drain_remaining_ms + overrun_ms:
            found.append(Relocation(run.name, "worker leaves"))
    return found


def remaining_ms(run: Run, step: Step, now_ms: int) -> float:
    """Return the remaining time of a run, projected from its progress or else its estimate."""
    duration_ms = run.projected_ms(now_ms, MIN_PROGRESS_PERCENT)
    if duration_ms is None:
        return step.estimate_ms - (now_ms - run.begun_ms)
    return duration_ms * (100 - run.percent) / 100


def projected_duration_ms(run: Run, now_ms: int) -> float | None:
    """Return the projected total duration of a run, or None if it is too early to tell."""
    if now_ms - run.begun_ms < MIN_ELAPSED_MS:
        return None
    return run.projected_ms(now_ms, MIN_PROGRESS_PERCENT)


def typical_duration_ms(tracker: JobTracker, run: Run, now_ms: int) -> float | None:
    """Return the median duration of the step's tasks elsewhere, or None if too few are known.

    The callers' estimates are too rough for this, as they are often off by several times.
    """
    tracked = tracker.jobs[run.name.job_id]
    step_key = (run.name.task.occurrence, run.name.task.step)
    durations: list[float] = list(tracked.durations_ms(*step_key))
    for other in tracker.runs_of(run.name.job_id):
        if other.worker_id == run.worker_id or other.name.task[:2] != step_key:
            continue
        duration_ms = projected_duration_ms(other, now_ms)
        if duration_ms is not None:
            durations.append(duration_ms)
    return median(durations) if len(durations) >= MIN_SIBLINGS else None


def is_comparable(step: Step) -> bool:
    """Return whether a run that is slower than its siblings would be faster on another worker.

    Members of a gang progress together, and tasks with a rack preference are slow for a reason that
    another worker does not remedy.
    """
    return not (step.gang or step.one_rack or step.preferred_rack)


def is_straggler(run: Run, step: Step, typical_ms: float | None, now_ms: int) -> bool:
    """Return whether a run is much slower than its siblings and would end sooner if restarted."""
    if typical_ms is None or not is_comparable(step):
        return False
    duration_ms = projected_duration_ms(run, now_ms)
    if duration_ms is None or duration_ms < SLOW_FACTOR * typical_ms:
        return False
    remaining_share = (100 - run.percent) / 100
    restart_ms = typical_ms * (remaining_share if step.checkpointing else 1.0) + RESTART_COST_MS
    return duration_ms * remaining_share > MIN_MOVE_GAIN * restart_ms
