"""The workers that a request may be sent to, and the outcome of a choice."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from functools import cached_property

from hornbeamfold.model.topology import WorkerCapacity


@dataclass(frozen=True, slots=True)
class Candidate:
    """A worker in service; `free_slots` counts the slots that active gang members leave free.

    `in_own_subset` is true if rendezvous hashing assigns the worker to the instance's own subset.
    """

    worker: str
    availability_zone: str
    region: str
    free_slots: int
    in_own_subset: bool


@dataclass(frozen=True)
class Candidates:
    """All candidates, and those in the own subset; rebuilt only when the view changes."""

    own_subset: tuple[Candidate, ...]
    all: tuple[Candidate, ...]

    @cached_property
    def slots(self) -> int:
        """The total number of slots that gang members leave free."""
        return sum(candidate.free_slots for candidate in self.all)


@dataclass(frozen=True)
class Load:
    """What an instance knows of the load of a worker.

    `unaccounted` estimates the slots in use beyond the requests of this instance and its peers.
    `report_age_ms` is -1 without a report.
    """

    own_in_flight: int
    peers_in_flight: int
    unaccounted: float
    report_age_ms: int

    @property
    def busy(self) -> float:
        """The expected number of slots that requests occupy."""
        return self.own_in_flight + self.peers_in_flight + self.unaccounted


@dataclass(frozen=True)
class Choice:
    """A chosen worker with the fields of the decision log line."""

    worker: str
    reason: str
    expected_ms: float
    crosses_regions: bool
    compared: tuple[str, ...]
    load: Load


@dataclass(frozen=True)
class LinkCosts:
    """One-way network delays, and the cost of 1 KB between regions in milliseconds of delay."""

    zone_ms: float = 1.0
    region_ms: float = 20.0
    region_price_ms_per_kb: float = 2.0


def make_candidates(
    capacities: Iterable[WorkerCapacity], own: Collection[str], leaving: Collection[str] = ()
) -> Candidates:
    """Return the eligible workers as candidates, without those in `leaving`."""
    every: list[Candidate] = []
    for capacity in capacities:
        worker = capacity.worker
        if not capacity.eligible or worker.name in leaving:
            continue
        zone = worker.availability_zone
        is_own = worker.name in own
        every.append(Candidate(worker.name, zone, capacity.region, capacity.free_slots, is_own))
    return Candidates(tuple(c for c in every if c.in_own_subset), tuple(every))
