"""Seeded job streams for the placement trial, and the cluster that they run on."""

from dataclasses import dataclass
from random import Random

from hornbeamfold.model import JobSpec, Organisation, Shape, Span, Worker

MINUTE_MS = 60_000
ARRIVALS_MS = 120 * MINUTE_MS


@dataclass(frozen=True)
class Arrival:
    """A job and its arrival time; the policies do not see its true run time, `actual_ms`."""

    at_ms: int
    spec: JobSpec
    actual_ms: int


def make_stream(seed: int) -> tuple[Arrival, ...]:
    """Return steady non-urgent jobs, with bursts of small urgent jobs and a few large jobs."""
    random = Random(seed)
    arrivals: list[Arrival] = []
    at_ms = 0.0
    while at_ms < ARRIVALS_MS:
        at_ms += random.expovariate(1 / 16_000)
        size = random.choices((1, 2, 4, 8, 16, 32), (30, 20, 20, 16, 10, 4))[0]
        arrivals.append(_arrival(random, len(arrivals), at_ms, size, False, 5 * MINUTE_MS))
    at_ms = 0.0
    while at_ms < ARRIVALS_MS:
        at_ms += random.uniform(6, 12) * MINUTE_MS
        for _ in range(random.randint(20, 40)):
            size = random.choices((1, 2, 4, 8), (40, 30, 20, 10))[0]
            arrival_ms = at_ms + random.uniform(0, 20_000)
            arrivals.append(_arrival(random, len(arrivals), arrival_ms, size, True, 40_000))
        for _ in range(random.randint(1, 3)):
            size = random.choice((16, 24, 32))
            urgent = random.random() < 0.5
            arrivals.append(_arrival(random, len(arrivals), at_ms, size, urgent, 3 * MINUTE_MS))
    return tuple(sorted(arrivals, key=lambda item: (item.at_ms, item.spec.job_id)))


def _arrival(
    random: Random, number: int, at_ms: float, size: int, urgent: bool, mean_ms: int
) -> Arrival:
    kind = random.choice(("render", "proof", "audit"))
    # Declared run times are off by a fixed factor for each kind of job, and for a single job by a
    # further factor of about 2 in either direction.
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
    return Arrival(int(at_ms), spec, actual)


def make_topology() -> tuple[tuple[str, Worker], ...]:
    """Return 24 workers of 8 accelerators as (region, worker): 3 racks in 3 zones."""
    return tuple(
        (
            "south" if zone == 2 else "east",
            Worker(f"w{zone}{position}", "", f"z{zone}", f"r{zone}", position, 64, 256, 8, 8, 64),
        )
        for zone in range(3)
        for position in range(8)
    )


def make_organisations() -> dict[str, Organisation]:
    """Return 4 organisations whose guarantees add up to less than two of the three zones."""
    return {
        "o0": Organisation("o0", (Shape(16, 64, 128), Shape(8, 32, 64), Shape(8, 32, 64)), 4.0),
        "o1": Organisation("o1", (Shape(16, 64, 128), Shape(8, 32, 64)), 3.0),
        "o2": Organisation("o2", (Shape(8, 32, 64),), 2.0),
        "o3": Organisation("o3", (), 1.0),
    }
