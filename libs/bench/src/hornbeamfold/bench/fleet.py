"""Starts the stand-ins and the entry instances of one firm as separate processes."""

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

START_BOUND_S = 20.0
STOP_BOUND_S = 16.0
POLL_S = 0.02


class Daemon:
    """One entry instance as a child process, with its log lines in a file."""

    def __init__(self, name: str, settings: Mapping[str, Any], folder: Path) -> None:
        self._name = name
        self._folder = folder
        self._path = folder / f"{name}.yaml"
        self._path.write_text(yaml.safe_dump(dict(settings)))
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
        """The id of the process."""
        return self._process.pid

    @property
    def address(self) -> str:
        """The address for callers."""
        return self._address

    @property
    def http_address(self) -> str:
        """The address of metrics and readiness."""
        return self._http_address

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the JSON log lines written so far."""
        lines: list[dict[str, Any]] = []
        for line in self._log_path.read_text(errors="replace").splitlines():
            if not line.startswith("{"):
                continue
            lines.append(loads(line))
        return lines

    def raw_log(self) -> str:
        """Return all that the process wrote."""
        return self._log_path.read_text(errors="replace")

    def all_logs(self) -> str:
        """Return all that this and the earlier processes of the instance wrote."""
        paths = [*sorted(self._folder.glob(f"{self._name}.*.log")), self._log_path]
        return "".join(path.read_text(errors="replace") for path in paths)

    def wait_serving(self) -> None:
        """Wait until the process has said where it serves."""
        deadline = time.monotonic() + START_BOUND_S
        while time.monotonic() < deadline:
            if self._process.poll() is not None:
                raise RuntimeError(f"{self._name} ended at its start:\n{self.raw_log()[-2000:]}")
            for line in self.log_lines():
                if "rpc_address" in line:
                    self._address = line["rpc_address"]
                    self._http_address = line["http_address"]
                    return
            time.sleep(POLL_S)
        raise RuntimeError(f"{self._name} does not serve:\n{self.raw_log()[-2000:]}")

    def kill(self) -> None:
        """End the process at once, as a crash does."""
        self._process.kill()
        self._process.wait()

    def freeze(self) -> None:
        """Stop the process from running until it is thawed."""
        os.kill(self.pid, signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process run on."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> int:
        """Ask the process to drain; return its exit code."""
        self._process.send_signal(signal.SIGTERM)
        return self.wait_exit()

    def ask_to_stop(self) -> None:
        """Ask the process to drain without waiting for it."""
        self._process.send_signal(signal.SIGTERM)

    def wait_exit(self) -> int:
        """Wait for the end of the process and return its exit code."""
        return self._process.wait(STOP_BOUND_S)

    def running(self) -> bool:
        """Return whether the process runs."""
        return self._process.poll() is None

    def restart(self) -> None:
        """Start the ended process again with the same settings."""
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
                    str(self._path),
                ],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )


@dataclass(frozen=True)
class FleetOptions:
    """How a fleet differs from the default one."""

    instances: int = 0
    log_arguments: tuple[str, ...] = ()
    list_arguments: tuple[str, ...] = ()
    settings: tuple[tuple[str, Any], ...] = ()
    worker_options: tuple[tuple[str, Any], ...] = ()


class Fleet:
    """The processes of one firm."""

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
        self._list = StandIn("instances", *store, *options.list_arguments)
        self._workers = StandIn(
            "workers", "--topology", self._worker_topology(), "--delays", delays
        )
        self._daemons: dict[str, Daemon] = {}
        count = options.instances or len(topology.entry_zones)
        for number in range(count):
            zone = topology.entry_zones[number % len(topology.entry_zones)]
            self.add_daemon(f"entry-{number}", zone)
        for daemon in self._daemons.values():
            daemon.wait_serving()

    @property
    def topology(self) -> Topology:
        """The topology with the real addresses of the workers."""
        addresses = self._workers.addresses
        workers = tuple(
            replace(worker, address=addresses[worker.name]) for worker in self._topology.workers
        )
        return replace(self._topology, workers=workers)

    @property
    def log(self) -> StandIn:
        """The log service."""
        return self._log

    @property
    def instance_list(self) -> StandIn:
        """The list of instances."""
        return self._list

    @property
    def workers(self) -> StandIn:
        """The workers."""
        return self._workers

    @property
    def daemons(self) -> dict[str, Daemon]:
        """The entry instances by name."""
        return self._daemons

    def addresses(self) -> list[str]:
        """Return the addresses of the running entry instances."""
        return [daemon.address for daemon in self._daemons.values() if daemon.running()]

    def starts(self) -> list[dict[str, Any]]:
        """Return all starts of tasks and requests on the workers, in order of time."""
        starts: list[dict[str, Any]] = self._workers.control("starts")["starts"]
        return starts

    def add_daemon(self, name: str, zone: str) -> Daemon:
        """Start one more entry instance."""
        settings: dict[str, Any] = {
            "name": name,
            "availability_zone": zone,
            "region": self._topology.regions[zone],
            "rpc_address": "127.0.0.1:0",
            "http_address": "127.0.0.1:0",
            "log_url": self._log.url,
            "instances_url": self._list.url,
            "log_retention_ms": 3_600_000,
            "strict_invariants": True,
            "bootstrap": True,
            **dict(self._options.settings),
        }
        daemon = Daemon(name, settings, self._folder)
        self._daemons[name] = daemon
        return daemon

    def violations(self) -> list[str]:
        """Return the log lines about violated invariants and unexpected faults."""
        found: list[str] = []
        for daemon in self._daemons.values():
            for line in daemon.all_logs().splitlines():
                if '"ERROR"' in line or '"CRITICAL"' in line or "Traceback" in line:
                    found.append(f"{daemon.name}: {line[:600]}")
        return found

    def stop(self) -> None:
        """End all processes."""
        for daemon in self._daemons.values():
            if not daemon.running():
                continue
            daemon.thaw()
            daemon.kill()
        for standin in (self._workers, self._list, self._log):
            standin.stop()

    def _worker_topology(self) -> str:
        options = dict(self._options.worker_options)
        return dumps({"workers": [_spec(worker, options) for worker in self._topology.workers]})


def _spec(worker: Worker, options: Mapping[str, Any]) -> dict[str, Any]:
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
    """Run a fleet for the time of a block; its files go with it."""
    with tempfile.TemporaryDirectory(prefix="hornbeamfold-") as folder:
        fleet = Fleet(topology, Path(folder), options)
        try:
            yield fleet
        finally:
            fleet.stop()


def wait_until(condition: Callable[[], bool], bound_s: float, what: str) -> float:
    """Wait for a condition; return how long it took, or raise with what was waited for."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > bound_s:
            raise TimeoutError(f"not within {bound_s} s: {what}")
        time.sleep(POLL_S)
    return time.monotonic() - started
