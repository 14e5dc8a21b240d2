"""The working state of one planning pass: the free resources after the decisions so far."""

from collections.abc import Collection, Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, replace

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
from hornbeamfold.placement.fit import Placement, find_placement, infeasibility_reason
from hornbeamfold.placement.guarantees import entitled_active
from hornbeamfold.placement.occupancy import Key, Occupancy
from hornbeamfold.placement.packing import JobAllocation


@dataclass(frozen=True)
class PlanningState:
    """The input of a planning pass: the state of the view at one offset of the log."""

    jobs: tuple[Job, ...]
    capacities: Mapping[str, WorkerCapacity]
    organisations: Mapping[str, Organisation]
    reservations: Collection[Reservation]
    estimates: Mapping[Key, float]
    offset: int


@dataclass(frozen=True)
class Decision:
    """An event to append, and the reason for the decision log."""

    event: JobPlaced | JobStopping | JobJudged
    reason: str


class PlanBuilder:
    """Collects the decisions of a plan and tracks the resources that remain free."""

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
        self._placed: dict[Key, JobAllocation] = {}
        self._stopped: set[Key] = set()
        self._occupancy: Occupancy | None = None
        self._entitled_active: dict[str, list[Job]] | None = None

    @property
    def state(self) -> PlanningState:
        """The state that the plan is computed for."""
        return self._state

    @property
    def now_ms(self) -> int:
        """The time that the plan is computed for."""
        return self._now_ms

    @property
    def index(self) -> FreeIndex:
        """The resources that are free after the decisions so far."""
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
    def placed(self) -> Collection[JobAllocation]:
        """The jobs that this plan places, with their members."""
        return self._placed.values()

    @property
    def stop_count(self) -> int:
        """The number of jobs that this plan stops."""
        return len(self._stopped)

    @property
    def reservations(self) -> Mapping[Key, Reservation]:
        """The reclaimed windows that are still reserved, by beneficiary."""
        return self._reservations

    @property
    def entitled(self) -> frozenset[Key]:
        """The keys of the queued jobs that are entitled."""
        return self._entitled

    @property
    def occupancy(self) -> Occupancy:
        """The occupants of all workers, computed on first use."""
        if self._occupancy is None:
            self._occupancy = Occupancy(self._active, self._state.estimates, self._now_ms)
        return self._occupancy

    @property
    def entitled_active(self) -> Mapping[str, list[Job]]:
        """The entitled active jobs of each organisation, computed on first use."""
        if self._entitled_active is None:
            self._entitled_active = entitled_active(self._state.organisations, self._active)
        return self._entitled_active

    def is_placed(self, key: Key) -> bool:
        """Return whether this plan places the job."""
        return key in self._placed

    def is_stopped(self, key: Key) -> bool:
        """Return whether this plan stops the job."""
        return key in self._stopped

    def hold_reservations(self, reservations: Mapping[Key, Reservation]) -> None:
        """Hold reclaimed windows for their beneficiaries."""
        self._reservations = reservations
        for reservation in reservations.values():
            self._index.hold(reservation.members)

    def set_entitled(self, keys: frozenset[Key]) -> None:
        """Set which queued jobs are entitled."""
        self._entitled = keys

    def find_placement(self, job: Job) -> Placement | None:
        """Return a free placement that avoids the workers on which the job failed.

        Those are used only if no other workers could hold the job: a worker on which every task
        fails is free again at once, and the job would use up its allowed failures there.
        """
        if not job.failed_on:
            return find_placement(self._index, job.spec.shape)
        with self.excluding_failed_workers(job):
            placement = find_placement(self._index, job.spec.shape)
        if placement is not None or self._fits_elsewhere(job):
            return placement
        return find_placement(self._index, job.spec.shape)

    @contextmanager
    def excluding_failed_workers(self, job: Job) -> Iterator[None]:
        """Exclude the workers on which a job failed while the context is active."""
        excluded = [
            Member(name, tuple(range(resources.worker.accelerators)), 0, 0)
            for name in sorted(set(job.failed_on))
            if (resources := self._index.workers.get(name)) is not None and not resources.held_mask
        ]
        # Holding the slots of the excluded workers also excludes tasks without accelerators.
        for member in excluded:
            self._index.workers[member.worker].held_slots += self._index.workers[
                member.worker
            ].slots
        self._index.hold(excluded)
        yield
        for member in excluded:
            self._index.workers[member.worker].held_slots -= self._index.workers[
                member.worker
            ].slots
        self._index.hold(excluded, -1)

    def _fits_elsewhere(self, job: Job) -> bool:
        # The workers that are left out keep their positions: those beside them are not adjacent.
        other_capacities = [
            replace(capacity, eligible=capacity.eligible and name not in job.failed_on)
            for name, capacity in self._state.capacities.items()
        ]
        return not infeasibility_reason(
            job.spec.shape, total_index(other_capacities, only_eligible=True)
        )

    def place(self, job: Job, members: tuple[Member, ...], reason: str) -> None:
        """Add the decision to place a job."""
        self._index.take(members)
        self._placed[job.key] = JobAllocation(job, members)
        event = JobPlaced(
            job.spec.organisation, job.spec.job_id, job.attempt, members, self._state.offset
        )
        self._decisions.append(Decision(event, reason))

    def stop(
        self,
        job: Job,
        stop_reason: StopReason,
        beneficiary: Key | None,
        window: tuple[Member, ...],
        reason: str,
    ) -> None:
        """Add the decision to stop a job; its resources stay in use until its members end."""
        self._stopped.add(job.key)
        event = JobStopping(
            job.spec.organisation, job.spec.job_id, job.attempt, stop_reason, beneficiary, window
        )
        self._decisions.append(Decision(event, reason))
