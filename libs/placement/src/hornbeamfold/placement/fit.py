"""The choice of a place for a shape: narrowest span first, smallest sufficient free run."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from hornbeamfold.model import JobSpec, Member, Reservation, Shape, Span, Worker, WorkerCapacity
from hornbeamfold.placement.blocks import (
    FreeIndex,
    RackLine,
    WorkerRoom,
    free_index,
    member_on,
    runs_of,
    share_of,
    total_index,
)


@dataclass(frozen=True)
class Placement:
    """A place for a whole gang and the span that it stays within."""

    members: tuple[Member, ...]
    span: Span


@dataclass(frozen=True)
class NoPlacement:
    """No place is free now; `reason` is for the decision log."""

    reason: str


def place(
    spec: JobSpec, capacities: Mapping[str, WorkerCapacity], reserved: Iterable[Reservation]
) -> Placement | NoPlacement:
    """Return the best place for a job; what is reserved for other jobs is not used."""
    index = free_index(capacities)
    for reservation in reserved:
        if reservation.beneficiary != spec.key:
            index.hold(reservation.members)
    found = find_place(index, spec.shape)
    if found is None:
        return NoPlacement(describe_lack(index, spec.shape))
    return found


def is_feasible(shape: Shape, capacities: Iterable[WorkerCapacity]) -> str:
    """Return why no topology in service can hold the shape, or an empty string if one can."""
    return infeasible_reason(shape, total_index(capacities, only_eligible=True))


class Feasibility:
    """Verdicts on shapes, kept until the workers in service change.

    Most plans see the same topology as the one before, and infeasible jobs stay in the queue.
    """

    def __init__(self) -> None:
        self._workers: list[tuple[Worker, bool]] = []
        self._verdicts: dict[Shape, str] = {}
        self._totals: FreeIndex | None = None

    def reasons(self, capacities: Mapping[str, WorkerCapacity]) -> Callable[[Shape], str]:
        """Return the function that says why these workers cannot hold a shape."""
        workers = [(capacity.worker, capacity.eligible) for capacity in capacities.values()]
        if workers != self._workers:
            self._workers = workers
            self._verdicts = {}
            self._totals = None

        def reason(shape: Shape) -> str:
            verdict = self._verdicts.get(shape)
            if verdict is None:
                if self._totals is None:
                    self._totals = total_index(capacities.values(), only_eligible=True)
                verdict = self._verdicts[shape] = infeasible_reason(shape, self._totals)
            return verdict

        return reason


def infeasible_reason(shape: Shape, totals: FreeIndex) -> str:
    """Return why an index of whole capacities cannot hold the shape, or an empty string."""
    if find_place(totals, shape) is not None:
        return ""
    return f"no topology in service holds the shape: {describe_lack(totals, shape)}"


def find_place(index: FreeIndex, shape: Shape) -> Placement | None:
    """Return the narrowest best-fitting place in the index, or None."""
    if shape.accelerators == 0:
        return _find_worker(index, shape)
    found = _find_run(index, shape, within_worker=True)
    if found is None and shape.span >= Span.RACK:
        found = _find_run(index, shape, within_worker=False)
    if found is None and shape.span >= Span.ZONE:
        found = _find_zone(index, shape)
    if found is None and shape.span >= Span.REGION:
        found = _find_region(index, shape)
    return found


def window_members(line: RackLine, start: int, shape: Shape) -> tuple[Member, ...]:
    """Return the members of a gang that occupies a run of the line from `start`."""
    window = ((1 << shape.accelerators) - 1) << start
    return _members_on_line(line, window, shape)


def describe_lack(index: FreeIndex, shape: Shape) -> str:
    """Say what the index has against what the shape needs."""
    largest = max((size for line in index.lines for _, size in line.runs), default=0)
    free = sum(line.mask.bit_count() for line in index.lines)
    return (
        f"needs {shape.accelerators} accelerators within a {shape.span.name.lower()}, "
        f"{shape.processors} processors and {shape.memory_gb} GB; "
        f"usable are {free} accelerators, the largest run has {largest}"
    )


def _find_worker(index: FreeIndex, shape: Shape) -> Placement | None:
    for room in index.by_room:
        if room.has(shape.processors, shape.memory_gb):
            return Placement((member_on(room.worker.name, 0, shape),), Span.WORKER)
    return None


def _find_run(index: FreeIndex, shape: Shape, within_worker: bool) -> Placement | None:
    """Search the runs of single workers or of racks, those with the least left over first."""
    for size, line, start in index.runs_from(shape.accelerators, within_worker):
        spare = size - shape.accelerators
        # The ends of a run first: what remains is then one block.
        for shift in (0, spare, *range(1, spare)) if spare else (0,):
            members = window_members(line, start + shift, shape)
            if _has_room(line, members):
                return Placement(members, Span.WORKER if within_worker else Span.RACK)
    return None


def _find_zone(index: FreeIndex, shape: Shape) -> Placement | None:
    best: tuple[int, int, tuple[Member, ...]] | None = None
    for lines in index.zones.values():
        if sum(line.mask.bit_count() for line in lines) < shape.accelerators:
            continue
        pieces = _pieces(lines, shape, shape.accelerators)
        if sum(size for _, _, size in pieces) < shape.accelerators:
            continue
        rank = (len(pieces), sum(line.mask.bit_count() for line in lines))
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
        chosen = _fewest(usable, shape.accelerators)
        rank = (len(chosen), total)
        if best is not None and rank >= best[:2]:
            continue
        members: list[Member] = []
        left = shape.accelerators
        for zone in chosen:
            pieces = _pieces(index.zones[zone], shape, left)
            left -= sum(size for _, _, size in pieces)
            members.extend(_members_of_pieces(pieces, shape))
        best = (*rank, tuple(members))
    return Placement(best[2], Span.REGION) if best else None


def _fewest(usable: dict[tuple[str, str], int], need: int) -> list[tuple[str, str]]:
    """Choose the fewest zones: the largest first, for the last one the smallest that suffices."""
    chosen: list[tuple[str, str]] = []
    rest = sorted(usable, key=lambda zone: (-usable[zone], zone))
    while need > 0:
        enough = [zone for zone in rest if usable[zone] >= need]
        zone = enough[-1] if enough else rest[0]
        rest.remove(zone)
        chosen.append(zone)
        need -= usable[zone]
    return chosen


def _pieces(lines: list[RackLine], shape: Shape, need: int) -> list[tuple[RackLine, int, int]]:
    """Choose the fewest runs as (line, start, size): the largest first, the last one best fit."""
    runs: list[tuple[int, RackLine, int]] = []
    for line in lines:
        mask = _usable_mask(line, shape)
        found = line.runs if mask == line.mask else runs_of(mask)
        runs.extend((size, line, start) for start, size in found)
    runs.sort(key=lambda run: -run[0])
    chosen: list[tuple[RackLine, int, int]] = []
    position = 0
    while need > 0 and position < len(runs):
        size, line, start = runs[position]
        if size < need:
            chosen.append((line, start, size))
            need -= size
            position += 1
            continue
        last = max(at for at in range(position, len(runs)) if runs[at][0] >= need)
        _, line, start = runs[last]
        chosen.append((line, start, need))
        need = 0
    return chosen


def _usable_in_zone(lines: list[RackLine], shape: Shape) -> int:
    return sum(_usable_mask(line, shape).bit_count() for line in lines)


def _usable_mask(line: RackLine, shape: Shape) -> int:
    """Return the free cells less those for which their worker lacks processors or memory."""
    mask = line.mask
    if mask == 0:
        return 0
    key = (shape.accelerators, shape.processors, shape.memory_gb)
    known = line.usable.get(key)
    if known is not None:
        return known
    for room in line.rooms:
        width = room.worker.accelerators
        part = (mask >> room.offset) & ((1 << width) - 1)
        if part == 0:
            continue
        count = part.bit_count()
        while count and not room.has(*share_of(shape, count)):
            part &= part - 1
            count -= 1
        full = ((1 << width) - 1) << room.offset
        mask = (mask & ~full) | (part << room.offset)
    line.usable[key] = mask
    return mask


def _members_of_pieces(pieces: list[tuple[RackLine, int, int]], shape: Shape) -> tuple[Member, ...]:
    """Join the pieces so that each worker has one member."""
    masks: dict[int, tuple[RackLine, int]] = {}
    for line, start, size in pieces:
        _, mask = masks.get(id(line), (line, 0))
        masks[id(line)] = (line, mask | ((1 << size) - 1) << start)
    members: list[Member] = []
    for line, mask in masks.values():
        members.extend(_members_on_line(line, mask, shape))
    return tuple(members)


def _members_on_line(line: RackLine, mask: int, shape: Shape) -> tuple[Member, ...]:
    members = []
    for room in line.rooms:
        part = (mask >> room.offset) & ((1 << room.worker.accelerators) - 1)
        if part:
            members.append(member_on(room.worker.name, part, shape))
    return tuple(members)


def _has_room(line: RackLine, members: tuple[Member, ...]) -> bool:
    rooms: dict[str, WorkerRoom] = {room.worker.name: room for room in line.rooms}
    return all(rooms[member.worker].has(member.processors, member.memory_gb) for member in members)
