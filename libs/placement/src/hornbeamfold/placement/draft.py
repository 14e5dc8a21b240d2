"""The working state of one planning call: what is free after the decisions so far."""

from collections.abc import Collection, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field

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
from hornbeamfold.placement.tenants import Key, Tenants


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


@dataclass
class Draft:
    """The room that is left, and the decisions, while a plan is made."""

    state: PlanningState
    now_ms: int
    index: FreeIndex
    active: list[Job]
    queued: list[Job]
    reservations: dict[Key, Reservation]
    entitled: frozenset[Key] = frozenset()
    decisions: list[Decision] = field(default_factory=list)
    placed: list[tuple[Job, tuple[Member, ...]]] = field(default_factory=list)
    placed_keys: set[Key] = field(default_factory=set)
    stopped: set[Key] = field(default_factory=set)
    _tenants: Tenants | None = None
    _entitled_active: dict[str, list[Job]] | None = None

    @property
    def tenants(self) -> Tenants:
        """The tenants of all workers, found when first needed."""
        if self._tenants is None:
            self._tenants = Tenants(self.active, self.state.estimates, self.now_ms)
        return self._tenants

    def entitled_active(self) -> dict[str, list[Job]]:
        """Return the entitled active jobs of each organisation, found when first needed."""
        if self._entitled_active is None:
            self._entitled_active = entitled_active(self.state.organisations, self.active)
        return self._entitled_active

    def find(self, job: Job) -> Placement | None:
        """Return a free place away from workers on which the job failed.

        Those are used only if no others could hold the job: a worker that fails everything is
        always free again at once, and the job would use up its failures there.
        """
        if not job.failed_on:
            return find_place(self.index, job.spec.shape)
        with self.without_failed(job):
            found = find_place(self.index, job.spec.shape)
        if found is not None or self._fits_elsewhere(job):
            return found
        return find_place(self.index, job.spec.shape)

    @contextmanager
    def without_failed(self, job: Job) -> Iterator[None]:
        """Close the workers on which a job failed for the time of a block."""
        shut = [
            Member(name, tuple(range(room.worker.accelerators)), 0, 0)
            for name in sorted(set(job.failed_on))
            if (room := self.index.rooms.get(name)) is not None and not room.held
        ]
        # A slot held for each closed worker also keeps tasks without accelerators away.
        for member in shut:
            self.index.rooms[member.worker].held_slots += self.index.rooms[member.worker].slots
        self.index.hold(shut)
        yield
        for member in shut:
            self.index.rooms[member.worker].held_slots -= self.index.rooms[member.worker].slots
        self.index.hold(shut, -1)

    def _fits_elsewhere(self, job: Job) -> bool:
        others = [one for name, one in self.state.capacities.items() if name not in job.failed_on]
        return not infeasible_reason(job.spec.shape, total_index(others, only_eligible=True))

    def place(self, job: Job, members: tuple[Member, ...], reason: str) -> None:
        """Decide a placement."""
        self.index.take(members)
        self.placed.append((job, members))
        self.placed_keys.add(job.key)
        event = JobPlaced(
            job.spec.organisation, job.spec.job_id, job.attempt, members, self.state.offset
        )
        self.decisions.append(Decision(event, reason))

    def stop(
        self,
        job: Job,
        why: StopReason,
        beneficiary: Key | None,
        window: tuple[Member, ...],
        reason: str,
    ) -> None:
        """Decide a stop; the room stays taken until the members have ended."""
        self.stopped.add(job.key)
        event = JobStopping(
            job.spec.organisation, job.spec.job_id, job.attempt, why, beneficiary, window
        )
        self.decisions.append(Decision(event, reason))
