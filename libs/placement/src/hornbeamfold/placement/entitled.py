"""Placement of entitled jobs, on free resources that no guarantee needs or in reclaimed windows."""

from collections.abc import Iterable
from functools import partial

from hornbeamfold.model import Job, Member, Reservation, StopReason
from hornbeamfold.placement.blocks import FreeIndex, WorkerResources, mask_of
from hornbeamfold.placement.fit import find_placement
from hornbeamfold.placement.occupancy import Key, Occupant
from hornbeamfold.placement.packing import GuaranteePacking, JobAllocation, pack_guarantees
from hornbeamfold.placement.plan_builder import PlanBuilder
from hornbeamfold.placement.reclaim import cheapest_reclaim

# The search for the cheapest window examines all windows, so each plan makes only a few reclaims.
# The others follow in the next plan, which starts as soon as the view has applied these decisions.
MAX_RECLAIMS_PER_PLAN = 4


class EntitledPlacer:
    """Places entitled jobs one at a time; the packing is computed on first use."""

    def __init__(self, builder: PlanBuilder, waiting: Iterable[Job]) -> None:
        self._builder = builder
        self._waiting = waiting
        self._reclaims = 0
        self._packing: GuaranteePacking | None = None

    @property
    def packing(self) -> GuaranteePacking:
        """The windows of the guarantees of all organisations."""
        if self._packing is None:
            waiting = [job for job in self._waiting if not self._builder.is_placed(job.key)]
            self._packing = _pack(self._builder, waiting)
        return self._packing

    def place(self, job: Job) -> None:
        """Place a job, stop borrowers for it, or leave it waiting until a stop is complete."""
        if job.key in self._builder.reservations:
            _use_reservation(self._builder, job)
        elif not _place_on_free_resources(self._builder, self.packing, job):
            self._reclaim(job)

    def _reclaim(self, job: Job) -> None:
        if self._reclaims >= MAX_RECLAIMS_PER_PLAN:
            return
        self._reclaims += 1
        _reclaim(self._builder, self.packing, job)


def valid_reservations(builder: PlanBuilder) -> dict[Key, Reservation]:
    """Return the reservations that can still be used, by beneficiary."""
    queued = {job.key for job in builder.queued}
    return {
        reservation.beneficiary: reservation
        for reservation in builder.state.reservations
        if reservation.until_ms > builder.now_ms
        and reservation.beneficiary in queued
        and all(_becomes_free(builder, member) for member in reservation.members)
    }


def _becomes_free(builder: PlanBuilder, member: Member) -> bool:
    """Return whether a reserved member's accelerators are free or used by stopping jobs."""
    capacity = builder.state.capacities.get(member.worker)
    if capacity is None or not capacity.eligible:
        return False
    occupants = builder.occupancy.by_accelerator(member.worker)
    for accelerator in member.accelerators:
        if capacity.free_mask >> accelerator & 1:
            continue
        occupant = occupants.get(accelerator)
        if occupant is None or not occupant.stopping:
            return False
    return True


def _use_reservation(builder: PlanBuilder, job: Job) -> bool:
    """Place a job in its reservation if all of that is free."""
    reservation = builder.reservations[job.key]
    builder.index.hold(reservation.members, -1)
    if builder.index.fits(reservation.members):
        builder.place(job, reservation.members, "the window reclaimed for it is free")
        return True
    builder.index.hold(reservation.members)
    return False


def _pack(builder: PlanBuilder, waiting: list[Job]) -> GuaranteePacking:
    organisations = builder.state.organisations
    allocations = {
        name: [JobAllocation(job, tuple(status.member for status in job.members)) for job in jobs]
        for name, jobs in builder.entitled_active.items()
    }
    for job in waiting:
        reservation = builder.reservations.get(job.key)
        members = reservation.members if reservation is not None else ()
        allocations.setdefault(job.spec.organisation, []).append(JobAllocation(job, members))
    for allocation in builder.placed:
        allocations.setdefault(allocation.job.spec.organisation, []).append(allocation)
    return pack_guarantees(organisations, builder.state.capacities.values(), allocations)


def _place_on_free_resources(builder: PlanBuilder, packing: GuaranteePacking, job: Job) -> bool:
    placement = builder.find_placement(job)
    if placement is None:
        return False
    if _take_unreserved(builder, packing, job, placement.members):
        builder.place(job, placement.members, "free, and the other guarantees still fit around it")
        return True
    within_window = _members_within_window(builder, packing, job)
    if within_window and builder.index.fits(within_window):
        _take_unreserved(builder, packing, job, within_window)
        builder.place(job, within_window, "free within the window reserved for this guarantee")
        return True
    if job.spec.checkpointable:
        packing.index.take(placement.members)
        builder.place(job, placement.members, "free, and it can be moved for another guarantee")
        return True
    return False


def _take_unreserved(
    builder: PlanBuilder, packing: GuaranteePacking, job: Job, members: tuple[Member, ...]
) -> bool:
    """Take members from the resources that no other guarantee needs, if they fit there."""
    if packing.index.fits(members):
        packing.index.take(members)
        return True
    guarantee_id = packing.guarantee_id(job.key)
    window = packing.window(job.key)
    if guarantee_id is None or not window:
        return False
    guarantee = builder.state.organisations[guarantee_id[0]].guarantee[guarantee_id[1]]
    if job.spec.shape != guarantee:
        return _is_inside(members, window)
    return packing.replace_window(job.key, members)


def _is_inside(members: tuple[Member, ...], window: tuple[Member, ...]) -> bool:
    members_by_worker = {member.worker: member for member in window}
    for member in members:
        window_member = members_by_worker.get(member.worker)
        if window_member is None or not set(member.accelerators) <= set(window_member.accelerators):
            return False
        if (
            member.processors > window_member.processors
            or member.memory_gb > window_member.memory_gb
        ):
            return False
    return True


def _members_within_window(
    builder: PlanBuilder, packing: GuaranteePacking, job: Job
) -> tuple[Member, ...]:
    """Return members for the job within the window of its guarantee; empty if it does not fit."""
    resources_by_region = []
    for member in packing.window(job.key):
        capacity = builder.state.capacities[member.worker]
        mask = mask_of(member.accelerators)
        resources = WorkerResources(capacity.worker, mask, member.processors, member.memory_gb, 1)
        resources_by_region.append((capacity.region, resources))
    placement = (
        find_placement(FreeIndex(resources_by_region), job.spec.shape)
        if resources_by_region
        else None
    )
    return placement.members if placement is not None else ()


def _reclaim(builder: PlanBuilder, packing: GuaranteePacking, job: Job) -> bool:
    """Stop the occupants of the cheapest window; return whether there is one."""
    within_window = _members_within_window(builder, packing, job)

    def is_protected(occupant: Occupant) -> bool:
        return packing.is_fixed(occupant.key)

    window = packing.window(job.key)
    fills_window = bool(window) and within_window == window
    if fills_window:
        packing.index.release(window)
    search = partial(
        cheapest_reclaim,
        job.spec.shape,
        packing.index,
        builder.index,
        builder.occupancy,
        is_protected,
        within_window,
    )
    with builder.excluding_failed_workers(job):
        reclaim = search()
    reclaim = reclaim or (search() if job.failed_on else None)
    if fills_window:
        packing.index.take(window)
    if reclaim is None:
        return False
    _take_unreserved(builder, packing, job, reclaim.window)
    builder.index.hold(reclaim.window)
    for occupant in reclaim.stops:
        if builder.is_stopped(occupant.key):
            continue
        builder.stop(
            occupant.job,
            StopReason.RECLAIM,
            job.key,
            reclaim.window,
            f"cheapest window for {job.spec.organisation}/{job.spec.job_id} "
            f"costs {reclaim.cost / 1000:.0f} accelerator seconds",
        )
    return True
