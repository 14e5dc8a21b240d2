"""Workers crash one after the other; a job of one task, which never fails, must be completed."""

import time
from pathlib import Path

from deployment import Deployment, run_case

JOB = "5c0e7a21d94b36f8"
RUN_S = 12.0
WORKERS = 8
CRASHES = 4
# One worker of eight is down at a time, for 4.5 s.
DOWN_S = 4.5
PERIOD_S = 8.0
FIRST_CRASH_S = 2.0
END_S = 75.0


def main(deployment: Deployment, trouble: bool) -> str:
    """Return what breaks the rule, or nothing."""
    deployment.add_workers(WORKERS)
    deployment.configure()
    deployment.start()
    step = {"count": 1, "cpu": 64_000, "requested_memory_mb": 1_024, "gpu": 8}
    step["estimate_ms"] = int(RUN_S * 1_000)
    deployment.submit("patient", JOB, {"run_s": RUN_S}, [step])
    began = time.monotonic()
    crashed = 0
    state = ""
    while time.monotonic() - began < END_S:
        at = time.monotonic() - began - FIRST_CRASH_S - crashed * PERIOD_S
        if trouble and crashed < CRASHES and at >= 0:
            deployment.workers[crashed].crash()
            time.sleep(DOWN_S)
            deployment.workers[crashed].restart()
            crashed += 1
        shown = deployment.state("patient", JOB)
        if shown != state:
            deployment.record.write(f"GET /patient/{JOB}: {shown}")
            state = shown
        if state in ("completed", "failed", "cancelled"):
            break
        time.sleep(0.2)
    ends = [event[4] for event in deployment.record.events if event[1] == "end"]
    deployment.record.write(f"the job is shown as {state}; ends that workers listed: {ends}")
    if state == "failed" and "failed" not in ends:
        return "LOST: the job is shown as failed, and no run has ended failed"
    if state != "completed":
        return f"LOST: the job is shown as {state} {END_S} s after it was accepted"
    return ""


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, 3, main)
