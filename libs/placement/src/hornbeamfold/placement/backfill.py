"""The reservations for jobs at the head of the queue: where and when they can start."""

from dataclasses import dataclass

from hornbeamfold.model import Member, Shape, Span
from hornbeamfold.placement.blocks import FreeIndex, Rack, WorkerResources, member_on, share_of
from hornbeamfold.placement.fit import window_members
from hornbeamfold.placement.occupancy import Occupancy

_NEVER = float("inf")


@dataclass(frozen=True)
class HeadReservation:
    """The window in which the head of the queue is expected to start, and when."""

    start_ms: float
    members: tuple[Member, ...]


def reserve_head(
    shape: Shape, index: FreeIndex, occupancy: Occupancy, now_ms: int
) -> HeadReservation | None:
    """Return the reservation with the earliest start, by the expected ends of the occupants.

    Accelerators that are held for others or on workers out of service are never expected to be
    free.
    """
    if shape.accelerators == 0:
        return _earliest_worker(shape, index, occupancy, now_ms)
    times_by_rack = {id(rack): _ready_times(rack, shape, occupancy, now_ms) for rack in index.racks}
    return _earliest_window(shape, index, times_by_rack)


def reserve_oldest(
    shape: Shape, index: FreeIndex, occupancy: Occupancy, now_ms: int
) -> HeadReservation | None:
    """Return the window whose most recent occupant started earliest, closed to backfill.

    No new job starts in the window, so it stays the first choice until it is free, independently
    of the estimates. The wait is then at most the longest run time of its occupants.
    """
    if shape.accelerators == 0:
        return _earliest_worker(shape, index, occupancy, now_ms)
    times_by_rack = {id(rack): _occupied_since(rack, shape, occupancy) for rack in index.racks}
    reservation = _earliest_window(shape, index, times_by_rack)
    return HeadReservation(now_ms, reservation.members) if reservation is not None else None


def _earliest_window(
    shape: Shape, index: FreeIndex, times_by_rack: dict[int, list[float]]
) -> HeadReservation | None:
    """Return the window with the smallest maximum of its accelerators' times."""
    best: tuple[float, Rack, int] | None = None
    for rack in index.racks:
        if rack.size < shape.accelerators:
            continue
        for start, end in _segments(rack, shape.span):
            for at in range(start, end - shape.accelerators + 1):
                time = max(times_by_rack[id(rack)][at : at + shape.accelerators])
                if best is None or time < best[0]:
                    best = (time, rack, at)
    reservation = None
    if best is not None and best[0] < _NEVER:
        reservation = HeadReservation(best[0], window_members(best[1], best[2], shape))
    for racks in _rack_groups(index, shape.span):
        reservation = _earlier(reservation, _earliest_scattered(racks, times_by_rack, shape))
    return reservation


def _rack_groups(index: FreeIndex, span: Span) -> list[list[Rack]]:
    groups: list[list[Rack]] = []
    if span >= Span.ZONE:
        groups.extend(index.zones.values())
    if span >= Span.REGION:
        for zones in index.regions.values():
            groups.append([rack for zone in zones for rack in index.zones[zone]])
    return groups


def _earlier(
    first: HeadReservation | None, second: HeadReservation | None
) -> HeadReservation | None:
    if first is None or (second is not None and second.start_ms < first.start_ms):
        return second
    return first


def _segments(rack: Rack, span: Span) -> list[tuple[int, int]]:
    if span >= Span.RACK:
        return [(0, rack.size)]
    return [
        (resources.offset, resources.offset + resources.worker.accelerators)
        for resources in rack.workers
    ]


def _ready_times(rack: Rack, shape: Shape, occupancy: Occupancy, now_ms: int) -> list[float]:
    """Return when each accelerator is free and its worker has resources for its share of a gang."""
    times: list[float] = []
    for resources in rack.workers:
        width = resources.worker.accelerators
        full_mask = (1 << width) - 1
        if resources.held_mask == full_mask:
            times.extend([_NEVER] * width)
            continue
        processors, memory_gb = share_of(shape, min(width, shape.accelerators))
        ready_ms = resources_ready_ms(resources, processors, memory_gb, occupancy, now_ms)
        if resources.free_mask == full_mask and not resources.held_mask:
            times.extend([ready_ms] * width)
            continue
        occupants = occupancy.by_accelerator(resources.worker.name)
        for accelerator in range(width):
            if resources.held_mask >> accelerator & 1:
                times.append(_NEVER)
            elif resources.free_mask >> accelerator & 1:
                times.append(ready_ms)
            else:
                occupant = occupants.get(accelerator)
                times.append(max(ready_ms, occupant.ends_ms) if occupant is not None else _NEVER)
    return times


def _occupied_since(rack: Rack, shape: Shape, occupancy: Occupancy) -> list[float]:
    """Return for each accelerator the start of the most recent job that the shape waits for."""
    starts: list[float] = []
    for resources in rack.workers:
        width = resources.worker.accelerators
        name = resources.worker.name
        latest = 0.0
        if not resources.fits_task(*share_of(shape, min(width, shape.accelerators))):
            on_worker = occupancy.on_worker(name)
            latest = max((occupant.job.placed_ms for occupant, _ in on_worker), default=_NEVER)
        occupants = occupancy.by_accelerator(name)
        for accelerator in range(width):
            if resources.held_mask >> accelerator & 1:
                starts.append(_NEVER)
            elif resources.free_mask >> accelerator & 1:
                starts.append(latest)
            else:
                occupant = occupants.get(accelerator)
                starts.append(max(latest, occupant.job.placed_ms) if occupant else _NEVER)
    return starts


def resources_ready_ms(
    resources: WorkerResources, processors: int, memory_gb: int, occupancy: Occupancy, now_ms: int
) -> float:
    """Return when a worker is expected to have a slot, processors and memory for another task."""
    if resources.fits_task(processors, memory_gb):
        return now_ms
    free_slots = resources.slots - resources.held_slots
    free_processors = resources.processors - resources.held_processors
    free_memory_gb = resources.memory_gb - resources.held_memory_gb
    on_worker = sorted(occupancy.on_worker(resources.worker.name), key=lambda item: item[0].ends_ms)
    for occupant, member in on_worker:
        free_slots += 1
        free_processors += member.processors
        free_memory_gb += member.memory_gb
        if free_slots >= 1 and free_processors >= processors and free_memory_gb >= memory_gb:
            return occupant.ends_ms
    return _NEVER


def _earliest_worker(
    shape: Shape, index: FreeIndex, occupancy: Occupancy, now_ms: int
) -> HeadReservation | None:
    best: tuple[float, str] | None = None
    for name, resources in index.workers.items():
        time = resources_ready_ms(resources, shape.processors, shape.memory_gb, occupancy, now_ms)
        if time < _NEVER and (best is None or time < best[0]):
            best = (time, name)
    if best is None:
        return None
    return HeadReservation(best[0], (member_on(best[1], 0, shape),))


def _earliest_scattered(
    racks: list[Rack], times_by_rack: dict[int, list[float]], shape: Shape
) -> HeadReservation | None:
    """Return the earliest start in a zone or region, where accelerators need not be adjacent."""
    if sum(rack.size for rack in racks) < shape.accelerators:
        return None
    ready_accelerators: list[tuple[float, int, int]] = []
    for number, rack in enumerate(racks):
        ready_accelerators.extend(
            (time, number, at) for at, time in enumerate(times_by_rack[id(rack)]) if time < _NEVER
        )
    if len(ready_accelerators) < shape.accelerators:
        return None
    ready_accelerators.sort()
    chosen = ready_accelerators[: shape.accelerators]
    masks: dict[int, int] = {}
    for _, number, at in chosen:
        masks[number] = masks.get(number, 0) | 1 << at
    members = []
    for number, mask in masks.items():
        for resources in racks[number].workers:
            worker_mask = (mask >> resources.offset) & ((1 << resources.worker.accelerators) - 1)
            if worker_mask:
                members.append(member_on(resources.worker.name, worker_mask, shape))
    return HeadReservation(chosen[-1][0], tuple(members))
