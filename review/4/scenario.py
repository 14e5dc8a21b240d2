"""One large job comes among small ones; all accepted jobs must run.

The store refuses records of more than 262,144 bytes, as the platform's store does.
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
import warnings
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SOURCES = (*ROOT.glob("libs/*/src"), ROOT / "platform/src", ROOT / "platform/emulator/src")
sys.path[:0] = [str(path) for path in sorted(SOURCES)]
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import msgspec  # noqa: E402
from yaml import safe_load  # noqa: E402

from hornbeamfold.batch import (  # noqa: E402
    Resources,
    Step,
    elapsed_ms,
)
from hornbeamfold.emulator import server as server_module  # noqa: E402
from hornbeamfold.emulator.callers import batch_document, call, job_document  # noqa: E402
from hornbeamfold.emulator.platform import (  # noqa: E402
    EmulatedPlatform,
    start_platform,
)
from hornbeamfold.emulator.processes import wait_for, write_settings  # noqa: E402
from hornbeamfold.emulator.server import StoreServer  # noqa: E402
from hornbeamfold.platform.http import CallFailed, HttpClient  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECORD = Path(__file__).with_name("record.txt")
ZONES = ("sousse-depot", "monastir-annex", "sfax-depot")
WORKERS = 24
RECORD_BYTES = 262_144
LARGE_JOB = "/patient/00000000000000aa"
# Without the large job, one as wide as the widest of the site takes its place.
LARGE_TASKS = 10_000 if TROUBLE else 94
LARGE_RUN_MS = 2_000
DEMAND = Resources(cpu_millis=100, memory_mb=256)
SMALL_JOBS = 20
SMALL_RUN_MS = 500
SMALL_INTERVAL_S = 0.5
# After the end of the traffic, nothing may stand still for 3 s while there is room.
FINISH_S = 14.0
IDLE_S = 3.0
READY_TIMEOUT_S = 20.0
GRACE_S = 8.0
BROKEN, HELD, NOT_RUN = 1, 0, 2
FINAL_STATES = ("completed", "failed", "cancelled")

lines: list[str] = []
began = time.monotonic()


def write(text: str) -> None:
    """Add a line to the record."""
    lines.append(f"{time.monotonic() - began:8.3f} s  {text}")


def limit_records() -> None:
    """Limit the size of records as the platform's store does."""
    append = StoreServer._append
    refused_bytes: set[int] = set()

    def append_limited(self: StoreServer, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        position = 0
        while position < len(body):
            length = int.from_bytes(body[position : position + 4], "big")
            if length > RECORD_BYTES:
                if length not in refused_bytes:
                    write(f"the store refuses a record of {length} bytes ({query['topic']})")
                refused_bytes.add(length)
                return 400, b"{}"
            position += 4 + length
        return append(self, query, body)

    StoreServer._append = append_limited  # type: ignore[method-assign]
    server_module._STATUS.setdefault(400, "400 Bad Request")


@dataclass(frozen=True)
class Instance:
    """A process of the project, with its addresses."""

    process: subprocess.Popen
    caller_address: str
    readiness_address: str


def start_instance(index: int, platform: EmulatedPlatform, folder: Path) -> Instance:
    """Start an instance with the command of the deploy file."""
    path = write_settings(f"edge-{index}", ZONES[index], platform.store_address, folder)
    listen = safe_load(path.read_text())["listen_addresses"]
    with path.with_suffix(".log").open("wb") as log:
        process = subprocess.Popen(
            ["python3", "deploy/serve.py"],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "HORNBEAMFOLD_BOOT": str(path),
            },
        )
    return Instance(process, listen["front"], listen["ready"])


def stop(instances: list[Instance]) -> None:
    """Stop all instances."""
    for instance in instances:
        if instance.process.poll() is None:
            instance.process.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + GRACE_S
    for instance in instances:
        while instance.process.poll() is None and time.monotonic() < deadline:
            eventlet.sleep(0.1)
        if instance.process.poll() is None:
            instance.process.kill()
            instance.process.wait()


def is_ready(http: HttpClient, instance: Instance) -> bool:
    """Return whether the readiness check succeeds."""
    response = http.call("GET", instance.readiness_address, "/hornbeamfold/readiness", 1_000)
    return not isinstance(response, CallFailed) and response.status == 200


def count_runs(platform: EmulatedPlatform) -> int:
    """Return the number of runs on all workers."""
    return sum(len(each.run_names) for each in platform.fleet.workers.values())


def submit_small(http: HttpClient, instances: list[Instance], first: int) -> list[str]:
    """Submit small jobs at a steady rate; return the paths of the accepted ones."""
    paths: list[str] = []
    for index in range(SMALL_JOBS):
        path = f"/urgent/{first + index:016x}"
        address = instances[index % len(instances)].caller_address
        status, _ = call(http, address, "POST", path, job_document(SMALL_RUN_MS))
        write(f"POST {path}: {status}")
        if status == 200:
            paths.append(path)
        eventlet.sleep(SMALL_INTERVAL_S)
    return paths


def states_of(http: HttpClient, instances: list[Instance], paths: list[str]) -> dict[str, str]:
    """Return the states of jobs."""
    address = instances[0].caller_address
    return {
        path: (call(http, address, "GET", path)[1] or {}).get("state", "no answer")
        for path in paths
    }


def play(platform: EmulatedPlatform, instances: list[Instance]) -> int:
    """Play the case; return its exit code."""
    http = HttpClient()
    if not wait_for(lambda: all(is_ready(http, each) for each in instances), READY_TIMEOUT_S):
        write("the instances did not become ready")
        return NOT_RUN
    eventlet.sleep(2.0)
    payload = msgspec.json.encode({"run_ms": LARGE_RUN_MS}).decode()
    step = Step(LARGE_TASKS, DEMAND, estimate_ms=LARGE_RUN_MS)
    status, _ = call(
        http, instances[0].caller_address, "POST", LARGE_JOB, batch_document(payload, [step])
    )
    write(f"POST {LARGE_JOB} with {LARGE_TASKS} tasks: {status}")
    if status != 200:
        return NOT_RUN
    paths = [LARGE_JOB, *submit_small(http, instances, 1)]
    eventlet.sleep(FINISH_S)
    idle_since = time.monotonic()
    while time.monotonic() - idle_since < IDLE_S and count_runs(platform) == 0:
        eventlet.sleep(0.05)
    idle = time.monotonic() - idle_since >= IDLE_S
    states = states_of(http, instances, paths)
    for path, state in states.items():
        write(f"GET {path}: {state}")
    open_jobs = [path for path, state in states.items() if state not in FINAL_STATES]
    write(f"{len(open_jobs)} jobs have not ended; no run on any worker for {IDLE_S} s: {idle}")
    print(lines[-1])
    return BROKEN if open_jobs and idle else HELD


def main() -> int:
    """Run the case and write its record."""
    limit_records()
    platform = start_platform(ZONES, WORKERS, elapsed_ms)
    instances: list[Instance] = []
    code = NOT_RUN
    with tempfile.TemporaryDirectory() as folder:
        try:
            for index in range(len(ZONES)):
                instances.append(start_instance(index, platform, Path(folder)))
            code = play(platform, instances)
        finally:
            stop(instances)
            RECORD.write_text("\n".join(lines) + "\n")
            if os.environ.get("KEEP_LOGS"):
                for log in Path(folder).glob("*.log"):
                    (Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())
    return code


if __name__ == "__main__":
    sys.exit(main())
