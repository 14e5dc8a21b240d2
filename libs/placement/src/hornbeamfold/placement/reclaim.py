"""The search for the cheapest window that an entitled job can reclaim from borrowers."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from functools import partial

from hornbeamfold.model import Member, Shape, Span
from hornbeamfold.placement.blocks import FreeIndex, Rack, WorkerResources, mask_of, member_on
from hornbeamfold.placement.fit import window_members
from hornbeamfold.placement.occupancy import Key, Occupancy, Occupant

IsProtected = Callable[[Occupant], bool]


@dataclass(frozen=True)
class Reclaim:
    """A window and the occupants to stop so that it becomes free; none if all already stop."""

    window: tuple[Member, ...]
    stops: tuple[Occupant, ...]
    cost: float


def cheapest_reclaim(
    shape: Shape,
    allowed: FreeIndex,
    index: FreeIndex,
    occupancy: Occupancy,
    is_protected: IsProtected,
    own_window: tuple[Member, ...],
) -> Reclaim | None:
    """Return the window whose occupants cost the least to stop.

    `allowed` contains the resources that this job may use once borrowers are stopped, `index`
    those that are free now. Jobs that are `protected` are never stopped, and accelerators held
    for others are never used. `own_window`, the window of the job's guarantee, is tried as well:
    it exists even if no contiguous window is cheap.
    """
    best: Reclaim | None = None
    if own_window:
        best = reclaim_of(own_window, index, occupancy, is_protected)
    for lower_bound, window in _windows(shape, allowed, index, occupancy, is_protected):
        if best is not None and lower_bound >= best.cost:
            break
        if not allowed.fits(window):
            continue
        reclaim = reclaim_of(window, index, occupancy, is_protected)
        if reclaim is not None and (best is None or reclaim.cost < best.cost):
            best = reclaim
    return best


def reclaim_of(
    window: tuple[Member, ...], index: FreeIndex, occupancy: Occupancy, is_protected: IsProtected
) -> Reclaim | None:
    """Return the jobs to stop for this window, or None if an occupant must not be stopped.

    A gang is stopped as a whole, including its members outside the window.
    """
    to_stop: dict[Key, Occupant] = {}
    for member in window:
        resources = index.workers.get(member.worker)
        if resources is None or resources.held_mask & mask_of(member.accelerators):
            return None
        occupants = occupancy.by_accelerator(member.worker)
        for accelerator in member.accelerators:
            if resources.free_mask >> accelerator & 1:
                continue
            occupant = occupants.get(accelerator)
            if occupant is None or (not occupant.stopping and is_protected(occupant)):
                return None
            to_stop[occupant.key] = occupant
    for member in window:
        if not _add_until_task_fits(
            member, index.workers[member.worker], occupancy, is_protected, to_stop
        ):
            return None
    stops = tuple(occupant for occupant in to_stop.values() if not occupant.stopping)
    return Reclaim(window, stops, sum(occupant.cost for occupant in stops))


def _add_until_task_fits(
    member: Member,
    resources: WorkerResources,
    occupancy: Occupancy,
    is_protected: IsProtected,
    to_stop: dict[Key, Occupant],
) -> bool:
    """Add occupants of the worker to `to_stop`, cheapest first, until the member fits.

    Return whether its slot, processors and memory then fit.
    """
    slots = resources.slots - resources.held_slots
    processors = resources.processors - resources.held_processors
    memory_gb = resources.memory_gb - resources.held_memory_gb
    on_worker = occupancy.on_worker(member.worker)
    others = []
    for occupant, other_member in on_worker:
        if occupant.key in to_stop or occupant.stopping:
            slots += 1
            processors += other_member.processors
            memory_gb += other_member.memory_gb
        elif not is_protected(occupant):
            others.append((occupant, other_member))
    others.sort(key=lambda item: (item[0].cost, item[0].key))
    for occupant, other_member in others:
        if slots >= 1 and processors >= member.processors and memory_gb >= member.memory_gb:
            break
        to_stop[occupant.key] = occupant
        slots += 1
        processors += other_member.processors
        memory_gb += other_member.memory_gb
    return slots >= 1 and processors >= member.processors and memory_gb >= member.memory_gb


def _windows(
    shape: Shape,
    allowed: FreeIndex,
    index: FreeIndex,
    occupancy: Occupancy,
    is_protected: IsProtected,
) -> Iterator[tuple[float, tuple[Member, ...]]]:
    """Yield windows with a lower bound of their cost, the lowest bound first."""
    if shape.accelerators == 0:
        yield from ((0.0, (member_on(name, 0, shape),)) for name in allowed.workers)
        return
    ranked: list[tuple[float, int, int]] = []
    for number, rack in enumerate(allowed.racks):
        if rack.mask.bit_count() < shape.accelerators:
            continue
        current_rack = index.racks[number]
        key = (id(rack), rack.version, current_rack.version, shape.accelerators, shape.span)
        costs = occupancy.window_costs(key, partial(_window_costs, shape, rack, index, occupancy))
        ranked.extend((cost, number, start) for cost, start in costs)
    ranked.sort()
    for cost, number, start in ranked:
        yield cost, window_members(allowed.racks[number], start, shape)


def _window_costs(
    shape: Shape, rack: Rack, index: FreeIndex, occupancy: Occupancy
) -> list[tuple[float, int]]:
    """Return the cost and the start of each window in an allowed rack."""
    owners = rack_occupants(rack, index, occupancy)
    costs_and_starts = []
    for start, size in rack.runs if shape.span >= Span.RACK else rack.worker_runs:
        for at in range(start, start + size - shape.accelerators + 1):
            cost = _cost(owners[at : at + shape.accelerators])
            if cost is not None:
                costs_and_starts.append((cost, at))
    return costs_and_starts


def rack_occupants(
    rack: Rack, index: FreeIndex, occupancy: Occupancy
) -> list[Occupant | bool | None]:
    """Return the occupant of each accelerator of a rack, None if free or False if unusable."""
    rack_state: list[Occupant | bool | None] = []
    for resources in rack.workers:
        current = index.workers[resources.worker.name]
        occupants = occupancy.by_accelerator(resources.worker.name)
        for accelerator in range(resources.worker.accelerators):
            if current.held_mask >> accelerator & 1:
                rack_state.append(False)
            elif current.free_mask >> accelerator & 1:
                rack_state.append(None)
            else:
                rack_state.append(occupants.get(accelerator, False))
    return rack_state


def _cost(occupants: Iterable[Occupant | bool | None]) -> float | None:
    cost_by_occupant: dict[int, float] = {}
    for occupant in occupants:
        if occupant is False:
            return None
        if isinstance(occupant, Occupant):
            cost_by_occupant[id(occupant)] = occupant.cost
    return sum(cost_by_occupant.values())
