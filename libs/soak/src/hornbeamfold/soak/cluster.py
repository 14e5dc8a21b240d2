"""The system under test: the emulated platform, instance processes and the links between them."""

import signal
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random

import eventlet

from hornbeamfold.batch import Clock, Resources, elapsed_ms, unix_ms
from hornbeamfold.emulator.callers import coordinator_of
from hornbeamfold.emulator.platform import (
    API_KEY,
    EmulatedPlatform,
    configuration,
    configure,
    set_zone_out,
    start_platform,
)
from hornbeamfold.emulator.processes import (
    GRACE_S,
    STOP_MARGIN_S,
    InstanceProcess,
    start_instance,
    wait_for,
    write_settings,
)
from hornbeamfold.emulator.workers import EmulatedWorker
from hornbeamfold.soak.checker import Checker
from hornbeamfold.soak.proxy import Link
from hornbeamfold.soak.ready_work import ReadyWorkMonitor, measure_room
from hornbeamfold.soak.records import ViolationLog

ZONES = ("sousse", "monastir", "sfax")
# Instances with the lower limit read through their region's relay, which has the higher limit.
CPU_LIMITS = (1.0, 0.5)
# An API key that faults revoke; the load itself uses API_KEY, which stays valid.
SPARE_KEY = "key-spare"
# A worker's clock may run up to 2% slow.
MIN_CLOCK_RATE = 0.98
MAX_CLOCK_OFFSET_MS = 1_000_000
# An instance or a worker counts as disturbed for this long after its last disturbance.
DISTURBANCE_WINDOW_MS = 4_000
READY_WORK_INTERVAL_S = 0.1


@dataclass(frozen=True)
class ClusterSize:
    """The number of instances and workers of a soak."""

    instances: int = 4
    workers: int = 9


class Instance:
    """One instance: its settings, its current process, and the links to it and to the store."""

    def __init__(self, index: int, platform: EmulatedPlatform, folder: Path) -> None:
        self._name = f"entry-{index}"
        self._store_link = Link(f"{self._name} to store", lambda: platform.store_address)
        self._settings = write_settings(
            self._name,
            ZONES[index % len(ZONES)],
            self._store_link.address,
            folder,
            CPU_LIMITS[index % len(CPU_LIMITS)],
        )
        self._process = start_instance(self._settings)
        self._caller_link = Link(f"callers to {self._name}", lambda: self._process.caller_address)
        self._started_ms = elapsed_ms()
        self._stop_requested_ms: int | None = None
        self._disturbed_ms = 0
        self._busy = False

    @property
    def name(self) -> str:
        """The instance's name."""
        return self._name

    @property
    def process(self) -> InstanceProcess:
        """The current process."""
        return self._process

    @property
    def store_link(self) -> Link:
        """The link from the instance to the store."""
        return self._store_link

    @property
    def caller_link(self) -> Link:
        """The link from callers to the instance."""
        return self._caller_link

    @property
    def stop_requested_ms(self) -> int | None:
        """When a graceful stop of the current process was requested, or None."""
        return self._stop_requested_ms

    @property
    def disturbed_ms(self) -> int:
        """When the instance was last disturbed by a fault other than a graceful stop."""
        return self._disturbed_ms

    @property
    def age_ms(self) -> int:
        """Time since the start of the current process."""
        return elapsed_ms() - self._started_ms

    @property
    def busy(self) -> bool:
        """Whether a process fault is active, so that no second one is injected."""
        return self._busy

    def set_busy(self, busy: bool) -> None:
        """Record whether a process fault is active."""
        self._busy = busy

    def mark_disturbed(self) -> None:
        """Record that a fault disturbs the instance now."""
        self._disturbed_ms = elapsed_ms()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the current process, unless it has exited."""
        if self._process.process.poll() is None:
            self._process.process.send_signal(number)

    def restart(self) -> None:
        """Wait until the process has exited, and start the instance again."""
        self._process.process.wait()
        self._process = start_instance(self._settings)
        self._started_ms = elapsed_ms()
        self._stop_requested_ms = None

    def stop_gracefully(self) -> int | None:
        """Stop with SIGTERM; return the exit code, or None if the grace period expired."""
        self._stop_requested_ms = elapsed_ms()
        self.send_signal(signal.SIGTERM)
        process = self._process.process
        if not wait_for(lambda: process.poll() is not None, GRACE_S + STOP_MARGIN_S):
            process.kill()
            return None
        return process.wait()


class Cluster:
    """All parts of one soak, and the actions of its operators."""

    def __init__(self, size: ClusterSize, seed: int, folder: Path) -> None:
        self._random = Random(seed)
        self._violation_log = ViolationLog(elapsed_ms)
        self._checker = Checker(elapsed_ms, unix_ms, self._violation_log)
        self._platform = start_platform(
            ZONES, size.workers, elapsed_ms, self._checker.observer, self._make_worker_clock
        )
        self._ready_work = ReadyWorkMonitor(elapsed_ms, self._violation_log)
        self._active_faults = 0
        self._last_fault_ms = elapsed_ms()
        self._worker_links: dict[str, Link] = {}
        for worker_id, address in self._platform.worker_addresses.items():
            link = Link(f"to {worker_id}", partial(str, address))
            self._worker_links[worker_id] = link
            self._platform.fleet.workers[worker_id].update_description(address=link.address)
        self._version = 1
        self._keys: tuple[str, ...] = (API_KEY, SPARE_KEY)
        self.publish_configuration(self._keys)
        self._instances = tuple(
            Instance(index, self._platform, folder) for index in range(size.instances)
        )

    def _make_worker_clock(self, index: int) -> Clock:
        """Return a worker's clock, with a random offset and possibly a slow rate."""
        offset_ms = self._random.randrange(MAX_CLOCK_OFFSET_MS)
        rate = self._random.uniform(MIN_CLOCK_RATE, 1.0)
        started_ms = elapsed_ms()
        return lambda: offset_ms + int((elapsed_ms() - started_ms) * rate)

    @property
    def platform(self) -> EmulatedPlatform:
        """The emulated platform."""
        return self._platform

    @property
    def checker(self) -> Checker:
        """The checker of the guarantees."""
        return self._checker

    @property
    def violation_log(self) -> ViolationLog:
        """The violations found so far."""
        return self._violation_log

    @property
    def ready_work(self) -> ReadyWorkMonitor:
        """The waits of ready work."""
        return self._ready_work

    @property
    def instances(self) -> tuple[Instance, ...]:
        """The instances."""
        return self._instances

    @property
    def worker_links(self) -> Mapping[str, Link]:
        """The link to each worker, by worker id."""
        return self._worker_links

    @property
    def keys(self) -> tuple[str, ...]:
        """The API keys in the current configuration."""
        return self._keys

    def coordinator(self) -> Instance | None:
        """Return the coordinator according to the store, if there is one."""
        name = coordinator_of(self._platform)
        return next((instance for instance in self._instances if instance.name == name), None)

    def publish_configuration(self, keys: tuple[str, ...]) -> None:
        """Publish a new configuration version with these API keys."""
        self._version += 1 + self._random.randrange(3)
        self._keys = keys
        configure(self._platform, configuration(self._version, keys))

    def take_zone_out_of_service(self, zone: str) -> None:
        """Take a zone out of service."""
        set_zone_out(self._platform, zone, True)
        self._checker.on_zone_out_of_service(zone)

    def return_zone_to_service(self, zone: str) -> None:
        """Return a zone to service."""
        self._checker.on_zone_in_service(zone)
        set_zone_out(self._platform, zone, False)

    def set_capacity(self, emulated: EmulatedWorker, capacity: Resources) -> None:
        """Change the capacity of a worker; its entry shows this with its next regular write."""
        self._checker.on_capacity_change(emulated.worker)
        emulated.update_description(capacity=capacity)

    def mark_all_disturbed(self) -> None:
        """Record a disturbance of all instances, such as a fault of the store."""
        for instance in self._instances:
            instance.mark_disturbed()

    def begin_fault(self) -> None:
        """Record that a fault is active from now on."""
        self._active_faults += 1

    def end_fault(self) -> None:
        """Record that a fault is undone."""
        self._active_faults -= 1
        self._last_fault_ms = elapsed_ms()

    def run_after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run a fault's action after a delay in a green thread; the fault is active until then."""

        def run() -> None:
            action()
            self.end_fault()

        self.begin_fault()
        eventlet.spawn_after(seconds, run)

    @property
    def calm(self) -> bool:
        """Whether no fault is active or was so just before."""
        last_ms = max(self._last_fault_ms, *(each.disturbed_ms for each in self._instances))
        return self._active_faults == 0 and elapsed_ms() - last_ms > DISTURBANCE_WINDOW_MS

    def watch_ready_work(self) -> None:
        """Check until killed that ready work runs while it is calm."""
        while True:
            workers = [
                emulated.worker
                for emulated in self._platform.fleet.workers.values()
                if not emulated.worker.draining
                and unix_ms() - emulated.worker.born_ms > DISTURBANCE_WINDOW_MS
            ]
            room = measure_room(workers, self._checker.used_resources()) if self.calm else None
            self._ready_work.update(self._checker.waiting_steps() if room else (), room)
            eventlet.sleep(READY_WORK_INTERVAL_S)
