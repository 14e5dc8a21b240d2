"""Slopes over the number of instances: idle daemons in a topology with few workers."""

import time
from collections.abc import Iterator

from hornbeamfold.bench.fitting import REPEATS, Point
from hornbeamfold.bench.fleet import Daemon, running_fleet
from hornbeamfold.bench.fleet import FleetOptions as Options
from hornbeamfold.bench.topologies import rampes
from hornbeamfold.bench.usage import Traffic, processor_s, resident_bytes, traffic

INSTANCES = (2, 4, 8)
WINDOW_S = 4.0
SETTLE_S = 4.0


def fleet_points() -> Iterator[Point]:
    """Yield the resource use of an idle instance, as the mean over all instances."""
    for size in INSTANCES:
        with running_fleet(rampes(), Options(instances=size)) as fleet:
            daemons = tuple(fleet.daemons.values())
            ports = frozenset(int(d.address.rpartition(":")[2]) for d in daemons)
            time.sleep(SETTLE_S)
            for repeat in range(REPEATS):
                yield from _window(daemons, ports, size, repeat)


def _window(
    daemons: tuple[Daemon, ...], ports: frozenset[int], size: int, repeat: int
) -> Iterator[Point]:
    before = _processor_s(daemons), _traffic(daemons), _traffic(daemons, ports)
    started = time.monotonic()
    time.sleep(WINDOW_S)
    seconds = (time.monotonic() - started) * len(daemons)
    after = _processor_s(daemons), _traffic(daemons), _traffic(daemons, ports)
    spent_ms = (after[0] - before[0]) * 1_000 / seconds
    yield Point("idle instance time a second per instance", "ms", size, repeat, spent_ms)
    all_traffic, peer_traffic = (
        tuple(
            (getattr(now, field) - getattr(then, field)) / seconds
            for field in ("sent", "received", "segments")
        )
        for now, then in ((after[1], before[1]), (after[2], before[2]))
    )
    yield Point("idle bytes sent a second per instance", "bytes", size, repeat, all_traffic[0])
    yield Point("idle bytes received a second per instance", "bytes", size, repeat, all_traffic[1])
    yield Point("idle segments sent a second per instance", "count", size, repeat, all_traffic[2])
    # Only the connections that an instance opened itself have a peer's port at the remote end.
    yield Point(
        "heartbeat bytes sent a second per instance", "bytes", size, repeat, peer_traffic[0]
    )
    yield Point("heartbeat segments a second per instance", "count", size, repeat, peer_traffic[2])
    memory = sum(resident_bytes(daemon.pid) for daemon in daemons) / len(daemons)
    yield Point("resident memory of an idle instance", "bytes", size, repeat, memory)


def _processor_s(daemons: tuple[Daemon, ...]) -> float:
    return sum(processor_s(daemon.pid) for daemon in daemons)


def _traffic(daemons: tuple[Daemon, ...], ports: frozenset[int] = frozenset()) -> Traffic:
    found = [traffic(daemon.pid, ports) for daemon in daemons]
    return Traffic(
        sum(counted.sent for counted in found),
        sum(counted.received for counted in found),
        sum(counted.segments for counted in found),
    )
