"""Accelerators that are reserved for one job until a log time."""

from collections.abc import Mapping
from types import MappingProxyType

from hornbeamfold.model import Reservation
from hornbeamfold.view.capacity import EntityKey, mask_of


class Reservations:
    """The reservations by beneficiary, in the order of their expiry."""

    def __init__(self) -> None:
        self._by_job: dict[EntityKey, Reservation] = {}
        self._masks: dict[str, dict[EntityKey, int]] = {}
        self._view = MappingProxyType(self._by_job)

    @property
    def by_job(self) -> Mapping[EntityKey, Reservation]:
        """The reservation of each beneficiary."""
        return self._view

    def put(self, reservation: Reservation) -> None:
        """Add a reservation or replace the one of the same beneficiary."""
        key = reservation.beneficiary
        self.drop(key)
        self._by_job[key] = reservation
        for member in reservation.members:
            masks = self._masks.setdefault(member.worker, {})
            masks[key] = masks.get(key, 0) | mask_of(member.accelerators)

    def drop(self, key: EntityKey) -> None:
        """Remove the reservation of a beneficiary, if there is one."""
        reservation = self._by_job.pop(key, None)
        if reservation is None:
            return
        for worker in {member.worker for member in reservation.members}:
            masks = self._masks[worker]
            del masks[key]
            if not masks:
                del self._masks[worker]

    def drop_on(self, worker: str) -> None:
        """Remove the reservations that include a worker that can no longer be used."""
        for key in tuple(self._masks.get(worker, ())):
            self.drop(key)

    def expire(self, at_ms: int) -> None:
        """Remove the reservations that have expired at a log time."""
        while self._by_job:
            key = next(iter(self._by_job))
            if self._by_job[key].until_ms > at_ms:
                return
            self.drop(key)

    def mask_for_others(self, worker: str, key: EntityKey) -> int:
        """Return the mask of the accelerators of a worker that are reserved for other jobs."""
        mask = 0
        for beneficiary, reserved in self._masks.get(worker, {}).items():
            if beneficiary != key:
                mask |= reserved
        return mask
