"""The requests of a trial: kinds, arrivals in bursts, and what is known of each request."""

from dataclasses import dataclass
from random import Random

from hornbeamfold.model.work import Request

WORKERS, SLOTS = 24, 8
ORGANISATIONS = {"depot": 0.55, "annex": 0.25, "field": 0.15, "guest": 0.05}
DURATION_MS = 120_000
LOAD = 0.65
BURST_EVERY_MS, BURST_MS, BURST_FACTOR = 15_000, 3_000, 2.5
URGENT_DEADLINE_MS, PATIENT_DEADLINE_MS = 10_000, 60_000
SIGMA, POISON_SHARE = 0.5, 0.002


@dataclass(frozen=True)
class Kind:
    """A kind of request; `share` is its part of all requests."""

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
MEAN_SERVICE_MS = sum(k.share * k.median_ms for k in KINDS) * 2.718281828 ** (SIGMA**2 / 2)


class Job:
    """One request on its way through the trial."""

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
        self.run: tuple[float, float, str] = (0.0, 0.0, "")
        self.attempt = 0
        self.starts = 0
        self.sends = 0
        self.retries = 0
        self.copies = 0
        self.site = -1
        self.worker = ""
        self.outcome = ""
        self.ended_ms = 0.0
        self.started_ms = -1.0
        self.ran = ""
        self.tried: set[str] = set()


def in_burst(at_ms: float) -> bool:
    """Return whether a burst is on; the first comes after one interval."""
    return at_ms >= BURST_EVERY_MS and at_ms % BURST_EVERY_MS < BURST_MS


def make_jobs(seed: int) -> list[Job]:
    """Return the requests of a seed; both policies get the same."""
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
        limit_ms = URGENT_DEADLINE_MS if kind.urgent else PATIENT_DEADLINE_MS
        request = Request(
            organisation,
            str(len(jobs)),
            kind.name,
            "x" * kind.request_bytes,
            kind.idempotent,
            kind.urgent,
            int(at_ms) + limit_ms,
        )
        service_ms = kind.median_ms * rng.lognormvariate(0.0, SIGMA)
        poison = rng.random() < POISON_SHARE
        jobs.append(Job(len(jobs), kind, request, at_ms, service_ms, poison))
