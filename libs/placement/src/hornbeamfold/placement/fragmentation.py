"""The share of the free accelerators that the waiting shapes cannot use."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hornbeamfold.model import Shape, Span, WorkerCapacity
from hornbeamfold.placement.blocks import FreeIndex, free_index


@dataclass(frozen=True)
class Fragmentation:
    """The unusable share of the free accelerators, and the largest free run in a rack."""

    unusable_share: float
    largest_run: int
    free: int


def fragmentation(
    capacities: Mapping[str, WorkerCapacity], waiting_shapes: Iterable[Shape]
) -> Fragmentation:
    """Return the share of free accelerators that no placement of a waiting shape could use.

    It is the mean over the waiting shapes. Accelerators in a run (or, for wider spans, in a
    zone or region) that is too small for a shape are unusable for it.
    """
    index = free_index(capacities)
    free = sum(rack.mask.bit_count() for rack in index.racks)
    largest = max((size for rack in index.racks for _, size in rack.runs), default=0)
    shapes = [shape for shape in waiting_shapes if shape.accelerators > 0]
    if not shapes or free == 0:
        return Fragmentation(0.0, largest, free)
    usable: dict[tuple[int, Span], int] = {}
    total = 0
    for shape in shapes:
        key = (shape.accelerators, shape.span)
        if key not in usable:
            usable[key] = _usable_accelerators(index, *key)
        total += usable[key]
    return Fragmentation(1.0 - total / (free * len(shapes)), largest, free)


def _usable_accelerators(index: FreeIndex, need: int, span: Span) -> int:
    blocks: Iterable[int]
    if span is Span.WORKER:
        blocks = (size for rack in index.racks for _, size in rack.worker_runs)
    elif span is Span.RACK:
        blocks = (size for rack in index.racks for _, size in rack.runs)
    elif span is Span.ZONE:
        blocks = (_free_accelerators(index, zone) for zone in index.zones)
    else:
        blocks = (
            sum(_free_accelerators(index, zone) for zone in zones)
            for zones in index.regions.values()
        )
    return sum(size for size in blocks if size >= need)


def _free_accelerators(index: FreeIndex, zone: tuple[str, str]) -> int:
    return sum(rack.mask.bit_count() for rack in index.zones[zone])
