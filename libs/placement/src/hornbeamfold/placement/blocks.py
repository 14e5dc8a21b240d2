"""Free accelerators and other resources, indexed by rack, availability zone and region."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from functools import lru_cache

from hornbeamfold.model import Member, Shape, Worker, WorkerCapacity


class WorkerResources:
    """The free and the held resources of one worker while a plan is computed.

    `held_mask` marks accelerators that are held for other jobs. The other held amounts belong to
    the same reservations and are subtracted when a placement is searched for.
    """

    __slots__ = (
        "free_mask",
        "held_mask",
        "held_memory_gb",
        "held_processors",
        "held_slots",
        "memory_gb",
        "offset",
        "processors",
        "rack",
        "slots",
        "worker",
    )

    def __init__(
        self, worker: Worker, free_mask: int, processors: int, memory_gb: int, slots: int
    ) -> None:
        self.worker = worker
        self.free_mask = free_mask
        self.processors = processors
        self.memory_gb = memory_gb
        self.slots = slots
        self.held_mask = 0
        self.held_processors = 0
        self.held_memory_gb = 0
        self.held_slots = 0
        self.offset = 0
        self.rack: Rack

    def fits_task(self, processors: int, memory_gb: int) -> bool:
        """Return whether one more task with these needs fits."""
        return (
            self.slots - self.held_slots >= 1
            and self.processors - self.held_processors >= processors
            and self.memory_gb - self.held_memory_gb >= memory_gb
        )


class Rack:
    """The free accelerators of one rack as one bit mask, ordered by (worker position, index)."""

    __slots__ = (
        "_runs",
        "_worker_runs",
        "change_sets",
        "mask",
        "region",
        "size",
        "usable_masks",
        "version",
        "workers",
        "zone",
    )

    def __init__(self, region: str, zone: str, workers: list[WorkerResources]) -> None:
        self.region = region
        self.zone = zone
        self.workers = workers
        self.mask = 0
        self.size = 0
        for resources in workers:
            resources.rack = self
            resources.offset = self.size
            if resources.free_mask and resources.slots > 0:
                self.mask |= resources.free_mask << self.size
            self.size += resources.worker.accelerators
        self._runs: tuple[tuple[int, int], ...] | None = None
        self._worker_runs: tuple[tuple[int, int], ...] | None = None
        # Usable masks by (accelerators, processors, memory), valid until the rack changes.
        self.usable_masks: dict[tuple[int, int, int], int] = {}
        self.version = 0
        self.change_sets: list[set[Rack]] = []

    @property
    def runs(self) -> tuple[tuple[int, int], ...]:
        """The maximal runs of free accelerators as (start, length)."""
        if self._runs is None:
            self._runs = runs_of(self.mask)
        return self._runs

    @property
    def worker_runs(self) -> tuple[tuple[int, int], ...]:
        """The maximal free runs within one worker, as (start in the rack, length)."""
        if self._worker_runs is None:
            runs: list[tuple[int, int]] = []
            for resources in self.workers:
                width = resources.worker.accelerators
                worker_mask = (self.mask >> resources.offset) & ((1 << width) - 1)
                if worker_mask:
                    runs.extend(
                        (resources.offset + start, size) for start, size in runs_of(worker_mask)
                    )
            self._worker_runs = tuple(runs)
        return self._worker_runs

    def refresh(self, resources: WorkerResources) -> None:
        """Update the mask after the resources of one worker have changed."""
        full_mask = ((1 << resources.worker.accelerators) - 1) << resources.offset
        usable_mask = (
            resources.free_mask & ~resources.held_mask
            if resources.slots - resources.held_slots > 0
            else 0
        )
        self.mask = (self.mask & ~full_mask) | (usable_mask << resources.offset)
        self._runs = None
        self._worker_runs = None
        self.usable_masks.clear()
        self.version += 1
        for changed_racks in self.change_sets:
            changed_racks.add(self)

    def worker_at(self, position: int) -> WorkerResources:
        """Return the resources of the worker that has the accelerator at a rack position."""
        for resources in self.workers:
            if position < resources.offset + resources.worker.accelerators:
                return resources
        raise IndexError(position)


class RunsBySize:
    """The racks that have a free run of each size; changed racks are indexed again on lookup."""

    def __init__(
        self, racks: list[Rack], runs: Callable[[Rack], tuple[tuple[int, int], ...]]
    ) -> None:
        self._runs = runs
        self._racks = racks
        self._numbers = {rack: number for number, rack in enumerate(racks)}
        self._sizes: list[frozenset[int]] = [frozenset()] * len(racks)
        self._racks_by_size: dict[int, set[int]] = {}
        self._changed = set(racks)
        for rack in racks:
            rack.change_sets.append(self._changed)

    def runs_from(self, need: int) -> Iterator[tuple[int, Rack, int]]:
        """Yield runs of at least `need` accelerators as (size, rack, start)."""
        self._update()
        for size in sorted(self._racks_by_size):
            numbers = self._racks_by_size[size]
            if size < need or not numbers:
                continue
            preferred = min(numbers, key=self._preference_key)
            yield from self._runs_of_rack(preferred, size)
            for number in sorted(numbers, key=self._preference_key):
                if number != preferred:
                    yield from self._runs_of_rack(number, size)

    def _runs_of_rack(self, number: int, size: int) -> Iterator[tuple[int, Rack, int]]:
        rack = self._racks[number]
        return ((size, rack, start) for start, length in self._runs(rack) if length == size)

    def _preference_key(self, number: int) -> tuple[int, int]:
        return (self._racks[number].mask.bit_count(), number)

    def _update(self) -> None:
        for rack in self._changed:
            number = self._numbers[rack]
            sizes = frozenset(size for _, size in self._runs(rack))
            for size in self._sizes[number] - sizes:
                self._racks_by_size[size].discard(number)
            for size in sizes - self._sizes[number]:
                self._racks_by_size.setdefault(size, set()).add(number)
            self._sizes[number] = sizes
        self._changed.clear()


class FreeIndex:
    """The resources of all workers, updated as members are taken, released or held."""

    def __init__(self, workers: list[tuple[str, WorkerResources]]) -> None:
        self.workers = {resources.worker.name: resources for _, resources in workers}
        grouped: dict[tuple[str, str, str], list[WorkerResources]] = {}
        for region, resources in workers:
            key = (region, resources.worker.availability_zone, resources.worker.rack)
            grouped.setdefault(key, []).append(resources)
        self.zones: dict[tuple[str, str], list[Rack]] = {}
        self.regions: dict[str, list[tuple[str, str]]] = {}
        self.racks: list[Rack] = []
        for (region, zone, _), rack_workers in sorted(grouped.items()):
            rack_workers.sort(key=_position_key)
            rack = Rack(region, zone, rack_workers)
            self.racks.append(rack)
            if (region, zone) not in self.zones:
                self.zones[(region, zone)] = []
                self.regions.setdefault(region, []).append((region, zone))
            self.zones[(region, zone)].append(rack)
        self._by_task_preference: list[WorkerResources] | None = None
        self._rack_runs = RunsBySize(self.racks, lambda rack: rack.runs)
        self._worker_runs = RunsBySize(self.racks, lambda rack: rack.worker_runs)

    def runs_from(self, need: int, within_worker: bool) -> Iterator[tuple[int, Rack, int]]:
        """Yield free runs of at least `need` accelerators as (size, rack, start), smallest first.

        Among runs of equal size, those in the rack with the fewest free accelerators come first,
        because that rack is already fragmented.
        """
        return (self._worker_runs if within_worker else self._rack_runs).runs_from(need)

    @property
    def by_task_preference(self) -> list[WorkerResources]:
        """Workers for tasks without accelerators, those with the fewest free accelerators first.

        The order is computed once and may become stale: it is only a preference, and callers
        check the free resources again.
        """
        if self._by_task_preference is None:
            self._by_task_preference = sorted(self.workers.values(), key=_task_preference_key)
        return self._by_task_preference

    def fits(self, members: Iterable[Member]) -> bool:
        """Return whether all members fit at the same time (at most one member for each worker)."""
        for member in members:
            resources = self.workers.get(member.worker)
            if resources is None or not resources.fits_task(member.processors, member.memory_gb):
                return False
            mask = mask_of(member.accelerators)
            if mask & resources.free_mask & ~resources.held_mask != mask:
                return False
        return True

    def take(self, members: Iterable[Member]) -> None:
        """Mark the resources of members as used; members on unknown workers are ignored."""
        self._change(members, -1)

    def release(self, members: Iterable[Member]) -> None:
        """Mark the resources of members as free again."""
        self._change(members, 1)

    def hold(self, members: Iterable[Member], sign: int = 1) -> None:
        """Hold the resources of members for another job; `sign` -1 ends the hold."""
        for member in members:
            resources = self.workers.get(member.worker)
            if resources is None:
                continue
            mask = mask_of(member.accelerators)
            resources.held_mask = (
                resources.held_mask | mask if sign > 0 else resources.held_mask & ~mask
            )
            resources.held_processors += sign * member.processors
            resources.held_memory_gb += sign * member.memory_gb
            resources.held_slots += sign
            resources.rack.refresh(resources)

    def _change(self, members: Iterable[Member], sign: int) -> None:
        for member in members:
            resources = self.workers.get(member.worker)
            if resources is None:
                continue
            mask = mask_of(member.accelerators)
            resources.free_mask = (
                resources.free_mask | mask if sign > 0 else resources.free_mask & ~mask
            )
            resources.processors += sign * member.processors
            resources.memory_gb += sign * member.memory_gb
            resources.slots += sign
            resources.rack.refresh(resources)


def free_index(capacities: Mapping[str, WorkerCapacity]) -> FreeIndex:
    """Return the index of the free resources.

    Workers that are not eligible keep their position in the rack, with nothing free.
    """
    workers = []
    for capacity in capacities.values():
        if capacity.eligible:
            free = WorkerResources(
                capacity.worker,
                capacity.free_mask,
                capacity.free_processors,
                capacity.free_memory_gb,
                capacity.free_slots,
            )
        else:
            free = WorkerResources(capacity.worker, 0, 0, 0, 0)
        workers.append((capacity.region, free))
    return FreeIndex(workers)


def total_index(capacities: Iterable[WorkerCapacity], only_eligible: bool) -> FreeIndex:
    """Return the index of the total capacity of the workers, as if no task ran.

    With `only_eligible`, workers that are not eligible have no resources.
    """
    workers = []
    for capacity in capacities:
        worker = capacity.worker
        if only_eligible and not capacity.eligible:
            total = WorkerResources(worker, 0, 0, 0, 0)
        else:
            full_mask = (1 << worker.accelerators) - 1
            total = WorkerResources(
                worker, full_mask, worker.processors, worker.memory_gb, worker.slots
            )
        workers.append((capacity.region, total))
    return FreeIndex(workers)


@lru_cache(maxsize=8192)
def runs_of(mask: int) -> tuple[tuple[int, int], ...]:
    """Return the maximal runs of set bits as (start, length)."""
    runs = []
    start = 0
    while mask:
        zeros = (mask & -mask).bit_length() - 1
        mask >>= zeros
        start += zeros
        length = (~mask & (mask + 1)).bit_length() - 1
        runs.append((start, length))
        mask >>= length
        start += length
    return tuple(runs)


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
    """Return the processors and the memory of a member with this many of a gang's accelerators.

    They are proportional to its accelerators, rounded up.
    """
    total = shape.accelerators
    if total == 0:
        return shape.processors, shape.memory_gb
    return (
        -(-shape.processors * accelerators // total),
        -(-shape.memory_gb * accelerators // total),
    )


def member_on(worker: str, mask: int, shape: Shape) -> Member:
    """Return the member of a gang that uses the accelerators in `mask` of a worker."""
    indices = indices_of(mask)
    processors, memory_gb = share_of(shape, len(indices))
    return Member(worker, indices, processors, memory_gb)


def _position_key(resources: WorkerResources) -> tuple[int, str]:
    return (resources.worker.position, resources.worker.name)


def _task_preference_key(resources: WorkerResources) -> tuple[int, int, str]:
    return (resources.free_mask.bit_count(), -resources.slots, resources.worker.name)
