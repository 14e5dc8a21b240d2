"""Workers are cut off and run on, and coordinators are killed; a sound job must not be failed."""

import signal
import time
from pathlib import Path

from cut import CutLink
from deployment import Deployment, run_case
from workers import Worker

JOB = "5c0e7a21d94b36f8"
RUN_S = 60.0
WORKERS = 6
INSTANCES = 7
ROUNDS = 5
# One worker of six at a time is cut off from all machines and the store.
CUT_S = 11.0
# The coordinator is killed so long after the task has begun to run elsewhere.
KILL_AFTER_S = 1.0
DOWN_S = 1.0
# The next cut begins so long after the kill.
PAUSE_S = 9.0
END_S = 106.0


def worker_of(deployment: Deployment, without: Worker | None) -> Worker | None:
    """Return a worker that runs the task, other than `without`."""
    for worker in deployment.workers:
        if worker is not without and worker.running:
            return worker
    return None


def main(deployment: Deployment, trouble: bool) -> str:
    """Return what breaks the rule, or nothing."""
    deployment.add_workers(WORKERS)
    cuts = {}
    for worker in deployment.workers:
        cuts[worker.worker_id] = CutLink(worker.address)
        worker.address = cuts[worker.worker_id].address
        worker.report()
    deployment.configure()
    deployment.start()
    time.sleep(1)
    step = {"count": 1, "cpu": 64_000, "requested_memory_mb": 1_024, "gpu": 8}
    step["estimate_ms"] = int(RUN_S * 1_000)
    deployment.submit("patient", JOB, {"run_s": RUN_S}, [step])
    began = time.monotonic()
    state = ""
    cut: Worker | None = None
    rounds = killed = 0
    due = began + 3.0
    heal = restart = 0.0
    while time.monotonic() - began < END_S:
        now = time.monotonic()
        if trouble and cut is None and rounds < ROUNDS and now >= due:
            cut = worker_of(deployment, None)
            if cut is not None:
                rounds += 1
                deployment.record.write(f"{cut.worker_id} is cut off, and runs on")
                cut.reaches_store = False
                cuts[cut.worker_id].cut(both=True)
                heal = now + CUT_S
        moved = cut is not None and worker_of(deployment, cut) is not None
        if moved and killed < rounds < ROUNDS:
            time.sleep(KILL_AFTER_S)
            killed = rounds
            down = deployment.leader
            deployment.signal_instance(down, signal.SIGKILL)
            restart = time.monotonic() + DOWN_S
            due = time.monotonic() + PAUSE_S
        if restart and now >= restart:
            deployment.restart(down)
            restart = 0.0
        if cut is not None and now >= heal:
            cuts[cut.worker_id].heal()
            cut.reaches_store = True
            cut.report()
            deployment.record.write(f"{cut.worker_id} is reached again")
            cut = None
        shown = deployment.state("patient", JOB)
        if shown != state:
            deployment.record.write(f"GET /patient/{JOB}: {shown}")
            state = shown
        if state in ("completed", "failed", "cancelled"):
            break
        time.sleep(0.1)
    ends = [event[4] for event in deployment.record.events if event[1] == "end"]
    deployment.record.write(f"the job is shown as {state}; ends at the workers: {ends}")
    if state == "failed" and "failed" not in ends:
        return "LOST: the job is shown as failed, and no run has ended failed"
    return ""


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, INSTANCES, main)
