"""Checks whether gang members can be placed, or a window reserved, on the given workers."""

from hornbeamfold.model import JobSpec, Member, Shape, Span, Worker
from hornbeamfold.view.capacity import EntityKey, mask_of
from hornbeamfold.view.results import FoldResult, conflict, invalid
from hornbeamfold.view.state import State
from hornbeamfold.view.validation import validate_accelerators


def check_placement(state: State, spec: JobSpec, members: tuple[Member, ...]) -> FoldResult:
    """Return why a job cannot be placed on these members, or None."""
    problem = _shape_mismatch(spec.shape, members)
    if problem:
        return invalid(problem)
    refused = _check_members(state, spec.key, members)
    if refused is not None:
        return refused
    for member in members:
        refused = _check_free(state, member)
        if refused is not None:
            return refused
    workers = [state.workers[member.worker] for member in members]
    problem = _span_mismatch(state, spec.shape.span, workers)
    return invalid(problem) if problem else None


def check_window(state: State, beneficiary: EntityKey, window: tuple[Member, ...]) -> FoldResult:
    """Return why a window cannot be reserved for a job, or None."""
    return _check_members(state, beneficiary, window)


def _shape_mismatch(shape: Shape, members: tuple[Member, ...]) -> str:
    if not members:
        return "the placement has no members"
    if len({member.worker for member in members}) != len(members):
        return "the placement has two members on one worker"
    if sum(len(member.accelerators) for member in members) != shape.accelerators:
        return f"the members do not have {shape.accelerators} accelerators in all"
    if min(min(member.processors, member.memory_gb) for member in members) < 0:
        return "a member asks for a negative amount"
    if sum(member.processors for member in members) < shape.processors:
        return f"the members have fewer than {shape.processors} processors in all"
    if sum(member.memory_gb for member in members) < shape.memory_gb:
        return f"the members have less than {shape.memory_gb} GB of memory in all"
    if len(members) > max(1, shape.accelerators):
        return "a member has no accelerator"
    return ""


def _check_members(state: State, key: EntityKey, members: tuple[Member, ...]) -> FoldResult:
    for member in members:
        capacity = state.capacities.by_name.get(member.worker)
        if capacity is None:
            return conflict(f"worker {member.worker!r} does not exist")
        problem = validate_accelerators(member.accelerators, capacity.worker)
        if problem:
            return invalid(problem)
        if member.worker in state.draining:
            return conflict(f"worker {member.worker!r} is draining")
        if not capacity.eligible:
            zone = capacity.worker.availability_zone
            return conflict(f"availability zone {zone!r} is out of service")
        reserved = state.reservations.mask_for_others(member.worker, key)
        if mask_of(member.accelerators) & reserved:
            return conflict(f"accelerators of worker {member.worker!r} are reserved")
    return None


def _check_free(state: State, member: Member) -> FoldResult:
    capacity = state.capacities.by_name[member.worker]
    if mask_of(member.accelerators) & ~capacity.free_mask:
        return conflict(f"accelerators of worker {member.worker!r} are not free")
    if member.processors > capacity.free_processors:
        return conflict(f"processors of worker {member.worker!r} are not free")
    if member.memory_gb > capacity.free_memory_gb:
        return conflict(f"memory of worker {member.worker!r} is not free")
    if capacity.free_slots < 1:
        return conflict(f"worker {member.worker!r} has no free slot")
    return None


def _span_mismatch(state: State, span: Span, workers: list[Worker]) -> str:
    """Return how the workers exceed the span, or an empty string; no span crosses regions."""
    if len(workers) == 1:
        return ""
    if span is Span.WORKER:
        return "the members are on more than one worker"
    if len({state.zones[worker.availability_zone].region for worker in workers}) > 1:
        return "the members are in more than one region"
    if span is Span.REGION:
        return ""
    if len({worker.availability_zone for worker in workers}) > 1:
        return "the members are in more than one availability zone"
    if span is Span.RACK and len({worker.rack for worker in workers}) > 1:
        return "the members are in more than one rack"
    return ""
