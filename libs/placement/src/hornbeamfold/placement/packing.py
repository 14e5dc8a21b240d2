"""Windows that are reserved for the unused guarantees around the entitled jobs that run."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hornbeamfold.model import Job, Member, Organisation, Shape, WorkerCapacity
from hornbeamfold.placement.blocks import FreeIndex, mask_of, total_index
from hornbeamfold.placement.fit import find_placement
from hornbeamfold.placement.guarantees import decreasing_size, match_guarantees

Key = tuple[str, str]
# An organisation and the index of one of its guaranteed shapes.
GuaranteeId = tuple[str, int]


@dataclass(frozen=True)
class JobAllocation:
    """An entitled job with its placed or reserved members; without members if it still waits."""

    job: Job
    members: tuple[Member, ...]


class GuaranteePacking:
    """The windows of guarantees, and the resources used by neither windows nor entitled jobs."""

    def __init__(self, index: FreeIndex) -> None:
        self._index = index
        self._windows: dict[GuaranteeId, tuple[Member, ...]] = {}
        self._guarantee_ids: dict[Key, GuaranteeId] = {}
        self._movable: set[Key] = set()
        self._suspended: list[Shape] = []

    @property
    def index(self) -> FreeIndex:
        """The resources outside the windows and the entitled jobs."""
        return self._index

    @property
    def suspended(self) -> int:
        """The accelerators of the guarantees without a window.

        A guarantee without accelerators counts as one.
        """
        return sum(shape.accelerators or 1 for shape in self._suspended)

    def guarantee_id(self, key: Key) -> GuaranteeId | None:
        """Return the guarantee that is assigned to a job."""
        return self._guarantee_ids.get(key)

    def window(self, key: Key) -> tuple[Member, ...]:
        """Return the window of the guarantee that is assigned to a job; empty if it has none."""
        guarantee_id = self._guarantee_ids.get(key)
        return self._windows.get(guarantee_id, ()) if guarantee_id is not None else ()

    def is_fixed(self, key: Key) -> bool:
        """Return whether a job is entitled and must not be moved."""
        return key in self._guarantee_ids and key not in self._movable

    def assign(self, key: Key, guarantee_id: GuaranteeId) -> None:
        """Assign a guarantee to a job."""
        self._guarantee_ids[key] = guarantee_id

    def set_movable(self, key: Key) -> None:
        """Allow that an entitled job is moved for the guarantees of others."""
        self._movable.add(key)

    def reserve(self, guarantee_id: GuaranteeId, members: tuple[Member, ...]) -> None:
        """Reserve a window for a guarantee."""
        self._windows[guarantee_id] = members
        self._index.take(members)

    def add_suspended(self, shape: Shape) -> None:
        """Record a guarantee for which there is no window."""
        self._suspended.append(shape)

    def replace_window(self, key: Key, members: tuple[Member, ...]) -> bool:
        """Replace the window of a job's guarantee by the job's members, if they fit without it."""
        guarantee_id = self._guarantee_ids[key]
        window = self._windows[guarantee_id]
        self._index.release(window)
        if self._index.fits(members):
            self._index.take(members)
            del self._windows[guarantee_id]
            return True
        self._index.take(window)
        return False


@dataclass(frozen=True)
class _PackingItem:
    guarantee_id: GuaranteeId
    shape: Shape
    allocation: JobAllocation | None
    stays: bool


def pack_guarantees(
    organisations: Mapping[str, Organisation],
    capacities: Iterable[WorkerCapacity],
    allocations: Mapping[str, list[JobAllocation]],
) -> GuaranteePacking:
    """Find a window for each guarantee that is not fully used.

    At level 0, entitled jobs that run stay where they are. Only if the windows do not all fit
    around them, level 1 lets the checkpointable ones be moved, and level 2 the others as well:
    these can only be in the way if they became entitled after they were placed as borrowers, or
    if the configuration has changed.
    """
    workers = list(capacities)
    best: GuaranteePacking | None = None
    for level in range(3):
        packing = _pack(organisations, workers, allocations, level)
        if best is None or packing.suspended < best.suspended:
            best = packing
        if not best.suspended or not any(allocations.values()):
            break
    assert best is not None
    return best


def _pack(
    organisations: Mapping[str, Organisation],
    capacities: list[WorkerCapacity],
    allocations: Mapping[str, list[JobAllocation]],
    level: int,
) -> GuaranteePacking:
    packing = GuaranteePacking(total_index(capacities, only_eligible=True))
    items: list[_PackingItem] = []
    for name, organisation in organisations.items():
        if not organisation.guarantee:
            continue
        allocation_by_key = {
            allocation.job.key: allocation for allocation in allocations.get(name, [])
        }
        matched = match_guarantees(
            organisation, [allocation.job for allocation in allocation_by_key.values()]
        )
        allocation_by_position = {
            position: allocation_by_key[key] for key, position in matched.items()
        }
        for position, shape in enumerate(organisation.guarantee):
            allocation = allocation_by_position.get(position)
            guarantee_id = (name, position)
            if allocation is None or not allocation.members:
                items.append(_PackingItem(guarantee_id, shape, None, False))
                if allocation is not None:
                    packing.assign(allocation.job.key, guarantee_id)
                continue
            stays = level == 0 or (level == 1 and not allocation.job.spec.checkpointable)
            if stays:
                packing.index.take(allocation.members)
            else:
                packing.set_movable(allocation.job.key)
            packing.assign(allocation.job.key, guarantee_id)
            if not stays or not _uses_fully(allocation.job.spec.shape, shape):
                items.append(_PackingItem(guarantee_id, shape, allocation, stays))
    items.sort(key=lambda item: (decreasing_size(item.shape), item.guarantee_id))
    for item in items:
        _pack_item(packing, item)
    return packing


def _pack_item(packing: GuaranteePacking, item: _PackingItem) -> None:
    index = packing.index
    allocation = item.allocation
    if allocation is not None and item.stays:
        # The job is smaller than its guarantee. The window may overlap with the job's members,
        # because a larger job of the same organisation would take the guarantee over.
        index.release(allocation.members)
    elif allocation is not None and _stays_in_place(index, allocation, item.shape):
        index.take(allocation.members)
        return
    placement = find_placement(index, item.shape)
    if placement is None:
        packing.add_suspended(item.shape)
    else:
        packing.reserve(item.guarantee_id, placement.members)
    if allocation is not None and item.stays:
        index.take(outside(allocation.members, placement.members if placement else ()))


def _stays_in_place(index: FreeIndex, allocation: JobAllocation, guarantee: Shape) -> bool:
    return _uses_fully(allocation.job.spec.shape, guarantee) and index.fits(allocation.members)


def outside(members: Iterable[Member], window: Iterable[Member]) -> tuple[Member, ...]:
    """Return the parts of members that are outside a window.

    A member that is entirely inside is omitted. One that is partly inside keeps all its
    processors and memory. These may be counted twice, which errs towards fewer free resources.
    """
    window_masks = {member.worker: mask_of(member.accelerators) for member in window}
    remaining_members = []
    for member in members:
        mask = window_masks.get(member.worker)
        remaining = tuple(i for i in member.accelerators if mask is None or not mask >> i & 1)
        if remaining or mask is None:
            remaining_members.append(
                Member(member.worker, remaining, member.processors, member.memory_gb)
            )
    return tuple(remaining_members)


def _uses_fully(shape: Shape, guarantee: Shape) -> bool:
    """Return whether a job uses a guarantee fully, so that no larger job could take it over."""
    return (
        shape.accelerators == guarantee.accelerators
        and shape.processors == guarantee.processors
        and shape.memory_gb == guarantee.memory_gb
        and shape.span == guarantee.span
    )
