"""Places for entitled jobs: free ones that keep the guarantees whole, or reclaimed ones."""

from collections.abc import Iterable
from functools import partial

from hornbeamfold.model import Job, Member, Reservation, StopReason
from hornbeamfold.placement.blocks import FreeIndex, WorkerRoom, mask_of
from hornbeamfold.placement.fit import find_place
from hornbeamfold.placement.occupancy import Key, Tenant
from hornbeamfold.placement.packing import Holder, Packing, pack_guarantees
from hornbeamfold.placement.plan_builder import Draft
from hornbeamfold.placement.reclaim import cheapest_reclaim

# A search for the cheapest window looks at all of them. Further reclaims follow in the next call,
# which comes as soon as the decisions of this one are folded.
RECLAIMS_PER_PLAN = 4


class EntitledPlacer:
    """Places entitled jobs one at a time; the packing is made when the first one needs it."""

    def __init__(self, draft: Draft, waiting: Iterable[Job]) -> None:
        self._draft = draft
        self._waiting = waiting
        self._reclaims = 0
        self._packing: Packing | None = None

    @property
    def packing(self) -> Packing:
        """The slots for the guarantees of all organisations."""
        if self._packing is None:
            waiting = [job for job in self._waiting if not self._draft.is_placed(job.key)]
            self._packing = _pack(self._draft, waiting)
        return self._packing

    def place(self, job: Job) -> None:
        """Place a job, or stop borrowers for it, or leave it waiting for a stop to end."""
        if job.key in self._draft.reservations:
            _use_reservation(self._draft, job)
        elif not _place_free(self._draft, self.packing, job):
            self._reclaim(job)

    def _reclaim(self, job: Job) -> None:
        if self._reclaims >= RECLAIMS_PER_PLAN:
            return
        self._reclaims += 1
        _reclaim(self._draft, self.packing, job)


def valid_reservations(draft: Draft) -> dict[Key, Reservation]:
    """Return the reservations that can still be used, by beneficiary."""
    queued = {job.key for job in draft.queued}
    return {
        reservation.beneficiary: reservation
        for reservation in draft.state.reservations
        if reservation.until_ms > draft.now_ms
        and reservation.beneficiary in queued
        and all(_becomes_free(draft, member) for member in reservation.members)
    }


def _becomes_free(draft: Draft, member: Member) -> bool:
    """Return whether a reserved member's accelerators are free or held by jobs that stop."""
    capacity = draft.state.capacities.get(member.worker)
    if capacity is None or not capacity.eligible:
        return False
    cells = draft.tenants.on_cells(member.worker)
    for cell in member.accelerators:
        if capacity.free_mask >> cell & 1:
            continue
        tenant = cells.get(cell)
        if tenant is None or not tenant.stopping:
            return False
    return True


def _use_reservation(draft: Draft, job: Job) -> bool:
    """Place a job into its reservation if that is free."""
    reservation = draft.reservations[job.key]
    draft.index.hold(reservation.members, -1)
    if draft.index.fits(reservation.members):
        draft.place(job, reservation.members, "the window reclaimed for it is free")
        return True
    draft.index.hold(reservation.members)
    return False


def _pack(draft: Draft, waiting: list[Job]) -> Packing:
    organisations = draft.state.organisations
    holders = {
        name: [Holder(job, tuple(status.member for status in job.members)) for job in jobs]
        for name, jobs in draft.entitled_active.items()
    }
    for job in waiting:
        reservation = draft.reservations.get(job.key)
        members = reservation.members if reservation is not None else ()
        holders.setdefault(job.spec.organisation, []).append(Holder(job, members))
    for holder in draft.placed:
        holders.setdefault(holder.job.spec.organisation, []).append(holder)
    return pack_guarantees(organisations, draft.state.capacities.values(), holders)


def _place_free(draft: Draft, packing: Packing, job: Job) -> bool:
    found = draft.find(job)
    if found is None:
        return False
    if _admit(draft, packing, job, found.members):
        draft.place(job, found.members, "free, and the other guarantees still fit around it")
        return True
    part = _part_of_slot(draft, packing, job)
    if part and draft.index.fits(part):
        _admit(draft, packing, job, part)
        draft.place(job, part, "free within the room kept for this guarantee")
        return True
    if job.spec.checkpointable:
        packing.index.take(found.members)
        draft.place(job, found.members, "free, and it can be moved for another guarantee")
        return True
    return False


def _admit(draft: Draft, packing: Packing, job: Job, members: tuple[Member, ...]) -> bool:
    """Take members out of the room beside the guarantees, if they fit there."""
    if packing.index.fits(members):
        packing.index.take(members)
        return True
    slot_id = packing.slot_id(job.key)
    slot = packing.slot(job.key)
    if slot_id is None or not slot:
        return False
    guarantee = draft.state.organisations[slot_id[0]].guarantee[slot_id[1]]
    if job.spec.shape != guarantee:
        return _inside(members, slot)
    return packing.fill(job.key, members)


def _inside(members: tuple[Member, ...], slot: tuple[Member, ...]) -> bool:
    kept = {member.worker: member for member in slot}
    for member in members:
        room = kept.get(member.worker)
        if room is None or not set(member.accelerators) <= set(room.accelerators):
            return False
        if member.processors > room.processors or member.memory_gb > room.memory_gb:
            return False
    return True


def _part_of_slot(draft: Draft, packing: Packing, job: Job) -> tuple[Member, ...]:
    """Return a place for the job within the slot of its guarantee."""
    rooms = []
    for member in packing.slot(job.key):
        capacity = draft.state.capacities[member.worker]
        mask = mask_of(member.accelerators)
        room = WorkerRoom(capacity.worker, mask, member.processors, member.memory_gb, 1)
        rooms.append((capacity.region, room))
    found = find_place(FreeIndex(rooms), job.spec.shape) if rooms else None
    return found.members if found is not None else ()


def _reclaim(draft: Draft, packing: Packing, job: Job) -> bool:
    """Stop the tenants of the cheapest window; return whether there is one."""
    part = _part_of_slot(draft, packing, job)

    def protected(tenant: Tenant) -> bool:
        return packing.is_fixed(tenant.key)

    slot = packing.slot(job.key)
    exact = bool(slot) and part == slot
    if exact:
        packing.index.release(slot)
    window = partial(
        cheapest_reclaim,
        job.spec.shape,
        packing.index,
        draft.index,
        draft.tenants,
        protected,
        part,
    )
    with draft.without_failed(job):
        found = window()
    found = found or (window() if job.failed_on else None)
    if exact:
        packing.index.take(slot)
    if found is None:
        return False
    _admit(draft, packing, job, found.window)
    draft.index.hold(found.window)
    for tenant in found.stops:
        if draft.is_stopped(tenant.key):
            continue
        draft.stop(
            tenant.job,
            StopReason.RECLAIM,
            job.key,
            found.window,
            f"cheapest window for {job.spec.organisation}/{job.spec.job_id} "
            f"costs {found.cost / 1000:.0f} accelerator seconds",
        )
    return True
