"""One planning pass: places ready steps in queue order, as far as capacity allows."""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from functools import cached_property
from math import inf

from hornbeamfold.scheduling.claims import ClaimedRoom
from hornbeamfold.scheduling.cluster import ClusterCapacity, WorkerGroup, pack
from hornbeamfold.scheduling.idle_jobs import MAX_IDLE_MS, IdleJobPlacement
from hornbeamfold.scheduling.inputs import (
    Assignment,
    CandidateWorker,
    Claim,
    PlacedRun,
    Plan,
    Preemption,
    ReadyStep,
    Slowdown,
    Wait,
    no_slowdown,
)
from hornbeamfold.scheduling.locality import candidate_groups
from hornbeamfold.scheduling.organisation_limits import (
    NO_ORGANISATIONS,
    OrganisationLimits,
    OrganisationUse,
)
from hornbeamfold.scheduling.overdue import overdue_first, overdue_steps
from hornbeamfold.scheduling.placing import may_ever_fit, place_tasks, tasks_beside_headroom
from hornbeamfold.scheduling.reclaim import PreemptibleRuns, reclaim
from hornbeamfold.scheduling.reserve import earliest_fit, reserve
from hornbeamfold.scheduling.shares import OrganisationShares
from hornbeamfold.scheduling.urgency import (
    may_preempt,
    order_key,
    preemption_budget,
    wait_before_preemption_ms,
)
from hornbeamfold.scheduling.waits import explain_limit, explain_wait, stranded_accelerators

# The maximum number of blocked steps with reserved capacity. With one, every large gang further
# back would overtake a large gang near the head of the queue; with many, most of the capacity would
# be reserved and idle.
MAX_RESERVATIONS = 2
# The waits that one pass explains, the first in the queue; an explanation costs as much as placing.
MAX_EXPLAINED_WAITS = 10
NO_HEADROOM: Mapping[str, int] = {}


def plan(
    steps: Sequence[ReadyStep],
    workers: Sequence[CandidateWorker],
    placed_runs: Sequence[PlacedRun],
    now_ms: int,
    headroom: Mapping[str, int] = NO_HEADROOM,
    slowdown: Slowdown = no_slowdown,
    disturbance: Slowdown = no_slowdown,
    organisations: Mapping[str, OrganisationUse] = NO_ORGANISATIONS,
    claims: Sequence[Claim] = (),
) -> Plan:
    """Return the starts and preemptions to carry out now; times are on the coordinator's clock.

    `headroom` is the number of accelerators of each service that non-urgent work leaves free for
    the urgent work that is expected, so that fewer runs have to be preempted for it. `slowdown`
    returns how many times as long as usual a task of a step takes on a worker by the worker's
    speed, and `disturbance` by the tasks that run there. `organisations` are those with limits or
    shares, and `claims` those of the plan before.
    """
    limits = OrganisationLimits(organisations, placed_runs, now_ms)
    shares = OrganisationShares(organisations, steps, workers, now_ms)
    cluster = ClusterCapacity(workers, slowdown, now_ms, disturbance)
    run = _Pass(cluster, placed_runs, now_ms, headroom, limits, shares)
    run.claim(claims, steps)
    overdue = overdue_steps(
        steps, now_ms, lambda each: limits.startable(each) > 0 and may_ever_fit(cluster, each)
    )
    ordered = overdue_first(sorted(steps, key=lambda each: order_key(each, now_ms)), overdue)
    others: list[ReadyStep] = []
    for step in ordered:
        # Shares neither delay guaranteed work nor lengthen the bounded wait of overdue steps.
        if step.entitled or step.key in overdue:
            run.place(step, step.key in overdue)
            continue
        others.append(step)
    for step in shares.in_order(others):
        run.place(step, overdue=False)
    return run.result()


class _Pass:
    """The state of one planning pass."""

    def __init__(
        self,
        cluster: ClusterCapacity,
        placed_runs: Sequence[PlacedRun],
        now_ms: int,
        headroom: Mapping[str, int],
        limits: OrganisationLimits,
        shares: OrganisationShares,
    ) -> None:
        self._limits = limits
        self._shares = shares
        self._cluster = cluster
        self._idle_jobs = IdleJobPlacement(self._cluster, now_ms)
        self._placed_runs = placed_runs
        self._now_ms = now_ms
        self._headroom = headroom
        self._assignments: list[Assignment] = []
        self._preemptions: list[Preemption] = []
        self._blocked = 0
        self._waits: list[Wait] = []
        self._reserved_steps = 0
        self._reserved_isolated = False
        self._claimed = ClaimedRoom(self._cluster, (), (), now_ms)
        self._oldest_gang: ReadyStep | None = None

    @cached_property
    def _preemptible_runs(self) -> PreemptibleRuns:
        return PreemptibleRuns(self._placed_runs)

    @cached_property
    def _runs_by_end_time(self) -> Sequence[PlacedRun]:
        return sorted(self._placed_runs, key=lambda each: (each.remaining_ms, each.name))

    def result(self) -> Plan:
        """Return the decisions so far."""
        return Plan(
            tuple(self._assignments),
            tuple(self._preemptions),
            self._blocked,
            tuple(self._waits),
            self._limits.limited,
            self._claimed.kept,
            stranded_accelerators(self._cluster, self._oldest_gang) if self._oldest_gang else 0,
        )

    def claim(self, claims: Sequence[Claim], steps: Sequence[ReadyStep]) -> None:
        """Hold the room that runs were stopped for in earlier passes."""
        self._claimed = ClaimedRoom(self._cluster, claims, steps, self._now_ms)

    def place(self, step: ReadyStep, overdue: bool) -> None:
        """Place the waiting tasks of a step that its organisation's limit has room for."""
        startable = self._limits.startable(step)
        if startable == len(step.waiting):
            self._place_startable(step, overdue)
            return
        if startable:
            self._place_startable(replace(step, waiting=step.waiting[:startable]), overdue)
        else:
            self._blocked += 1
            self._explain(explain_limit(self._cluster, step, self._now_ms))
        self._wait_for_limit(replace(step, waiting=step.waiting[startable:]))

    def _wait_for_limit(self, step: ReadyStep) -> None:
        """Keep a part of its organisation's limit for a step, and preempt for it, if it may."""
        preempts = step.entitled or may_preempt(step, self._now_ms)
        start_ms = self._limits.hold(step, preempts)
        if not preempts:
            return
        if start_ms is not None and start_ms <= self._now_ms + wait_before_preemption_ms(
            step, self._now_ms
        ):
            return
        max_lost_work = preemption_budget(step, self._now_ms)
        victims = self._limits.runs_to_preempt(step, self._preemptible_runs, max_lost_work)
        self._preempt(step, victims, "limit")

    def _place_startable(self, step: ReadyStep, overdue: bool) -> None:
        """Place the waiting tasks of a step, or preempt or reserve what they need."""
        claimed = self._claimed.take(step)
        groups = candidate_groups(self._cluster, step, self._now_ms)
        headroom = self._headroom.get(step.job.service, 0)
        max_tasks = tasks_beside_headroom(self._cluster, step, headroom, self._now_ms)
        chosen = self._place_on(step, claimed)
        if not chosen:
            chosen = place_tasks(self._cluster, step, groups, self._now_ms, max_tasks)
        if chosen:
            self._assign(step, chosen, _placement_reason(step))
        elif step.idle_ms(self._now_ms) >= MAX_IDLE_MS:
            relaxed, chosen = self._idle_jobs.place(step, groups)
            self._assign(relaxed, chosen, "idle")
        if len(chosen) == len(step.waiting):
            return
        self._blocked += 1
        oldest = self._oldest_gang
        if step.step.gang and (oldest is None or step.ready_ms < oldest.ready_ms):
            self._oldest_gang = step
        if not chosen and len(self._waits) < MAX_EXPLAINED_WAITS:
            self._explain(explain_wait(self._cluster, step, headroom, max_tasks, self._now_ms))
        unplaced = replace(step, waiting=step.waiting[len(chosen) :])
        if self._make_room(unplaced, groups, claimed) or self._take_over(unplaced, groups):
            return
        if chosen:
            return
        if overdue and not step.isolated:
            self._keep_room(step, groups, claimed)
            return
        self._reserve(step, groups)

    def _explain(self, wait: Wait | None) -> None:
        if wait is not None and len(self._waits) < MAX_EXPLAINED_WAITS:
            self._waits.append(wait)

    def _assign(self, step: ReadyStep, workers: Sequence[str], reason: str) -> None:
        """Assign the first waiting tasks of a step to these workers."""
        self._limits.start(step, len(workers))
        self._shares.start(step, len(workers))
        for index, worker_id in zip(step.waiting, workers, strict=False):
            self._cluster.allocate(worker_id, step.step.reserved)
            self._cluster.note_newcomer(step, worker_id)
            self._assignments.append(
                Assignment(step.job.job_id, step.ref(index), worker_id, reason)
            )
        if not step.isolated:
            return
        for worker_id in dict.fromkeys(workers):
            self._cluster.allocate_rest(worker_id)

    def _place_on(self, step: ReadyStep, workers: Sequence[str]) -> list[str]:
        """Return workers for all waiting tasks among those that the step has claimed, or none."""
        ends_ms = self._now_ms + step.expected_ms
        count = len(step.waiting)
        chosen = pack(
            self._cluster,
            step,
            count,
            dict.fromkeys(workers),
            lambda each: self._cluster.available(each, ends_ms),
        )
        return chosen if len(chosen) == count else []

    def _make_room(
        self, step: ReadyStep, groups: Sequence[WorkerGroup], claimed: Sequence[str]
    ) -> bool:
        """Wait for runs that end soon or preempt others, if the step may; return success."""
        if step.isolated or not (step.entitled or may_preempt(step, self._now_ms)):
            return False
        if claimed and self._claimed.renew(step, claimed, self._preemptible_runs):
            return True
        if self._wait_for_ends(step, groups):
            return True
        max_lost_work = preemption_budget(step, self._now_ms)
        return self._reclaim(step, groups, max_lost_work)

    def _take_over(self, step: ReadyStep, groups: Sequence[WorkerGroup]) -> bool:
        """Make room for a guaranteed step where steps without a guarantee have claims."""
        if step.isolated or not step.entitled:
            return False
        released = self._claimed.release_without_guarantee()
        if not released:
            return False
        if self._make_room(step, groups, ()):
            return True
        self._claimed.restore(released)
        return False

    def _reserve(self, step: ReadyStep, groups: Sequence[WorkerGroup]) -> None:
        """Reserve room for a blocked step, if it may have a reservation."""
        if not self._may_reserve(step):
            return
        reserved = reserve(
            self._cluster, step, groups, self._runs_by_end_time, self._now_ms, inf, firm=False
        )
        if step.isolated:
            self._reserved_isolated = self._reserved_isolated or reserved
        else:
            self._reserved_steps += reserved

    def _keep_room(
        self, step: ReadyStep, groups: Sequence[WorkerGroup], claimed: Sequence[str]
    ) -> None:
        """Claim room for an overdue step, and keep it on the same workers until the step starts.

        Nothing else starts there, so that the step waits for the runs that are there now at most.
        """
        if not self._may_reserve(step):
            return
        workers = claimed
        if len(workers) != len(step.waiting):
            found = earliest_fit(self._cluster, step, groups, self._runs_by_end_time, inf)
            if found is None:
                return
            workers = found[1]
        self._claimed.add(step, workers)
        self._reserved_steps += 1

    def _may_reserve(self, step: ReadyStep) -> bool:
        """Return whether a blocked step may have a reservation; of isolated steps, one may."""
        if step.isolated:
            return not self._reserved_isolated
        return not step.entitled and self._reserved_steps < MAX_RESERVATIONS

    def _wait_for_ends(self, step: ReadyStep, groups: Sequence[WorkerGroup]) -> bool:
        """Reserve what runs will soon free by themselves, instead of preempting; return success."""
        max_wait_ms = wait_before_preemption_ms(step, self._now_ms)
        if max_wait_ms <= 0:
            return False
        return reserve(
            self._cluster,
            step,
            groups,
            self._runs_by_end_time,
            self._now_ms,
            max_wait_ms,
            firm=True,
        )

    def _reclaim(
        self, step: ReadyStep, groups: Sequence[WorkerGroup], max_lost_work: float
    ) -> bool:
        """Reserve what stopping runs free for a step, and preempt the rest; return success."""
        found = reclaim(self._cluster, step, groups, self._preemptible_runs, max_lost_work)
        if found is None:
            return False
        self._claimed.add(step, found.workers, kept=step.entitled)
        self._preempt(step, found.victims, "room")
        return True

    def _preempt(self, step: ReadyStep, victims: Sequence[PlacedRun], reason: str) -> None:
        self._preemptible_runs.mark_stopping(victims)
        self._preemptions.extend(
            Preemption(each.name, each.worker_id, step.job.job_id, reason) for each in victims
        )


def _placement_reason(step: ReadyStep) -> str:
    if step.isolated:
        return "isolated"
    return "entitled" if step.entitled else "tightest fit"
