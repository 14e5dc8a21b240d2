"""Slots that keep room for the unused guarantees around the entitled jobs that run."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

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


@dataclass
class Packing:
    """The slots of guarantees, and the room that neither slots nor entitled jobs use."""

    index: FreeIndex
    slots: dict[SlotId, tuple[Member, ...]] = field(default_factory=dict)
    slot_of: dict[Key, SlotId] = field(default_factory=dict)
    suspended: list[SlotId] = field(default_factory=list)
    suspended_accelerators: int = 0
    movable: frozenset[Key] = frozenset()


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
        if best is None or packing.suspended_accelerators < best.suspended_accelerators:
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
    movable: set[Key] = set()
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
                    packing.slot_of[holder.job.key] = slot
                continue
            stays = level == 0 or (level == 1 and not holder.job.spec.checkpointable)
            if stays:
                packing.index.take(holder.members)
            else:
                movable.add(holder.job.key)
            packing.slot_of[holder.job.key] = slot
            if not stays or not _fills(holder.job.spec.shape, shape):
                items.append(_Item(slot, shape, holder, stays))
    packing.movable = frozenset(movable)
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
        packing.suspended.append(item.slot)
        packing.suspended_accelerators += item.shape.accelerators or 1
    else:
        packing.slots[item.slot] = found.members
        index.take(found.members)
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
