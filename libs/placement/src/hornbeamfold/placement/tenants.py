"""Who uses which accelerator, and until when by the corrected estimates."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from hornbeamfold.model import Job, JobState, Member
from hornbeamfold.placement.estimates import expected_end_ms

Key = tuple[str, str]
# What a move costs a checkpointable job: its checkpoint, its restart and the work between.
MOVE_COST_MS = 30_000
# An urgent tenant is stopped only if that saves many times the work of patient ones.
URGENT_COST_FACTOR = 10.0


@dataclass(frozen=True)
class Tenant:
    """An active job with its expected end and the cost of stopping it, in accelerator ms."""

    job: Job
    ends_ms: int
    cost: float

    @property
    def stopping(self) -> bool:
        """Whether the job is being stopped already."""
        return self.job.state is JobState.STOPPING


@dataclass
class Tenants:
    """The active jobs on each worker and on each of its accelerators."""

    on_worker: dict[str, list[tuple[Tenant, Member]]] = field(default_factory=dict)
    on_cell: dict[str, dict[int, Tenant]] = field(default_factory=dict)

    def cell_end(self, worker: str, index: int) -> float:
        """Return when an accelerator that is not free is expected to be."""
        tenant = self.on_cell.get(worker, {}).get(index)
        return tenant.ends_ms if tenant is not None else float("inf")


def find_tenants(active: Iterable[Job], estimates: Mapping[Key, float], now_ms: int) -> Tenants:
    """Return the tenants of all workers."""
    tenants = Tenants()
    on_worker = tenants.on_worker
    on_cell = tenants.on_cell
    for job in active:
        tenant = Tenant(job, expected_end_ms(job, estimates, now_ms), stop_cost(job, now_ms))
        for status in job.members:
            member = status.member
            on_worker.setdefault(member.worker, []).append((tenant, member))
            if member.accelerators:
                cells = on_cell.setdefault(member.worker, {})
                for index in member.accelerators:
                    cells[index] = tenant
    return tenants


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
