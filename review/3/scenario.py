"""Many short tasks end while the store is down for some seconds; none may run again.

Two workers of 64 cores each run about 600 small tasks. The store answers 503 for 4.5 s, in which
all tasks end as done. Workers return unacknowledged ends 500 at a time.
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
import warnings
from dataclasses import dataclass, field, replace
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
    EndedTask,
    LeaseRenewal,
    LeaseReport,
    Refused,
    Resources,
    RunEnd,
    StartOrder,
    Step,
    Worker,
    elapsed_ms,
)
from hornbeamfold.emulator.callers import batch_document, call  # noqa: E402
from hornbeamfold.emulator.platform import (  # noqa: E402
    EmulatedPlatform,
    Observer,
    start_platform,
)
from hornbeamfold.emulator.processes import wait_for, write_settings  # noqa: E402
from hornbeamfold.emulator.workers import EmulatedWorker  # noqa: E402
from hornbeamfold.platform.http import CallFailed, HttpClient  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECORD = Path(__file__).with_name("record.txt")
ZONES = ("sousse-depot", "monastir-annex")
# A worker returns its unacknowledged ends in pages of this size (PROTOCOL.md).
ENDS_PER_REPORT = 500
WORKERS = 2
JOBS = 13
# The widest job of the site has this many tasks.
TASKS_PER_JOB = 94
DEMAND = Resources(cpu_millis=100, memory_mb=256)
SUBMIT_INTERVAL_S = 0.7
# The first job's tasks end this long after the first submission, those of each other job a little
# later.
FIRST_END_S = 16.0
END_INTERVAL_S = 0.2
OUTAGE_BEFORE_FIRST_END_S = 0.4
# The outage of the store in the site file.
OUTAGE_S = 4.5
READY_TIMEOUT_S = 20.0
END_TIMEOUT_S = 40.0
GRACE_S = 8.0
BROKEN, HELD, NOT_RUN = 1, 0, 2


@dataclass
class Events:
    """What the workers see: starts, ends and acknowledged ends by task, with their times."""

    began_ms: int = field(default_factory=elapsed_ms)
    lines: list[str] = field(default_factory=list)
    starts: dict[tuple, list[tuple[int, int, str]]] = field(default_factory=dict)
    done: dict[tuple, list[tuple[int, int, str]]] = field(default_factory=dict)
    acknowledged: dict[tuple, int] = field(default_factory=dict)
    lapses: dict[str, list[int]] = field(default_factory=dict)

    def now(self) -> int:
        """Return the time since the beginning."""
        return elapsed_ms() - self.began_ms

    def write(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{self.now() / 1_000:9.3f} s  {text}")

    def on_started(self, worker: Worker, order: StartOrder) -> None:
        """Record that a worker has begun a run."""
        task = (order.name.job_id, order.name.task)
        self.starts.setdefault(task, []).append((self.now(), order.name.run, worker.worker_id))
        self.write(f"start  {_name(task)} run {order.name.run} on {worker.worker_id}")

    def on_ended(self, worker: Worker, ended: EndedTask) -> None:
        """Record the end of a run."""
        task = (ended.name.job_id, ended.name.task)
        if ended.end is RunEnd.DONE:
            row = (self.now(), ended.name.run, worker.worker_id)
            self.done.setdefault(task, []).append(row)
        self.write(
            f"end    {_name(task)} run {ended.name.run} on {worker.worker_id}: {ended.end.value}"
        )

    def on_acknowledged(self, worker: Worker, ended: EndedTask) -> None:
        """Record that `last_seen` has reached an end."""
        key = (ended.name.job_id, ended.name.task, ended.name.run, worker.worker_id)
        self.acknowledged[key] = self.now()

    def violations(self) -> list[str]:
        """Return the starts after a done end that was taken note of under an unbroken lease."""
        found: list[str] = []
        for task, ends in self.done.items():
            for ended_ms, run, worker_id in ends:
                noted_ms = self.acknowledged.get((*task, run, worker_id))
                if noted_ms is None:
                    continue
                if any(ended_ms <= each <= noted_ms for each in self.lapses.get(worker_id, ())):
                    continue
                found.extend(
                    f"{_name(task)}: run {run} ended done on {worker_id} at {ended_ms} ms, which "
                    f"was taken note of at {noted_ms} ms; run {again} started on {other} at "
                    f"{started_ms} ms"
                    for started_ms, again, other in self.starts.get(task, ())
                    if started_ms > ended_ms
                )
        return found


def _name(task: tuple) -> str:
    job_id, ref = task
    return f"{job_id}.{ref.occurrence}.{ref.step}.{ref.index}"


def page_ends(events: Events) -> None:
    """Make emulated workers return 500 ends at a time, as the platform's workers do."""
    renew = EmulatedWorker.renew

    def renew_paged(self: EmulatedWorker, renewal: LeaseRenewal) -> LeaseReport | Refused:
        if self._lease_until_ms and self._clock() > self._lease_until_ms:
            events.lapses.setdefault(self.worker.worker_id, []).append(events.now())
        outcome = renew(self, renewal)
        if isinstance(outcome, LeaseReport):
            return replace(outcome, ended=outcome.ended[:ENDS_PER_REPORT])
        return outcome

    EmulatedWorker.renew = renew_paged  # type: ignore[method-assign]


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


def submit_jobs(http: HttpClient, instances: list[Instance], events: Events) -> list[str]:
    """Submit the jobs one after the other; return the paths of the accepted ones."""
    began = time.monotonic()
    paths: list[str] = []
    for index in range(JOBS):
        eventlet.sleep(max(0.0, began + index * SUBMIT_INTERVAL_S - time.monotonic()))
        end_s = FIRST_END_S + index * END_INTERVAL_S - (time.monotonic() - began)
        payload = msgspec.json.encode({"run_ms": int(end_s * 1_000)}).decode()
        step = Step(TASKS_PER_JOB, DEMAND, estimate_ms=int(end_s * 1_000))
        path = f"/patient/{index + 1:016x}"
        status, _ = call(
            http,
            instances[index % len(instances)].caller_address,
            "POST",
            path,
            batch_document(payload, [step]),
        )
        events.write(f"submit {path}: {status}")
        if status == 200:
            paths.append(path)
    eventlet.sleep(max(0.0, began + FIRST_END_S - OUTAGE_BEFORE_FIRST_END_S - time.monotonic()))
    return paths


def is_ready(http: HttpClient, instance: Instance) -> bool:
    """Return whether the readiness check succeeds."""
    response = http.call("GET", instance.readiness_address, "/hornbeamfold/readiness", 1_000)
    return not isinstance(response, CallFailed) and response.status == 200


def play(platform: EmulatedPlatform, instances: list[Instance], events: Events) -> int:
    """Play the case; return its exit code."""
    http = HttpClient()
    if not wait_for(lambda: all(is_ready(http, each) for each in instances), READY_TIMEOUT_S):
        events.write("the instances did not become ready")
        return NOT_RUN
    paths = submit_jobs(http, instances, events)
    for worker_id, emulated in platform.fleet.workers.items():
        events.write(f"{worker_id} has {len(emulated.run_names)} runs")
    if len(paths) < JOBS:
        return NOT_RUN
    if TROUBLE:
        platform.store._faults.set({"down": True, "for_ms": int(OUTAGE_S * 1_000)})
        events.write(f"the store answers 503 for {OUTAGE_S} s")
    states: dict[str, str] = {}

    def all_ended() -> bool:
        for path in paths:
            if states.get(path) != "completed":
                answer = call(http, instances[0].caller_address, "GET", path)[1] or {}
                states[path] = answer.get("state", "unknown")
        return all(state == "completed" for state in states.values())

    completed = wait_for(all_ended, END_TIMEOUT_S)
    eventlet.sleep(1.0)
    events.write(f"all completed: {completed}; states: {sorted(states.items())}")
    found = events.violations()
    for line in found:
        events.write(f"TWICE  {line}")
    print(f"{len(events.starts)} tasks, {len(found)} starts after a noted end")
    return BROKEN if found else HELD


def main() -> int:
    """Run the case and write its record."""
    events = Events()
    page_ends(events)
    observer = Observer(
        started=events.on_started, ended=events.on_ended, acknowledged=events.on_acknowledged
    )
    platform = start_platform(ZONES, WORKERS, elapsed_ms, observer)
    instances: list[Instance] = []
    code = NOT_RUN
    with tempfile.TemporaryDirectory() as folder:
        try:
            for index in range(len(ZONES)):
                instances.append(start_instance(index, platform, Path(folder)))
            code = play(platform, instances, events)
        finally:
            stop(instances)
            RECORD.write_text("\n".join(events.lines) + "\n")
            if os.environ.get("KEEP_LOGS"):
                for log in Path(folder).glob("*.log"):
                    (Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())
    return code


if __name__ == "__main__":
    sys.exit(main())
