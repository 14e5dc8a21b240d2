"""Selects the runs to preempt when a job within its organisation's guarantee does not fit."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from hornbeamfold.batch import Resources
from hornbeamfold.scheduling.cluster import FAR_FUTURE_MS, ClusterCapacity, WorkerGroup, pack
from hornbeamfold.scheduling.inputs import PlacedRun, ReadyStep

Gang = tuple[str, int, int]


@dataclass(frozen=True)
class ReclaimPlan:
    """Workers for all waiting tasks and the runs to preempt.

    `victims` is empty if the runs that are already stopping free enough capacity.
    """

    workers: tuple[str, ...]
    victims: tuple[PlacedRun, ...]
    lost_work: float


class PreemptibleRuns:
    """The placed runs of a planning pass, by worker and by gang, and which of them are stopping."""

    def __init__(self, placed_runs: Iterable[PlacedRun]) -> None:
        self._by_worker: dict[str, list[PlacedRun]] = {}
        self._stopping_resources: dict[str, Resources] = {}
        self._gangs: dict[Gang, list[PlacedRun]] = {}
        self._victims: dict[PlacedRun, None] = {}
        self._by_organisation: dict[str, list[PlacedRun]] = {}
        self._stopping_of: dict[str, Resources] = {}
        for run in placed_runs:
            if run.gang is not None:
                self._gangs.setdefault(run.gang, []).append(run)
            if run.stopping:
                self._add_stopping(run)
            elif not run.protected:
                self._by_worker.setdefault(run.worker_id, []).append(run)
                self._by_organisation.setdefault(run.organisation, []).append(run)
        for runs in (*self._by_worker.values(), *self._by_organisation.values()):
            runs.sort(key=lambda each: (each.lost_work, each.name))

    def _add_stopping(self, run: PlacedRun) -> None:
        before = self._stopping_resources.get(run.worker_id, Resources())
        self._stopping_resources[run.worker_id] = before + run.reserved
        self._stopping_of[run.organisation] = self.stopping_of(run.organisation) + run.used

    def mark_stopping(self, runs: Iterable[PlacedRun]) -> None:
        """Record that this pass preempts these runs."""
        for run in runs:
            self._victims[run] = None
            self._add_stopping(run)

    def stopping_resources(self, worker_id: str) -> Resources | None:
        """Return what the stopping runs on a worker will free; None if there are none."""
        return self._stopping_resources.get(worker_id)

    def on_worker(self, worker_id: str, step: ReadyStep) -> Iterable[PlacedRun]:
        """Yield the runs on a worker that may be preempted for a step, cheapest first."""
        return self._preemptible_for(step, self._by_worker.get(worker_id, ()))

    def _preemptible_for(self, step: ReadyStep, runs: Iterable[PlacedRun]) -> Iterable[PlacedRun]:
        for run in runs:
            if run.spared and not step.entitled:
                continue
            if run.priority > step.job.priority and run not in self._victims:
                yield run

    def stopping_of(self, organisation: str) -> Resources:
        """Return what the stopping runs of an organisation will free of its limit."""
        return self._stopping_of.get(organisation, Resources())

    def in_organisation(self, step: ReadyStep) -> Iterable[PlacedRun]:
        """Yield the runs of a step's organisation that may be preempted for it, cheapest first."""
        return self._preemptible_for(step, self._by_organisation.get(step.job.organisation, ()))

    def gang_members(self, run: PlacedRun) -> Iterable[PlacedRun]:
        """Return the runs that end with a run; a gang goes on only as a whole."""
        if run.gang is None:
            return (run,)
        return [
            each
            for each in self._gangs[run.gang]
            if not each.stopping and each not in self._victims
        ]


def reclaim(
    cluster: ClusterCapacity,
    step: ReadyStep,
    groups: Sequence[WorkerGroup],
    runs: PreemptibleRuns,
    max_lost_work: float,
) -> ReclaimPlan | None:
    """Return the plan that loses the least work, or None if all lose `max_lost_work` or more."""
    count = len(step.waiting)
    free_by_group: dict[WorkerGroup, dict[str, Resources]] = {}
    for group in groups:
        free = free_by_group[group] = free_soon(cluster, cluster.members(step, group), runs)
        chosen = pack(cluster, step, count, free, free.__getitem__)
        if len(chosen) == count:
            return ReclaimPlan(tuple(chosen), (), 0.0)
    best: ReclaimPlan | None = None
    for free in free_by_group.values():
        found = _preempt_in(cluster, step, free, runs, best.lost_work if best else max_lost_work)
        if found is not None:
            best = found
    return best


def free_soon(
    cluster: ClusterCapacity, workers: Iterable[str], runs: PreemptibleRuns
) -> dict[str, Resources]:
    """Return what is free on each of these workers once stopping runs have ended."""
    free: dict[str, Resources] = {}
    for worker_id in workers:
        free[worker_id] = cluster.available(worker_id, FAR_FUTURE_MS)
        stopping = runs.stopping_resources(worker_id)
        if stopping is not None:
            free[worker_id] = free[worker_id] + stopping
    return free


def _preempt_in(
    cluster: ClusterCapacity,
    step: ReadyStep,
    free: dict[str, Resources],
    runs: PreemptibleRuns,
    max_lost_work: float,
) -> ReclaimPlan | None:
    """Return the preemptions in one group, or None if they lose `max_lost_work` or more."""
    count = len(step.waiting)
    chosen = pack(cluster, step, count, free, free.__getitem__)
    placed = dict(step.placed_on)
    for worker_id in chosen:
        free[worker_id] = free[worker_id] - step.step.reserved
        placed[worker_id] = placed.get(worker_id, 0) + 1
    victims: dict[PlacedRun, None] = {}
    search = _PreemptionSearch(step, free, placed, victims, runs)
    while len(chosen) < count:
        found = search.take_cheapest()
        if found is None or search.lost_work >= max_lost_work:
            return None
        chosen.append(found)
    return ReclaimPlan(tuple(chosen), tuple(victims), search.lost_work)


class _PreemptionSearch:
    """Finds for one task after the other the worker where it costs the least work.

    The cost on a worker is computed again only when a decision has changed it.
    """

    def __init__(
        self,
        step: ReadyStep,
        free: dict[str, Resources],
        placed: dict[str, int],
        victims: dict[PlacedRun, None],
        runs: PreemptibleRuns,
    ) -> None:
        self._step = step
        self._free = free
        self._placed = placed
        self._victims = victims
        self._runs = runs
        self._lost_work = 0.0
        self._versions: dict[str, int] = dict.fromkeys(free, 0)
        self._heap: list[tuple[float, str, int]] = []
        for worker_id in free:
            cost = self._cost(worker_id)
            if cost is not None:
                self._heap.append((cost, worker_id, 0))
        heapify(self._heap)

    @property
    def lost_work(self) -> float:
        """The work that the preemptions so far lose."""
        return self._lost_work

    def take_cheapest(self) -> str | None:
        """Place one more task, preempt what it needs, and return its worker; None if none can."""
        while self._heap:
            _, worker_id, version = heappop(self._heap)
            if version != self._versions[worker_id]:
                continue
            added = self._preemptions(worker_id)
            if added is None:
                continue
            changed: dict[str, None] = {worker_id: None}
            for victim in added:
                self._victims[victim] = None
                self._lost_work += victim.lost_work
                if victim.worker_id in self._free:
                    self._free[victim.worker_id] = self._free[victim.worker_id] + victim.reserved
                    changed[victim.worker_id] = None
            self._free[worker_id] = self._free[worker_id] - self._step.step.reserved
            self._placed[worker_id] = self._placed.get(worker_id, 0) + 1
            for each in changed:
                self._update(each)
            return worker_id
        return None

    def _update(self, worker_id: str) -> None:
        self._versions[worker_id] += 1
        cost = self._cost(worker_id)
        if cost is not None:
            heappush(self._heap, (cost, worker_id, self._versions[worker_id]))

    def _cost(self, worker_id: str) -> float | None:
        added = self._preemptions(worker_id)
        return None if added is None else sum(each.lost_work for each in added)

    def _preemptions(self, worker_id: str) -> Mapping[PlacedRun, None] | None:
        """Return the runs to preempt for one more task on a worker, or None if it cannot fit."""
        step = self._step
        limit = step.step.max_per_worker
        if limit and self._placed.get(worker_id, 0) >= limit:
            return None
        demand = step.step.reserved
        free = self._free[worker_id]
        added: dict[PlacedRun, None] = {}
        # What is missing for the task. Plain numbers, as this is the inner loop of a pass.
        cpu_millis = demand.cpu_millis - free.cpu_millis
        memory_mb = demand.memory_mb - free.memory_mb
        accelerators = demand.accelerators - free.accelerators
        if cpu_millis <= 0 and memory_mb <= 0 and accelerators <= 0:
            return added
        for run in self._runs.on_worker(worker_id, step):
            if run in self._victims or run in added:
                continue
            reserved = run.reserved
            if not (
                (cpu_millis > 0 and reserved.cpu_millis)
                or (memory_mb > 0 and reserved.memory_mb)
                or (accelerators > 0 and reserved.accelerators)
            ):
                # The run frees nothing that is missing.
                continue
            for member in self._runs.gang_members(run):
                if member in self._victims or member in added:
                    continue
                added[member] = None
                if member.worker_id == worker_id:
                    cpu_millis -= member.reserved.cpu_millis
                    memory_mb -= member.reserved.memory_mb
                    accelerators -= member.reserved.accelerators
            if cpu_millis <= 0 and memory_mb <= 0 and accelerators <= 0:
                return added
        return None
