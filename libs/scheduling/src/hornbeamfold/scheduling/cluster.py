"""Tracks free and reserved capacity on all workers during a planning pass."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from hornbeamfold.batch import Resources
from hornbeamfold.scheduling.inputs import CandidateWorker, ReadyStep

# Weight of the accelerator share relative to the CPU and memory shares in the best-fit score.
# Accelerators are allocated in whole units, so fragmentation wastes them the most.
ACCELERATOR_WEIGHT = 2.0


@dataclass(frozen=True)
class Reservation:
    """Capacity on a worker that is reserved for a waiting step from `start_ms` on."""

    worker_id: str
    resources: Resources
    start_ms: int


class ClusterCapacity:
    """The free capacity of each worker, reduced as tasks are placed."""

    def __init__(self, workers: Iterable[CandidateWorker]) -> None:
        self._workers: dict[str, CandidateWorker] = {}
        self._free: dict[str, Resources] = {}
        self._workers_by_rack: dict[str, list[str]] = {}
        self._reservations: list[Reservation] = []
        self._idle_accelerators: dict[str, int] = {}
        for worker in workers:
            self._idle_accelerators[worker.service] = (
                self._idle_accelerators.get(worker.service, 0) + worker.free.accelerators
            )
            self._workers[worker.worker_id] = worker
            self._free[worker.worker_id] = worker.free
            self._workers_by_rack.setdefault(worker.rack, []).append(worker.worker_id)

    @property
    def racks(self) -> Mapping[str, Sequence[str]]:
        """The worker ids of each rack."""
        return self._workers_by_rack

    @property
    def workers(self) -> Iterable[str]:
        """The ids of all workers that accept new tasks."""
        return self._workers.keys()

    def worker(self, worker_id: str) -> CandidateWorker:
        """Return a worker's description."""
        return self._workers[worker_id]

    def has_worker(self, worker_id: str) -> bool:
        """Return whether the worker accepts new tasks."""
        return worker_id in self._workers

    def free(self, worker_id: str) -> Resources:
        """Return the free resources of a worker, including reserved ones."""
        return self._free[worker_id]

    def idle_accelerators(self, service: str) -> int:
        """Return the number of free accelerators of a service, including reserved ones."""
        return self._idle_accelerators.get(service, 0)

    def allocate(self, worker_id: str, resources: Resources) -> None:
        """Subtract resources from the free capacity of a worker."""
        self._free[worker_id] = self._free[worker_id] - resources
        self._idle_accelerators[self._workers[worker_id].service] -= resources.accelerators

    def add_reservation(self, reservation: Reservation) -> None:
        """Reserve capacity for a waiting step; only tasks that end before it starts may use it."""
        self._reservations.append(reservation)

    def available(self, worker_id: str, ends_ms: int) -> Resources:
        """Return the resources of a worker that a task ending at `ends_ms` may use."""
        available = self._free[worker_id]
        for reservation in self._reservations:
            if reservation.worker_id == worker_id and ends_ms > reservation.start_ms:
                available = available - reservation.resources
        return available


def is_eligible(step: ReadyStep, worker: CandidateWorker) -> bool:
    """Return whether the worker's service and labels allow the step, regardless of capacity."""
    if worker.service != step.job.service or worker.worker_id in step.avoid:
        return False
    label = step.step.required_label
    return not label or label in worker.labels


def remaining_share(worker: CandidateWorker, remaining: Resources) -> float:
    """Return the weighted share of a worker's capacity in `remaining`; lowest is best fit."""
    capacity = worker.capacity
    share = remaining.cpu_millis / max(1, capacity.cpu_millis)
    share += remaining.memory_mb / max(1, capacity.memory_mb)
    if capacity.accelerators:
        share += ACCELERATOR_WEIGHT * remaining.accelerators / capacity.accelerators
    return share


def pack(
    cluster: ClusterCapacity,
    step: ReadyStep,
    count: int,
    workers: Iterable[str],
    available: Callable[[str], Resources],
) -> list[str]:
    """Return workers for up to `count` tasks of a step, best fit first, without allocating."""
    demand = step.step.reserved
    max_per_worker = step.step.max_per_worker or count + sum(step.placed_on.values())
    remaining: dict[str, Resources] = {}
    task_counts: dict[str, int] = {}
    for worker_id in workers:
        if not is_eligible(step, cluster.worker(worker_id)):
            continue
        available_resources = available(worker_id)
        if demand.fits(available_resources) and step.placed_on.get(worker_id, 0) < max_per_worker:
            remaining[worker_id] = available_resources
            task_counts[worker_id] = step.placed_on.get(worker_id, 0)
    chosen: list[str] = []
    while len(chosen) < count and remaining:
        worker_id = min(
            remaining,
            key=lambda each: (remaining_share(cluster.worker(each), remaining[each]), each),
        )
        # The best-fitting worker remains the best fit while another task fits on it.
        while (
            len(chosen) < count
            and task_counts[worker_id] < max_per_worker
            and demand.fits(remaining[worker_id])
        ):
            remaining[worker_id] = remaining[worker_id] - demand
            task_counts[worker_id] += 1
            chosen.append(worker_id)
        del remaining[worker_id]
    return chosen
