"""The cluster view: the state that every instance folds from the same log."""

from collections.abc import Callable, Mapping
from functools import partial
from types import MappingProxyType
from typing import Any

from hornbeamfold.model import (
    Applied,
    AvailabilityZone,
    Claim,
    ClaimDone,
    ClaimMade,
    ClaimMoved,
    ClaimReleased,
    Entry,
    ErrorKind,
    Event,
    HornbeamfoldError,
    Job,
    JobCancelled,
    JobJudged,
    JobPlaced,
    JobStopping,
    JobSubmitted,
    MembersReported,
    Organisation,
    OrganisationPut,
    OrganisationRemoved,
    Reservation,
    SnapshotPart,
    TargetDrain,
    Worker,
    WorkerCapacity,
    WorkersPut,
    ZoneSet,
)
from hornbeamfold.view.capacity import EntityKey
from hornbeamfold.view.encoding import digest_of, encode_state
from hornbeamfold.view.fold_claims import (
    fold_claim_done,
    fold_claim_made,
    fold_claim_moved,
    fold_claim_released,
)
from hornbeamfold.view.fold_config import (
    GuaranteesFit,
    always_fits,
    fold_organisation_put,
    fold_organisation_removed,
    fold_target_drain,
    fold_workers_put,
    fold_zone_set,
)
from hornbeamfold.view.fold_jobs import (
    fold_job_cancelled,
    fold_job_judged,
    fold_job_placed,
    fold_job_stopping,
    fold_job_submitted,
)
from hornbeamfold.view.fold_members import fold_members_reported
from hornbeamfold.view.results import FoldResult, invalid
from hornbeamfold.view.state import State

Fold = Callable[[State, Any], FoldResult]


def fold_snapshot_part(state: State, event: SnapshotPart) -> FoldResult:
    """Accept a part of a snapshot, which does not change the state."""
    if not 0 <= event.part < event.parts:
        return invalid(
            f"snapshot part {event.part} is out of range: the snapshot has {event.parts} parts"
        )
    return None


def fold_functions(fit: GuaranteesFit) -> Mapping[type, Fold]:
    """Return the fold function for each event type."""
    return {
        OrganisationPut: partial(fold_organisation_put, fit=fit),
        OrganisationRemoved: fold_organisation_removed,
        ZoneSet: fold_zone_set,
        WorkersPut: partial(fold_workers_put, fit=fit),
        TargetDrain: fold_target_drain,
        JobSubmitted: fold_job_submitted,
        JobCancelled: fold_job_cancelled,
        JobPlaced: fold_job_placed,
        JobStopping: fold_job_stopping,
        JobJudged: fold_job_judged,
        MembersReported: fold_members_reported,
        ClaimMade: fold_claim_made,
        ClaimMoved: fold_claim_moved,
        ClaimDone: fold_claim_done,
        ClaimReleased: fold_claim_released,
        SnapshotPart: fold_snapshot_part,
    }


class View:
    """Folds log entries into the cluster view.

    All mappings are live and must not be kept across a switch of green threads. `guarantees_fit`
    must be the same function in all instances, because the results of events depend on it.
    """

    def __init__(
        self, guarantees_fit: GuaranteesFit = always_fits, state: State | None = None
    ) -> None:
        self._state = state if state is not None else State()
        self._folds = fold_functions(guarantees_fit)

    @property
    def state(self) -> State:
        """The folded state, for use within this library only."""
        return self._state

    @property
    def offset(self) -> int:
        """One past the offset of the last folded entry."""
        return self._state.offset

    @property
    def at_ms(self) -> int:
        """The log time of the last folded entry; it never decreases."""
        return self._state.at_ms

    @property
    def configuration_offset(self) -> int:
        """The offset of the last accepted configuration change, -1 if there was none."""
        return self._state.configuration_offset

    @property
    def workers_version(self) -> int:
        """The version that the next change of workers or drains has to name as expected."""
        return self._state.workers_version

    @property
    def organisations(self) -> Mapping[str, Organisation]:
        """The organisations by name."""
        return MappingProxyType(self._state.organisations)

    @property
    def zones(self) -> Mapping[str, AvailabilityZone]:
        """The availability zones by name."""
        return MappingProxyType(self._state.zones)

    @property
    def workers(self) -> Mapping[str, Worker]:
        """The workers by name."""
        return MappingProxyType(self._state.workers)

    @property
    def draining(self) -> frozenset[str]:
        """The names of the draining workers."""
        return frozenset(self._state.draining)

    @property
    def jobs(self) -> Mapping[EntityKey, Job]:
        """All jobs, including those that ended within the last hour."""
        return MappingProxyType(self._state.jobs)

    @property
    def queued(self) -> Mapping[EntityKey, Job]:
        """The queued jobs in the order in which they were queued."""
        return MappingProxyType(self._state.queued)

    @property
    def active(self) -> Mapping[EntityKey, Job]:
        """The jobs that are placed, running or stopping."""
        return MappingProxyType(self._state.active)

    @property
    def transitional(self) -> Mapping[EntityKey, Job]:
        """The jobs that are placed but not running yet, or stopping."""
        return MappingProxyType(self._state.transitional)

    @property
    def claims(self) -> Mapping[EntityKey, Claim]:
        """The claims by organisation and request id."""
        return MappingProxyType(self._state.claims)

    @property
    def open_claims(self) -> Mapping[EntityKey, Claim]:
        """The claims whose requests have not ended."""
        return MappingProxyType(self._state.open_claims)

    @property
    def capacities(self) -> Mapping[str, WorkerCapacity]:
        """The free capacity of each worker."""
        return self._state.capacities.by_name

    @property
    def reservations(self) -> Mapping[EntityKey, Reservation]:
        """The reservations by beneficiary that have not expired at the last entry's log time."""
        return self._state.reservations.by_job

    @property
    def estimates(self) -> Mapping[EntityKey, float]:
        """The learned correction factors of declared run times, by organisation and kind."""
        return self._state.estimates.by_kind

    def jobs_on(self, worker: str) -> tuple[Job, ...]:
        """Return the active jobs that have a member on a worker."""
        jobs = self._state.jobs
        return tuple(jobs[key] for key in self._state.capacities.allocated_on(worker))

    def apply(self, entry: Entry) -> tuple[Applied, ...]:
        """Fold one entry and return the result for each of its events.

        Returns no results for an entry before `offset`, nor for a record that was folded before.
        """
        state = self._state
        if entry.offset < state.offset:
            return ()
        if entry.offset > state.offset:
            raise HornbeamfoldError(
                ErrorKind.INTERNAL,
                f"log entries {state.offset} to {entry.offset - 1} are missing; load a snapshot",
            )
        state.offset = entry.offset + 1
        state.at_ms = max(state.at_ms, entry.at_ms)
        state.expire()
        if not state.accept_sequence(entry.record.writer, entry.record.seq):
            return ()
        return tuple(self._fold(event) for event in entry.record.events)

    def digest(self) -> str:
        """Return a digest of the whole state; this encodes all of it, which takes time."""
        return digest_of(encode_state(self._state))

    def _fold(self, event: Event) -> Applied:
        refused = self._folds[type(event)](self._state, event)
        if refused is None:
            return Applied(event, True)
        return Applied(event, False, refused.kind, refused.detail)
