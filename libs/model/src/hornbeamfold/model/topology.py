"""Workers, availability zones, organisations and resource shapes."""

from dataclasses import dataclass
from enum import IntEnum


class Span(IntEnum):
    """How far the members of a gang may be apart, from narrow to wide."""

    WORKER = 0
    RACK = 1
    ZONE = 2
    REGION = 3


@dataclass(frozen=True)
class Shape:
    """The total resources of a job: adjacent accelerators, processors and memory in GB."""

    accelerators: int
    processors: int = 1
    memory_gb: int = 1
    span: Span = Span.RACK


@dataclass(frozen=True)
class Worker:
    """A worker with its location and capacity; `position` is its position in the rack."""

    name: str
    address: str
    availability_zone: str
    rack: str
    position: int
    processors: int
    memory_gb: int
    accelerators: int
    slots: int
    connections: int


@dataclass(frozen=True)
class AvailabilityZone:
    """An availability zone; `in_service` is false while operators keep it out of service."""

    name: str
    region: str
    in_service: bool = True
    version: int = 0


@dataclass(frozen=True)
class Organisation:
    """An organisation with its guaranteed shapes and its weight in fair sharing."""

    name: str
    guarantee: tuple[Shape, ...] = ()
    weight: float = 1.0
    version: int = 0


@dataclass(frozen=True)
class Member:
    """The part of a gang on one worker, with the indices of its accelerators there."""

    worker: str
    accelerators: tuple[int, ...]
    processors: int
    memory_gb: int


@dataclass(frozen=True)
class WorkerCapacity:
    """The free capacity of a worker according to the log.

    Bit i of `free_mask` is set if accelerator i is free. `eligible` is false while the worker
    is draining or its availability zone is out of service.
    """

    worker: Worker
    region: str
    free_mask: int
    free_processors: int
    free_memory_gb: int
    free_slots: int
    eligible: bool
