"""Drives seeded job streams against the placement policy and a baseline on a virtual clock."""

from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, replace
from heapq import heappop, heappush
from json import dumps
from random import Random
from statistics import fmean
from sys import argv
from time import process_time

from hornbeamfold.model import (
    ENDED_JOBS,
    Job,
    JobJudged,
    JobPlaced,
    JobSpec,
    JobState,
    JobStopping,
    Member,
    MemberStatus,
    Organisation,
    Reservation,
    Shape,
    Span,
    Worker,
    WorkerCapacity,
)
from hornbeamfold.model.timing import CHECKPOINT_BOUND_MS, RESERVATION_MS
from hornbeamfold.placement import Decision, PlanningState, fragmentation, learn, plan
from hornbeamfold.placement.blocks import FreeIndex, free_index, mask_of, member_on

Key = tuple[str, str]
Policy = Callable[[PlanningState, int], tuple[Decision, ...]]

MINUTE_MS = 60_000
ARRIVALS_MS = 120 * MINUTE_MS
ZONE_OUT_MS = (50 * MINUTE_MS, 70 * MINUTE_MS)
# The run ends when all jobs have, or here; what waits then counts as starved.
HORIZON_MS = 600 * MINUTE_MS
# One decision follows an event after this time: an append and its way back.
DECISION_DELAY_MS = 100
TICK_MS = 10_000
# A plain stop ends sooner than one that writes a checkpoint.
STOP_MS = 1_000
# What a stopped job needs to come back to the work that its checkpoint holds.
RESTART_MS = 20_000
STARVED_MS = 60 * MINUTE_MS


@dataclass(frozen=True)
class Arrival:
    """A job of the stream; `actual_ms` is unknown to the policies."""

    at_ms: int
    spec: JobSpec
    actual_ms: int


@dataclass(frozen=True)
class Quantiles:
    """Quantiles of a sample in seconds."""

    p50: float
    p95: float
    p99: float


@dataclass(frozen=True)
class Work:
    """Accelerator hours in one period: done, lost to stops, and allowed by capacity and demand."""

    done: float
    lost: float
    allowed: float

    @property
    def share(self) -> float:
        """What was done, less what stops threw away, of what was allowed."""
        return (self.done - self.lost) / self.allowed if self.allowed else 1.0


@dataclass(frozen=True)
class PolicyResult:
    """What one policy did with one stream.

    `unusable_share` is over the shapes that wait under this policy while any do. The waiting
    shapes differ between policies: one that starts small jobs early leaves only large ones. The
    layout figures are over all shapes of the stream and so compare both on equal terms.
    """

    urgent_completion: Quantiles
    burst_completion: Quantiles
    patient_completion: Quantiles
    urgent_start: Quantiles
    unusable_share: float
    unusable_accelerators: float
    layout_share: float
    layout_accelerators: float
    largest_run: float
    before: Work
    during: Work
    after: Work
    decision_ms: Quantiles
    longest_patient_wait_s: float
    stops: int
    starved: int
    unfinished: int


def make_stream(seed: int) -> tuple[Arrival, ...]:
    """Return steady patient work with bursts of small urgent and a few large jobs."""
    random = Random(seed)
    arrivals: list[Arrival] = []
    at = 0.0
    while at < ARRIVALS_MS:
        at += random.expovariate(1 / 16_000)
        size = random.choices((1, 2, 4, 8, 16, 32), (30, 20, 20, 16, 10, 4))[0]
        arrivals.append(_arrival(random, len(arrivals), at, size, False, 5 * MINUTE_MS))
    at = 0.0
    while at < ARRIVALS_MS:
        at += random.uniform(6, 12) * MINUTE_MS
        for _ in range(random.randint(20, 40)):
            size = random.choices((1, 2, 4, 8), (40, 30, 20, 10))[0]
            when = at + random.uniform(0, 20_000)
            arrivals.append(_arrival(random, len(arrivals), when, size, True, 40_000))
        for _ in range(random.randint(1, 3)):
            size = random.choice((16, 24, 32))
            urgent = random.random() < 0.5
            arrivals.append(_arrival(random, len(arrivals), at, size, urgent, 3 * MINUTE_MS))
    return tuple(sorted(arrivals, key=lambda item: (item.at_ms, item.spec.job_id)))


def _arrival(
    random: Random, number: int, at: float, size: int, urgent: bool, mean_ms: int
) -> Arrival:
    kind = random.choice(("render", "proof", "audit"))
    # Each kind has its own bias, and single runs are off by a factor of about 2 either way.
    bias = {"render": 0.3, "proof": 1.0, "audit": 3.0}[kind]
    actual = min(30 * MINUTE_MS, max(2_000, int(random.lognormvariate(0, 0.7) * mean_ms)))
    declared = int(actual / bias * random.lognormvariate(0, 0.6))
    span = Span.RACK if size <= 32 else Span.ZONE
    if size <= 8 and random.random() < 0.3:
        span = Span.WORKER
    if size >= 16 and random.random() < 0.3:
        span = Span.ZONE
    shape = Shape(size, size * 4, size * 8, span)
    organisation = random.choices(("o0", "o1", "o2", "o3"), (40, 30, 20, 10))[0]
    spec = JobSpec(
        organisation, f"j{number}", kind, "", shape, max(1_000, declared), urgent,
        checkpointable=random.random() < 0.6,
    )  # fmt: skip
    return Arrival(int(at), spec, actual)


def make_topology() -> tuple[tuple[str, Worker], ...]:
    """Return 24 workers of 8 accelerators as (region, worker): 3 racks in 3 zones."""
    return tuple(
        (
            "south" if zone == 2 else "east",
            Worker(f"w{zone}{at}", "", f"z{zone}", f"r{zone}", at, 64, 256, 8, 8, 64),
        )
        for zone in range(3)
        for at in range(8)
    )


def make_organisations() -> dict[str, Organisation]:
    """Return 4 organisations; the guarantees add up to less than two of the three zones."""
    return {
        "o0": Organisation("o0", (Shape(16, 64, 128), Shape(8, 32, 64), Shape(8, 32, 64)), 4.0),
        "o1": Organisation("o1", (Shape(16, 64, 128), Shape(8, 32, 64)), 3.0),
        "o2": Organisation("o2", (Shape(8, 32, 64),), 2.0),
        "o3": Organisation("o3", (), 1.0),
    }


def baseline_plan(state: PlanningState, now_ms: int) -> tuple[Decision, ...]:
    """First come first served, first fit: the oldest job waits until it fits, and all behind it."""
    queued = [job for job in state.jobs if job.state is JobState.QUEUED]
    queued.sort(key=lambda job: (job.submitted_ms, job.key))
    index = free_index(state.capacities)
    decisions: list[Decision] = []
    for job in queued:
        members = _first_fit(index, job.spec.shape)
        if not members:
            break
        index.take(members)
        event = JobPlaced(*job.key, job.attempt, members, state.offset)
        decisions.append(Decision(event, "first fit"))
    return tuple(decisions)


def _first_fit(index: FreeIndex, shape: Shape) -> tuple[Member, ...]:
    need = shape.accelerators
    for line in index.lines:
        runs = line.worker_runs if shape.span is Span.WORKER else line.runs
        masks = [((1 << need) - 1) << start for start, size in runs if size >= need]
        if not masks and shape.span >= Span.ZONE and line.mask.bit_count() >= need:
            mask = 0
            for at in range(line.size):
                if line.mask >> at & 1 and mask.bit_count() < need:
                    mask |= 1 << at
            masks.append(mask)
        for mask in masks:
            members = tuple(
                member_on(room.worker.name, part, shape)
                for room in line.rooms
                if (part := mask >> room.offset & ((1 << room.worker.accelerators) - 1))
            )
            if index.fits(members):
                return members
    return ()


class Trial:
    """One policy on one stream: the virtual clock, the cluster and the samples."""

    def __init__(self, policy: Policy, stream: Iterable[Arrival]) -> None:
        self._policy = policy
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
        self._started: dict[Key, int] = {}
        self._finished: dict[Key, int] = {}
        self._decision_ms: list[float] = []
        self._samples: list[tuple[float, float, float, float, int]] = []
        self._shapes = [item.spec.shape for item in self._arrivals.values()]
        self._work = {name: [0.0, 0.0, 0.0] for name in ("before", "during", "after")}
        self._stops = 0

    def run(self) -> PolicyResult:
        """Run to the end and return what was measured."""
        for item in self._arrivals.values():
            self._at(item.at_ms, lambda item=item: self._arrive(item))  # type: ignore[misc]
        self._at(ZONE_OUT_MS[0], lambda: self._set_zone("z1", False))
        self._at(ZONE_OUT_MS[1], lambda: self._set_zone("z1", True))
        self._at(TICK_MS, self._tick)
        while self._events and self._now < HORIZON_MS:
            at, _, action = heappop(self._events)
            self._account(at)
            self._now = at
            action()
        return self._result()

    def _at(self, at_ms: int, action: Callable[[], None]) -> None:
        self._count += 1
        heappush(self._events, (at_ms, self._count, action))

    def _account(self, until_ms: int) -> None:
        """Add the work between two events to its period."""
        if until_ms <= self._now:
            return
        running = sum(
            job.spec.shape.accelerators
            for job in self._live.values()
            if job.state is JobState.RUNNING
        )
        waiting = sum(
            job.spec.shape.accelerators
            for job in self._live.values()
            if job.state is not JobState.RUNNING
        )
        capacity = sum(c.worker.accelerators for c in self._free.values() if c.eligible)
        hours = (until_ms - self._now) / 3_600_000
        period = self._work[self._period()]
        period[0] += running * hours
        period[2] += min(capacity, running + waiting) * hours

    def _period(self) -> str:
        if self._now < ZONE_OUT_MS[0]:
            return "before"
        return "during" if self._now < ZONE_OUT_MS[1] else "after"

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
            seen = fragmentation(self._free, waiting)
            layout = fragmentation(self._free, self._shapes)
            self._samples.append((
                seen.unusable_share, seen.unusable_share * seen.free,
                layout.unusable_share, layout.unusable_share * seen.free, seen.largest_run,
            ))  # fmt: skip
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
        self._decision_ms.append((process_time() - before) * 1000)
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
            self._stops += 1
            self._stop(job, count_loss=True)
        else:
            self._reservations.pop(key, None)
            for member in event.members:
                self._change(member, -1)
            self._started.setdefault(key, self._now)
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
        self._finished[key] = self._now
        kind = (job.spec.organisation, job.spec.kind)
        if job.attempt == 1:
            self._estimates[kind] = learn(
                self._estimates.get(kind, 1.0), job.spec.declared_ms, self._now - job.running_ms
            )
        self._put(replace(job, state=JobState.FINISHED, members=()))
        self._want_plan()

    def _stop(self, job: Job, count_loss: bool) -> None:
        """Stop a job; one that can checkpoint keeps its work but for the restart."""
        ran = self._now - job.running_ms
        if job.spec.checkpointable:
            lost, delay = min(ran, RESTART_MS), CHECKPOINT_BOUND_MS
        else:
            lost, delay = ran, STOP_MS
        self._left[job.key] -= ran - lost
        if count_loss:
            self._work[self._period()][1] += lost * job.spec.shape.accelerators / 3_600_000
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
                self._stop(job, count_loss=False)
        self._want_plan()

    def _result(self) -> PolicyResult:
        urgent: list[int] = []
        burst: list[int] = []
        patient: list[int] = []
        starts: list[int] = []
        waits: list[int] = []
        for key, item in self._arrivals.items():
            end = self._finished.get(key, HORIZON_MS)
            start = self._started.get(key, HORIZON_MS)
            if item.spec.urgent:
                urgent.append(end - item.at_ms)
                starts.append(start - item.at_ms)
                if item.spec.shape.accelerators <= 8:
                    burst.append(end - item.at_ms)
            else:
                patient.append(end - item.at_ms)
                waits.append(start - item.at_ms)
        work = {name: Work(*values) for name, values in self._work.items()}
        columns = [fmean(column) for column in zip(*self._samples, strict=True)]
        return PolicyResult(
            urgent_completion=quantiles(urgent),
            burst_completion=quantiles(burst),
            patient_completion=quantiles(patient),
            urgent_start=quantiles(starts),
            unusable_share=columns[0],
            unusable_accelerators=columns[1],
            layout_share=columns[2],
            layout_accelerators=columns[3],
            largest_run=columns[4],
            before=work["before"],
            during=work["during"],
            after=work["after"],
            decision_ms=quantiles([ms * 1000 for ms in self._decision_ms]),
            longest_patient_wait_s=max(waits) / 1000,
            stops=self._stops,
            starved=sum(1 for wait in waits if wait > STARVED_MS),
            unfinished=len(self._live),
        )


def quantiles(values: list[int] | list[float]) -> Quantiles:
    """Return quantiles in seconds of a sample in milliseconds."""
    ranked = sorted(values)
    p50, p95, p99 = (
        round(ranked[min(len(ranked) - 1, int(len(ranked) * share))] / 1000, 3)
        for share in (0.5, 0.95, 0.99)
    )
    return Quantiles(p50, p95, p99)


POLICIES: dict[str, Policy] = {"policy": plan, "baseline": baseline_plan}


def run_trial(seeds: Iterable[int]) -> dict[str, tuple[PolicyResult, ...]]:
    """Run both policies on the same streams; results are in the order of the seeds."""
    results: dict[str, list[PolicyResult]] = {name: [] for name in POLICIES}
    for seed in seeds:
        stream = make_stream(seed)
        for name, policy in POLICIES.items():
            results[name].append(Trial(policy, stream).run())
    return {name: tuple(listed) for name, listed in results.items()}


if __name__ == "__main__":
    count = int(argv[1]) if len(argv) > 1 else 3
    found = run_trial(range(1, count + 1))
    print(dumps({name: [asdict(item) for item in listed] for name, listed in found.items()}))
