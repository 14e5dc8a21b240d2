"""One repeated job that can never be done; all other jobs must still be run and answered."""

import time
from pathlib import Path

from deployment import Deployment, run_case

POISON = "00000000000000ff"
REPETITIONS = 120_000
HOUR_MS = 3_600_000
JOBS = 20
INTERVAL_S = 0.5
# No job is handed in later than this, as refused jobs take long.
TRAFFIC_S = 30.0
ACCEPTED = 200
RUN_S = 0.5
WORKERS = 8
# The bound of the rules: finish_s after the end of the traffic, and the 3 s that follow.
FINISH_S = 14.0
IDLE_S = 3.0


def main(deployment: Deployment, trouble: bool) -> str:
    """Return what breaks the rule, or nothing."""
    deployment.add_workers(WORKERS)
    deployment.configure()
    deployment.start()
    task = {"count": 1, "cpu": 1_000, "requested_memory_mb": 256, "gpu": 1, "estimate_ms": 500}
    jobs = [f"{index:016x}" for index in range(1, JOBS + 1)]
    accepted: list[str] = []
    ends = time.monotonic() + TRAFFIC_S
    for index, job in enumerate(jobs):
        if time.monotonic() > ends:
            break
        if trouble and index == 2:
            never = {**task, "required_label": "no-such-kind"}
            deployment.offer(
                "patient",
                POISON,
                {"run_s": RUN_S},
                [never],
                repetitions=REPETITIONS,
                interval_ms=HOUR_MS,
            )
        if deployment.offer("patient", job, {"run_s": RUN_S}, [task], attempts=3) == ACCEPTED:
            accepted.append(job)
        time.sleep(INTERVAL_S)
    deployment.record.write("the traffic has ended")
    time.sleep(FINISH_S + IDLE_S)
    states = {job: deployment.state("patient", job) for job in accepted}
    started = {event[3].task[:16] for event in deployment.record.events if event[1] == "start"}
    for job, state in states.items():
        deployment.record.write(
            f"GET /patient/{job}: {state}; {'started' if job in started else 'never started'}"
        )
    running = sum(len(worker.running) for worker in deployment.workers)
    deployment.record.write(f"{running} tasks run on {WORKERS} workers of 8 accelerators")
    idle = [job for job in accepted if job not in started]
    if idle and running < WORKERS * 4:
        return f"LOST: {len(idle)} of {len(accepted)} accepted jobs were never started, all is idle"
    return ""


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, 3, main)
