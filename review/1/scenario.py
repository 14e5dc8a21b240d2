"""The worker of a task is cut off three times; the job must not be shown as failed."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import warnings
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
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
    Resources,
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
from hornbeamfold.platform.http import CallFailed, HttpClient  # noqa: E402
from hornbeamfold.soak.proxy import Link  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECORD = Path(__file__).with_name("record.txt")
ZONES = ("sousse-depot", "monastir-annex", "sfax-depot")
# One worker in six is cut off at a time.
WORKERS = 6
CUTS = 3
CUT_S = 7.5
JOB = "/urgent/00000000000000aa"
RUN_MS = 12_000
# A whole worker, as the largest tasks of the site.
DEMAND = Resources(cpu_millis=26_000, memory_mb=140_000, accelerators=8)
# Between its start and the cut, the task is listed in a report.
SETTLE_S = 1.5
START_TIMEOUT_S = 12.0
END_TIMEOUT_S = 25.0
READY_TIMEOUT_S = 20.0
# The leases of a former coordinator, which a new one counts on, have ended by then.
CALM_START_S = 15.0
GRACE_S = 8.0
BROKEN, HELD, NOT_RUN = 1, 0, 2
FINAL_STATES = ("completed", "failed", "cancelled")

lines: list[str] = []
ends: list[str] = []
began = time.monotonic()


def write(text: str) -> None:
    """Add a line to the record."""
    lines.append(f"{time.monotonic() - began:8.3f} s  {text}")


def on_started(worker: Worker, order: StartOrder) -> None:
    """Record that a worker has begun a run."""
    write(f"start  run {order.name.run} on {worker.worker_id}")


def on_ended(worker: Worker, ended: EndedTask) -> None:
    """Record the end of a run."""
    ends.append(ended.end.value)
    write(f"end    run {ended.name.run} on {worker.worker_id}: {ended.end.value}")


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


class ClosingLink(Link):
    """A link that refuses new connections while it is closed: no process listens at its port."""

    def __init__(self, name: str, target: Callable[[], str]) -> None:
        super().__init__(name, target)
        self._port = int(self.address.rpartition(":")[2])
        self._holder: socket.socket | None = None

    def _accept(self) -> None:
        self._acceptor = eventlet.getcurrent()
        super()._accept()

    def close(self) -> None:
        """Reset the open connections and refuse new ones."""
        eventlet.kill(self._acceptor)
        self._listener.close()
        self.reset()
        # A bound socket keeps the port until the link is opened again.
        self._holder = socket.socket()
        self._holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._holder.bind(("127.0.0.1", self._port))

    def open(self) -> None:
        """Accept connections again."""
        if self._holder is not None:
            self._holder.close()
        self._listener = eventlet.listen(("127.0.0.1", self._port), backlog=256)
        eventlet.spawn(self._accept)


def running_worker(platform: EmulatedPlatform) -> str:
    """Return the worker that runs the task, or an empty string."""
    for worker_id, emulated in platform.fleet.workers.items():
        if emulated.run_names:
            return worker_id
    return ""


def cut_off(platform: EmulatedPlatform, links: dict[str, ClosingLink]) -> bool:
    """Cut the task's worker off for some seconds; return False if the task does not run."""
    if not wait_for(lambda: bool(running_worker(platform)), START_TIMEOUT_S):
        return False
    eventlet.sleep(SETTLE_S)
    worker_id = running_worker(platform)
    if not worker_id:
        return False
    write(f"{worker_id} is cut off for {CUT_S} s: connections are reset and refused")
    links[worker_id].close()
    eventlet.sleep(CUT_S)
    links[worker_id].open()
    write(f"{worker_id} can be reached again")
    return True


def play(
    platform: EmulatedPlatform, links: dict[str, ClosingLink], instances: list[Instance]
) -> int:
    """Play the case; return its exit code."""
    http = HttpClient()
    if not wait_for(lambda: all(is_ready(http, each) for each in instances), READY_TIMEOUT_S):
        write("the instances did not become ready")
        return NOT_RUN
    eventlet.sleep(CALM_START_S)
    address = instances[0].caller_address
    payload = msgspec.json.encode({"run_ms": RUN_MS}).decode()
    document = batch_document(payload, [Step(1, DEMAND, estimate_ms=RUN_MS)])
    status, _ = call(http, address, "POST", JOB, document)
    write(f"POST {JOB}: {status}")
    if status != 200:
        return NOT_RUN
    for _ in range(CUTS if TROUBLE else 0):
        if not cut_off(platform, links):
            break

    def state() -> str:
        return (call(http, address, "GET", JOB)[1] or {}).get("state", "no answer")

    wait_for(lambda: state() in FINAL_STATES, END_TIMEOUT_S)
    final = state()
    write(f"GET {JOB}: {final}; ends that workers reported: {ends}")
    print(lines[-1])
    return BROKEN if final == "failed" and "failed" not in ends else HELD


def main() -> int:
    """Run the case and write its record."""
    platform = start_platform(
        ZONES, WORKERS, elapsed_ms, Observer(started=on_started, ended=on_ended)
    )
    links: dict[str, ClosingLink] = {}
    for worker_id, address in platform.worker_addresses.items():
        links[worker_id] = ClosingLink(f"to {worker_id}", partial(str, address))
        platform.fleet.workers[worker_id].update_description(address=links[worker_id].address)
    instances: list[Instance] = []
    code = NOT_RUN
    with tempfile.TemporaryDirectory() as folder:
        try:
            for index in range(len(ZONES)):
                instances.append(start_instance(index, platform, Path(folder)))
            code = play(platform, links, instances)
        finally:
            stop(instances)
            RECORD.write_text("\n".join(lines) + "\n")
    return code


if __name__ == "__main__":
    sys.exit(main())
