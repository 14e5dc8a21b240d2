"""What is free on each worker, kept up to date member by member."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from hornbeamfold.model import Member, Worker, WorkerCapacity, check

JobKey = tuple[str, str]


def mask_of(accelerators: Iterable[int]) -> int:
    """Return the bit mask of accelerator indices."""
    mask = 0
    for index in accelerators:
        mask |= 1 << index
    return mask


def capacity_of(
    worker: Worker, region: str, eligible: bool, members: Iterable[Member] = ()
) -> WorkerCapacity:
    """Return what the given members leave free on a worker."""
    held = list(members)
    mask = (1 << worker.accelerators) - 1
    for member in held:
        mask &= ~mask_of(member.accelerators)
    return WorkerCapacity(
        worker=worker,
        region=region,
        free_mask=mask,
        free_processors=worker.processors - sum(m.processors for m in held),
        free_memory_gb=worker.memory_gb - sum(m.memory_gb for m in held),
        free_slots=worker.slots - len(held),
        eligible=eligible,
    )


class Capacities:
    """The capacity of every worker and the members that hold parts of it."""

    def __init__(self) -> None:
        self._capacities: dict[str, WorkerCapacity] = {}
        self._idle: dict[str, WorkerCapacity] = {}
        self._by_zone: dict[str, dict[str, None]] = {}
        self._held: dict[str, dict[JobKey, Member]] = {}
        self._view = MappingProxyType(self._capacities)

    @property
    def by_name(self) -> Mapping[str, WorkerCapacity]:
        """The capacity of each worker."""
        return self._view

    @property
    def idle(self) -> Mapping[str, WorkerCapacity]:
        """The capacity of each worker if nothing ran and all were in service.

        Guarantees are checked against this. It is kept because building it for 1,900 workers
        takes more than 5 ms.
        """
        return MappingProxyType(self._idle)

    def in_zone(self, zone: str) -> tuple[str, ...]:
        """Return the names of the workers of an availability zone."""
        return tuple(self._by_zone.get(zone, ()))

    def held_on(self, worker: str) -> Mapping[JobKey, Member]:
        """Return the members on a worker by the key of their job."""
        return self._held.get(worker, {})

    def put_worker(self, worker: Worker, region: str, eligible: bool) -> None:
        """Add or replace a worker; its members stay."""
        before = self._capacities.get(worker.name)
        if before is not None:
            self._leave_zone(before.worker)
        self._by_zone.setdefault(worker.availability_zone, {})[worker.name] = None
        members = self._held.setdefault(worker.name, {})
        self._idle[worker.name] = capacity_of(worker, region, True)
        self._capacities[worker.name] = capacity_of(worker, region, eligible, members.values())

    def remove_worker(self, name: str) -> None:
        """Remove a worker that holds no members."""
        self._leave_zone(self._capacities.pop(name).worker)
        del self._held[name]
        del self._idle[name]

    def set_eligible(self, name: str, eligible: bool) -> None:
        """Say whether new work may be placed on a worker."""
        before = self._capacities[name]
        if before.eligible == eligible:
            return
        self._capacities[name] = WorkerCapacity(
            before.worker,
            before.region,
            before.free_mask,
            before.free_processors,
            before.free_memory_gb,
            before.free_slots,
            eligible,
        )

    def hold(self, key: JobKey, member: Member) -> None:
        """Take what a member needs on its worker."""
        mask = mask_of(member.accelerators)
        held = self._held[member.worker]
        # Compares with the members and not with the free mask, so that the two check each other.
        for other, other_member in held.items():
            if mask & mask_of(other_member.accelerators):
                check("I3", False, f"accelerators of {member.worker} held by {other} and {key}")
        held[key] = member
        self._change(member, -1, self._capacities[member.worker].free_mask & ~mask)

    def release(self, key: JobKey, member: Member) -> None:
        """Give back what a member held on its worker."""
        del self._held[member.worker][key]
        mask = mask_of(member.accelerators)
        self._change(member, 1, self._capacities[member.worker].free_mask | mask)

    def _change(self, member: Member, sign: int, free_mask: int) -> None:
        before = self._capacities[member.worker]
        self._capacities[member.worker] = WorkerCapacity(
            before.worker,
            before.region,
            free_mask,
            before.free_processors + sign * member.processors,
            before.free_memory_gb + sign * member.memory_gb,
            before.free_slots + sign,
            before.eligible,
        )

    def _leave_zone(self, worker: Worker) -> None:
        names = self._by_zone[worker.availability_zone]
        del names[worker.name]
        if not names:
            del self._by_zone[worker.availability_zone]
