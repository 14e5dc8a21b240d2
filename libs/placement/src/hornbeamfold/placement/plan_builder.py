"""The working state of one planning call: what is free after the decisions so far."""

from collections.abc import Collection, Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass

from hornbeamfold.model import (
    Job,
    JobJudged,
    JobPlaced,
    JobStopping,
    Member,
    Organisation,
    Reservation,
    StopReason,
    WorkerCapacity,
)
from hornbeamfold.placement.blocks import FreeIndex, total_index
from hornbeamfold.placement.fit import Placement, find_place, infeasible_reason
from hornbeamfold.placement.guarantees import entitled_active
from hornbeamfold.placement.occupancy import Key, Tenants
from hornbeamfold.placement.packing import Holder


@dataclass(frozen=True)
class PlanningState:
    """What a decision depends on: the folded view at one offset of the log."""

    jobs: tuple[Job, ...]
    capacities: Mapping[str, WorkerCapacity]
    organisations: Mapping[str, Organisation]
    reservations: Collection[Reservation]
    estimates: Mapping[Key, float]
    offset: int


@dataclass(frozen=True)
class Decision:
    """An event to append, and why, for the decision log."""

    event: JobPlaced | JobStopping | JobJudged
    reason: str


class Draft:
    """The room that is left, and the decisions, while a plan is made."""

    def __init__(
        self,
        state: PlanningState,
        now_ms: int,
        index: FreeIndex,
        active: Collection[Job],
        queued: Collection[Job],
        decisions: Iterable[Decision] = (),
    ) -> None:
        self._state = state
        self._now_ms = now_ms
        self._index = index
        self._active = active
        self._queued = queued
        self._decisions = list(decisions)
        self._reservations: Mapping[Key, Reservation] = {}
        self._entitled: frozenset[Key] = frozenset()
        self._placed: dict[Key, Holder] = {}
        self._stopped: set[Key] = set()
        self._tenants: Tenants | None = None
        self._entitled_active: dict[str, list[Job]] | None = None

    @property
    def state(self) -> PlanningState:
        """The state that the plan is for."""
        return self._state

    @property
    def now_ms(self) -> int:
        """The time that the plan is for."""
        return self._now_ms

    @property
    def index(self) -> FreeIndex:
        """The room that is left after the decisions so far."""
        return self._index

    @property
    def queued(self) -> Collection[Job]:
        """The queued jobs that a topology in service can hold."""
        return self._queued

    @property
    def decisions(self) -> tuple[Decision, ...]:
        """The decisions so far."""
        return tuple(self._decisions)

    @property
    def placed(self) -> Collection[Holder]:
        """The jobs that this plan places, with their members."""
        return self._placed.values()

    @property
    def stops(self) -> int:
        """The number of jobs that this plan stops."""
        return len(self._stopped)

    @property
    def reservations(self) -> Mapping[Key, Reservation]:
        """The reclaimed windows that are still kept, by beneficiary."""
        return self._reservations

    @property
    def entitled(self) -> frozenset[Key]:
        """The keys of the queued jobs that are entitled."""
        return self._entitled

    @property
    def tenants(self) -> Tenants:
        """The tenants of all workers, found when first needed."""
        if self._tenants is None:
            self._tenants = Tenants(self._active, self._state.estimates, self._now_ms)
        return self._tenants

    @property
    def entitled_active(self) -> Mapping[str, list[Job]]:
        """The entitled active jobs of each organisation, found when first needed."""
        if self._entitled_active is None:
            self._entitled_active = entitled_active(self._state.organisations, self._active)
        return self._entitled_active

    def is_placed(self, key: Key) -> bool:
        """Return whether this plan places the job."""
        return key in self._placed

    def is_stopped(self, key: Key) -> bool:
        """Return whether this plan stops the job."""
        return key in self._stopped

    def keep_reservations(self, reservations: Mapping[Key, Reservation]) -> None:
        """Hold reclaimed windows for their beneficiaries."""
        self._reservations = reservations
        for reservation in reservations.values():
            self._index.hold(reservation.members)

    def entitle(self, keys: frozenset[Key]) -> None:
        """Set which queued jobs are entitled."""
        self._entitled = keys

    def find(self, job: Job) -> Placement | None:
        """Return a free place away from workers on which the job failed.

        Those are used only if no others could hold the job: a worker that fails everything is
        always free again at once, and the job would use up its failures there.
        """
        if not job.failed_on:
            return find_place(self._index, job.spec.shape)
        with self.without_failed(job):
            found = find_place(self._index, job.spec.shape)
        if found is not None or self._fits_elsewhere(job):
            return found
        return find_place(self._index, job.spec.shape)

    @contextmanager
    def without_failed(self, job: Job) -> Iterator[None]:
        """Close the workers on which a job failed for the time of a block."""
        shut = [
            Member(name, tuple(range(room.worker.accelerators)), 0, 0)
            for name in sorted(set(job.failed_on))
            if (room := self._index.rooms.get(name)) is not None and not room.held
        ]
        # A slot held for each closed worker also keeps tasks without accelerators away.
        for member in shut:
            self._index.rooms[member.worker].held_slots += self._index.rooms[member.worker].slots
        self._index.hold(shut)
        yield
        for member in shut:
            self._index.rooms[member.worker].held_slots -= self._index.rooms[member.worker].slots
        self._index.hold(shut, -1)

    def _fits_elsewhere(self, job: Job) -> bool:
        others = [one for name, one in self._state.capacities.items() if name not in job.failed_on]
        return not infeasible_reason(job.spec.shape, total_index(others, only_eligible=True))

    def place(self, job: Job, members: tuple[Member, ...], reason: str) -> None:
        """Decide a placement."""
        self._index.take(members)
        self._placed[job.key] = Holder(job, members)
        event = JobPlaced(
            job.spec.organisation, job.spec.job_id, job.attempt, members, self._state.offset
        )
        self._decisions.append(Decision(event, reason))

    def stop(
        self,
        job: Job,
        why: StopReason,
        beneficiary: Key | None,
        window: tuple[Member, ...],
        reason: str,
    ) -> None:
        """Decide a stop; the room stays taken until the members have ended."""
        self._stopped.add(job.key)
        event = JobStopping(
            job.spec.organisation, job.spec.job_id, job.attempt, why, beneficiary, window
        )
        self._decisions.append(Decision(event, reason))
