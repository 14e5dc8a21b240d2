"""Tracks free and reserved capacity on all workers during a planning pass.

Every lookup starts from an index, because a full cluster has thousands of workers of which only a
few can take one more task.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from math import inf

from hornbeamfold.batch import Resources
from hornbeamfold.scheduling.inputs import CandidateWorker, ReadyStep, Slowdown, no_slowdown
from hornbeamfold.scheduling.spread import spread
from hornbeamfold.scheduling.worker_choice import (
    TRIAL_TASKS,
    Reluctance,
    may_try,
    product,
    reluctance,
)

# Weight of the accelerator share relative to the CPU and memory shares in the best-fit score.
# Accelerators are allocated in whole units, so fragmentation wastes them the most.
ACCELERATOR_WEIGHT = 2.0
# Later than the start of any reservation, so that reserved capacity is not available.
FAR_FUTURE_MS = 1 << 62
NOTHING = Resources()
# The rank of workers that are taken before all others.
FIRST: Reluctance = (-inf, 0.0)
NO_RELUCTANCE: Reluctance = (0.0, 0.0)


@dataclass(frozen=True)
class WorkerGroup:
    """The workers that a step may use in one rack, or in all racks if `rack` is None."""

    rack: str | None = None


@dataclass(frozen=True)
class Reservation:
    """Capacity on a worker that is reserved for a waiting step from `start_ms` on.

    A `firm` reservation is for work that is about to start there. A job without a run may use the
    capacity of any other.
    """

    worker_id: str
    resources: Resources
    start_ms: int
    firm: bool = False


@dataclass(frozen=True)
class _WorkerKind:
    """What workers that can hold the same number of idle tasks have in common."""

    capacity: Resources
    labels: frozenset[str]


# The workers of a service in one rack, or in all racks if the rack is None.
_GroupKey = tuple[str, str | None]


class ClusterCapacity:
    """The free capacity of each worker, reduced as tasks are placed."""

    def __init__(
        self,
        workers: Iterable[CandidateWorker],
        slowdown: Slowdown = no_slowdown,
        now_ms: int = 0,
        disturbance: Slowdown = no_slowdown,
    ) -> None:
        self._slowdown = slowdown
        self._disturbance = disturbance
        self._combined = product((slowdown, disturbance))
        self._now_ms = now_ms
        self._workers: dict[str, CandidateWorker] = {}
        self._free: dict[str, Resources] = {}
        # The workers with runs, which may have reserved nothing.
        self._occupied: set[str] = set()
        self._reservations: dict[str, list[Reservation]] = {}
        self._members: dict[_GroupKey, list[str]] = {}
        self._idle_accelerators: dict[_GroupKey, int] = {}
        self._kinds: dict[_GroupKey, Counter[_WorkerKind]] = {}
        # Worker ids by service and by the number of free accelerators.
        self._by_free_accelerators: dict[str, dict[int, dict[str, None]]] = {}
        self._racks: dict[str, dict[str, None]] = {}
        # The capacity of all workers of a service and what of it is free, last resorts included.
        self._total: dict[str, Resources] = {}
        self._unused: dict[str, Resources] = {}
        self._last_resorts: set[str] = set()
        for worker in workers:
            self._add(worker)

    def _add(self, worker: CandidateWorker) -> None:
        self._workers[worker.worker_id] = worker
        self._free[worker.worker_id] = worker.free
        if worker.has_runs:
            self._occupied.add(worker.worker_id)
        if not worker.last_resort:
            self._racks.setdefault(worker.service, {})[worker.rack] = None
        buckets = self._by_free_accelerators.setdefault(worker.service, {})
        buckets.setdefault(worker.free.accelerators, {})[worker.worker_id] = None
        self._add_total(worker)
        if worker.last_resort:
            self._last_resorts.add(worker.service)
            return
        kind = _WorkerKind(worker.capacity, worker.labels)
        for key in ((worker.service, None), (worker.service, worker.rack)):
            self._members.setdefault(key, []).append(worker.worker_id)
            idle = self._idle_accelerators.get(key, 0) + _usable_accelerators(worker.free)
            self._idle_accelerators[key] = idle
            self._kinds.setdefault(key, Counter())[kind] += 1

    def _add_total(self, worker: CandidateWorker) -> None:
        service = worker.service
        self._total[service] = self._total.get(service, NOTHING) + worker.capacity
        if NOTHING.fits(worker.free):
            self._unused[service] = self._unused.get(service, NOTHING) + worker.free

    def is_half_idle(self, service: str) -> bool:
        """Return whether at least half of the accelerators of a service's workers are free.

        For a service without accelerators, that is of the CPU time.
        """
        total = self._total.get(service, NOTHING)
        unused = self._unused.get(service, NOTHING)
        if total.accelerators:
            return 2 * unused.accelerators >= total.accelerators
        return 2 * unused.cpu_millis >= total.cpu_millis

    def has_last_resorts(self, service: str) -> bool:
        """Return whether a service has workers that take tasks only as a last resort."""
        return service in self._last_resorts

    def racks(self, service: str) -> Iterable[str]:
        """Return the racks that have workers of a service."""
        return self._racks.get(service, {})

    def worker(self, worker_id: str) -> CandidateWorker:
        """Return a worker's description."""
        return self._workers[worker_id]

    def slowdown(self, step: ReadyStep, worker_id: str) -> float:
        """Return how many times as long as usual a task of a step takes on a worker."""
        return self._combined(step, self._workers[worker_id])

    @property
    def is_even(self) -> bool:
        """Whether all workers are equally fast for every task, and none disturbs another."""
        return self._combined is no_slowdown

    def reluctance(self, step: ReadyStep, worker_id: str, siblings: int = 0) -> Reluctance:
        """Return the rank of a worker for a task of a step; the lowest are taken first.

        The worker also gets this many more tasks of the step.
        """
        if self.is_even:
            return NO_RELUCTANCE
        worker = self._workers[worker_id]
        disturbance = self._disturbance(step, _with_newcomers(worker, step, siblings))
        return reluctance(step, self._slowdown(step, worker), disturbance, self._now_ms)

    def disturbs_itself(self, step: ReadyStep, worker_id: str) -> bool:
        """Return whether tasks of a step would slow each other down on a worker."""
        if self._disturbance is no_slowdown:
            return False
        worker = self._workers[worker_id]
        beside = self._disturbance(step, _with_newcomers(worker, step, 1))
        return beside > self._disturbance(step, worker)

    def note_newcomer(self, step: ReadyStep, worker_id: str) -> None:
        """Remember that a task of a step is placed on a worker, for the steps after it."""
        if self._disturbance is no_slowdown:
            return
        self._workers[worker_id] = _with_newcomers(self._workers[worker_id], step, 1)

    def has_worker(self, worker_id: str) -> bool:
        """Return whether the worker accepts new tasks."""
        return worker_id in self._workers

    def free(self, worker_id: str) -> Resources:
        """Return the free resources of a worker, including reserved ones."""
        return self._free[worker_id]

    def idle_accelerators(self, service: str, rack: str | None = None) -> int:
        """Return the number of free accelerators of a service, including reserved ones.

        Workers that are over their capacity in any resource have none.
        """
        return self._idle_accelerators.get((service, rack), 0)

    def total_accelerators(self, service: str) -> int:
        """Return the number of accelerators of a service's workers that accept new tasks."""
        return sum(
            count * kind.capacity.accelerators
            for kind, count in self._kinds.get((service, None), {}).items()
        )

    def members(self, step: ReadyStep, group: WorkerGroup) -> list[str]:
        """Return the workers of a group that are eligible for a step, regardless of capacity."""
        ids = self._members.get((step.job.service, group.rack), ())
        return [each for each in ids if is_eligible(step, self._workers[each])]

    def members_with_accelerators(self, step: ReadyStep, group: WorkerGroup) -> list[str]:
        """Return the eligible workers with enough free accelerators for one task of a step.

        For an isolated step, they have no runs either.
        """
        found: list[str] = []
        for accelerators, ids in self._by_free_accelerators.get(step.job.service, {}).items():
            if accelerators < step.step.demand.accelerators:
                continue
            for worker_id in ids:
                worker = self._workers[worker_id]
                if group.rack is not None and worker.rack != group.rack:
                    continue
                if step.isolated and worker_id in self._occupied:
                    continue
                if is_eligible(step, worker):
                    found.append(worker_id)
        return found

    def has_members(self, step: ReadyStep, group: WorkerGroup) -> bool:
        """Return whether a group has a worker that is eligible for a step."""
        ids = self._members.get((step.job.service, group.rack), ())
        return any(is_eligible(step, self._workers[each]) for each in ids)

    def task_capacity(self, step: ReadyStep, group: WorkerGroup) -> int:
        """Return how many tasks of a step would fit on the group's workers if they were idle."""
        limit = step.step.max_per_worker or step.step.count
        label = step.step.required_label
        total = 0
        for kind, count in self._kinds.get((step.job.service, group.rack), {}).items():
            if not label or label in kind.labels:
                total += count * tasks_that_fit(step.step.reserved, kind.capacity, limit)
        for worker_id in step.avoid:
            worker = self._workers.get(worker_id)
            if worker is None or worker.last_resort or worker.service != step.job.service:
                continue
            if group.rack not in (None, worker.rack) or (label and label not in worker.labels):
                continue
            total -= tasks_that_fit(step.step.reserved, worker.capacity, limit)
        return total

    def allocate(self, worker_id: str, resources: Resources) -> None:
        """Subtract resources from the free capacity of a worker."""
        worker = self._workers[worker_id]
        before = self._free[worker_id]
        self._free[worker_id] = before - resources
        self._occupied.add(worker_id)
        self._unused[worker.service] = self._unused.get(worker.service, NOTHING) - resources
        if not resources.accelerators:
            return
        buckets = self._by_free_accelerators[worker.service]
        del buckets[before.accelerators][worker_id]
        after = before.accelerators - resources.accelerators
        buckets.setdefault(after, {})[worker_id] = None
        if worker.last_resort:
            return
        for key in ((worker.service, None), (worker.service, worker.rack)):
            self._idle_accelerators[key] -= resources.accelerators

    def allocate_rest(self, worker_id: str) -> None:
        """Subtract all that is free on a worker, so that nothing else is placed there."""
        self.allocate(worker_id, self._free[worker_id])

    def add_reservation(self, reservation: Reservation) -> None:
        """Reserve capacity for a waiting step; only tasks that end before it starts may use it."""
        self._reservations.setdefault(reservation.worker_id, []).append(reservation)

    def remove_reservation(self, reservation: Reservation) -> None:
        """Remove a reservation that was added before."""
        self._reservations[reservation.worker_id].remove(reservation)

    def available(self, worker_id: str, ends_ms: int) -> Resources:
        """Return the resources of a worker that a task ending at `ends_ms` may use."""
        available = self._free[worker_id]
        for reservation in self._reservations.get(worker_id, ()):
            if ends_ms > reservation.start_ms:
                available = available - reservation.resources
        return available

    def available_to_idle_job(self, worker_id: str) -> Resources:
        """Return the resources of a worker that a job without a run may use for its first one."""
        available = self._free[worker_id]
        for reservation in self._reservations.get(worker_id, ()):
            if reservation.firm:
                available = available - reservation.resources
        return available


def _with_newcomers(worker: CandidateWorker, step: ReadyStep, count: int) -> CandidateWorker:
    """Return a worker on which the pass has placed so many more tasks of a step."""
    return replace(worker, newcomers=worker.newcomers + (step,) * count) if count else worker


def is_eligible(step: ReadyStep, worker: CandidateWorker) -> bool:
    """Return whether the worker's service and labels allow the step, regardless of capacity."""
    if worker.service != step.job.service or worker.worker_id in step.avoid:
        return False
    if worker.last_resort and not step.any_worker:
        return False
    label = step.step.required_label
    return not label or label in worker.labels


def _usable_accelerators(free: Resources) -> int:
    """Return the free accelerators of a worker; none if it is over its capacity in a resource."""
    return free.accelerators if NOTHING.fits(free) else 0


def tasks_that_fit(demand: Resources, available: Resources, limit: int) -> int:
    """Return how many tasks fit into the available resources, at most `limit`."""
    if not demand.fits(available):
        return 0
    fit = limit
    if demand.accelerators:
        fit = min(fit, available.accelerators // demand.accelerators)
    if demand.cpu_millis:
        fit = min(fit, available.cpu_millis // demand.cpu_millis)
    if demand.memory_mb:
        fit = min(fit, available.memory_mb // demand.memory_mb)
    return fit


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
    """Return workers for up to `count` tasks of a step, without allocating.

    Those that suit the step best by their speed come first, and of equally fast ones the best fit.
    Before them come some untried ones, if there is ample room.
    """
    trying = may_try(step) and cluster.is_half_idle(step.job.service)
    ranked: list[tuple[Reluctance, float, str, int]] = []
    demand = step.step.reserved
    for worker_id in workers:
        resources = available(worker_id)
        if not demand.fits(resources):
            continue
        fit = fitting_tasks(step, cluster.worker(worker_id), resources, count)
        worker = cluster.worker(worker_id)
        tried = min(fit, TRIAL_TASKS) if trying and worker.untried else 0
        if tried:
            ranked.append((FIRST, 0.0, worker_id, tried))
        if fit > tried:
            share = remaining_share(worker, resources)
            ranked.append((cluster.reluctance(step, worker_id), share, worker_id, fit - tried))
    ranked.sort()
    if count > 1 and ranked and cluster.disturbs_itself(step, ranked[0][2]):
        return spread(
            ranked, count, lambda each, siblings: cluster.reluctance(step, each, siblings)
        )
    chosen: list[str] = []
    for _, _, worker_id, fit in ranked:
        # The best-fitting worker remains the best fit while another task fits on it.
        chosen.extend([worker_id] * min(fit, count - len(chosen)))
        if len(chosen) == count:
            break
    return chosen


def fitting_tasks(
    step: ReadyStep, worker: CandidateWorker, available: Resources, limit: int
) -> int:
    """Return how many more tasks of a step fit on a worker, at most `limit`."""
    if step.step.max_per_worker:
        limit = min(limit, step.step.max_per_worker - step.placed_on.get(worker.worker_id, 0))
    return placeable_tasks(step, worker, available, limit)


def placeable_tasks(
    step: ReadyStep, worker: CandidateWorker, available: Resources, limit: int
) -> int:
    """Return how many tasks of a step the available resources of a worker hold, at most `limit`."""
    if step.isolated:
        if available != worker.capacity:
            return 0
        limit = limit if step.step.gang else min(limit, 1)
    return tasks_that_fit(step.step.reserved, available, limit)
