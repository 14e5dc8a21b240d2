"""The search for a placement of a shape: narrowest span first, smallest sufficient free run."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from hornbeamfold.model import JobSpec, Member, Reservation, Shape, Span, Worker, WorkerCapacity
from hornbeamfold.placement.blocks import (
    FreeIndex,
    Rack,
    WorkerResources,
    free_index,
    member_on,
    runs_of,
    share_of,
    total_index,
)


@dataclass(frozen=True)
class Placement:
    """The members of a whole gang and the span within which they are placed."""

    members: tuple[Member, ...]
    span: Span


@dataclass(frozen=True)
class NoPlacement:
    """No placement is free now; `reason` is written to the decision log."""

    reason: str


def place(
    spec: JobSpec, capacities: Mapping[str, WorkerCapacity], reserved: Iterable[Reservation]
) -> Placement | NoPlacement:
    """Return the best placement for a job, without the resources reserved for other jobs."""
    index = free_index(capacities)
    for reservation in reserved:
        if reservation.beneficiary != spec.key:
            index.hold(reservation.members)
    placement = find_placement(index, spec.shape)
    if placement is None:
        return NoPlacement(describe_shortage(index, spec.shape))
    return placement


def explain_infeasibility(shape: Shape, capacities: Iterable[WorkerCapacity]) -> str:
    """Return why no topology in service can hold the shape, or an empty string if one can."""
    return infeasibility_reason(shape, total_index(capacities, only_eligible=True))


class FeasibilityCache:
    """Caches which shapes are infeasible until the workers in service change.

    Most plans see the same topology as the previous one, and infeasible jobs stay in the queue.
    """

    def __init__(self) -> None:
        self._workers: list[tuple[Worker, bool]] = []
        self._reasons: dict[Shape, str] = {}
        self._total_index: FreeIndex | None = None

    def reason_function(self, capacities: Mapping[str, WorkerCapacity]) -> Callable[[Shape], str]:
        """Return a function that returns why these workers cannot hold a shape, or ""."""
        workers = [(capacity.worker, capacity.eligible) for capacity in capacities.values()]
        if workers != self._workers:
            self._workers = workers
            self._reasons = {}
            self._total_index = None

        def infeasibility(shape: Shape) -> str:
            reason = self._reasons.get(shape)
            if reason is None:
                if self._total_index is None:
                    self._total_index = total_index(capacities.values(), only_eligible=True)
                reason = self._reasons[shape] = infeasibility_reason(shape, self._total_index)
            return reason

        return infeasibility


def infeasibility_reason(shape: Shape, total: FreeIndex) -> str:
    """Return why an index of total capacities cannot hold the shape, or an empty string."""
    if find_placement(total, shape) is not None:
        return ""
    return f"no topology in service holds the shape: {describe_shortage(total, shape)}"


def find_placement(index: FreeIndex, shape: Shape) -> Placement | None:
    """Return the placement with the narrowest span and the best fit, or None."""
    if shape.accelerators == 0:
        return _find_worker(index, shape)
    placement = _find_run(index, shape, within_worker=True)
    if placement is None and shape.span >= Span.RACK:
        placement = _find_run(index, shape, within_worker=False)
    if placement is None and shape.span >= Span.ZONE:
        placement = _find_zone(index, shape)
    if placement is None and shape.span >= Span.REGION:
        placement = _find_region(index, shape)
    return placement


def window_members(rack: Rack, start: int, shape: Shape) -> tuple[Member, ...]:
    """Return the members of a gang that occupies a run of the rack from `start`."""
    window = ((1 << shape.accelerators) - 1) << start
    return _members_on_rack(rack, window, shape)


def describe_shortage(index: FreeIndex, shape: Shape) -> str:
    """Describe what the shape needs and what is usable in the index."""
    largest = max((size for rack in index.racks for _, size in rack.runs), default=0)
    free = sum(rack.mask.bit_count() for rack in index.racks)
    return (
        f"needs {shape.accelerators} accelerators within a {shape.span.name.lower()}, "
        f"{shape.processors} processors and {shape.memory_gb} GB; "
        f"usable are {free} accelerators, the largest run has {largest}"
    )


def _find_worker(index: FreeIndex, shape: Shape) -> Placement | None:
    for resources in index.by_task_preference:
        if resources.fits_task(shape.processors, shape.memory_gb):
            return Placement((member_on(resources.worker.name, 0, shape),), Span.WORKER)
    return None


def _find_run(index: FreeIndex, shape: Shape, within_worker: bool) -> Placement | None:
    """Search the runs of workers or of racks, those that leave the fewest accelerators first."""
    for size, rack, start in index.runs_from(shape.accelerators, within_worker):
        surplus = size - shape.accelerators
        # Try both ends of the run first, so that the rest of the run stays contiguous.
        for offset in (0, surplus, *range(1, surplus)) if surplus else (0,):
            members = window_members(rack, start + offset, shape)
            if _has_resources(rack, members):
                return Placement(members, Span.WORKER if within_worker else Span.RACK)
    return None


def _find_zone(index: FreeIndex, shape: Shape) -> Placement | None:
    best: tuple[int, int, tuple[Member, ...]] | None = None
    for racks in index.zones.values():
        if sum(rack.mask.bit_count() for rack in racks) < shape.accelerators:
            continue
        pieces = _choose_pieces(racks, shape, shape.accelerators)
        if sum(size for _, _, size in pieces) < shape.accelerators:
            continue
        rank = (len(pieces), sum(rack.mask.bit_count() for rack in racks))
        if best is None or rank < best[:2]:
            best = (*rank, _members_of_pieces(pieces, shape))
    return Placement(best[2], Span.ZONE) if best else None


def _find_region(index: FreeIndex, shape: Shape) -> Placement | None:
    best: tuple[int, int, tuple[Member, ...]] | None = None
    for zones in index.regions.values():
        usable = {zone: _usable_in_zone(index.zones[zone], shape) for zone in zones}
        total = sum(usable.values())
        if total < shape.accelerators:
            continue
        chosen = _fewest_zones(usable, shape.accelerators)
        rank = (len(chosen), total)
        if best is not None and rank >= best[:2]:
            continue
        members: list[Member] = []
        remaining = shape.accelerators
        for zone in chosen:
            pieces = _choose_pieces(index.zones[zone], shape, remaining)
            remaining -= sum(size for _, _, size in pieces)
            members.extend(_members_of_pieces(pieces, shape))
        best = (*rank, tuple(members))
    return Placement(best[2], Span.REGION) if best else None


def _fewest_zones(usable: dict[tuple[str, str], int], need: int) -> list[tuple[str, str]]:
    """Choose as few zones as possible: the largest first, and the smallest sufficient one last."""
    chosen: list[tuple[str, str]] = []
    remaining = sorted(usable, key=lambda zone: (-usable[zone], zone))
    while need > 0:
        sufficient = [zone for zone in remaining if usable[zone] >= need]
        zone = sufficient[-1] if sufficient else remaining[0]
        remaining.remove(zone)
        chosen.append(zone)
        need -= usable[zone]
    return chosen


def _choose_pieces(racks: list[Rack], shape: Shape, need: int) -> list[tuple[Rack, int, int]]:
    """Choose as few runs as possible, as (rack, start, size).

    The largest runs come first; the last piece is taken from the smallest run that suffices.
    """
    runs: list[tuple[int, Rack, int]] = []
    for rack in racks:
        mask = _usable_mask(rack, shape)
        rack_runs = rack.runs if mask == rack.mask else runs_of(mask)
        runs.extend((size, rack, start) for start, size in rack_runs)
    runs.sort(key=lambda run: -run[0])
    chosen: list[tuple[Rack, int, int]] = []
    position = 0
    while need > 0 and position < len(runs):
        size, rack, start = runs[position]
        if size < need:
            chosen.append((rack, start, size))
            need -= size
            position += 1
            continue
        last = max(at for at in range(position, len(runs)) if runs[at][0] >= need)
        _, rack, start = runs[last]
        chosen.append((rack, start, need))
        need = 0
    return chosen


def _usable_in_zone(racks: list[Rack], shape: Shape) -> int:
    return sum(_usable_mask(rack, shape).bit_count() for rack in racks)


def _usable_mask(rack: Rack, shape: Shape) -> int:
    """Return the free accelerators for which their worker also has processors and memory."""
    mask = rack.mask
    if mask == 0:
        return 0
    key = (shape.accelerators, shape.processors, shape.memory_gb)
    cached = rack.usable_masks.get(key)
    if cached is not None:
        return cached
    for resources in rack.workers:
        width = resources.worker.accelerators
        worker_mask = (mask >> resources.offset) & ((1 << width) - 1)
        if worker_mask == 0:
            continue
        count = worker_mask.bit_count()
        while count and not resources.fits_task(*share_of(shape, count)):
            worker_mask &= worker_mask - 1
            count -= 1
        full_mask = ((1 << width) - 1) << resources.offset
        mask = (mask & ~full_mask) | (worker_mask << resources.offset)
    rack.usable_masks[key] = mask
    return mask


def _members_of_pieces(pieces: list[tuple[Rack, int, int]], shape: Shape) -> tuple[Member, ...]:
    """Merge the pieces so that each worker has one member."""
    masks: dict[int, tuple[Rack, int]] = {}
    for rack, start, size in pieces:
        _, mask = masks.get(id(rack), (rack, 0))
        masks[id(rack)] = (rack, mask | ((1 << size) - 1) << start)
    members: list[Member] = []
    for rack, mask in masks.values():
        members.extend(_members_on_rack(rack, mask, shape))
    return tuple(members)


def _members_on_rack(rack: Rack, mask: int, shape: Shape) -> tuple[Member, ...]:
    members = []
    for resources in rack.workers:
        worker_mask = (mask >> resources.offset) & ((1 << resources.worker.accelerators) - 1)
        if worker_mask:
            members.append(member_on(resources.worker.name, worker_mask, shape))
    return tuple(members)


def _has_resources(rack: Rack, members: tuple[Member, ...]) -> bool:
    by_worker: dict[str, WorkerResources] = {
        resources.worker.name: resources for resources in rack.workers
    }
    return all(
        by_worker[member.worker].fits_task(member.processors, member.memory_gb)
        for member in members
    )
