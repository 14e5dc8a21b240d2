"""The running system: the emulated platform, instances as processes, and a link to each part."""

import signal
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random

import eventlet

from hornbeamfold.batch import Clock, elapsed_ms, unix_ms
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
from hornbeamfold.soak.checker import Witness
from hornbeamfold.soak.proxy import Link
from hornbeamfold.soak.records import Violations

ZONES = ("sousse", "monastir", "sfax")
# Slow instances read through the relay of their region, which is one of the fast ones.
CORES = (1.0, 0.5)
# A key that faults take away; the load's own key always holds.
SPARE_KEY = "key-spare"
# A worker's clock may be 2% slow.
SLOWEST_CLOCK = 0.98
MAX_CLOCK_OFFSET_MS = 1_000_000
# After a disturbance an instance counts as undisturbed once this time has passed.
CONTACT_WINDOW_MS = 4_000


@dataclass(frozen=True)
class Size:
    """How many instances and workers a soak has."""

    instances: int = 4
    workers: int = 9


class Node:
    """One instance: its settings, its present process, and the links to it and to its store."""

    def __init__(self, index: int, platform: EmulatedPlatform, folder: Path) -> None:
        self._name = f"entry-{index}"
        self._store_link = Link(f"{self._name} to store", lambda: platform.store_address)
        self._settings = write_settings(
            self._name,
            ZONES[index % len(ZONES)],
            self._store_link.address,
            folder,
            CORES[index % len(CORES)],
        )
        self._process = start_instance(self._settings)
        self._caller_link = Link(f"callers to {self._name}", lambda: self._process.caller_address)
        self._started_ms = elapsed_ms()
        self._stopping_ms: int | None = None
        self._disturbed_ms = 0
        self._busy = False

    @property
    def name(self) -> str:
        """The instance's name."""
        return self._name

    @property
    def process(self) -> InstanceProcess:
        """The present process."""
        return self._process

    @property
    def store_link(self) -> Link:
        """The way to the store."""
        return self._store_link

    @property
    def caller_link(self) -> Link:
        """The way of callers to the instance."""
        return self._caller_link

    @property
    def stopping_ms(self) -> int | None:
        """When a planned stop began, if one is under way."""
        return self._stopping_ms

    @property
    def disturbed_ms(self) -> int:
        """When the instance was last disturbed by something that was not planned."""
        return self._disturbed_ms

    @property
    def age_ms(self) -> int:
        """How long ago the present process was started."""
        return elapsed_ms() - self._started_ms

    @property
    def busy(self) -> bool:
        """Whether a fault of the process is under way, so that no second one begins."""
        return self._busy

    def occupy(self, busy: bool) -> None:
        """Note that a fault of the process begins or ends."""
        self._busy = busy

    def disturb(self) -> None:
        """Note an unplanned disturbance."""
        self._disturbed_ms = elapsed_ms()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process that the soak started."""
        if self._process.process.poll() is None:
            self._process.process.send_signal(number)

    def restart(self) -> None:
        """Start the instance again after its process has ended."""
        self._process.process.wait()
        self._process = start_instance(self._settings)
        self._started_ms = elapsed_ms()
        self._stopping_ms = None

    def stop_planned(self) -> int | None:
        """Stop with SIGTERM; return the exit code, or None if the grace period was too short."""
        self._stopping_ms = elapsed_ms()
        self.send(signal.SIGTERM)
        process = self._process.process
        if not wait_for(lambda: process.poll() is not None, GRACE_S + STOP_MARGIN_S):
            process.kill()
            return None
        return process.wait()


class Scene:
    """All parts of one soak, and what operators do."""

    def __init__(self, size: Size, seed: int, folder: Path) -> None:
        self._random = Random(seed)
        self._violations = Violations(elapsed_ms)
        self._witness = Witness(elapsed_ms, unix_ms, self._violations)
        self._platform = start_platform(
            ZONES, size.workers, elapsed_ms, self._witness.observer, self._worker_clock
        )
        self._worker_links: dict[str, Link] = {}
        for worker_id, address in self._platform.worker_addresses.items():
            link = Link(f"to {worker_id}", partial(str, address))
            self._worker_links[worker_id] = link
            self._platform.fleet.workers[worker_id].describe(address=link.address)
        self._version = 1
        self._keys: tuple[str, ...] = (API_KEY, SPARE_KEY)
        self.configure(self._keys)
        self._nodes = tuple(Node(index, self._platform, folder) for index in range(size.instances))

    def _worker_clock(self, index: int) -> Clock:
        """Return the clock of a worker, which began anywhere and may be slow."""
        offset = self._random.randrange(MAX_CLOCK_OFFSET_MS)
        rate = self._random.uniform(SLOWEST_CLOCK, 1.0)
        began = elapsed_ms()
        return lambda: offset + int((elapsed_ms() - began) * rate)

    @property
    def platform(self) -> EmulatedPlatform:
        """The emulated platform."""
        return self._platform

    @property
    def witness(self) -> Witness:
        """What checks the promises."""
        return self._witness

    @property
    def violations(self) -> Violations:
        """The broken promises."""
        return self._violations

    @property
    def nodes(self) -> tuple[Node, ...]:
        """The instances."""
        return self._nodes

    @property
    def worker_links(self) -> Mapping[str, Link]:
        """The way to each worker."""
        return self._worker_links

    @property
    def keys(self) -> tuple[str, ...]:
        """The keys in the operator's configuration."""
        return self._keys

    def coordinator(self) -> Node | None:
        """Return the instance that the store says coordinates."""
        name = coordinator_of(self._platform)
        return next((node for node in self._nodes if node.name == name), None)

    def configure(self, keys: tuple[str, ...]) -> None:
        """Write a new version of the configuration with these keys."""
        self._version += 1 + self._random.randrange(3)
        self._keys = keys
        configure(self._platform, configuration(self._version, keys))

    def take_zone_out(self, zone: str) -> None:
        """Take a zone out of service."""
        set_zone_out(self._platform, zone, True)
        self._witness.zone_out(zone)

    def take_zone_back(self, zone: str) -> None:
        """Put a zone into service again."""
        self._witness.zone_back(zone)
        set_zone_out(self._platform, zone, False)

    def disturb_all(self) -> None:
        """Note a disturbance of all instances, such as one of the store."""
        for node in self._nodes:
            node.disturb()

    def later(self, seconds: float, act: Callable[[], None]) -> None:
        """Do something after a time, in a green thread of its own."""
        eventlet.spawn_after(seconds, act)
