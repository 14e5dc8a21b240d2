"""Slots that keep room for the unused guarantees around the entitled jobs that run."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hornbeamfold.model import Job, Member, Organisation, Shape, WorkerCapacity
from hornbeamfold.placement.blocks import FreeIndex, mask_of, total_index
from hornbeamfold.placement.fit import find_place
from hornbeamfold.placement.guarantees import decreasing, match

Key = tuple[str, str]
SlotId = tuple[str, int]


@dataclass(frozen=True)
class Holder:
    """An entitled job with the members that it has or has reserved; none if it still waits."""

    job: Job
    members: tuple[Member, ...]


class Packing:
    """The slots of guarantees, and the room that neither slots nor entitled jobs use."""

    def __init__(self, index: FreeIndex) -> None:
        self._index = index
        self._slots: dict[SlotId, tuple[Member, ...]] = {}
        self._slot_ids: dict[Key, SlotId] = {}
        self._movable: set[Key] = set()
        self._suspended: list[Shape] = []

    @property
    def index(self) -> FreeIndex:
        """The room beside the slots and the entitled jobs."""
        return self._index

    @property
    def suspended(self) -> int:
        """The accelerators of the guarantees without a slot; a task without any counts as one."""
        return sum(shape.accelerators or 1 for shape in self._suspended)

    def slot_id(self, key: Key) -> SlotId | None:
        """Return which guarantee a job fills."""
        return self._slot_ids.get(key)

    def slot(self, key: Key) -> tuple[Member, ...]:
        """Return the room kept for the guarantee that a job fills."""
        slot_id = self._slot_ids.get(key)
        return self._slots.get(slot_id, ()) if slot_id is not None else ()

    def is_fixed(self, key: Key) -> bool:
        """Return whether a job is entitled and stays where it is."""
        return key in self._slot_ids and key not in self._movable

    def assign(self, key: Key, slot_id: SlotId) -> None:
        """Let a job fill a guarantee."""
        self._slot_ids[key] = slot_id

    def allow_move(self, key: Key) -> None:
        """Let an entitled job be moved for the guarantees of others."""
        self._movable.add(key)

    def keep(self, slot_id: SlotId, members: tuple[Member, ...]) -> None:
        """Keep room for a guarantee."""
        self._slots[slot_id] = members
        self._index.take(members)

    def suspend(self, shape: Shape) -> None:
        """Note a guarantee that has no slot."""
        self._suspended.append(shape)

    def fill(self, key: Key, members: tuple[Member, ...]) -> bool:
        """Replace the slot of a job by its members, if they fit then."""
        slot_id = self._slot_ids[key]
        slot = self._slots[slot_id]
        self._index.release(slot)
        if self._index.fits(members):
            self._index.take(members)
            del self._slots[slot_id]
            return True
        self._index.take(slot)
        return False


@dataclass(frozen=True)
class _Item:
    slot: SlotId
    shape: Shape
    holder: Holder | None
    stays: bool


def pack_guarantees(
    organisations: Mapping[str, Organisation],
    capacities: Iterable[WorkerCapacity],
    holders: Mapping[str, list[Holder]],
) -> Packing:
    """Find a slot for each guarantee that is not filled.

    Entitled jobs that run stay where they are. Only if the slots do not all fit around them are
    the ones that can checkpoint moved. The last resort moves the others as well: they can only
    be in the way if they became entitled after they were placed as borrowers, or if the
    configuration has changed.
    """
    listed = list(capacities)
    best: Packing | None = None
    for level in range(3):
        packing = _pack(organisations, listed, holders, level)
        if best is None or packing.suspended < best.suspended:
            best = packing
        if not best.suspended or not any(holders.values()):
            break
    assert best is not None
    return best


def _pack(
    organisations: Mapping[str, Organisation],
    capacities: list[WorkerCapacity],
    holders: Mapping[str, list[Holder]],
    level: int,
) -> Packing:
    packing = Packing(total_index(capacities, only_eligible=True))
    items: list[_Item] = []
    for name, organisation in organisations.items():
        if not organisation.guarantee:
            continue
        present = {holder.job.key: holder for holder in holders.get(name, [])}
        matched = match(organisation, [holder.job for holder in present.values()])
        filled = {number: present[key] for key, number in matched.items()}
        for number, shape in enumerate(organisation.guarantee):
            holder = filled.get(number)
            slot = (name, number)
            if holder is None or not holder.members:
                items.append(_Item(slot, shape, None, False))
                if holder is not None:
                    packing.assign(holder.job.key, slot)
                continue
            stays = level == 0 or (level == 1 and not holder.job.spec.checkpointable)
            if stays:
                packing.index.take(holder.members)
            else:
                packing.allow_move(holder.job.key)
            packing.assign(holder.job.key, slot)
            if not stays or not _fills(holder.job.spec.shape, shape):
                items.append(_Item(slot, shape, holder, stays))
    items.sort(key=lambda item: (decreasing(item.shape), item.slot))
    for item in items:
        _pack_item(packing, item)
    return packing


def _pack_item(packing: Packing, item: _Item) -> None:
    index = packing.index
    holder = item.holder
    if holder is not None and item.stays:
        # The job is smaller than its guarantee. The slot may include the job's own room, because
        # a larger job of the same organisation takes the guarantee over from it.
        index.release(holder.members)
    elif holder is not None and _stays_in_place(index, holder, item.shape):
        index.take(holder.members)
        return
    found = find_place(index, item.shape)
    if found is None:
        packing.suspend(item.shape)
    else:
        packing.keep(item.slot, found.members)
    if holder is not None and item.stays:
        index.take(outside(holder.members, found.members if found else ()))


def _stays_in_place(index: FreeIndex, holder: Holder, guarantee: Shape) -> bool:
    return _fills(holder.job.spec.shape, guarantee) and index.fits(holder.members)


def outside(members: Iterable[Member], slot: Iterable[Member]) -> tuple[Member, ...]:
    """Return the parts of members that are not in a slot.

    A member that is wholly inside is left out. One that is partly inside keeps its processors
    and memory, which may count them twice and so errs towards less room.
    """
    inside = {member.worker: mask_of(member.accelerators) for member in slot}
    rest = []
    for member in members:
        mask = inside.get(member.worker)
        left = tuple(i for i in member.accelerators if mask is None or not mask >> i & 1)
        if left or mask is None:
            rest.append(Member(member.worker, left, member.processors, member.memory_gb))
    return tuple(rest)


def _fills(shape: Shape, guarantee: Shape) -> bool:
    """Return whether a job uses so much of a guarantee that no larger job could need it."""
    return (
        shape.accelerators == guarantee.accelerators
        and shape.processors == guarantee.processors
        and shape.memory_gb == guarantee.memory_gb
        and shape.span == guarantee.span
    )
