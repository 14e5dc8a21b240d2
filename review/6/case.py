"""The answers of a worker are lost for a while; none of its tasks may run twice at once."""

import time
from pathlib import Path

from cut import CutLink
from deployment import Deployment, NotRunError, run_case
from workers import Worker

# The bounds of the large site that differ from those of the example in DEPLOY.md.
BOUNDS = {
    "contact_window_ms": 5_000,
    "ack_timeout_ms": 8_000,
    "drain_ms": 5_000,
    "config_apply_ms": 5_000,
    "cancel_ms": 5_000,
}
WORKERS = 6
ROUNDS = 5
# A worker's steady clock may be 2% slow.
CLOCK_RATE = 0.98
# One worker of six is cut off in one direction for 11 s.
CUT_S = 11.0
# A small job is handed in so long after the cut has begun.
SMALL_JOB_S = 3.35
HEALED_S = 6.0
LONG_S = 100.0
SMALL_S = 30.0
# The long job has to run again so long after a cut has ended.
START_S = 5.0


def overlaps(deployment: Deployment) -> list[str]:
    """Return the tasks that ran twice at the same time."""
    running: dict[str, set[str]] = {}
    found: list[str] = []
    for at, event, worker, run, _ in deployment.record.events:
        if run is None:
            continue
        on = running.setdefault(run.task, set())
        if event != "start":
            on.discard(worker)
            continue
        found += [f"{run.task} on {other} and {worker} from {at:.2f} s on" for other in on]
        on.add(worker)
    return found


def worker_of_long_job(deployment: Deployment) -> Worker:
    """Return the worker of the long job, which may be about to be started again."""
    until = time.monotonic() + START_S
    while time.monotonic() < until:
        for worker in deployment.workers:
            if any(run.run_s == LONG_S for run in worker.running):
                return worker
        time.sleep(0.05)
    raise NotRunError("the long job does not run")


def main(deployment: Deployment, trouble: bool) -> str:
    """Return what breaks the rule, or nothing."""
    deployment.add_workers(WORKERS, clock_rate=CLOCK_RATE)
    cuts = {}
    for worker in deployment.workers:
        cuts[worker.worker_id] = CutLink(worker.address)
        worker.address = cuts[worker.worker_id].address
        worker.report()
    deployment.configure()
    deployment.start()
    time.sleep(2)
    step = {"count": 1, "cpu": 4_000, "requested_memory_mb": 1_024, "gpu": 4}
    step["estimate_ms"] = int(LONG_S * 1_000)
    small = {**step, "gpu": 1, "estimate_ms": int(SMALL_S * 1_000)}
    deployment.submit("urgent", "00000000000000aa", {"run_s": LONG_S}, [step])
    time.sleep(3)
    for number in range(ROUNDS):
        worker = worker_of_long_job(deployment)
        held = worker.held_s
        while worker.held_s == held:
            time.sleep(0.005)
        if trouble:
            deployment.record.write(f"the answers of {worker.worker_id} are lost from now on")
            cuts[worker.worker_id].cut()
        time.sleep(SMALL_JOB_S)
        deployment.submit("urgent", f"{number + 1:016x}", {"run_s": SMALL_S}, [small])
        time.sleep(CUT_S - SMALL_JOB_S)
        if trouble:
            cuts[worker.worker_id].heal()
            deployment.record.write(f"{worker.worker_id} is reached again")
        time.sleep(HEALED_S)
    found = overlaps(deployment)
    for each in found:
        deployment.record.write(f"two runs at the same time: {each}")
    return f"TWICE: {len(found)} tasks ran twice at the same time" if found else ""


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, 3, main, bounds=BOUNDS)
