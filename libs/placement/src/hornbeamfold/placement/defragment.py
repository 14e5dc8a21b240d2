"""Moves of checkpointable jobs that open a window for a waiting gang."""

from collections.abc import Callable, Iterator

from hornbeamfold.model import Member, Shape, Span
from hornbeamfold.placement.blocks import FreeIndex, RackLine, member_on
from hornbeamfold.placement.fit import window_members
from hornbeamfold.placement.occupancy import MOVE_COST_MS, Key, Tenant, Tenants
from hornbeamfold.placement.reclaim import Fixed, Reclaim, cell_owners, reclaim_of

# A move costs the checkpoint and the restart; the wait that it saves has to be twice as long.
WAIT_OVER_COST = 2

Movable = Callable[[Tenant], bool]
Owner = Tenant | bool | None


def worthwhile_moves(
    shape: Shape, wait_ms: float, index: FreeIndex, tenants: Tenants, movable: Movable
) -> Reclaim | None:
    """Return the cheapest window that moves open, if the gang's wait is worth them.

    The wait of the whole gang is compared with the cost of all moves, both in accelerator
    milliseconds, so that a small gang does not move a large one.
    """
    if wait_ms <= WAIT_OVER_COST * MOVE_COST_MS or shape.accelerators == 0:
        return None
    known: dict[Key, bool] = {}

    def fixed(tenant: Tenant) -> bool:
        if tenant.stopping:
            return False
        if tenant.key not in known:
            known[tenant.key] = not movable(tenant)
        return known[tenant.key]

    limit = wait_ms * shape.accelerators / WAIT_OVER_COST
    best: Reclaim | None = None
    for bound, window in _candidates(shape, index, tenants, fixed):
        if bound > limit or (best is not None and bound >= best.cost):
            break
        found = reclaim_of(window, index, tenants, fixed)
        if found is not None and found.cost <= limit and (best is None or found.cost < best.cost):
            best = found
    return best


def _candidates(
    shape: Shape, index: FreeIndex, tenants: Tenants, fixed: Fixed
) -> Iterator[tuple[float, tuple[Member, ...]]]:
    """Yield windows with a lower bound of their cost, the cheapest bound first."""
    if all(_cells_in(lines) < shape.accelerators for lines in index.zones.values()):
        return
    owners = {id(line): cell_owners(line, index, tenants) for line in index.lines}
    ranked: list[tuple[float, int, int]] = []
    for number, line in enumerate(index.lines):
        for start, end in _stretches(line, shape.span):
            for at in range(start, end - shape.accelerators + 1):
                cost = _cost(owners[id(line)][at : at + shape.accelerators], fixed)
                if cost is not None:
                    ranked.append((cost, number, at))
    ranked.sort()
    for cost, number, at in ranked:
        yield cost, window_members(index.lines[number], at, shape)
    if shape.span >= Span.ZONE:
        for lines in index.zones.values():
            if _cells_in(lines) < shape.accelerators:
                continue
            window = _cheapest_cells(lines, owners, shape, fixed)
            if window:
                yield 0.0, window


def _cells_in(lines: list[RackLine]) -> int:
    return sum(line.size for line in lines)


def _stretches(line: RackLine, span: Span) -> list[tuple[int, int]]:
    if span >= Span.RACK:
        return [(0, line.size)]
    return [(room.offset, room.offset + room.worker.accelerators) for room in line.rooms]


def _cost(owners: list[Owner], fixed: Fixed) -> float | None:
    seen: dict[int, float] = {}
    for owner in owners:
        if owner is None:
            continue
        if not isinstance(owner, Tenant) or fixed(owner):
            return None
        seen[id(owner)] = owner.cost
    return sum(seen.values())


def _cheapest_cells(
    lines: list[RackLine], owners: dict[int, list[Owner]], shape: Shape, fixed: Fixed
) -> tuple[Member, ...]:
    """Choose free cells first, then those of the tenants that cost least for each accelerator."""
    ranked: list[tuple[float, str, int, int]] = []
    for number, line in enumerate(lines):
        for at, owner in enumerate(owners[id(line)]):
            if owner is None:
                ranked.append((0.0, "", number, at))
            elif isinstance(owner, Tenant) and not fixed(owner):
                size = owner.job.spec.shape.accelerators
                ranked.append((owner.cost / size, owner.job.spec.job_id, number, at))
    if len(ranked) < shape.accelerators:
        return ()
    ranked.sort()
    masks = [0] * len(lines)
    for _, _, number, at in ranked[: shape.accelerators]:
        masks[number] |= 1 << at
    return tuple(
        member_on(room.worker.name, part, shape)
        for line, mask in zip(lines, masks, strict=True)
        for room in line.rooms
        if (part := mask >> room.offset & ((1 << room.worker.accelerators) - 1))
    )
