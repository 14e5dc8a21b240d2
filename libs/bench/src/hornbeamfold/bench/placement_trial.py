"""Drives seeded job streams against the placement policy and a baseline on a virtual clock."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, replace
from heapq import heappop, heappush
from json import dumps
from sys import argv
from time import process_time

from hornbeamfold.bench.placement_baseline import baseline_plan
from hornbeamfold.bench.placement_results import PolicyResult, Quantiles, Work, quantiles
from hornbeamfold.bench.placement_samples import HORIZON_MS, ZONE_OUT_MS, Samples
from hornbeamfold.bench.placement_stream import (
    ARRIVALS_MS,
    Arrival,
    make_organisations,
    make_stream,
    make_topology,
)
from hornbeamfold.model import (
    ENDED_JOBS,
    Job,
    JobJudged,
    JobPlaced,
    JobState,
    JobStopping,
    Member,
    MemberStatus,
    Reservation,
    StopReason,
    WorkerCapacity,
)
from hornbeamfold.model.estimates import update_correction_factor
from hornbeamfold.model.timing import CHECKPOINT_BOUND_MS, RESERVATION_MS
from hornbeamfold.placement import Decision, PlanningState, plan, plan_with_heads
from hornbeamfold.placement.blocks import mask_of

__all__ = [
    "POLICIES",
    "Arrival",
    "PolicyResult",
    "Quantiles",
    "Trial",
    "Work",
    "baseline_plan",
    "make_organisations",
    "make_stream",
    "make_topology",
    "quantiles",
    "run_trial",
    "traced_plan",
]

Key = tuple[str, str]
Policy = Callable[[PlanningState, int], tuple[Decision, ...]]
HeldWindows = Callable[[], Mapping[str, tuple[Member, ...]]]

# One decision follows an event after this time: an append and its way back.
DECISION_DELAY_MS = 100
TICK_MS = 10_000
# A plain stop ends sooner than one that writes a checkpoint.
STOP_MS = 1_000
# What a stopped job needs to come back to the work that its checkpoint holds.
RESTART_MS = 20_000


class Trial:
    """One policy on one stream: the virtual clock, the cluster and the samples."""

    def __init__(self, policy: Policy, stream: Iterable[Arrival], held: HeldWindows = dict) -> None:
        self._policy = policy
        self._held = held
        self._organisations = make_organisations()
        self._free = {
            worker.name: WorkerCapacity(
                worker, region, (1 << worker.accelerators) - 1, worker.processors,
                worker.memory_gb, worker.slots, True,
            )
            for region, worker in make_topology()
        }  # fmt: skip
        self._jobs: dict[Key, Job] = {}
        self._live: dict[Key, Job] = {}
        self._left: dict[Key, int] = {}
        self._arrivals = {item.spec.key: item for item in stream}
        self._reservations: dict[Key, Reservation] = {}
        self._estimates: dict[Key, float] = {}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._now = 0
        self._planned = False
        self._samples = Samples(self._arrivals)

    def run(self) -> PolicyResult:
        """Run to the end and return what was measured."""
        for item in self._arrivals.values():
            self._at(item.at_ms, lambda item=item: self._arrive(item))  # type: ignore[misc]
        self._at(ZONE_OUT_MS[0], lambda: self._set_zone("z1", False))
        self._at(ZONE_OUT_MS[1], lambda: self._set_zone("z1", True))
        self._at(TICK_MS, self._tick)
        while self._events and self._now < HORIZON_MS:
            at, _, action = heappop(self._events)
            if at > self._now:
                self._samples.add_time(
                    self._now, at, self._live.values(), self._free, self._held_windows()
                )
            self._now = at
            action()
        return self._samples.result(len(self._live))

    def _at(self, at_ms: int, action: Callable[[], None]) -> None:
        self._count += 1
        heappush(self._events, (at_ms, self._count, action))

    def _held_windows(self) -> dict[str, tuple[Member, ...]]:
        """Return the windows that are kept for waiting jobs, by reason."""
        reclaims = tuple(
            member
            for item in self._reservations.values()
            if item.until_ms > self._now
            for member in item.members
        )
        return {"reclaim": reclaims, **self._held()}

    def _arrive(self, item: Arrival) -> None:
        self._left[item.spec.key] = item.actual_ms
        self._put(Job(item.spec, self._now))
        self._want_plan()

    def _put(self, job: Job) -> None:
        self._jobs[job.key] = job
        if job.state in ENDED_JOBS:
            self._live.pop(job.key, None)
        else:
            self._live[job.key] = job

    def _tick(self) -> None:
        waiting = [j.spec.shape for j in self._live.values() if j.state is JobState.QUEUED]
        if waiting:
            self._samples.add_layout(self._free, waiting)
            self._want_plan()
        if self._live or self._now < ARRIVALS_MS:
            self._at(self._now + TICK_MS, self._tick)

    def _want_plan(self) -> None:
        if not self._planned:
            self._planned = True
            self._at(self._now + DECISION_DELAY_MS, self._plan)

    def _plan(self) -> None:
        self._planned = False
        self._reservations = {
            key: item for key, item in self._reservations.items() if item.until_ms > self._now
        }
        state = PlanningState(
            tuple(self._live.values()), self._free, self._organisations,
            tuple(self._reservations.values()), self._estimates, self._count,
        )  # fmt: skip
        before = process_time()
        decisions = self._policy(state, self._now)
        self._samples.add_decision((process_time() - before) * 1000)
        for decision in decisions:
            self._apply(decision.event)
        if decisions:
            self._want_plan()

    def _apply(self, event: JobPlaced | JobStopping | JobJudged) -> None:
        key = (event.organisation, event.job_id)
        job = self._jobs[key]
        if isinstance(event, JobJudged):
            self._put(replace(job, infeasible=event.infeasible))
        elif isinstance(event, JobStopping):
            if event.beneficiary is not None:
                self._reservations[event.beneficiary] = Reservation(
                    event.beneficiary, event.window, self._now + RESERVATION_MS
                )
            self._stop(job, event.reason)
        else:
            self._reservations.pop(key, None)
            for member in event.members:
                self._change(member, -1)
            self._samples.add_start(key, self._now)
            members = tuple(MemberStatus(member) for member in event.members)
            self._put(replace(
                job, state=JobState.RUNNING, members=members,
                placed_ms=self._now, running_ms=self._now,
            ))  # fmt: skip
            attempt = job.attempt
            self._at(self._now + self._left[key], lambda: self._finish(key, attempt))

    def _change(self, member: Member, sign: int) -> None:
        was = self._free[member.worker]
        mask = mask_of(member.accelerators)
        if sign < 0 and (was.free_mask & mask != mask or not was.eligible):
            raise AssertionError(f"{member} is not free")
        self._free[member.worker] = replace(
            was,
            free_mask=was.free_mask | mask if sign > 0 else was.free_mask & ~mask,
            free_processors=was.free_processors + sign * member.processors,
            free_memory_gb=was.free_memory_gb + sign * member.memory_gb,
            free_slots=was.free_slots + sign,
        )

    def _finish(self, key: Key, attempt: int) -> None:
        job = self._jobs[key]
        if job.attempt != attempt or job.state is not JobState.RUNNING:
            return
        for status in job.members:
            self._change(status.member, 1)
        self._samples.add_end(key, self._now)
        kind = (job.spec.organisation, job.spec.kind)
        if job.attempt == 1:
            self._estimates[kind] = update_correction_factor(
                self._estimates.get(kind, 1.0), job.spec.declared_ms, self._now - job.running_ms
            )
        self._put(replace(job, state=JobState.FINISHED, members=()))
        self._want_plan()

    def _stop(self, job: Job, reason: StopReason | None) -> None:
        """Stop a job; one that can checkpoint keeps its work but for the restart.

        `reason` is None for a stop that the policy did not decide.
        """
        ran = self._now - job.running_ms
        if job.spec.checkpointable:
            lost, delay = min(ran, RESTART_MS), CHECKPOINT_BOUND_MS
        else:
            lost, delay = ran, STOP_MS
        self._left[job.key] -= ran - lost
        if reason is not None:
            self._samples.add_stop(job, self._now, lost, reason)
        self._put(replace(job, state=JobState.STOPPING, stopping_ms=self._now))
        self._at(self._now + delay, lambda: self._stopped(job.key))

    def _stopped(self, key: Key) -> None:
        job = self._jobs[key]
        for status in job.members:
            self._change(status.member, 1)
        self._put(replace(
            job, state=JobState.QUEUED, members=(), attempt=job.attempt + 1, running_ms=0,
        ))  # fmt: skip
        self._want_plan()

    def _set_zone(self, zone: str, in_service: bool) -> None:
        for name, capacity in self._free.items():
            if capacity.worker.availability_zone == zone:
                self._free[name] = replace(capacity, eligible=in_service)
        for job in list(self._live.values()):
            if job.state is not JobState.RUNNING:
                continue
            if any(not self._free[status.member.worker].eligible for status in job.members):
                self._stop(job, None)
        self._want_plan()


def traced_plan() -> tuple[Policy, HeldWindows]:
    """Return the policy, and a function that returns what its last call held for the heads."""
    heads: dict[str, tuple[Member, ...]] = {}

    def policy(state: PlanningState, now_ms: int) -> tuple[Decision, ...]:
        found = plan_with_heads(state, now_ms)
        heads.clear()
        for group, head in found.heads.items():
            heads[group.name.lower()] = head.members
        return found.decisions

    return policy, lambda: heads


POLICIES: dict[str, Policy] = {"policy": plan, "baseline": baseline_plan}


def run_trial(seeds: Iterable[int]) -> dict[str, tuple[PolicyResult, ...]]:
    """Run both policies on the same streams; results are in the order of the seeds."""
    results: dict[str, list[PolicyResult]] = {name: [] for name in POLICIES}
    for seed in seeds:
        stream = make_stream(seed)
        policy, held = traced_plan()
        results["policy"].append(Trial(policy, stream, held).run())
        results["baseline"].append(Trial(baseline_plan, stream).run())
    return {name: tuple(listed) for name, listed in results.items()}


if __name__ == "__main__":
    count = int(argv[1]) if len(argv) > 1 else 3
    found = run_trial(range(1, count + 1))
    print(dumps({name: [asdict(item) for item in listed] for name, listed in found.items()}))
