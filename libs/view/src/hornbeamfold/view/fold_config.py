"""Folds changes of the configuration: organisations, availability zones and workers."""

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
    check,
    organisation_of,
)
from hornbeamfold.view.capacity import capacity_of
from hornbeamfold.view.shapes import name_fault, organisation_fault, worker_fault
from hornbeamfold.view.state import State
from hornbeamfold.view.verdict import Verdict, conflict, invalid, not_found, unknown_organisation

# Returns why the guarantees do not fit together on the workers; empty if they do.
GuaranteesFit = Callable[[Iterable[Organisation], Iterable[WorkerCapacity]], str]


def always_fits(organisations: Iterable[Organisation], workers: Iterable[WorkerCapacity]) -> str:
    """Accept all guarantees."""
    return ""


def fold_organisation_put(state: State, event: OrganisationPut, fit: GuaranteesFit) -> Verdict:
    """Create or change an organisation if all guarantees still fit together."""
    fault = organisation_fault(event)
    if fault:
        return invalid(fault)
    before = state.organisations.get(event.name)
    refused = _check_version(event.expected_version, before.version if before else 0)
    if refused is not None:
        return refused
    after = organisation_of(event, event.expected_version + 1)
    if event.guarantee and (before is None or before.guarantee != event.guarantee):
        organisations = {**state.organisations, event.name: after}
        reason = fit(organisations.values(), state.capacities.idle.values())
        if reason:
            return Refused(ErrorKind.GUARANTEE_INFEASIBLE, reason)
    state.organisations[event.name] = after
    return _accept(state)


def fold_organisation_removed(state: State, event: OrganisationRemoved) -> Verdict:
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
    return _accept(state)


def fold_zone_set(state: State, event: ZoneSet) -> Verdict:
    """Create an availability zone, take it out of service or bring it back."""
    fault = name_fault("availability zone", event.name)
    if fault:
        return invalid(fault)
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
    return _accept(state)


def fold_workers_put(state: State, event: WorkersPut, fit: GuaranteesFit) -> Verdict:
    """Add, replace and remove workers, all of them or none."""
    refused = _check_version(event.expected_version, state.workers_version)
    if refused is None:
        refused = _check_workers(state, event)
    if refused is not None:
        return refused
    reason = _misfit(state, event, fit)
    if reason:
        return Refused(ErrorKind.GUARANTEE_INFEASIBLE, reason)
    for name in event.removed:
        state.reservations.drop_on(name)
        state.capacities.remove_worker(name)
        state.draining.pop(name, None)
        del state.workers[name]
    for worker in event.workers:
        before = state.workers.get(worker.name)
        if before is not None and _placeable(before) != _placeable(worker):
            state.reservations.drop_on(worker.name)
        state.workers[worker.name] = worker
        region = state.zones[worker.availability_zone].region
        state.capacities.put_worker(worker, region, state.is_eligible(worker))
        _update_eligibility(state, worker.name)
    state.workers_version += 1
    return _accept(state)


def fold_target_drain(state: State, event: TargetDrain) -> Verdict:
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
    return _accept(state)


def _check_version(expected: int, current: int) -> Verdict:
    if expected == current:
        return None
    return conflict(f"the version is {current}, not {expected}")


def _check_workers(state: State, event: WorkersPut) -> Verdict:
    names = [worker.name for worker in event.workers] + list(event.removed)
    if len(set(names)) != len(names):
        return invalid("a worker is named twice")
    for name in event.removed:
        if name not in state.workers:
            return not_found(f"worker {name!r} does not exist")
        if state.capacities.held_on(name):
            return conflict(f"worker {name!r} has active members")
    for worker in event.workers:
        fault = worker_fault(worker)
        if fault:
            return invalid(fault)
        if worker.availability_zone not in state.zones:
            return invalid(f"availability zone {worker.availability_zone!r} does not exist")
        before = state.workers.get(worker.name)
        if before is None or not state.capacities.held_on(worker.name):
            continue
        if _placeable(before) != _placeable(worker):
            return conflict(f"worker {worker.name!r} has active members and cannot be changed")
    return None


def _placeable(worker: Worker) -> Worker:
    """Return the worker without what may change while it is in use."""
    return replace(worker, address="", connections=0)


def _misfit(state: State, event: WorkersPut, fit: GuaranteesFit) -> str:
    """Return why the guarantees no longer fit if workers are taken away or changed."""
    idle = dict(state.capacities.idle)
    shrinks = bool(event.removed)
    for name in event.removed:
        del idle[name]
    for worker in event.workers:
        before = state.workers.get(worker.name)
        shrinks = shrinks or (before is not None and _placeable(before) != _placeable(worker))
        region = state.zones[worker.availability_zone].region
        idle[worker.name] = capacity_of(worker, region, True)
    return fit(state.organisations.values(), idle.values()) if shrinks else ""


def _update_eligibility(state: State, name: str) -> None:
    eligible = state.is_eligible(state.workers[name])
    state.capacities.set_eligible(name, eligible)
    if not eligible:
        # Frees the rest of the window at once, so that the beneficiary can get another one.
        state.reservations.drop_on(name)


def _accept(state: State) -> Verdict:
    """Move the configuration offset; the result is the verdict of an accepted change."""
    before = state.configuration_offset
    check(
        "I6",
        state.folding_offset >= before,
        f"configuration offset goes from {before} to {state.folding_offset}",
    )
    state.configuration_offset = state.folding_offset
    return None
