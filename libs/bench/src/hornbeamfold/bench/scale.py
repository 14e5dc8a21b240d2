"""Builds views of a large cluster by folding log records, to measure slopes."""

from collections.abc import Iterable, Iterator, Mapping
from itertools import count, islice

from hornbeamfold.logclient import decode_record, encode_record, split_events
from hornbeamfold.model import (
    Applied,
    ClaimMade,
    Entry,
    Event,
    JobPlaced,
    JobSpec,
    JobSubmitted,
    Member,
    MemberReport,
    MembersReported,
    MemberState,
    OrganisationPut,
    Record,
    Shape,
    Span,
    Worker,
    WorkersPut,
    ZoneSet,
)
from hornbeamfold.model.status import PeerHeartbeat
from hornbeamfold.placement import guarantees_fit
from hornbeamfold.view import View

WORKERS = 1_900
TASKS = 6_200
ZONES = 19
REGIONS = 5
ORGANISATIONS = 63
INSTANCES = 9
QUEUED = 3_000
WORKERS_IN_RACK = 10
SLOTS = 8
LOG_TIME_MS = 1_000_000_000
# Sizes of running gangs in accelerators; the mean is 32.
GANG_SIZES = (8, 16, 128, 4, 32, 8, 24, 36)


class Cluster:
    """A view, with methods to fold records into it as if read from the log."""

    def __init__(self, checks_guarantees: bool = False) -> None:
        self._view = View(guarantees_fit) if checks_guarantees else View()
        self._seq = count(1)
        self._worker_turn = count()
        self._free: dict[str, list[str]] = {}

    @property
    def view(self) -> View:
        """The folded view."""
        return self._view

    def fold(self, events: Iterable[Event]) -> None:
        """Fold events, split into records as in the log; raise an error if one is rejected."""
        for batch in split_events(tuple(events)):
            for applied in self.fold_record(batch):
                if not applied.accepted:
                    raise RuntimeError(f"{applied.event} was rejected: {applied.detail}")

    def fold_record(
        self, events: tuple[Event, ...], writer: str = "entry-0"
    ) -> tuple[Applied, ...]:
        """Fold one record and return the result for each event."""
        return self._view.apply(self.entry(events, writer))

    def entry(self, events: tuple[Event, ...], writer: str = "entry-0") -> Entry:
        """Return the next log entry, with its record encoded and decoded as by the log client."""
        record = decode_record(encode_record(Record(writer, next(self._seq), events)))
        return Entry(self._view.offset, LOG_TIME_MS, record)

    def run(self, specs: Iterable[JobSpec]) -> None:
        """Submit, place and start jobs; each member gets the next free worker."""
        jobs = list(specs)
        self.fold(JobSubmitted(spec) for spec in jobs)
        placed = [self.placed(spec) for spec in jobs]
        self.fold(placed)
        for event in placed:
            reports = tuple(
                MemberReport(event.organisation, event.job_id, 1, m.worker, MemberState.RUNNING)
                for m in event.members
            )
            self.fold((MembersReported(reports),))

    def placed(self, spec: JobSpec) -> JobPlaced:
        """Return the placement of a job on the next free workers."""
        members = tuple(self._members(spec.shape.accelerators))
        return JobPlaced(*spec.key, 1, members, self._view.offset)

    def _members(self, accelerators: int) -> Iterator[Member]:
        if not accelerators:
            names = tuple(self._view.workers)
            yield Member(names[next(self._worker_turn) % len(names)], (), 1, 1)
            return
        if not self._free:
            for name, capacity in self._view.capacities.items():
                self._free.setdefault(capacity.region, []).append(name)
        # All members of a gang are in one region: the one with the most free accelerators.
        free = max(self._free.values(), key=len)
        for _ in range(accelerators):
            yield Member(free.pop(0), (0,), 1, 1)


def make_workers(number: int, zones: int = ZONES) -> tuple[Worker, ...]:
    """Return workers with one accelerator each, spread evenly over the zones."""
    per_zone = -(-number // zones)
    return tuple(
        Worker(
            name=f"worker-{at // per_zone:02d}-{at % per_zone:03d}",
            address=f"10.{at // per_zone}.{at % per_zone // 250}.{at % per_zone % 250}:8080",
            availability_zone=f"zone-{at // per_zone:02d}",
            rack=f"zone-{at // per_zone:02d}-rack-{at % per_zone // WORKERS_IN_RACK}",
            position=at % per_zone % WORKERS_IN_RACK,
            processors=64,
            memory_gb=256,
            accelerators=1,
            slots=SLOTS,
            connections=64,
        )
        for at in range(number)
    )


def configured_cluster(workers: Iterable[Worker], organisations: int = ORGANISATIONS) -> Cluster:
    """Return a cluster with zones, workers and organisations, but without jobs."""
    cluster = Cluster()
    cluster.fold(
        ZoneSet(f"zone-{zone:02d}", f"region-{zone % REGIONS}", True, 0) for zone in range(ZONES)
    )
    put_workers(cluster, workers)
    put_organisations(cluster, range(organisations))
    return cluster


def put_workers(cluster: Cluster, workers: Iterable[Worker]) -> None:
    """Add workers, in batches that fit into a log record."""
    remaining = iter(workers)
    while batch := tuple(islice(remaining, 500)):
        cluster.fold((WorkersPut(batch, (), cluster.view.workers_version),))


def put_organisations(cluster: Cluster, numbers: Iterable[int]) -> None:
    """Add organisations, each with two guaranteed shapes."""
    guarantee = (Shape(4, 4, 4, Span.RACK), Shape(2, 2, 2, Span.RACK))
    cluster.fold(
        OrganisationPut(organisation_name(number), guarantee, 1.0, 0) for number in numbers
    )


def organisation_name(number: int) -> str:
    """Return the name of an organisation."""
    return f"organisation-{number:02d}"


def single_specs(number: int, start: int = 0) -> Iterator[JobSpec]:
    """Return jobs of one task without accelerators."""
    for at in range(start, start + number):
        yield _spec(at, "single", 0, Span.WORKER)


def gang_specs(tasks: int, start: int = 0) -> tuple[JobSpec, ...]:
    """Return gangs with `tasks` members in total, the largest first so that all fit."""
    sizes: list[int] = []
    while (remaining := tasks - sum(sizes)) > 0:
        sizes.append(min(remaining, GANG_SIZES[len(sizes) % len(GANG_SIZES)]))
    sizes.sort(reverse=True)
    return tuple(_spec(start + at, "gang", size, Span.REGION) for at, size in enumerate(sizes))


def queued_specs(number: int, start: int = 0) -> Iterator[JobSpec]:
    """Return jobs for the queue; one in eight is a gang of 128."""
    for at in range(start, start + number):
        size = (128, 0, 1, 8, 32, 2, 16, 4)[at % 8]
        yield _spec(at, "queued", size, Span.REGION if size > 1 else Span.WORKER)


def make_claims(number: int, start: int = 0) -> Iterator[ClaimMade]:
    """Return claims of requests that have no outcome yet."""
    for at in range(start, start + number):
        yield ClaimMade(
            organisation_name(at % ORGANISATIONS),
            f"request-{at:08d}",
            "0" * 64,
            "entry-0-0123456789ab",
            f"worker-{at % ZONES:02d}-000",
            LOG_TIME_MS + 60_000,
        )


def design_cluster(share: float = 1.0, queued: int = QUEUED) -> Cluster:
    """Return a cluster of the design size or a share of it; gangs use 4/5 of the workers."""
    cluster = configured_cluster(make_workers(int(WORKERS * share)))
    gangs = int(WORKERS * share * 0.8)
    cluster.run(gang_specs(gangs))
    cluster.run(single_specs(int(TASKS * share) - gangs))
    cluster.fold(JobSubmitted(spec) for spec in queued_specs(queued))
    return cluster


def make_heartbeat(number: int, in_flight: Mapping[str, int], seq: int = 1) -> PeerHeartbeat:
    """Return a heartbeat of an instance, as in a cluster of the design size."""
    return PeerHeartbeat(
        seq=seq,
        name=f"entry-{number}",
        incarnation=f"entry-{number}-0123456789ab",
        address=f"10.{number}.0.1:7000",
        availability_zone=f"zone-{2 * number:02d}",
        region=f"region-{number % REGIONS}",
        leaving=False,
        log_offset=1_000_000,
        configuration_offset=990_000,
        confirmed_age_ms=240,
        log_reachable=True,
        heard={f"entry-{peer}": 100_000 + seq for peer in range(INSTANCES) if peer != number},
        in_flight=in_flight,
        waiting=0,
        set_aside=(),
        settled=True,
    )


def _spec(at: int, prefix: str, accelerators: int, span: Span) -> JobSpec:
    needs = max(1, accelerators)
    shape = Shape(accelerators, needs, needs, span)
    body = '{"run_ms": 14400000, "input": "store/models/relief-7/batch"}'
    name = organisation_name(at % ORGANISATIONS)
    kind = ("train", "render", "audit")[at % 3]
    return JobSpec(name, f"{prefix}-{at:06d}", kind, body, shape, 14_400_000, at % 20 == 0, True)
