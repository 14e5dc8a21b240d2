"""The cheapest window that an entitled job can take from borrowers."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from functools import partial

from hornbeamfold.model import Member, Shape, Span
from hornbeamfold.placement.blocks import FreeIndex, RackLine, WorkerRoom, mask_of, member_on
from hornbeamfold.placement.fit import window_members
from hornbeamfold.placement.occupancy import Key, Tenant, Tenants

Fixed = Callable[[Tenant], bool]


@dataclass(frozen=True)
class Reclaim:
    """A window and the tenants to stop so that it becomes free; none if all are stopping."""

    window: tuple[Member, ...]
    stops: tuple[Tenant, ...]
    cost: float


def cheapest_reclaim(
    shape: Shape,
    allowed: FreeIndex,
    index: FreeIndex,
    tenants: Tenants,
    protected: Fixed,
    own_slot: tuple[Member, ...],
) -> Reclaim | None:
    """Return the window whose tenants cost least to stop.

    `allowed` has the room that this job may use once borrowers are gone, `index` what is free
    now. Jobs that are `protected` are never stopped, and accelerators held for others are never
    used. `own_slot` is tried as well: it exists even where no contiguous window is cheap.
    """
    best: Reclaim | None = None
    if own_slot:
        best = reclaim_of(own_slot, index, tenants, protected)
    for lower_bound, window in _windows(shape, allowed, index, tenants, protected):
        if best is not None and lower_bound >= best.cost:
            break
        if not allowed.fits(window):
            continue
        found = reclaim_of(window, index, tenants, protected)
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


def reclaim_of(
    window: tuple[Member, ...], index: FreeIndex, tenants: Tenants, protected: Fixed
) -> Reclaim | None:
    """Return what has to stop for this window, or None if not all of its tenants can.

    A gang is stopped as a whole, also the part of it that is outside the window.
    """
    chosen: dict[Key, Tenant] = {}
    for member in window:
        room = index.rooms.get(member.worker)
        if room is None or room.held & mask_of(member.accelerators):
            return None
        cells = tenants.on_cells(member.worker)
        for cell in member.accelerators:
            if room.free >> cell & 1:
                continue
            tenant = cells.get(cell)
            if tenant is None or (not tenant.stopping and protected(tenant)):
                return None
            chosen[tenant.key] = tenant
    for member in window:
        if not _add_for_room(member, index.rooms[member.worker], tenants, protected, chosen):
            return None
    stops = tuple(tenant for tenant in chosen.values() if not tenant.stopping)
    return Reclaim(window, stops, sum(tenant.cost for tenant in stops))


def _add_for_room(
    member: Member,
    room: WorkerRoom,
    tenants: Tenants,
    protected: Fixed,
    chosen: dict[Key, Tenant],
) -> bool:
    """Choose more tenants of a worker until the member's slot, processors and memory fit."""
    slots = room.slots - room.held_slots
    processors = room.processors - room.held_processors
    memory_gb = room.memory_gb - room.held_memory_gb
    present = tenants.on_worker(member.worker)
    others = []
    for tenant, part in present:
        if tenant.key in chosen or tenant.stopping:
            slots += 1
            processors += part.processors
            memory_gb += part.memory_gb
        elif not protected(tenant):
            others.append((tenant, part))
    others.sort(key=lambda item: (item[0].cost, item[0].key))
    for tenant, part in others:
        if slots >= 1 and processors >= member.processors and memory_gb >= member.memory_gb:
            break
        chosen[tenant.key] = tenant
        slots += 1
        processors += part.processors
        memory_gb += part.memory_gb
    return slots >= 1 and processors >= member.processors and memory_gb >= member.memory_gb


def _windows(
    shape: Shape,
    allowed: FreeIndex,
    index: FreeIndex,
    tenants: Tenants,
    protected: Fixed,
) -> Iterator[tuple[float, tuple[Member, ...]]]:
    """Yield windows with a lower bound of their cost, cheapest bound first."""
    if shape.accelerators == 0:
        yield from ((0.0, (member_on(name, 0, shape),)) for name in allowed.rooms)
        return
    ranked: list[tuple[float, int, int]] = []
    for number, line in enumerate(allowed.lines):
        if line.mask.bit_count() < shape.accelerators:
            continue
        now = index.lines[number]
        key = (id(line), line.version, now.version, shape.accelerators, shape.span)
        costs = tenants.window_costs(key, partial(_window_costs, shape, line, index, tenants))
        ranked.extend((cost, number, at) for cost, at in costs)
    ranked.sort()
    for cost, number, at in ranked:
        yield cost, window_members(allowed.lines[number], at, shape)


def _window_costs(
    shape: Shape, line: RackLine, index: FreeIndex, tenants: Tenants
) -> list[tuple[float, int]]:
    """Return the cost and start of each window on an allowed line."""
    owners = cell_owners(line, index, tenants)
    found = []
    for start, size in line.runs if shape.span >= Span.RACK else line.worker_runs:
        for at in range(start, start + size - shape.accelerators + 1):
            cost = _cost(owners[at : at + shape.accelerators])
            if cost is not None:
                found.append((cost, at))
    return found


def cell_owners(line: RackLine, index: FreeIndex, tenants: Tenants) -> list[Tenant | bool | None]:
    """Return for each cell of a line its tenant, None if it is free, False if it is unusable."""
    owners: list[Tenant | bool | None] = []
    for room in line.rooms:
        now = index.rooms[room.worker.name]
        cells = tenants.on_cells(room.worker.name)
        for cell in range(room.worker.accelerators):
            if now.held >> cell & 1:
                owners.append(False)
            elif now.free >> cell & 1:
                owners.append(None)
            else:
                owners.append(cells.get(cell, False))
    return owners


def _cost(owners: Iterable[Tenant | bool | None]) -> float | None:
    seen: dict[int, float] = {}
    for owner in owners:
        if owner is False:
            return None
        if isinstance(owner, Tenant):
            seen[id(owner)] = owner.cost
    return sum(seen.values())
