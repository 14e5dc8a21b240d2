"""Seeded requests for the request trial: kinds, arrivals with bursts, and request state."""

from dataclasses import dataclass
from random import Random

from hornbeamfold.model.work import Request

WORKERS, SLOTS = 24, 8
ORGANISATIONS = {"depot": 0.55, "annex": 0.25, "field": 0.15, "guest": 0.05}
DURATION_MS = 120_000
# Mean load outside bursts, as a share of the capacity of all slots.
LOAD = 0.65
BURST_INTERVAL_MS, BURST_MS, BURST_FACTOR = 15_000, 3_000, 2.5
URGENT_DEADLINE_MS, NON_URGENT_DEADLINE_MS = 10_000, 60_000
# Sigma of the log-normal service times, and the share of requests that fail on every worker.
SERVICE_SIGMA, POISON_SHARE = 0.5, 0.002


@dataclass(frozen=True)
class Kind:
    """A kind of request; `share` is its share of all requests."""

    name: str
    idempotent: bool
    urgent: bool
    median_ms: float
    request_bytes: int
    answer_bytes: int
    share: float


KINDS = (
    Kind("survey_render", True, True, 400.0, 2_000, 24_000, 0.4),
    Kind("quote_check", False, True, 150.0, 1_000, 1_000, 0.3),
    Kind("slope_audit", True, False, 1_500.0, 8_000, 4_000, 0.3),
)
MEAN_SERVICE_MS = sum(k.share * k.median_ms for k in KINDS) * 2.718281828 ** (SERVICE_SIGMA**2 / 2)


class Job:
    """A request and its state in the simulation.

    `first_success` holds the begin, the end and the zone of its first successful run.
    """

    def __init__(
        self,
        number: int,
        kind: Kind,
        request: Request,
        arrived_ms: float,
        service_ms: float,
        poison: bool,
    ) -> None:
        self.number = number
        self.kind = kind
        self.request = request
        self.arrived_ms = arrived_ms
        self.service_ms = service_ms
        self.poison = poison
        self.first_success: tuple[float, float, str] = (0.0, 0.0, "")
        self.attempt = 0
        self.starts = 0
        self.sends = 0
        self.retries = 0
        self.copies_in_flight = 0
        self.instance = -1
        self.worker = ""
        self.outcome = ""
        self.ended_ms = 0.0
        self.started_ms = -1.0
        self.run_state = ""
        self.tried_workers: set[str] = set()


def in_burst(at_ms: float) -> bool:
    """Return whether a time is within a burst; the first burst begins after one interval."""
    return at_ms >= BURST_INTERVAL_MS and at_ms % BURST_INTERVAL_MS < BURST_MS


def make_jobs(seed: int) -> list[Job]:
    """Return the requests for a seed, which are the same for both policies."""
    rng = Random(seed)
    jobs: list[Job] = []
    base_per_ms = LOAD * WORKERS * SLOTS / MEAN_SERVICE_MS
    at_ms = 0.0
    while True:
        rate = base_per_ms * (BURST_FACTOR if in_burst(at_ms) else 1.0)
        at_ms += rng.expovariate(rate)
        if at_ms >= DURATION_MS:
            return jobs
        kind = rng.choices(KINDS, [k.share for k in KINDS])[0]
        organisation = rng.choices(list(ORGANISATIONS), list(ORGANISATIONS.values()))[0]
        time_limit_ms = URGENT_DEADLINE_MS if kind.urgent else NON_URGENT_DEADLINE_MS
        request = Request(
            organisation,
            str(len(jobs)),
            kind.name,
            "x" * kind.request_bytes,
            kind.idempotent,
            kind.urgent,
            int(at_ms) + time_limit_ms,
        )
        service_ms = kind.median_ms * rng.lognormvariate(0.0, SERVICE_SIGMA)
        poison = rng.random() < POISON_SHARE
        jobs.append(Job(len(jobs), kind, request, at_ms, service_ms, poison))
