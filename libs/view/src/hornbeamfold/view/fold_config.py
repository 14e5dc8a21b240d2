"""Folds configuration changes: organisations, availability zones, workers and drains."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from hornbeamfold.model import (
    ACTIVE_JOBS,
    AvailabilityZone,
    ClaimState,
    ErrorKind,
    JobState,
    Organisation,
    OrganisationPut,
    OrganisationRemoved,
    Refused,
    TargetDrain,
    Worker,
    WorkerCapacity,
    WorkersPut,
    ZoneSet,
    check_invariant,
    organisation_of,
)
from hornbeamfold.view.capacity import capacity_of
from hornbeamfold.view.results import FoldResult, conflict, invalid, not_found, unknown_organisation
from hornbeamfold.view.state import State
from hornbeamfold.view.validation import validate_name, validate_organisation, validate_worker

# Returns why the workers cannot satisfy all guarantees at once, or an empty string if they can.
GuaranteesFit = Callable[[Iterable[Organisation], Iterable[WorkerCapacity]], str]


def always_fits(organisations: Iterable[Organisation], workers: Iterable[WorkerCapacity]) -> str:
    """Accept all guarantees; the default where none are checked."""
    return ""


def fold_organisation_put(state: State, event: OrganisationPut, fit: GuaranteesFit) -> FoldResult:
    """Create or change an organisation if all guarantees can still be satisfied at once."""
    problem = validate_organisation(event)
    if problem:
        return invalid(problem)
    before = state.organisations.get(event.name)
    refused = _check_version(event.expected_version, before.version if before else 0)
    if refused is not None:
        return refused
    after = organisation_of(event, event.expected_version + 1)
    if event.guarantee and (before is None or before.guarantee != event.guarantee):
        organisations = {**state.organisations, event.name: after}
        reason = fit(organisations.values(), state.capacities.total.values())
        if reason:
            return Refused(ErrorKind.GUARANTEE_INFEASIBLE, reason)
    state.organisations[event.name] = after
    return _advance_configuration_offset(state)


def fold_organisation_removed(state: State, event: OrganisationRemoved) -> FoldResult:
    """Remove an organisation that has no queued or active job and no open claim."""
    before = state.organisations.get(event.name)
    if before is None:
        return unknown_organisation(event.name)
    refused = _check_version(event.expected_version, before.version)
    if refused is not None:
        return refused
    for job in state.jobs.values():
        if job.spec.organisation != event.name:
            continue
        if job.state is JobState.QUEUED or job.state in ACTIVE_JOBS:
            return conflict(f"job {job.spec.job_id!r} of the organisation is {job.state.value}")
    for claim in state.claims.values():
        if claim.organisation == event.name and claim.state is ClaimState.OPEN:
            return conflict(f"request {claim.request_id!r} of the organisation is claimed")
    del state.organisations[event.name]
    state.estimates.drop_organisation(event.name)
    return _advance_configuration_offset(state)


def fold_zone_set(state: State, event: ZoneSet) -> FoldResult:
    """Create an availability zone, take it out of service or return it to service."""
    problem = validate_name("availability zone", event.name)
    if problem:
        return invalid(problem)
    before = state.zones.get(event.name)
    refused = _check_version(event.expected_version, before.version if before else 0)
    if refused is not None:
        return refused
    region = event.region or (before.region if before else "")
    if not region:
        return invalid(f"availability zone {event.name!r} needs a region")
    if before is not None and before.region != region:
        return invalid(f"availability zone {event.name!r} is in region {before.region!r}")
    state.zones[event.name] = AvailabilityZone(
        event.name, region, event.in_service, event.expected_version + 1
    )
    for name in state.capacities.in_zone(event.name):
        _update_eligibility(state, name)
    return _advance_configuration_offset(state)


def fold_workers_put(state: State, event: WorkersPut, fit: GuaranteesFit) -> FoldResult:
    """Add, replace and remove workers, all of them or none."""
    refused = _check_version(event.expected_version, state.workers_version)
    if refused is None:
        refused = _check_workers(state, event)
    if refused is not None:
        return refused
    reason = _find_guarantee_conflict(state, event, fit)
    if reason:
        return Refused(ErrorKind.GUARANTEE_INFEASIBLE, reason)
    for name in event.removed:
        state.reservations.drop_on(name)
        state.capacities.remove_worker(name)
        state.draining.pop(name, None)
        del state.workers[name]
    for worker in event.workers:
        before = state.workers.get(worker.name)
        if before is not None and _placement_properties(before) != _placement_properties(worker):
            state.reservations.drop_on(worker.name)
        state.workers[worker.name] = worker
        region = state.zones[worker.availability_zone].region
        state.capacities.put_worker(worker, region, state.is_eligible(worker))
        _update_eligibility(state, worker.name)
    state.workers_version += 1
    return _advance_configuration_offset(state)


def fold_target_drain(state: State, event: TargetDrain) -> FoldResult:
    """Start or end the drain of a worker."""
    refused = _check_version(event.expected_version, state.workers_version)
    if refused is not None:
        return refused
    if event.worker not in state.workers:
        return not_found(f"worker {event.worker!r} does not exist")
    state.draining.pop(event.worker, None)
    if event.draining:
        state.draining[event.worker] = None
    _update_eligibility(state, event.worker)
    state.workers_version += 1
    return _advance_configuration_offset(state)


def _check_version(expected: int, current: int) -> FoldResult:
    if expected == current:
        return None
    return conflict(f"the version is {current}, not {expected}")


def _check_workers(state: State, event: WorkersPut) -> FoldResult:
    names = [worker.name for worker in event.workers] + list(event.removed)
    if len(set(names)) != len(names):
        return invalid("a worker is listed more than once")
    for name in event.removed:
        if name not in state.workers:
            return not_found(f"worker {name!r} does not exist")
        if state.capacities.allocated_on(name):
            return conflict(f"worker {name!r} has active members")
    for worker in event.workers:
        problem = validate_worker(worker)
        if problem:
            return invalid(problem)
        if worker.availability_zone not in state.zones:
            return invalid(f"availability zone {worker.availability_zone!r} does not exist")
        before = state.workers.get(worker.name)
        if before is None or not state.capacities.allocated_on(worker.name):
            continue
        if _placement_properties(before) != _placement_properties(worker):
            return conflict(f"worker {worker.name!r} has active members and cannot be changed")
    return None


def _placement_properties(worker: Worker) -> Worker:
    """Return the worker without the fields that may change while it has active members."""
    return replace(worker, address="", connections=0)


def _find_guarantee_conflict(state: State, event: WorkersPut, fit: GuaranteesFit) -> str:
    """Return why the guarantees cannot be satisfied once workers are removed or changed."""
    total = dict(state.capacities.total)
    capacity_reduced = bool(event.removed)
    for name in event.removed:
        del total[name]
    for worker in event.workers:
        before = state.workers.get(worker.name)
        capacity_reduced = capacity_reduced or (
            before is not None and _placement_properties(before) != _placement_properties(worker)
        )
        region = state.zones[worker.availability_zone].region
        total[worker.name] = capacity_of(worker, region, True)
    return fit(state.organisations.values(), total.values()) if capacity_reduced else ""


def _update_eligibility(state: State, name: str) -> None:
    eligible = state.is_eligible(state.workers[name])
    state.capacities.set_eligible(name, eligible)
    if not eligible:
        # Frees the rest of the reserved window at once, so that another one can be reserved for
        # the beneficiary.
        state.reservations.drop_on(name)


def _advance_configuration_offset(state: State) -> FoldResult:
    """Set the configuration offset to the entry being folded; return the accepting result."""
    before = state.configuration_offset
    check_invariant(
        "I6",
        state.folding_offset >= before,
        f"the configuration offset decreases from {before} to {state.folding_offset}",
    )
    state.configuration_offset = state.folding_offset
    return None
