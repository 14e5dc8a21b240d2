"""Free accelerators and other room, indexed by rack, availability zone and region."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from functools import lru_cache

from hornbeamfold.model import Member, Shape, Worker, WorkerCapacity


class WorkerRoom:
    """What is left on one worker while decisions are made.

    `held` marks accelerators kept for someone else; the other held amounts belong to the same
    reservations and are subtracted when room is looked for.
    """

    __slots__ = (
        "free",
        "held",
        "held_memory_gb",
        "held_processors",
        "held_slots",
        "line",
        "memory_gb",
        "offset",
        "processors",
        "slots",
        "worker",
    )

    def __init__(self, worker: Worker, free: int, processors: int, memory: int, slots: int) -> None:
        self.worker = worker
        self.free = free
        self.processors = processors
        self.memory_gb = memory
        self.slots = slots
        self.held = 0
        self.held_processors = 0
        self.held_memory_gb = 0
        self.held_slots = 0
        self.offset = 0
        self.line: RackLine

    def has(self, processors: int, memory_gb: int) -> bool:
        """Return whether one more task with these needs fits."""
        return (
            self.slots - self.held_slots >= 1
            and self.processors - self.held_processors >= processors
            and self.memory_gb - self.held_memory_gb >= memory_gb
        )


class RackLine:
    """The accelerators of one rack as one bit line, ordered by (position, index)."""

    __slots__ = (
        "_runs",
        "_worker_runs",
        "mask",
        "region",
        "rooms",
        "size",
        "usable",
        "version",
        "watchers",
        "zone",
    )

    def __init__(self, region: str, zone: str, rooms: list[WorkerRoom]) -> None:
        self.region = region
        self.zone = zone
        self.rooms = rooms
        self.mask = 0
        self.size = 0
        for room in rooms:
            room.line = self
            room.offset = self.size
            if room.free and room.slots > 0:
                self.mask |= room.free << self.size
            self.size += room.worker.accelerators
        self._runs: tuple[tuple[int, int], ...] | None = None
        self._worker_runs: tuple[tuple[int, int], ...] | None = None
        # Results for a shape that hold until the line changes.
        self.usable: dict[tuple[int, int, int], int] = {}
        self.version = 0
        self.watchers: list[set[RackLine]] = []

    @property
    def runs(self) -> tuple[tuple[int, int], ...]:
        """Maximal free runs as (start, length)."""
        if self._runs is None:
            self._runs = runs_of(self.mask)
        return self._runs

    @property
    def worker_runs(self) -> tuple[tuple[int, int], ...]:
        """Maximal free runs that stay within one worker, as (start on the line, length)."""
        if self._worker_runs is None:
            found: list[tuple[int, int]] = []
            for room in self.rooms:
                width = room.worker.accelerators
                part = (self.mask >> room.offset) & ((1 << width) - 1)
                if part:
                    found.extend((room.offset + start, size) for start, size in runs_of(part))
            self._worker_runs = tuple(found)
        return self._worker_runs

    def refresh(self, room: WorkerRoom) -> None:
        """Take over the changed room of one worker."""
        full = ((1 << room.worker.accelerators) - 1) << room.offset
        usable = room.free & ~room.held if room.slots - room.held_slots > 0 else 0
        self.mask = (self.mask & ~full) | (usable << room.offset)
        self._runs = None
        self._worker_runs = None
        self.usable.clear()
        self.version += 1
        for watcher in self.watchers:
            watcher.add(self)

    def room_at(self, cell: int) -> WorkerRoom:
        """Return the worker that has this cell of the line."""
        for room in self.rooms:
            if cell < room.offset + room.worker.accelerators:
                return room
        raise IndexError(cell)


class RunTable:
    """The lines that have a free run of each size; changed lines are read again when asked."""

    def __init__(
        self, lines: list[RackLine], runs: Callable[[RackLine], tuple[tuple[int, int], ...]]
    ) -> None:
        self._runs = runs
        self._lines = lines
        self._number = {line: number for number, line in enumerate(lines)}
        self._sizes: list[frozenset[int]] = [frozenset()] * len(lines)
        self._lines_of: dict[int, set[int]] = {}
        self._changed = set(lines)
        for line in lines:
            line.watchers.append(self._changed)

    def runs_from(self, need: int) -> Iterator[tuple[int, RackLine, int]]:
        """Yield runs of at least this size as (size, line, start)."""
        self._update()
        for size in sorted(self._lines_of):
            numbers = self._lines_of[size]
            if size < need or not numbers:
                continue
            first = min(numbers, key=self._rank)
            yield from self._of_line(first, size)
            for number in sorted(numbers, key=self._rank):
                if number != first:
                    yield from self._of_line(number, size)

    def _of_line(self, number: int, size: int) -> Iterator[tuple[int, RackLine, int]]:
        line = self._lines[number]
        return ((size, line, start) for start, length in self._runs(line) if length == size)

    def _rank(self, number: int) -> tuple[int, int]:
        return (self._lines[number].mask.bit_count(), number)

    def _update(self) -> None:
        for line in self._changed:
            number = self._number[line]
            sizes = frozenset(size for _, size in self._runs(line))
            for size in self._sizes[number] - sizes:
                self._lines_of[size].discard(number)
            for size in sizes - self._sizes[number]:
                self._lines_of.setdefault(size, set()).add(number)
            self._sizes[number] = sizes
        self._changed.clear()


class FreeIndex:
    """The room of all workers; changes as members are taken, released or held."""

    def __init__(self, rooms: list[tuple[str, WorkerRoom]]) -> None:
        self.rooms = {room.worker.name: room for _, room in rooms}
        grouped: dict[tuple[str, str, str], list[WorkerRoom]] = {}
        for region, room in rooms:
            key = (region, room.worker.availability_zone, room.worker.rack)
            grouped.setdefault(key, []).append(room)
        self.zones: dict[tuple[str, str], list[RackLine]] = {}
        self.regions: dict[str, list[tuple[str, str]]] = {}
        self.lines: list[RackLine] = []
        for (region, zone, _), members in sorted(grouped.items()):
            members.sort(key=_position)
            line = RackLine(region, zone, members)
            self.lines.append(line)
            if (region, zone) not in self.zones:
                self.zones[(region, zone)] = []
                self.regions.setdefault(region, []).append((region, zone))
            self.zones[(region, zone)].append(line)
        self._by_room: list[WorkerRoom] | None = None
        self._racks = RunTable(self.lines, lambda line: line.runs)
        self._workers = RunTable(self.lines, lambda line: line.worker_runs)

    def runs_from(self, need: int, within_worker: bool) -> Iterator[tuple[int, RackLine, int]]:
        """Yield free runs of at least this size as (size, line, start), the smallest first.

        Among equal runs those come first whose rack has the fewest free accelerators, because it
        is broken already.
        """
        return (self._workers if within_worker else self._racks).runs_from(need)

    @property
    def by_room(self) -> list[WorkerRoom]:
        """Workers for tasks without accelerators, the ones with fewest free accelerators first.

        The order is computed once: it is a preference, and each use checks the room again.
        """
        if self._by_room is None:
            self._by_room = sorted(self.rooms.values(), key=_task_preference)
        return self._by_room

    def fits(self, members: Iterable[Member]) -> bool:
        """Return whether all these members have room at once (one member for each worker)."""
        for member in members:
            room = self.rooms.get(member.worker)
            if room is None or not room.has(member.processors, member.memory_gb):
                return False
            mask = mask_of(member.accelerators)
            if mask & room.free & ~room.held != mask:
                return False
        return True

    def take(self, members: Iterable[Member]) -> None:
        """Remove the room of these members; workers that are not known are passed over."""
        self._change(members, -1)

    def release(self, members: Iterable[Member]) -> None:
        """Give back the room of these members."""
        self._change(members, 1)

    def hold(self, members: Iterable[Member], sign: int = 1) -> None:
        """Keep accelerators and other room for someone else; `sign` -1 ends it."""
        for member in members:
            room = self.rooms.get(member.worker)
            if room is None:
                continue
            mask = mask_of(member.accelerators)
            room.held = room.held | mask if sign > 0 else room.held & ~mask
            room.held_processors += sign * member.processors
            room.held_memory_gb += sign * member.memory_gb
            room.held_slots += sign
            room.line.refresh(room)

    def _change(self, members: Iterable[Member], sign: int) -> None:
        for member in members:
            room = self.rooms.get(member.worker)
            if room is None:
                continue
            mask = mask_of(member.accelerators)
            room.free = room.free | mask if sign > 0 else room.free & ~mask
            room.processors += sign * member.processors
            room.memory_gb += sign * member.memory_gb
            room.slots += sign
            room.line.refresh(room)


def free_index(capacities: Mapping[str, WorkerCapacity]) -> FreeIndex:
    """Return the index of what is free on eligible workers; the others keep their place, empty."""
    rooms = []
    for capacity in capacities.values():
        if capacity.eligible:
            room = WorkerRoom(
                capacity.worker,
                capacity.free_mask,
                capacity.free_processors,
                capacity.free_memory_gb,
                capacity.free_slots,
            )
        else:
            room = WorkerRoom(capacity.worker, 0, 0, 0, 0)
        rooms.append((capacity.region, room))
    return FreeIndex(rooms)


def total_index(capacities: Iterable[WorkerCapacity], only_eligible: bool) -> FreeIndex:
    """Return the index of the workers' whole capacity."""
    rooms = []
    for capacity in capacities:
        worker = capacity.worker
        if only_eligible and not capacity.eligible:
            room = WorkerRoom(worker, 0, 0, 0, 0)
        else:
            full = (1 << worker.accelerators) - 1
            room = WorkerRoom(worker, full, worker.processors, worker.memory_gb, worker.slots)
        rooms.append((capacity.region, room))
    return FreeIndex(rooms)


@lru_cache(maxsize=8192)
def runs_of(mask: int) -> tuple[tuple[int, int], ...]:
    """Return the maximal runs of set bits as (start, length)."""
    found = []
    start = 0
    while mask:
        gap = (mask & -mask).bit_length() - 1
        mask >>= gap
        start += gap
        length = (~mask & (mask + 1)).bit_length() - 1
        found.append((start, length))
        mask >>= length
        start += length
    return tuple(found)


@lru_cache(maxsize=8192)
def mask_of(accelerators: tuple[int, ...]) -> int:
    """Return the bit mask of accelerator indices."""
    mask = 0
    for index in accelerators:
        mask |= 1 << index
    return mask


@lru_cache(maxsize=8192)
def indices_of(mask: int) -> tuple[int, ...]:
    """Return the indices of the set bits."""
    return tuple(index for index in range(mask.bit_length()) if mask >> index & 1)


def share_of(shape: Shape, accelerators: int) -> tuple[int, int]:
    """Return processors and memory of a member with so many of the gang's accelerators."""
    total = shape.accelerators
    if total == 0:
        return shape.processors, shape.memory_gb
    return (
        -(-shape.processors * accelerators // total),
        -(-shape.memory_gb * accelerators // total),
    )


def member_on(worker: str, mask: int, shape: Shape) -> Member:
    """Return the member of a gang that uses these accelerators of a worker."""
    indices = indices_of(mask)
    processors, memory_gb = share_of(shape, len(indices))
    return Member(worker, indices, processors, memory_gb)


def _position(room: WorkerRoom) -> tuple[int, str]:
    return (room.worker.position, room.worker.name)


def _task_preference(room: WorkerRoom) -> tuple[int, int, str]:
    return (room.free.bit_count(), -room.slots, room.worker.name)
