"""Moves of checkpointable jobs that free a window for a waiting gang."""

from collections.abc import Callable, Iterator

from hornbeamfold.model import Member, Shape, Span
from hornbeamfold.placement.blocks import FreeIndex, Rack, member_on
from hornbeamfold.placement.fit import window_members
from hornbeamfold.placement.occupancy import MOVE_COST_MS, Key, Occupancy, Occupant
from hornbeamfold.placement.reclaim import IsProtected, Reclaim, rack_occupants, reclaim_of

# A move costs the checkpoint and the restart; the wait that it saves must be twice as long.
MIN_WAIT_TO_COST_RATIO = 2

IsMovable = Callable[[Occupant], bool]
# The occupant of an accelerator, None if it is free or False if it is unusable.
AcceleratorUse = Occupant | bool | None


def worthwhile_moves(
    shape: Shape, wait_ms: float, index: FreeIndex, occupancy: Occupancy, is_movable: IsMovable
) -> Reclaim | None:
    """Return the cheapest window that moves can free, if the gang's wait justifies them.

    The wait of the whole gang is compared with the cost of all moves, both in accelerator
    milliseconds, so that a small gang does not move a large one.
    """
    if wait_ms <= MIN_WAIT_TO_COST_RATIO * MOVE_COST_MS or shape.accelerators == 0:
        return None
    protection: dict[Key, bool] = {}

    def is_protected(occupant: Occupant) -> bool:
        if occupant.stopping:
            return False
        if occupant.key not in protection:
            protection[occupant.key] = not is_movable(occupant)
        return protection[occupant.key]

    limit = wait_ms * shape.accelerators / MIN_WAIT_TO_COST_RATIO
    best: Reclaim | None = None
    for lower_bound, window in _candidates(shape, index, occupancy, is_protected):
        if lower_bound > limit or (best is not None and lower_bound >= best.cost):
            break
        reclaim = reclaim_of(window, index, occupancy, is_protected)
        if (
            reclaim is not None
            and reclaim.cost <= limit
            and (best is None or reclaim.cost < best.cost)
        ):
            best = reclaim
    return best


def _candidates(
    shape: Shape, index: FreeIndex, occupancy: Occupancy, is_protected: IsProtected
) -> Iterator[tuple[float, tuple[Member, ...]]]:
    """Yield contiguous windows with a lower bound of their cost, the lowest bound first.

    For wide spans, the cheapest window of each zone follows, with a bound of 0.
    """
    if all(_accelerator_count(racks) < shape.accelerators for racks in index.zones.values()):
        return
    occupants_by_rack = {id(rack): rack_occupants(rack, index, occupancy) for rack in index.racks}
    ranked: list[tuple[float, int, int]] = []
    for number, rack in enumerate(index.racks):
        for start, end in _segments(rack, shape.span):
            for at in range(start, end - shape.accelerators + 1):
                cost = _cost(
                    occupants_by_rack[id(rack)][at : at + shape.accelerators], is_protected
                )
                if cost is not None:
                    ranked.append((cost, number, at))
    ranked.sort()
    for cost, number, at in ranked:
        yield cost, window_members(index.racks[number], at, shape)
    if shape.span >= Span.ZONE:
        for racks in index.zones.values():
            if _accelerator_count(racks) < shape.accelerators:
                continue
            window = _cheapest_scattered(racks, occupants_by_rack, shape, is_protected)
            if window:
                yield 0.0, window


def _accelerator_count(racks: list[Rack]) -> int:
    return sum(rack.size for rack in racks)


def _segments(rack: Rack, span: Span) -> list[tuple[int, int]]:
    if span >= Span.RACK:
        return [(0, rack.size)]
    return [
        (resources.offset, resources.offset + resources.worker.accelerators)
        for resources in rack.workers
    ]


def _cost(occupants: list[AcceleratorUse], is_protected: IsProtected) -> float | None:
    cost_by_occupant: dict[int, float] = {}
    for occupant in occupants:
        if occupant is None:
            continue
        if not isinstance(occupant, Occupant) or is_protected(occupant):
            return None
        cost_by_occupant[id(occupant)] = occupant.cost
    return sum(cost_by_occupant.values())


def _cheapest_scattered(
    racks: list[Rack],
    occupants_by_rack: dict[int, list[AcceleratorUse]],
    shape: Shape,
    is_protected: IsProtected,
) -> tuple[Member, ...]:
    """Choose free accelerators first, then those whose occupants cost least per accelerator."""
    ranked: list[tuple[float, str, int, int]] = []
    for number, rack in enumerate(racks):
        for at, occupant in enumerate(occupants_by_rack[id(rack)]):
            if occupant is None:
                ranked.append((0.0, "", number, at))
            elif isinstance(occupant, Occupant) and not is_protected(occupant):
                size = occupant.job.spec.shape.accelerators
                ranked.append((occupant.cost / size, occupant.job.spec.job_id, number, at))
    if len(ranked) < shape.accelerators:
        return ()
    ranked.sort()
    masks = [0] * len(racks)
    for _, _, number, at in ranked[: shape.accelerators]:
        masks[number] |= 1 << at
    return tuple(
        member_on(resources.worker.name, worker_mask, shape)
        for rack, mask in zip(racks, masks, strict=True)
        for resources in rack.workers
        if (worker_mask := mask >> resources.offset & ((1 << resources.worker.accelerators) - 1))
    )
