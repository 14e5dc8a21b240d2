"""Checks of names, shapes and workers that do not depend on the state."""

from collections.abc import Iterable
from math import isfinite

from hornbeamfold.model import JobSpec, OrganisationPut, Shape, Worker

# Bounds the bit masks that a faulty record could ask for.
MAX_ACCELERATORS = 1_024


def name_fault(what: str, name: str) -> str:
    """Return why a name cannot be used, or an empty string.

    Names are parts of task ids, which are separated by slashes.
    """
    if not name:
        return f"the {what} has no name"
    if "/" in name:
        return f"the name of {what} {name!r} contains a slash"
    return ""


def shape_fault(shape: Shape) -> str:
    """Return why a shape makes no sense, or an empty string."""
    if min(shape.accelerators, shape.processors, shape.memory_gb) < 0:
        return "a shape cannot ask for less than nothing"
    return ""


def spec_fault(spec: JobSpec) -> str:
    """Return why a job cannot be submitted, or an empty string."""
    if not spec.job_id:
        return "the job has no id"
    if spec.declared_ms <= 0:
        return "the declared run time is not positive"
    return shape_fault(spec.shape)


def organisation_fault(event: OrganisationPut) -> str:
    """Return why an organisation cannot be put, or an empty string."""
    if not isfinite(event.weight) or event.weight <= 0:
        return "the weight is not a positive number"
    for shape in event.guarantee:
        fault = shape_fault(shape)
        if fault:
            return fault
    return name_fault("organisation", event.name)


def worker_fault(worker: Worker) -> str:
    """Return why a worker cannot be put, or an empty string."""
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
    return name_fault("worker", worker.name)


def accelerators_fault(indices: Iterable[int], worker: Worker) -> str:
    """Return why accelerator indices do not name accelerators of a worker, or an empty string."""
    seen: set[int] = set()
    for index in indices:
        if not 0 <= index < worker.accelerators:
            return f"worker {worker.name!r} has no accelerator {index}"
        if index in seen:
            return f"accelerator {index} of worker {worker.name!r} is named twice"
        seen.add(index)
    return ""
