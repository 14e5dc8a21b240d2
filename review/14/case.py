"""A task that lasts is away for 13 s after its worker and the coordinator were lost at once."""

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_3"))

from fleet import BROKEN, COULD_NOT_RUN, HELD, wait_for  # noqa: E402
from scene import Scene, run_case  # noqa: E402
from world import Recorder, Worker, World  # noqa: E402

WATCHED_S = 20.0
RESTART_AFTER_S = 0.5
# A task that lasts may be away for 6 s after its last run, and then for less than 3 s.
AWAY_S = 6.0
IDLE_S = 3.0
STEP = {
    "count": 1,
    "cpu": 5_600,
    "requested_memory_mb": 16_384,
    "gpu": 1,
    "estimate_ms": 1_000,
    "long_running": True,
}


def worker_of(world: World, job: str) -> Worker | None:
    """Return the worker that runs a task of a job."""
    for worker in world.workers:
        if worker.life is not None and any(task.startswith(job) for task, _ in worker.life.runs):
            return worker
    return None


def play(scene: Scene) -> int:
    """Let the worker of the task vanish for good, and kill the coordinator at the same moment."""
    world, recorder = scene.world, scene.recorder
    job = scene.caller.submit("patient", [STEP], {"run_ms": 600_000})
    if not job or not wait_for(lambda: worker_of(world, job) is not None, 10):
        return COULD_NOT_RUN
    time.sleep(3)
    if scene.trouble:
        worker, coordinator = worker_of(world, job), scene.fleet.coordinator()
        if worker is None or coordinator is None:
            return COULD_NOT_RUN
        recorder.add("coordinator_killed", name=coordinator.name)
        coordinator.signal(signal.SIGKILL)
        world.vanish(worker)
        time.sleep(RESTART_AFTER_S)
        coordinator.end()
        coordinator.start()
        recorder.add("coordinator_restarted", name=coordinator.name)
    time.sleep(WATCHED_S)
    scene.caller.state("patient", job)
    away_s = longest_absence(recorder, job)
    if away_s > AWAY_S + IDLE_S:
        recorder.add("rule_broken", rule="LOST", job=job, away_s=f"{away_s:.1f}")
        return BROKEN
    return HELD


def longest_absence(recorder: Recorder, job: str) -> float:
    """Return for how long in seconds the task was not at work after a run had ended."""
    longest = 0.0
    ended: float | None = None
    for at, kind, fields in recorder.of("start", "end"):
        if not fields["task"].startswith(job):
            continue
        if kind == "end":
            ended = at
            continue
        if ended is not None:
            longest = max(longest, at - ended)
        ended = None
    return longest if ended is None else max(longest, recorder.now() - ended)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
