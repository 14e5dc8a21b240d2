"""The reservation for the head of the queue and the rule for jobs behind it."""

from dataclasses import dataclass

from hornbeamfold.model import Member, Shape, Span
from hornbeamfold.placement.blocks import FreeIndex, RackLine, WorkerRoom, member_on, share_of
from hornbeamfold.placement.fit import window_members
from hornbeamfold.placement.occupancy import Tenants

_NEVER = float("inf")


@dataclass(frozen=True)
class HeadReservation:
    """When and where the head of the queue is expected to start."""

    start_ms: float
    members: tuple[Member, ...]


def reserve_head(
    shape: Shape, index: FreeIndex, tenants: Tenants, now_ms: int
) -> HeadReservation | None:
    """Return the earliest start of a shape by the expected ends of the tenants.

    Accelerators held for others, or on workers out of service, are never expected to be free.
    """
    if shape.accelerators == 0:
        return _earliest_worker(shape, index, tenants, now_ms)
    times = {id(line): _cell_times(line, shape, tenants, now_ms) for line in index.lines}
    return _earliest_window(shape, index, times)


def reserve_oldest(
    shape: Shape, index: FreeIndex, tenants: Tenants, now_ms: int
) -> HeadReservation | None:
    """Return the window whose latest tenant started first, closed to backfill.

    As nothing new starts there, the window keeps its rank until it is free, whatever the
    estimates say. The wait is then at most the longest run time of its tenants.
    """
    if shape.accelerators == 0:
        return _earliest_worker(shape, index, tenants, now_ms)
    starts = {id(line): _cell_starts(line, shape, tenants) for line in index.lines}
    found = _earliest_window(shape, index, starts)
    return HeadReservation(now_ms, found.members) if found is not None else None


def _earliest_window(
    shape: Shape, index: FreeIndex, times: dict[int, list[float]]
) -> HeadReservation | None:
    """Return the window whose largest cell value is least."""
    best: tuple[float, RackLine, int] | None = None
    for line in index.lines:
        if line.size < shape.accelerators:
            continue
        for start, end in _runs_to_search(line, shape.span):
            for at in range(start, end - shape.accelerators + 1):
                time = max(times[id(line)][at : at + shape.accelerators])
                if best is None or time < best[0]:
                    best = (time, line, at)
    reservation = None
    if best is not None and best[0] < _NEVER:
        reservation = HeadReservation(best[0], window_members(best[1], best[2], shape))
    for lines in _groups(index, shape.span):
        reservation = _earlier(reservation, _earliest_cells(lines, times, shape))
    return reservation


def _groups(index: FreeIndex, span: Span) -> list[list[RackLine]]:
    groups: list[list[RackLine]] = []
    if span >= Span.ZONE:
        groups.extend(index.zones.values())
    if span >= Span.REGION:
        for zones in index.regions.values():
            groups.append([line for zone in zones for line in index.zones[zone]])
    return groups


def _earlier(
    first: HeadReservation | None, second: HeadReservation | None
) -> HeadReservation | None:
    if first is None or (second is not None and second.start_ms < first.start_ms):
        return second
    return first


def _runs_to_search(line: RackLine, span: Span) -> list[tuple[int, int]]:
    if span >= Span.RACK:
        return [(0, line.size)]
    return [(room.offset, room.offset + room.worker.accelerators) for room in line.rooms]


def _cell_times(line: RackLine, shape: Shape, tenants: Tenants, now_ms: int) -> list[float]:
    """Return for each cell when it is free and its worker has room for its share of the shape."""
    times: list[float] = []
    for room in line.rooms:
        width = room.worker.accelerators
        full = (1 << width) - 1
        if room.held == full:
            times.extend([_NEVER] * width)
            continue
        processors, memory_gb = share_of(shape, min(width, shape.accelerators))
        ready = room_time(room, processors, memory_gb, tenants, now_ms)
        if room.free == full and not room.held:
            times.extend([ready] * width)
            continue
        cells = tenants.on_cells(room.worker.name)
        for cell in range(width):
            if room.held >> cell & 1:
                times.append(_NEVER)
            elif room.free >> cell & 1:
                times.append(ready)
            else:
                tenant = cells.get(cell)
                times.append(max(ready, tenant.ends_ms) if tenant is not None else _NEVER)
    return times


def _cell_starts(line: RackLine, shape: Shape, tenants: Tenants) -> list[float]:
    """Return for each cell when the latest tenant started that the shape has to wait for."""
    starts: list[float] = []
    for room in line.rooms:
        width = room.worker.accelerators
        name = room.worker.name
        latest = 0.0
        if not room.has(*share_of(shape, min(width, shape.accelerators))):
            present = tenants.on_worker(name)
            latest = max((t.job.placed_ms for t, _ in present), default=_NEVER)
        cells = tenants.on_cells(name)
        for cell in range(width):
            if room.held >> cell & 1:
                starts.append(_NEVER)
            elif room.free >> cell & 1:
                starts.append(latest)
            else:
                tenant = cells.get(cell)
                starts.append(max(latest, tenant.job.placed_ms) if tenant else _NEVER)
    return starts


def room_time(
    room: WorkerRoom, processors: int, memory_gb: int, tenants: Tenants, now_ms: int
) -> float:
    """Return when a worker has a slot, processors and memory for one more task."""
    if room.has(processors, memory_gb):
        return now_ms
    slots = room.slots - room.held_slots
    free = room.processors - room.held_processors
    memory = room.memory_gb - room.held_memory_gb
    present = sorted(tenants.on_worker(room.worker.name), key=lambda item: item[0].ends_ms)
    for tenant, member in present:
        slots += 1
        free += member.processors
        memory += member.memory_gb
        if slots >= 1 and free >= processors and memory >= memory_gb:
            return tenant.ends_ms
    return _NEVER


def _earliest_worker(
    shape: Shape, index: FreeIndex, tenants: Tenants, now_ms: int
) -> HeadReservation | None:
    best: tuple[float, str] | None = None
    for name, room in index.rooms.items():
        time = room_time(room, shape.processors, shape.memory_gb, tenants, now_ms)
        if time < _NEVER and (best is None or time < best[0]):
            best = (time, name)
    if best is None:
        return None
    return HeadReservation(best[0], (member_on(best[1], 0, shape),))


def _earliest_cells(
    lines: list[RackLine], times: dict[int, list[float]], shape: Shape
) -> HeadReservation | None:
    """Return the start in a zone or region, where any free cells together hold the shape."""
    if sum(line.size for line in lines) < shape.accelerators:
        return None
    cells: list[tuple[float, int, int]] = []
    for number, line in enumerate(lines):
        cells.extend((time, number, at) for at, time in enumerate(times[id(line)]) if time < _NEVER)
    if len(cells) < shape.accelerators:
        return None
    cells.sort()
    chosen = cells[: shape.accelerators]
    masks: dict[int, int] = {}
    for _, number, at in chosen:
        masks[number] = masks.get(number, 0) | 1 << at
    members = []
    for number, mask in masks.items():
        for room in lines[number].rooms:
            part = (mask >> room.offset) & ((1 << room.worker.accelerators) - 1)
            if part:
                members.append(member_on(room.worker.name, part, shape))
    return HeadReservation(chosen[-1][0], tuple(members))
