"""Tracks the free capacity of each worker as gang members are allocated and released."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from hornbeamfold.model import Member, Worker, WorkerCapacity, check_invariant

# An organisation and the id of one of its jobs or requests, or one of its job kinds.
EntityKey = tuple[str, str]


def mask_of(accelerators: Iterable[int]) -> int:
    """Return the bit mask of accelerator indices."""
    mask = 0
    for index in accelerators:
        mask |= 1 << index
    return mask


def capacity_of(
    worker: Worker, region: str, eligible: bool, members: Iterable[Member] = ()
) -> WorkerCapacity:
    """Return the capacity of a worker that is free while the given members are allocated."""
    allocated = list(members)
    mask = (1 << worker.accelerators) - 1
    for member in allocated:
        mask &= ~mask_of(member.accelerators)
    return WorkerCapacity(
        worker=worker,
        region=region,
        free_mask=mask,
        free_processors=worker.processors - sum(m.processors for m in allocated),
        free_memory_gb=worker.memory_gb - sum(m.memory_gb for m in allocated),
        free_slots=worker.slots - len(allocated),
        eligible=eligible,
    )


class Capacities:
    """The free capacity of every worker and the members allocated on it."""

    def __init__(self) -> None:
        self._capacities: dict[str, WorkerCapacity] = {}
        self._total: dict[str, WorkerCapacity] = {}
        self._by_zone: dict[str, dict[str, None]] = {}
        self._allocated: dict[str, dict[EntityKey, Member]] = {}
        self._view = MappingProxyType(self._capacities)

    @property
    def by_name(self) -> Mapping[str, WorkerCapacity]:
        """The free capacity of each worker, by its name."""
        return self._view

    @property
    def total(self) -> Mapping[str, WorkerCapacity]:
        """The capacity of each worker with nothing allocated and all workers eligible.

        Guarantees are checked against this. It is cached because building it for 1,900 workers
        takes more than 5 ms.
        """
        return MappingProxyType(self._total)

    def in_zone(self, zone: str) -> tuple[str, ...]:
        """Return the names of the workers of an availability zone."""
        return tuple(self._by_zone.get(zone, ()))

    def allocated_on(self, worker: str) -> Mapping[EntityKey, Member]:
        """Return the members allocated on a worker, by the key of their job."""
        return self._allocated.get(worker, {})

    def put_worker(self, worker: Worker, region: str, eligible: bool) -> None:
        """Add or replace a worker; members allocated on it are kept."""
        before = self._capacities.get(worker.name)
        if before is not None:
            self._remove_from_zone(before.worker)
        self._by_zone.setdefault(worker.availability_zone, {})[worker.name] = None
        members = self._allocated.setdefault(worker.name, {})
        self._total[worker.name] = capacity_of(worker, region, True)
        self._capacities[worker.name] = capacity_of(worker, region, eligible, members.values())

    def remove_worker(self, name: str) -> None:
        """Remove a worker that has no members allocated."""
        self._remove_from_zone(self._capacities.pop(name).worker)
        del self._allocated[name]
        del self._total[name]

    def set_eligible(self, name: str, eligible: bool) -> None:
        """Set whether new work may be placed on a worker."""
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

    def allocate(self, key: EntityKey, member: Member) -> None:
        """Allocate the resources of a member on its worker."""
        mask = mask_of(member.accelerators)
        allocated = self._allocated[member.worker]
        # Compares with the other members instead of the free mask, so that each verifies the other.
        for other, other_member in allocated.items():
            if mask & mask_of(other_member.accelerators):
                check_invariant(
                    "I3",
                    False,
                    f"accelerators of {member.worker} allocated to both {other} and {key}",
                )
        allocated[key] = member
        self._adjust(member, -1, self._capacities[member.worker].free_mask & ~mask)

    def release(self, key: EntityKey, member: Member) -> None:
        """Release the resources of a member on its worker."""
        del self._allocated[member.worker][key]
        mask = mask_of(member.accelerators)
        self._adjust(member, 1, self._capacities[member.worker].free_mask | mask)

    def _adjust(self, member: Member, sign: int, free_mask: int) -> None:
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

    def _remove_from_zone(self, worker: Worker) -> None:
        names = self._by_zone[worker.availability_zone]
        del names[worker.name]
        if not names:
            del self._by_zone[worker.availability_zone]
