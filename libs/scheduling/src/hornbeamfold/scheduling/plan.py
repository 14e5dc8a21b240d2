"""One planning pass: places ready steps in queue order, as far as capacity allows."""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from functools import cached_property

from hornbeamfold.scheduling.cluster import ClusterCapacity, Reservation, WorkerGroup, pack
from hornbeamfold.scheduling.inputs import (
    Assignment,
    CandidateWorker,
    PlacedRun,
    Plan,
    Preemption,
    ReadyStep,
)
from hornbeamfold.scheduling.locality import candidate_groups
from hornbeamfold.scheduling.reclaim import PreemptibleRuns, reclaim
from hornbeamfold.scheduling.reserve import reserve

# The maximum number of blocked steps with reserved capacity. With one, every large gang further
# back would overtake a large gang near the head of the queue; with many, most of the capacity would
# be reserved and idle.
MAX_RESERVATIONS = 2
# A step that would miss its objective by taking this many times its estimate from now on ignores
# the headroom for urgent work.
RISK_FACTOR = 1.5
NO_HEADROOM: Mapping[str, int] = {}


def order_key(step: ReadyStep, now_ms: int) -> tuple[bool, int, bool, int, str, int, int]:
    """Return the queue sort key: guaranteed work first, then by priority, then by objective.

    Within a priority, steps that have missed their objective come after those that have not.
    """
    late = now_ms > step.due_ms
    return (
        not step.entitled,
        step.job.priority,
        late,
        step.due_ms,
        step.job.job_id,
        step.occurrence,
        step.step_index,
    )


def plan(
    steps: Sequence[ReadyStep],
    workers: Sequence[CandidateWorker],
    placed_runs: Sequence[PlacedRun],
    now_ms: int,
    headroom: Mapping[str, int] = NO_HEADROOM,
) -> Plan:
    """Return the starts and preemptions to carry out now; times are on the coordinator's clock.

    `headroom` is the number of accelerators of each service that non-urgent work leaves free for
    the urgent work that is expected, so that fewer runs have to be preempted for it.
    """
    run = _Pass(workers, placed_runs, now_ms, headroom)
    for step in sorted(steps, key=lambda each: order_key(each, now_ms)):
        run.place(step)
    return run.result()


class _Pass:
    """The state of one planning pass."""

    def __init__(
        self,
        workers: Sequence[CandidateWorker],
        placed_runs: Sequence[PlacedRun],
        now_ms: int,
        headroom: Mapping[str, int],
    ) -> None:
        self._cluster = ClusterCapacity(workers)
        self._placed_runs = placed_runs
        self._now_ms = now_ms
        self._headroom = headroom
        self._assignments: list[Assignment] = []
        self._preemptions: list[Preemption] = []
        self._blocked = 0
        self._reserved_steps = 0

    @cached_property
    def _preemptible_runs(self) -> PreemptibleRuns:
        return PreemptibleRuns(self._placed_runs)

    @cached_property
    def _runs_by_end_time(self) -> Sequence[PlacedRun]:
        return sorted(self._placed_runs, key=lambda each: (each.remaining_ms, each.name))

    def result(self) -> Plan:
        """Return the decisions so far."""
        return Plan(tuple(self._assignments), tuple(self._preemptions), self._blocked)

    def place(self, step: ReadyStep) -> None:
        """Place the waiting tasks of a step, or preempt or reserve what they need."""
        groups = candidate_groups(self._cluster, step, self._now_ms)
        headroom = self._headroom.get(step.job.service, 0)
        max_tasks = _max_tasks(self._cluster, step, headroom, self._now_ms)
        chosen = _place(self._cluster, step, groups, self._now_ms, max_tasks)
        for index, worker_id in zip(step.waiting, chosen, strict=False):
            self._cluster.allocate(worker_id, step.step.reserved)
            reason = "entitled" if step.entitled else "tightest fit"
            self._assignments.append(
                Assignment(step.job.job_id, step.ref(index), worker_id, reason)
            )
        if len(chosen) == len(step.waiting):
            return
        self._blocked += 1
        if step.entitled:
            self._reclaim(replace(step, waiting=step.waiting[len(chosen) :]), groups)
        elif self._reserved_steps < MAX_RESERVATIONS and not chosen:
            self._reserved_steps += reserve(
                self._cluster, step, groups, self._runs_by_end_time, self._now_ms
            )

    def _reclaim(self, step: ReadyStep, groups: Sequence[WorkerGroup]) -> None:
        """Reserve the capacity of stopping runs for an entitled step, and preempt the rest."""
        found = reclaim(self._cluster, step, groups, self._preemptible_runs)
        if found is None:
            return
        for worker_id in found.workers:
            self._cluster.add_reservation(Reservation(worker_id, step.step.reserved, self._now_ms))
        self._preemptible_runs.mark_stopping(found.victims)
        self._preemptions.extend(
            Preemption(each.name, each.worker_id, step.job.job_id) for each in found.victims
        )


def _max_tasks(cluster: ClusterCapacity, step: ReadyStep, headroom: int, now_ms: int) -> int:
    """Return how many tasks may be placed without using the headroom for urgent work."""
    count = len(step.waiting)
    needed = step.step.demand.accelerators
    urgent = step.entitled or step.job.priority == 0
    at_risk = now_ms + RISK_FACTOR * step.step.estimate_ms > step.due_ms
    if urgent or at_risk or needed == 0 or headroom == 0:
        return count
    allowed = max(0, cluster.idle_accelerators(step.job.service) - headroom) // needed
    if allowed >= count:
        return count
    return 0 if step.step.gang else allowed


def _place(
    cluster: ClusterCapacity,
    step: ReadyStep,
    groups: Sequence[WorkerGroup],
    now_ms: int,
    count: int,
) -> list[str]:
    """Return workers for `count` waiting tasks: all or none of a gang, otherwise as many as fit."""
    ends_ms = now_ms + step.step.estimate_ms
    needed = step.step.demand.accelerators
    best: list[str] = []
    for group in groups:
        idle = cluster.idle_accelerators(step.job.service, group.rack)
        if idle < needed * (count if step.step.gang else 1):
            continue
        members = cluster.members_with_accelerators(step, group)
        chosen = pack(cluster, step, count, members, lambda each: cluster.available(each, ends_ms))
        if len(chosen) == count:
            return chosen
        if len(chosen) > len(best) and not step.step.gang:
            best = chosen
    return best
