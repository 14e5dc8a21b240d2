"""Places steps of jobs that have had no run for long, where there is ample room."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from hornbeamfold.batch import Resources
from hornbeamfold.scheduling.cluster import (
    ClusterCapacity,
    WorkerGroup,
    pack,
    placeable_tasks,
)
from hornbeamfold.scheduling.inputs import ReadyStep
from hornbeamfold.scheduling.locality import ALL_RACKS

# What a step prefers no longer holds back a job that has had no run for this long while there is
# room for what it needs this many times over.
MAX_IDLE_MS = 2_000
ROOM_FACTOR = 2

Available = Callable[[str], Resources]


@dataclass(frozen=True)
class _Need:
    """What steps have in common for which the same room counts."""

    service: str
    label: str
    demand: Resources
    isolated: bool
    any_worker: bool
    ends_ms: int | None  # when reservations count


class IdleJobPlacement:
    """The placements of idle jobs in one planning pass, and the needs for which room is scarce.

    Room only shrinks during a pass, so a need that was not met is not looked at again.
    """

    def __init__(self, cluster: ClusterCapacity, now_ms: int) -> None:
        self._cluster = cluster
        self._now_ms = now_ms
        self._scarce: dict[_Need, int] = {}

    def place(self, step: ReadyStep, groups: Sequence[WorkerGroup]) -> tuple[ReadyStep, list[str]]:
        """Return workers for a step, and the step with the preferences that it was placed with.

        Racks and headroom are preferences. While at least half of the service is idle, so are the
        reservations of steps ahead in the queue, workers to avoid, isolation, and workers that take
        tasks only as a last resort. In a fuller service large gangs would starve without those.
        """
        for variant in self._variants(step):
            chosen = self._place_in_ample_room(variant, groups)
            if chosen:
                return variant, chosen
        return step, []

    def _variants(self, step: ReadyStep) -> list[ReadyStep]:
        variants = [step]
        if not self._cluster.is_half_idle(step.job.service):
            return variants
        if step.avoid or step.isolated:
            variants.append(replace(step, avoid=frozenset(), isolated=False))
        if self._cluster.has_last_resorts(step.job.service):
            variants.append(replace(variants[-1], isolated=False, any_worker=True))
        return variants

    def _place_in_ample_room(self, step: ReadyStep, groups: Sequence[WorkerGroup]) -> list[str]:
        """Return workers for what a job needs to make progress, or none if room is scarce.

        One task is enough for that; the others wait for room where they run faster. The tasks of a
        gang need one another, and long-running tasks are each needed.
        """
        waiting = len(step.waiting)
        needed = waiting if step.step.gang else 1
        ends_ms: int | None = self._now_ms + step.expected_ms
        if step.step.long_running or self._cluster.is_half_idle(step.job.service):
            ends_ms = None
        available = self._available(ends_ms)
        need = _Need(
            step.job.service,
            step.step.required_label,
            step.step.reserved,
            step.isolated,
            step.any_worker,
            ends_ms,
        )
        if needed >= self._scarce.get(need, needed + 1):
            return []
        members = self._cluster.members_with_accelerators(step, ALL_RACKS)
        if not self._is_ample(step, members, available, ROOM_FACTOR * needed):
            if not step.avoid:
                self._scarce[need] = needed
            return []
        wanted = waiting if step.step.long_running else needed
        for group in groups:
            nearby = self._cluster.members_with_accelerators(step, group)
            chosen = pack(self._cluster, step, wanted, nearby, available)
            if len(chosen) == wanted:
                return chosen
        chosen = pack(self._cluster, step, wanted, members, available)
        return chosen if len(chosen) == wanted or not step.step.gang else []

    def _available(self, ends_ms: int | None) -> Available:
        """Return the room of a worker for tasks that end then, or regardless of reservations."""
        if ends_ms is None:
            return self._cluster.available_to_idle_job
        return lambda worker_id: self._cluster.available(worker_id, ends_ms)

    def _is_ample(
        self, step: ReadyStep, members: Sequence[str], available: Available, tasks: int
    ) -> bool:
        """Return whether so many tasks fit, regardless of how many of them one worker may have."""
        room = 0
        for worker_id in members:
            worker = self._cluster.worker(worker_id)
            free = available(worker_id)
            room += placeable_tasks(step, worker, free, tasks - room)
            if room >= tasks:
                return True
        return False
