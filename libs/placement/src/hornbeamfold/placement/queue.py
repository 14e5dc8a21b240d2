"""The order of the queue: the oldest aged patient job, then by class, fair share and age."""

from collections.abc import Collection, Iterable, Iterator, Mapping
from heapq import heapify, heappop, heappush

from hornbeamfold.model import ACTIVE_JOBS, Job, JobState, Organisation
from hornbeamfold.model.timing import PATIENT_JOB_AGEING_MS
from hornbeamfold.placement.guarantees import Key, entitled_active, entitled_queue

# Urgent jobs that have waited longer than this are ordered by age. By share alone, the reservation
# would pass to another job with each start, and a large urgent job would lose its window each time.
URGENT_AGEING_MS = 60_000

# After an aged patient job was placed as the head, urgent jobs come first for this time. Otherwise
# a backlog of aged jobs would take every accelerator that becomes free before urgent jobs do.
AGED_PLACEMENT_INTERVAL_MS = 30_000

_ENTITLED_URGENT = 0
_URGENT = 1
_ENTITLED_PATIENT = 2
_AGED = 3
_PATIENT = 4


def order_queue(
    jobs: Iterable[Job], organisations: Mapping[str, Organisation], now_ms: int
) -> tuple[Job, ...]:
    """Return the queued jobs among `jobs` in order; the active ones count as usage."""
    active: list[Job] = []
    queued: list[Job] = []
    for job in jobs:
        if job.state is JobState.QUEUED:
            queued.append(job)
        elif job.state in ACTIVE_JOBS:
            active.append(job)
    entitled_jobs = entitled_active(organisations, active)
    entitled = entitled_queue(organisations, entitled_jobs, queued)
    return tuple(order_by_class(queued, active, organisations, entitled, now_ms))


def order_by_class(
    queued: Iterable[Job],
    active: Collection[Job],
    organisations: Mapping[str, Organisation],
    entitled: frozenset[Key],
    now_ms: int,
) -> Iterator[Job]:
    """Yield queued jobs in order.

    Jobs that are ordered by share count as usage of their organisation for the jobs after them.
    Jobs that are ordered by age do not: most of them only wait, and other urgent jobs of their
    organisation would wait with them.

    The oldest aged patient job comes first, or directly after the urgent jobs if an older one was
    placed recently. The other aged jobs come before the younger patient jobs.
    """
    classes: list[list[Job]] = [[], [], [], [], []]
    for job in queued:
        classes[_class_of(job, entitled, now_ms)].append(job)
    aged = classes[_AGED]
    aged.sort(key=_age_key)
    aged_first = bool(aged) and not _older_placed_recently(aged[0], active, now_ms)
    usage_by_organisation = usage(active)
    if aged_first:
        yield aged[0]
    yield from _by_fair_share(classes[_ENTITLED_URGENT], usage_by_organisation, organisations)
    by_share: list[Job] = []
    by_age: list[Job] = []
    for job in classes[_URGENT]:
        (by_age if now_ms - job.submitted_ms > URGENT_AGEING_MS else by_share).append(job)
    for job in sorted(by_age, key=_age_key):
        yield job
    yield from _by_fair_share(by_share, usage_by_organisation, organisations)
    if aged and not aged_first:
        yield aged[0]
    yield from _by_fair_share(classes[_ENTITLED_PATIENT], usage_by_organisation, organisations)
    yield from aged[1:]
    yield from _by_fair_share(classes[_PATIENT], usage_by_organisation, organisations)


def oldest_aged(queued: Iterable[Job], entitled: frozenset[Key], now_ms: int) -> Job | None:
    """Return the patient job that has the reservation for aged jobs, or None if none is aged."""
    aged = [job for job in queued if is_aged(job, now_ms) and job.key not in entitled]
    return min(aged, key=_age_key, default=None)


def _older_placed_recently(head: Job, active: Iterable[Job], now_ms: int) -> bool:
    """Return whether an older patient job was placed within the interval for aged jobs.

    Younger jobs do not count: they were backfilled around the head and must not delay it.
    """
    return any(
        now_ms - job.placed_ms < AGED_PLACEMENT_INTERVAL_MS
        and job.submitted_ms < head.submitted_ms
        and is_aged(job, job.placed_ms)
        for job in active
    )


def usage(active: Iterable[Job]) -> dict[str, int]:
    """Return the accelerators that each organisation uses; a job without any counts as one."""
    usage_by_organisation: dict[str, int] = {}
    for job in active:
        _add_usage(job, usage_by_organisation)
    return usage_by_organisation


def _add_usage(job: Job, usage_by_organisation: dict[str, int]) -> None:
    name = job.spec.organisation
    usage_by_organisation[name] = usage_by_organisation.get(name, 0) + (
        job.spec.shape.accelerators or 1
    )


def is_aged(job: Job, now_ms: int) -> bool:
    """Return whether a patient job has waited longer than the ageing bound."""
    return not job.spec.urgent and now_ms - job.submitted_ms > PATIENT_JOB_AGEING_MS


def _by_fair_share(
    jobs: list[Job],
    usage_by_organisation: dict[str, int],
    organisations: Mapping[str, Organisation],
) -> Iterator[Job]:
    queues: dict[str, list[Job]] = {}
    for job in jobs:
        queues.setdefault(job.spec.organisation, []).append(job)
    heads: list[tuple[float, int, str]] = []
    for name, queue in queues.items():
        # In reverse order, so that the oldest job is popped from the end.
        queue.sort(key=_age_key, reverse=True)
        heads.append(
            (_share(name, usage_by_organisation, organisations), queue[-1].submitted_ms, name)
        )
    heapify(heads)
    while heads:
        _, _, name = heappop(heads)
        queue = queues[name]
        job = queue.pop()
        yield job
        _add_usage(job, usage_by_organisation)
        if queue:
            heappush(
                heads,
                (_share(name, usage_by_organisation, organisations), queue[-1].submitted_ms, name),
            )


def _share(
    name: str, usage_by_organisation: dict[str, int], organisations: Mapping[str, Organisation]
) -> float:
    organisation = organisations.get(name)
    weight = organisation.weight if organisation is not None else 1.0
    return usage_by_organisation.get(name, 0) / weight if weight > 0 else float("inf")


def _class_of(job: Job, entitled: frozenset[Key], now_ms: int) -> int:
    if entitled and job.key in entitled:
        return _ENTITLED_URGENT if job.spec.urgent else _ENTITLED_PATIENT
    if job.spec.urgent:
        return _URGENT
    return _AGED if is_aged(job, now_ms) else _PATIENT


def _age_key(job: Job) -> tuple[int, str, str]:
    return (job.submitted_ms, job.spec.organisation, job.spec.job_id)
