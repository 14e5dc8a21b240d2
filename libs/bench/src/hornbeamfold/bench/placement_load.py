"""Measures one plan at the size of section 1.5 of the design page, in function calls and time."""

import sys
from collections.abc import Callable
from dataclasses import replace
from random import Random
from statistics import median
from time import process_time

from hornbeamfold.model import (
    Job,
    JobSpec,
    JobState,
    Member,
    MemberStatus,
    Organisation,
    Shape,
    Span,
    Worker,
    WorkerCapacity,
)
from hornbeamfold.placement import PlanningState, plan

WORKERS = 1_900
ZONES = 19
REGIONS = 5
WORKERS_IN_RACK = 10
TASKS = 6_200
QUEUED = 3_000
ORGANISATIONS = 63
NOW_MS = 10_000_000
# The share of accelerators left free; with this many queued jobs, most are in use.
FREE_SHARE = 0.03


class _LoadBuilder:
    """Builds a planning state: fills workers with running jobs, then queues further jobs."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._names = [f"o{number}" for number in range(ORGANISATIONS)]
        self._capacities = {item.worker.name: item for item in map(_capacity, range(WORKERS))}
        self._jobs: list[Job] = []
        self._tasks = 0

    def fill(self) -> None:
        """Place running gangs in each zone, then tasks without accelerators on random workers."""
        for zone in range(ZONES):
            names = [f"w{number}" for number in range(zone, WORKERS, ZONES)]
            while names:
                if self._random.random() < FREE_SHARE:
                    names.pop()
                    continue
                size = min(self._random.choice((1, 1, 2, 2, 4, 8)), len(names))
                chosen = [names.pop() for _ in range(size)]
                shape = Shape(size, size, size, Span.ZONE)
                self._run(shape, tuple(Member(name, (0,), 1, 1) for name in chosen))
        while self._tasks < TASKS:
            name = self._random.choice(list(self._capacities))
            if self._capacities[name].free_slots > 1:
                self._run(Shape(0, 2, 4, Span.WORKER), (Member(name, (), 2, 4),))

    def enqueue(self) -> None:
        """Add the queued jobs."""
        for _ in range(QUEUED):
            size = self._random.choice((0, 1, 2, 4, 8, 16, 32, 64, 128))
            span = Span.REGION if size > 64 else self._random.choice((Span.RACK, Span.ZONE))
            if size > WORKERS_IN_RACK:
                span = max(span, Span.ZONE)
            shape = Shape(size, max(1, size), max(1, size), span)
            submitted = NOW_MS - self._random.randint(0, 1_500_000)
            self._jobs.append(Job(self._spec(shape), submitted))

    def state(self, guarantees: bool) -> PlanningState:
        """Return the planning state, with or without guaranteed capacity for the organisations."""
        organisations = {}
        for name in self._names:
            large = Shape(self._random.choice((4, 8)), 8, 8, Span.ZONE)
            owned = (large, Shape(2, 2, 2, Span.RACK)) if guarantees else ()
            organisations[name] = Organisation(name, owned, float(self._random.randint(1, 9)))
        return PlanningState(tuple(self._jobs), self._capacities, organisations, (), {}, 7)

    def _run(self, shape: Shape, members: tuple[Member, ...]) -> None:
        for member in members:
            capacity = self._capacities[member.worker]
            self._capacities[member.worker] = replace(
                capacity,
                free_mask=capacity.free_mask - len(member.accelerators),
                free_processors=capacity.free_processors - member.processors,
                free_memory_gb=capacity.free_memory_gb - member.memory_gb,
                free_slots=capacity.free_slots - 1,
            )
        self._tasks += len(members)
        started = NOW_MS - self._random.randint(0, 3_000_000)
        self._jobs.append(
            Job(
                self._spec(shape), started - 1_000, JobState.RUNNING, placed_ms=started,
                running_ms=started, members=tuple(MemberStatus(member) for member in members),
            )
        )  # fmt: skip

    def _spec(self, shape: Shape) -> JobSpec:
        random = self._random
        return JobSpec(
            random.choice(self._names), f"j{len(self._jobs)}", "render", "", shape,
            random.randint(60_000, 9_000_000), random.random() < 0.3, random.random() < 0.5,
        )  # fmt: skip


def make_load(seed: int, guarantees: bool) -> PlanningState:
    """Return a planning state with almost no free accelerators and a long queue."""
    load = _LoadBuilder(Random(seed))
    load.fill()
    load.enqueue()
    return load.state(guarantees)


def count_calls(action: Callable[[], object]) -> int:
    """Return how many Python functions an action calls; unlike its time, this is repeatable."""
    calls = 0

    def profile(_frame: object, event: str, _argument: object) -> None:
        nonlocal calls
        calls += event == "call"

    sys.setprofile(profile)
    try:
        action()
    finally:
        sys.setprofile(None)
    return calls


def _capacity(number: int) -> WorkerCapacity:
    zone, place_in_zone = number % ZONES, number // ZONES
    rack, position = divmod(place_in_zone, WORKERS_IN_RACK)
    worker = Worker(f"w{number}", "", f"z{zone}", f"r{zone}-{rack}", position, 64, 256, 1, 8, 64)
    return WorkerCapacity(worker, f"region{zone % REGIONS}", 1, 64, 256, 8, True)


def _processor_ms(state: PlanningState) -> float:
    before = process_time()
    plan(state, NOW_MS)
    return (process_time() - before) * 1000


if __name__ == "__main__":
    for guaranteed in (False, True):
        current = make_load(1, guaranteed)
        times = [_processor_ms(current) for _ in range(15)]
        calls = count_calls(lambda state=current: plan(state, NOW_MS))  # type: ignore[misc]
        print(
            f"guarantees {guaranteed}: median {median(times):.1f} ms, "
            f"least {min(times):.1f} ms, most {max(times):.1f} ms, {calls} calls"
        )
