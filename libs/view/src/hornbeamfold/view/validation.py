"""Validates names, shapes, jobs and workers without regard to the state.

The functions return a description of the first problem, or an empty string.
"""

from collections.abc import Iterable
from math import isfinite

from hornbeamfold.model import JobSpec, OrganisationPut, Shape, Worker

# Limits the size of the bit masks that a faulty record can request.
MAX_ACCELERATORS = 1_024


def validate_name(what: str, name: str) -> str:
    """Return why a name is invalid, or an empty string.

    Task ids join names with slashes, so a name must not contain one.
    """
    if not name:
        return f"the {what} has no name"
    if "/" in name:
        return f"the name of {what} {name!r} contains a slash"
    return ""


def validate_shape(shape: Shape) -> str:
    """Return why a shape is invalid, or an empty string."""
    if min(shape.accelerators, shape.processors, shape.memory_gb) < 0:
        return "a shape asks for a negative amount"
    return ""


def validate_spec(spec: JobSpec) -> str:
    """Return why a job specification is invalid, or an empty string."""
    if not spec.job_id:
        return "the job has no id"
    if spec.declared_ms <= 0:
        return "the declared run time is not positive"
    return validate_shape(spec.shape)


def validate_organisation(event: OrganisationPut) -> str:
    """Return why an organisation is invalid, or an empty string."""
    if not isfinite(event.weight) or event.weight <= 0:
        return "the weight is not a positive number"
    for shape in event.guarantee:
        problem = validate_shape(shape)
        if problem:
            return problem
    return validate_name("organisation", event.name)


def validate_worker(worker: Worker) -> str:
    """Return why a worker is invalid, or an empty string."""
    amounts = (
        worker.processors,
        worker.memory_gb,
        worker.accelerators,
        worker.slots,
        worker.connections,
    )
    if min(amounts) < 0:
        return f"worker {worker.name!r} has a negative capacity"
    if worker.accelerators > MAX_ACCELERATORS:
        return f"worker {worker.name!r} has more than {MAX_ACCELERATORS} accelerators"
    return validate_name("worker", worker.name)


def validate_accelerators(indices: Iterable[int], worker: Worker) -> str:
    """Return why accelerator indices are invalid for a worker, or an empty string."""
    seen: set[int] = set()
    for index in indices:
        if not 0 <= index < worker.accelerators:
            return f"worker {worker.name!r} has no accelerator {index}"
        if index in seen:
            return f"accelerator {index} of worker {worker.name!r} is listed more than once"
        seen.add(index)
    return ""
