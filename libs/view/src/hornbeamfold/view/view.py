"""The cluster view: the state that all instances fold from the same log."""

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
from hornbeamfold.view.capacity import JobKey
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
from hornbeamfold.view.state import State
from hornbeamfold.view.verdict import Verdict, invalid

Fold = Callable[[State, Any], Verdict]


def fold_snapshot_part(state: State, event: SnapshotPart) -> Verdict:
    """Accept a part of a snapshot, which changes nothing."""
    if not 0 <= event.part < event.parts:
        return invalid(f"there is no part {event.part} of {event.parts}")
    return None


def folds(fit: GuaranteesFit) -> Mapping[type, Fold]:
    """Return the fold function for each type of event."""
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
    """Folds log entries; all mappings are live and must not be kept across a switch of threads.

    `guarantees_fit` must be the same function in all instances, because verdicts depend on it.
    """

    def __init__(
        self, guarantees_fit: GuaranteesFit = always_fits, state: State | None = None
    ) -> None:
        self._state = state if state is not None else State()
        self._folds = folds(guarantees_fit)

    @property
    def state(self) -> State:
        """The folded state, for the modules of this library only."""
        return self._state

    @property
    def offset(self) -> int:
        """One past the offset of the last folded entry."""
        return self._state.offset

    @property
    def at_ms(self) -> int:
        """The time of the log at the last folded entry; it never goes back."""
        return self._state.at_ms

    @property
    def configuration_offset(self) -> int:
        """The offset of the last accepted change of configuration, -1 if there was none."""
        return self._state.configuration_offset

    @property
    def workers_version(self) -> int:
        """The version that a change of workers or drains must expect."""
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
        """The names of the workers that drain."""
        return frozenset(self._state.draining)

    @property
    def jobs(self) -> Mapping[JobKey, Job]:
        """All jobs, with those that ended within the last hour."""
        return MappingProxyType(self._state.jobs)

    @property
    def queued(self) -> Mapping[JobKey, Job]:
        """The queued jobs in the order in which they were queued."""
        return MappingProxyType(self._state.queued)

    @property
    def active(self) -> Mapping[JobKey, Job]:
        """The jobs that are placed, run or are being stopped."""
        return MappingProxyType(self._state.active)

    @property
    def unsettled(self) -> Mapping[JobKey, Job]:
        """The jobs that are placed and do not run yet, or that are being stopped."""
        return MappingProxyType(self._state.unsettled)

    @property
    def claims(self) -> Mapping[JobKey, Claim]:
        """The claims by organisation and request id."""
        return MappingProxyType(self._state.claims)

    @property
    def open_claims(self) -> Mapping[JobKey, Claim]:
        """The claims whose requests have not ended."""
        return MappingProxyType(self._state.open_claims)

    @property
    def capacities(self) -> Mapping[str, WorkerCapacity]:
        """What is free on each worker."""
        return self._state.capacities.by_name

    @property
    def reservations(self) -> Mapping[JobKey, Reservation]:
        """The reservations by beneficiary; the last entry's time decides which have expired."""
        return self._state.reservations.by_job

    @property
    def estimates(self) -> Mapping[JobKey, float]:
        """The learned factors on declared run times, by organisation and kind."""
        return self._state.estimates.by_kind

    def tasks_on(self, worker: str) -> tuple[Job, ...]:
        """Return the active jobs with a member on a worker."""
        jobs = self._state.jobs
        return tuple(jobs[key] for key in self._state.capacities.held_on(worker))

    def apply(self, entry: Entry) -> tuple[Applied, ...]:
        """Fold one entry and return the verdict on each of its events.

        Returns nothing for an entry before `offset` and for a record that was folded before.
        """
        state = self._state
        if entry.offset < state.offset:
            return ()
        if entry.offset > state.offset:
            raise HornbeamfoldError(
                ErrorKind.INTERNAL,
                f"entries {state.offset} to {entry.offset - 1} are missing; load a snapshot",
            )
        state.offset = entry.offset + 1
        state.at_ms = max(state.at_ms, entry.at_ms)
        state.expire()
        if not state.accept_sequence(entry.record.writer, entry.record.seq):
            return ()
        return tuple(self._fold(event) for event in entry.record.events)

    def digest(self) -> str:
        """Return a digest of all state that decides later verdicts; encodes the whole state."""
        return digest_of(encode_state(self._state))

    def _fold(self, event: Event) -> Applied:
        refused = self._folds[type(event)](self._state, event)
        if refused is None:
            return Applied(event, True)
        return Applied(event, False, refused.kind, refused.detail)
