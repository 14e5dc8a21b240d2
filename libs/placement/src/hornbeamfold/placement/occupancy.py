"""The active jobs on each accelerator, with their expected ends and the costs of a stop."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from hornbeamfold.model import Job, JobState, Member
from hornbeamfold.placement.estimates import expected_end_ms

Key = tuple[str, str]
# The id of the allowed rack, the versions of the allowed and of the current rack, and the
# accelerators and the span of the shape.
WindowKey = tuple[int, int, int, int, int]
# The time that a move costs a checkpointable job: checkpoint, restart and the work between them.
MOVE_COST_MS = 30_000
# Stopping an urgent job is weighted by this factor, so that it happens only if stopping patient
# jobs instead would lose many times the work.
URGENT_COST_FACTOR = 10.0


@dataclass(frozen=True)
class Occupant:
    """An active job with its expected end and the cost of stopping it, in accelerator ms."""

    job: Job
    key: Key
    ends_ms: int
    cost: float

    @property
    def stopping(self) -> bool:
        """Whether the job is already being stopped."""
        return self.job.state is JobState.STOPPING


class Occupancy:
    """The active jobs on each worker and accelerator; the indexes are built on first use."""

    def __init__(self, active: Iterable[Job], estimates: Mapping[Key, float], now_ms: int) -> None:
        self._active = list(active)
        self._estimates = estimates
        self._now_ms = now_ms
        self._occupants: dict[int, Occupant] = {}
        self._window_costs: dict[WindowKey, list[tuple[float, int]]] = {}
        self._by_accelerator: dict[str, dict[int, Occupant]] | None = None
        self._by_worker: dict[str, list[tuple[Job, Member]]] | None = None

    def by_accelerator(self, worker: str) -> Mapping[int, Occupant]:
        """Return the occupants of a worker's accelerators by accelerator index."""
        if self._by_accelerator is None:
            self._by_accelerator = {}
            for job in self._active:
                if not job.spec.shape.accelerators:
                    continue
                occupant = self._occupant(job)
                for status in job.members:
                    occupants = self._by_accelerator.setdefault(status.member.worker, {})
                    for index in status.member.accelerators:
                        occupants[index] = occupant
        return self._by_accelerator.get(worker, _NO_OCCUPANTS)

    def on_worker(self, worker: str) -> list[tuple[Occupant, Member]]:
        """Return the occupants of a worker, each with its member there."""
        if self._by_worker is None:
            self._by_worker = {}
            for job in self._active:
                for status in job.members:
                    member = status.member
                    self._by_worker.setdefault(member.worker, []).append((job, member))
        return [(self._occupant(job), member) for job, member in self._by_worker.get(worker, ())]

    def window_costs(
        self, key: WindowKey, compute: Callable[[], list[tuple[float, int]]]
    ) -> list[tuple[float, int]]:
        """Return the costs of the windows of a rack, cached for all reclaims of one plan."""
        cached = self._window_costs.get(key)
        if cached is None:
            cached = self._window_costs[key] = compute()
        return cached

    def _occupant(self, job: Job) -> Occupant:
        occupant = self._occupants.get(id(job))
        if occupant is None:
            ends_ms = expected_end_ms(job, self._estimates, self._now_ms)
            occupant = Occupant(job, job.key, ends_ms, stop_cost(job, self._now_ms))
            self._occupants[id(job)] = occupant
        return occupant


_NO_OCCUPANTS: dict[int, Occupant] = {}


def stop_cost(job: Job, now_ms: int) -> float:
    """Return the work lost by a stop in accelerator milliseconds; 0 if the job already stops."""
    if job.state is JobState.STOPPING:
        return 0.0
    size = job.spec.shape.accelerators or 1
    cost = float(MOVE_COST_MS)
    if not job.spec.checkpointable:
        started_ms = job.running_ms or job.placed_ms
        cost += max(0, now_ms - started_ms)
    if job.spec.urgent:
        cost *= URGENT_COST_FACTOR
    return cost * size
