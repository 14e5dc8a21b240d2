"""Who uses which accelerator, and until when by the corrected estimates."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from hornbeamfold.model import Job, JobState, Member
from hornbeamfold.placement.estimates import expected_end_ms

Key = tuple[str, str]
# The identity of a line, its versions as allowed and as free now, and the accelerators and span.
WindowKey = tuple[int, int, int, int, int]
# What a move costs a checkpointable job: its checkpoint, its restart and the work between.
MOVE_COST_MS = 30_000
# An urgent tenant is stopped only if that saves many times the work of patient ones.
URGENT_COST_FACTOR = 10.0


@dataclass(frozen=True)
class Tenant:
    """An active job with its expected end and the cost of stopping it, in accelerator ms."""

    job: Job
    key: Key
    ends_ms: int
    cost: float

    @property
    def stopping(self) -> bool:
        """Whether the job is being stopped already."""
        return self.job.state is JobState.STOPPING


class Tenants:
    """The active jobs on each worker and accelerator, indexed when first needed."""

    def __init__(self, active: Iterable[Job], estimates: Mapping[Key, float], now_ms: int) -> None:
        self._active = list(active)
        self._estimates = estimates
        self._now_ms = now_ms
        self._tenants: dict[int, Tenant] = {}
        self._window_costs: dict[WindowKey, list[tuple[float, int]]] = {}
        self._cells: dict[str, dict[int, Tenant]] | None = None
        self._workers: dict[str, list[tuple[Job, Member]]] | None = None

    def on_cells(self, worker: str) -> Mapping[int, Tenant]:
        """Return the tenants of a worker's accelerators."""
        if self._cells is None:
            self._cells = {}
            for job in self._active:
                if not job.spec.shape.accelerators:
                    continue
                tenant = self._tenant(job)
                for status in job.members:
                    cells = self._cells.setdefault(status.member.worker, {})
                    for index in status.member.accelerators:
                        cells[index] = tenant
        return self._cells.get(worker, _NO_CELLS)

    def on_worker(self, worker: str) -> list[tuple[Tenant, Member]]:
        """Return the tenants of a worker with their members there."""
        if self._workers is None:
            self._workers = {}
            for job in self._active:
                for status in job.members:
                    member = status.member
                    self._workers.setdefault(member.worker, []).append((job, member))
        return [(self._tenant(job), member) for job, member in self._workers.get(worker, ())]

    def window_costs(
        self, key: WindowKey, compute: Callable[[], list[tuple[float, int]]]
    ) -> list[tuple[float, int]]:
        """Return the costs of the windows of a line, which the reclaims of one call share."""
        costs = self._window_costs.get(key)
        if costs is None:
            costs = self._window_costs[key] = compute()
        return costs

    def _tenant(self, job: Job) -> Tenant:
        tenant = self._tenants.get(id(job))
        if tenant is None:
            end = expected_end_ms(job, self._estimates, self._now_ms)
            tenant = Tenant(job, job.key, end, stop_cost(job, self._now_ms))
            self._tenants[id(job)] = tenant
        return tenant


_NO_CELLS: dict[int, Tenant] = {}


def stop_cost(job: Job, now_ms: int) -> float:
    """Return the work that a stop loses, in accelerator milliseconds; nothing if it stops."""
    if job.state is JobState.STOPPING:
        return 0.0
    size = job.spec.shape.accelerators or 1
    cost = float(MOVE_COST_MS)
    if not job.spec.checkpointable:
        started = job.running_ms or job.placed_ms
        cost += max(0, now_ms - started)
    if job.spec.urgent:
        cost *= URGENT_COST_FACTOR
    return cost * size
