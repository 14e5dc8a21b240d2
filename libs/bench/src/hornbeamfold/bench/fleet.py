"""Starts the stand-ins and the entry instances of one deployment as separate processes."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, replace
from json import dumps, loads
from pathlib import Path
from typing import Any

import yaml

from hornbeamfold.bench.topologies import Topology
from hornbeamfold.model.topology import Worker
from hornbeamfold.standins.launch import StandIn

START_TIMEOUT_S = 20.0
EXIT_TIMEOUT_S = 16.0
POLL_INTERVAL_S = 0.02


class Daemon:
    """One entry instance as a child process; its output goes to a log file."""

    def __init__(self, name: str, settings: Mapping[str, Any], folder: Path) -> None:
        self._name = name
        self._folder = folder
        self._settings_path = folder / f"{name}.yaml"
        self._settings_path.write_text(yaml.safe_dump(dict(settings)))
        self._log_path = folder / f"{name}.log"
        self._address = ""
        self._http_address = ""
        self._start()

    @property
    def name(self) -> str:
        """The name of the instance."""
        return self._name

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def address(self) -> str:
        """The address of the RPC server, available after `wait_serving`."""
        return self._address

    @property
    def http_address(self) -> str:
        """The address of the metrics and readiness endpoints, available after `wait_serving`."""
        return self._http_address

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the JSON log lines that the current process has written so far."""
        lines: list[dict[str, Any]] = []
        for line in self._log_path.read_text(errors="replace").splitlines():
            if not line.startswith("{"):
                continue
            lines.append(loads(line))
        return lines

    def raw_log(self) -> str:
        """Return the whole output of the current process."""
        return self._log_path.read_text(errors="replace")

    def all_logs(self) -> str:
        """Return the output of the current process and of earlier ones of this instance."""
        paths = [*sorted(self._folder.glob(f"{self._name}.*.log")), self._log_path]
        return "".join(path.read_text(errors="replace") for path in paths)

    def wait_serving(self) -> None:
        """Wait until the process has logged the addresses at which it serves."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if self._process.poll() is not None:
                raise RuntimeError(
                    f"{self._name} exited during its start:\n{self.raw_log()[-2000:]}"
                )
            for line in self.log_lines():
                if "rpc_address" in line:
                    self._address = line["rpc_address"]
                    self._http_address = line["http_address"]
                    return
            time.sleep(POLL_INTERVAL_S)
        raise RuntimeError(
            f"{self._name} did not serve within {START_TIMEOUT_S} s:\n{self.raw_log()[-2000:]}"
        )

    def kill(self) -> None:
        """Kill the process with SIGKILL, as in a crash, and wait for its exit."""
        self._process.kill()
        self._process.wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP until it is thawed."""
        os.kill(self.pid, signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a frozen process with SIGCONT."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> int:
        """Make the process drain and exit; return its exit code."""
        self._process.send_signal(signal.SIGTERM)
        return self.wait_exit()

    def request_stop(self) -> None:
        """Send SIGTERM, which makes the process drain and exit, without waiting for it."""
        self._process.send_signal(signal.SIGTERM)

    def wait_exit(self) -> int:
        """Wait until the process exits and return its exit code."""
        return self._process.wait(EXIT_TIMEOUT_S)

    def running(self) -> bool:
        """Return whether the process is running."""
        return self._process.poll() is None

    def restart(self) -> None:
        """Start a new process with the same settings; the log of the previous one is kept."""
        self._log_path.rename(self._folder / f"{self._name}.{int(time.time() * 1000)}.log")
        self._start()

    def _start(self) -> None:
        with self._log_path.open("w") as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "hornbeamfold.daemon",
                    "--settings",
                    str(self._settings_path),
                ],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )


@dataclass(frozen=True)
class FleetOptions:
    """How a fleet differs from the default one.

    - `instances`: number of entry instances; 0 means one for each entry zone of the topology.
    - `log_arguments`, `list_arguments`: command-line arguments of the stand-ins.
    - `settings`: settings that override those of each entry instance.
    - `worker_options`: fields that are added to each worker of the stand-in.
    """

    instances: int = 0
    log_arguments: tuple[str, ...] = ()
    list_arguments: tuple[str, ...] = ()
    settings: tuple[tuple[str, Any], ...] = ()
    worker_options: tuple[tuple[str, Any], ...] = ()


class Fleet:
    """The processes of one deployment: stand-ins and entry instances."""

    def __init__(self, topology: Topology, folder: Path, options: FleetOptions) -> None:
        self._topology = topology
        self._folder = folder
        self._options = options
        delays = dumps(
            {
                "regions": topology.regions,
                "between_zones_ms": topology.zone_delay_ms,
                "between_regions_ms": topology.region_delay_ms,
            }
        )
        store = ("--zone", topology.store_zone, "--delays", delays)
        self._log = StandIn("log", *store, *options.log_arguments)
        self._instance_list = StandIn("instances", *store, *options.list_arguments)
        self._workers = StandIn(
            "workers", "--topology", self._worker_topology(), "--delays", delays
        )
        self._daemons: dict[str, Daemon] = {}
        count = options.instances or len(topology.entry_zones)
        for index in range(count):
            zone = topology.entry_zones[index % len(topology.entry_zones)]
            self.add_daemon(f"entry-{index}", zone)
        for daemon in self._daemons.values():
            daemon.wait_serving()

    @property
    def topology(self) -> Topology:
        """The topology with the addresses at which the workers listen."""
        addresses = self._workers.addresses
        workers = tuple(
            replace(worker, address=addresses[worker.name]) for worker in self._topology.workers
        )
        return replace(self._topology, workers=workers)

    @property
    def log(self) -> StandIn:
        """The stand-in of the log service."""
        return self._log

    @property
    def instance_list(self) -> StandIn:
        """The stand-in of the instance list."""
        return self._instance_list

    @property
    def workers(self) -> StandIn:
        """The stand-in of the workers."""
        return self._workers

    @property
    def daemons(self) -> dict[str, Daemon]:
        """The entry instances by name."""
        return self._daemons

    def addresses(self) -> list[str]:
        """Return the addresses of the running entry instances."""
        return [daemon.address for daemon in self._daemons.values() if daemon.running()]

    def starts(self) -> list[dict[str, Any]]:
        """Return all starts of tasks and requests on the workers, ordered by time."""
        starts: list[dict[str, Any]] = self._workers.control("starts")["starts"]
        return starts

    def add_daemon(self, name: str, zone: str) -> Daemon:
        """Start one more entry instance, without waiting until it serves."""
        settings: dict[str, Any] = {
            "name": name,
            "availability_zone": zone,
            "region": self._topology.regions[zone],
            "rpc_address": "127.0.0.1:0",
            "http_address": "127.0.0.1:0",
            "log_url": self._log.url,
            "instances_url": self._instance_list.url,
            "log_retention_ms": 3_600_000,
            "strict_invariants": True,
            "bootstrap": True,
            **dict(self._options.settings),
        }
        daemon = Daemon(name, settings, self._folder)
        self._daemons[name] = daemon
        return daemon

    def violations(self) -> list[str]:
        """Return the log lines that report violated invariants, errors or tracebacks."""
        found: list[str] = []
        for daemon in self._daemons.values():
            for line in daemon.all_logs().splitlines():
                if '"ERROR"' in line or '"CRITICAL"' in line or "Traceback" in line:
                    found.append(f"{daemon.name}: {line[:600]}")
        return found

    def stop(self) -> None:
        """Kill the entry instances and stop the stand-ins."""
        for daemon in self._daemons.values():
            if not daemon.running():
                continue
            daemon.thaw()
            daemon.kill()
        for standin in (self._workers, self._instance_list, self._log):
            standin.stop()

    def _worker_topology(self) -> str:
        options = dict(self._options.worker_options)
        return dumps(
            {"workers": [_worker_spec(worker, options) for worker in self._topology.workers]}
        )


def _worker_spec(worker: Worker, options: Mapping[str, Any]) -> dict[str, Any]:
    return {
        "name": worker.name,
        "availability_zone": worker.availability_zone,
        "processors": worker.processors,
        "memory_gb": worker.memory_gb,
        "accelerators": worker.accelerators,
        "slots": worker.slots,
        "connections": worker.connections,
        **options,
    }


@contextmanager
def running_fleet(topology: Topology, options: FleetOptions = FleetOptions()) -> Iterator[Fleet]:
    """Run a fleet for the duration of a `with` block; its files are deleted at the end."""
    with tempfile.TemporaryDirectory(prefix="hornbeamfold-") as folder:
        fleet = Fleet(topology, Path(folder), options)
        try:
            yield fleet
        finally:
            fleet.stop()


def wait_until(condition: Callable[[], bool], timeout_s: float, description: str) -> float:
    """Wait for a condition; return the seconds it took, or raise `TimeoutError`."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout_s:
            raise TimeoutError(f"not within {timeout_s} s: {description}")
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started
