"""Simulates the placement policy and a baseline on seeded job streams with a virtual clock."""

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
    "make_traced_policy",
    "quantiles",
    "run_trial",
]

JobKey = tuple[str, str]
Policy = Callable[[PlanningState, int], tuple[Decision, ...]]
ReservedWindowsSource = Callable[[], Mapping[str, tuple[Member, ...]]]

# Delay between an event and the decision that it causes: a log append and reading it back.
DECISION_DELAY_MS = 100
SAMPLE_INTERVAL_MS = 10_000
# Duration of a stop without a checkpoint; one that writes a checkpoint takes longer.
STOP_MS = 1_000
# Run time that a restarted job needs to get back to the state in its checkpoint.
RESTART_COST_MS = 20_000


class Trial:
    """Simulates one policy on one job stream."""

    def __init__(
        self, policy: Policy, stream: Iterable[Arrival], reserved: ReservedWindowsSource = dict
    ) -> None:
        self._policy = policy
        self._policy_windows = reserved
        self._organisations = make_organisations()
        self._capacities = {
            worker.name: WorkerCapacity(
                worker, region, (1 << worker.accelerators) - 1, worker.processors,
                worker.memory_gb, worker.slots, True,
            )
            for region, worker in make_topology()
        }  # fmt: skip
        self._jobs: dict[JobKey, Job] = {}
        self._live_jobs: dict[JobKey, Job] = {}
        self._remaining_ms: dict[JobKey, int] = {}
        self._arrivals = {item.spec.key: item for item in stream}
        self._reservations: dict[JobKey, Reservation] = {}
        self._estimates: dict[JobKey, float] = {}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_sequence = 0
        self._now_ms = 0
        self._plan_scheduled = False
        self._samples = Samples(self._arrivals)

    def run(self) -> PolicyResult:
        """Run until all jobs have ended or the horizon is reached, and return the figures."""
        for item in self._arrivals.values():
            self._schedule(item.at_ms, lambda item=item: self._arrive(item))  # type: ignore[misc]
        self._schedule(ZONE_OUT_MS[0], lambda: self._set_zone("z1", False))
        self._schedule(ZONE_OUT_MS[1], lambda: self._set_zone("z1", True))
        self._schedule(SAMPLE_INTERVAL_MS, self._tick)
        while self._events and self._now_ms < HORIZON_MS:
            at, _, action = heappop(self._events)
            if at > self._now_ms:
                self._samples.add_time(
                    self._now_ms,
                    at,
                    self._live_jobs.values(),
                    self._capacities,
                    self._reserved_windows(),
                )
            self._now_ms = at
            action()
        return self._samples.result(len(self._live_jobs))

    def _schedule(self, at_ms: int, action: Callable[[], None]) -> None:
        self._event_sequence += 1
        heappush(self._events, (at_ms, self._event_sequence, action))

    def _reserved_windows(self) -> dict[str, tuple[Member, ...]]:
        """Return the accelerators that are kept free for waiting jobs, by reason."""
        reclaims = tuple(
            member
            for item in self._reservations.values()
            if item.until_ms > self._now_ms
            for member in item.members
        )
        return {"reclaim": reclaims, **self._policy_windows()}

    def _arrive(self, item: Arrival) -> None:
        self._remaining_ms[item.spec.key] = item.actual_ms
        self._store_job(Job(item.spec, self._now_ms))
        self._schedule_plan()

    def _store_job(self, job: Job) -> None:
        self._jobs[job.key] = job
        if job.state in ENDED_JOBS:
            self._live_jobs.pop(job.key, None)
        else:
            self._live_jobs[job.key] = job

    def _tick(self) -> None:
        waiting = [j.spec.shape for j in self._live_jobs.values() if j.state is JobState.QUEUED]
        if waiting:
            self._samples.add_layout(self._capacities, waiting)
            self._schedule_plan()
        if self._live_jobs or self._now_ms < ARRIVALS_MS:
            self._schedule(self._now_ms + SAMPLE_INTERVAL_MS, self._tick)

    def _schedule_plan(self) -> None:
        if not self._plan_scheduled:
            self._plan_scheduled = True
            self._schedule(self._now_ms + DECISION_DELAY_MS, self._plan)

    def _plan(self) -> None:
        self._plan_scheduled = False
        self._reservations = {
            key: item for key, item in self._reservations.items() if item.until_ms > self._now_ms
        }
        state = PlanningState(
            tuple(self._live_jobs.values()), self._capacities, self._organisations,
            tuple(self._reservations.values()), self._estimates, self._event_sequence,
        )  # fmt: skip
        before = process_time()
        decisions = self._policy(state, self._now_ms)
        self._samples.add_decision((process_time() - before) * 1000)
        for decision in decisions:
            self._apply(decision.event)
        if decisions:
            self._schedule_plan()

    def _apply(self, event: JobPlaced | JobStopping | JobJudged) -> None:
        key = (event.organisation, event.job_id)
        job = self._jobs[key]
        if isinstance(event, JobJudged):
            self._store_job(replace(job, infeasible=event.infeasible))
        elif isinstance(event, JobStopping):
            if event.beneficiary is not None:
                self._reservations[event.beneficiary] = Reservation(
                    event.beneficiary, event.window, self._now_ms + RESERVATION_MS
                )
            self._stop(job, event.reason)
        else:
            self._reservations.pop(key, None)
            for member in event.members:
                self._adjust_capacity(member, -1)
            self._samples.add_start(key, self._now_ms)
            members = tuple(MemberStatus(member) for member in event.members)
            self._store_job(replace(
                job, state=JobState.RUNNING, members=members,
                placed_ms=self._now_ms, running_ms=self._now_ms,
            ))  # fmt: skip
            attempt = job.attempt
            self._schedule(
                self._now_ms + self._remaining_ms[key], lambda: self._finish(key, attempt)
            )

    def _adjust_capacity(self, member: Member, sign: int) -> None:
        capacity = self._capacities[member.worker]
        mask = mask_of(member.accelerators)
        if sign < 0 and (capacity.free_mask & mask != mask or not capacity.eligible):
            raise AssertionError(f"{member} is not free")
        self._capacities[member.worker] = replace(
            capacity,
            free_mask=capacity.free_mask | mask if sign > 0 else capacity.free_mask & ~mask,
            free_processors=capacity.free_processors + sign * member.processors,
            free_memory_gb=capacity.free_memory_gb + sign * member.memory_gb,
            free_slots=capacity.free_slots + sign,
        )

    def _finish(self, key: JobKey, attempt: int) -> None:
        job = self._jobs[key]
        if job.attempt != attempt or job.state is not JobState.RUNNING:
            return
        for status in job.members:
            self._adjust_capacity(status.member, 1)
        self._samples.add_end(key, self._now_ms)
        kind = (job.spec.organisation, job.spec.kind)
        if job.attempt == 1:
            self._estimates[kind] = update_correction_factor(
                self._estimates.get(kind, 1.0), job.spec.declared_ms, self._now_ms - job.running_ms
            )
        self._store_job(replace(job, state=JobState.FINISHED, members=()))
        self._schedule_plan()

    def _stop(self, job: Job, reason: StopReason | None) -> None:
        """Stop a job; a checkpointable job loses at most the run time that its restart costs.

        `reason` is None for a stop that the policy did not decide.
        """
        ran_ms = self._now_ms - job.running_ms
        if job.spec.checkpointable:
            lost_ms, delay_ms = min(ran_ms, RESTART_COST_MS), CHECKPOINT_BOUND_MS
        else:
            lost_ms, delay_ms = ran_ms, STOP_MS
        self._remaining_ms[job.key] -= ran_ms - lost_ms
        if reason is not None:
            self._samples.add_stop(job, self._now_ms, lost_ms, reason)
        self._store_job(replace(job, state=JobState.STOPPING, stopping_ms=self._now_ms))
        self._schedule(self._now_ms + delay_ms, lambda: self._finish_stop(job.key))

    def _finish_stop(self, key: JobKey) -> None:
        job = self._jobs[key]
        for status in job.members:
            self._adjust_capacity(status.member, 1)
        self._store_job(replace(
            job, state=JobState.QUEUED, members=(), attempt=job.attempt + 1, running_ms=0,
        ))  # fmt: skip
        self._schedule_plan()

    def _set_zone(self, zone: str, in_service: bool) -> None:
        for name, capacity in self._capacities.items():
            if capacity.worker.availability_zone == zone:
                self._capacities[name] = replace(capacity, eligible=in_service)
        for job in list(self._live_jobs.values()):
            if job.state is not JobState.RUNNING:
                continue
            if any(not self._capacities[status.member.worker].eligible for status in job.members):
                self._stop(job, None)
        self._schedule_plan()


def make_traced_policy() -> tuple[Policy, ReservedWindowsSource]:
    """Return the policy and a function that returns what its last call reserved for group heads."""
    heads: dict[str, tuple[Member, ...]] = {}

    def policy(state: PlanningState, now_ms: int) -> tuple[Decision, ...]:
        planned = plan_with_heads(state, now_ms)
        heads.clear()
        for group, head in planned.heads.items():
            heads[group.name.lower()] = head.members
        return planned.decisions

    return policy, lambda: heads


POLICIES: dict[str, Policy] = {"policy": plan, "baseline": baseline_plan}


def run_trial(seeds: Iterable[int]) -> dict[str, tuple[PolicyResult, ...]]:
    """Run both policies on the same streams and return their figures in the order of the seeds."""
    results: dict[str, list[PolicyResult]] = {name: [] for name in POLICIES}
    for seed in seeds:
        stream = make_stream(seed)
        policy, reserved = make_traced_policy()
        results["policy"].append(Trial(policy, stream, reserved).run())
        results["baseline"].append(Trial(baseline_plan, stream).run())
    return {name: tuple(listed) for name, listed in results.items()}


if __name__ == "__main__":
    count = int(argv[1]) if len(argv) > 1 else 3
    results = run_trial(range(1, count + 1))
    print(dumps({name: [asdict(item) for item in listed] for name, listed in results.items()}))
