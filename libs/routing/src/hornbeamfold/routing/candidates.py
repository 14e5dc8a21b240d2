"""The workers that a request may be sent to, and the outcome of a choice."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from functools import cached_property

from hornbeamfold.model.topology import WorkerCapacity


@dataclass(frozen=True, slots=True)
class Candidate:
    """A worker in service; `free_slots` are those that active gang members leave free.

    `own` is true if the worker belongs to the instance's own rendezvous subset.
    """

    worker: str
    availability_zone: str
    region: str
    free_slots: int
    own: bool


@dataclass(frozen=True)
class Candidates:
    """All candidates, and those of the own subset; rebuilt only when the view changes."""

    own: tuple[Candidate, ...]
    every: tuple[Candidate, ...]

    @cached_property
    def slots(self) -> int:
        """The slots of all candidates."""
        return sum(candidate.free_slots for candidate in self.every)


@dataclass(frozen=True)
class Load:
    """What an instance knows of the load of a worker; `report_age_ms` is -1 without a report."""

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
    """A chosen worker with what the decision log line says about it."""

    worker: str
    reason: str
    expected_ms: float
    crosses_regions: bool
    compared: tuple[str, ...]
    load: Load


@dataclass(frozen=True)
class Links:
    """One-way delays, and the price of 1 KB across regions as milliseconds of delay."""

    zone_ms: float = 1.0
    region_ms: float = 20.0
    region_price_ms_per_kb: float = 2.0


def make_candidates(
    capacities: Iterable[WorkerCapacity], own: Collection[str], leaving: Collection[str] = ()
) -> Candidates:
    """Return the candidates among the workers; `leaving` are those that said so themselves."""
    every: list[Candidate] = []
    for capacity in capacities:
        worker = capacity.worker
        if not capacity.eligible or worker.name in leaving:
            continue
        zone = worker.availability_zone
        is_own = worker.name in own
        every.append(Candidate(worker.name, zone, capacity.region, capacity.free_slots, is_own))
    return Candidates(tuple(c for c in every if c.own), tuple(every))
