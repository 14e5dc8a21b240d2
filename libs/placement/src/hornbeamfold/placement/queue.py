"""The order of the queue: the oldest aged patient job, then classes, fair share and age."""

from collections.abc import Collection, Iterable, Iterator, Mapping
from heapq import heapify, heappop, heappush

from hornbeamfold.model import ACTIVE_JOBS, Job, JobState, Organisation
from hornbeamfold.model.timing import PATIENT_JOB_AGEING_MS
from hornbeamfold.placement.guarantees import Key, entitled_active, entitled_queue

# Urgent jobs that waited longer go by age. By share alone the reservation would change hands with
# each start, and a large urgent job would lose its window again and again.
URGENT_AGEING_MS = 60_000

# After an aged patient job was placed as the head, urgent jobs go first for this time. Without it,
# a backlog of aged jobs would take each accelerator that becomes free before urgent work.
HEAD_SPACING_MS = 30_000

_ENTITLED_URGENT = 0
_URGENT = 1
_ENTITLED_PATIENT = 2
_AGED = 3
_PATIENT = 4


def order_queue(
    jobs: Iterable[Job], organisations: Mapping[str, Organisation], now_ms: int
) -> tuple[Job, ...]:
    """Return the queued ones of these jobs in their order; the active ones count as usage."""
    active: list[Job] = []
    queued: list[Job] = []
    for job in jobs:
        if job.state is JobState.QUEUED:
            queued.append(job)
        elif job.state in ACTIVE_JOBS:
            active.append(job)
    holders = entitled_active(organisations, active)
    entitled = entitled_queue(organisations, holders, queued)
    return tuple(ordered(queued, active, organisations, entitled, now_ms))


def ordered(
    queued: Iterable[Job],
    active: Collection[Job],
    organisations: Mapping[str, Organisation],
    entitled: frozenset[Key],
    now_ms: int,
) -> Iterator[Job]:
    """Yield queued jobs in order; those that are ordered by share count as usage for later ones.

    Jobs that go by age do not: most of them only wait, and their organisation's other urgent work
    would wait with them.

    The oldest aged patient job comes first, or right after the urgent jobs if an older one was
    placed a moment ago. The other aged ones come before the younger patient jobs.
    """
    classes: list[list[Job]] = [[], [], [], [], []]
    for job in queued:
        classes[_class_of(job, entitled, now_ms)].append(job)
    aged = classes[_AGED]
    aged.sort(key=_age)
    first = bool(aged) and not _recent_head(aged[0], active, now_ms)
    used = usage(active)
    if first:
        yield aged[0]
    yield from _by_fair_share(classes[_ENTITLED_URGENT], used, organisations)
    young: list[Job] = []
    waited: list[Job] = []
    for job in classes[_URGENT]:
        (waited if now_ms - job.submitted_ms > URGENT_AGEING_MS else young).append(job)
    for job in sorted(waited, key=_age):
        yield job
    yield from _by_fair_share(young, used, organisations)
    if aged and not first:
        yield aged[0]
    yield from _by_fair_share(classes[_ENTITLED_PATIENT], used, organisations)
    yield from aged[1:]
    yield from _by_fair_share(classes[_PATIENT], used, organisations)


def oldest_aged(queued: Iterable[Job], entitled: frozenset[Key], now_ms: int) -> Job | None:
    """Return the patient job that has the reservation of the aged, if any job is that old."""
    aged = [job for job in queued if is_aged(job, now_ms) and job.key not in entitled]
    return min(aged, key=_age, default=None)


def _recent_head(head: Job, active: Iterable[Job], now_ms: int) -> bool:
    """Return whether an older patient job was placed within the spacing.

    Younger ones do not count: they were placed beside the head and must not delay it.
    """
    return any(
        now_ms - job.placed_ms < HEAD_SPACING_MS
        and job.submitted_ms < head.submitted_ms
        and is_aged(job, job.placed_ms)
        for job in active
    )


def usage(active: Iterable[Job]) -> dict[str, int]:
    """Return what each organisation uses; a task without accelerators counts as one."""
    used: dict[str, int] = {}
    for job in active:
        _count(job, used)
    return used


def _count(job: Job, used: dict[str, int]) -> None:
    name = job.spec.organisation
    used[name] = used.get(name, 0) + (job.spec.shape.accelerators or 1)


def is_aged(job: Job, now_ms: int) -> bool:
    """Return whether a patient job has waited past its ageing bound."""
    return not job.spec.urgent and now_ms - job.submitted_ms > PATIENT_JOB_AGEING_MS


def _by_fair_share(
    jobs: list[Job], used: dict[str, int], organisations: Mapping[str, Organisation]
) -> Iterator[Job]:
    lanes: dict[str, list[Job]] = {}
    for job in jobs:
        lanes.setdefault(job.spec.organisation, []).append(job)
    heads: list[tuple[float, int, str]] = []
    for name, lane in lanes.items():
        # Sorted backwards, so that the oldest job is popped from the end.
        lane.sort(key=_age, reverse=True)
        heads.append((_share(name, used, organisations), lane[-1].submitted_ms, name))
    heapify(heads)
    while heads:
        _, _, name = heappop(heads)
        lane = lanes[name]
        job = lane.pop()
        yield job
        _count(job, used)
        if lane:
            heappush(heads, (_share(name, used, organisations), lane[-1].submitted_ms, name))


def _share(name: str, used: dict[str, int], organisations: Mapping[str, Organisation]) -> float:
    organisation = organisations.get(name)
    weight = organisation.weight if organisation is not None else 1.0
    return used.get(name, 0) / weight if weight > 0 else float("inf")


def _class_of(job: Job, entitled: frozenset[Key], now_ms: int) -> int:
    if entitled and job.key in entitled:
        return _ENTITLED_URGENT if job.spec.urgent else _ENTITLED_PATIENT
    if job.spec.urgent:
        return _URGENT
    return _AGED if is_aged(job, now_ms) else _PATIENT


def _age(job: Job) -> tuple[int, str, str]:
    return (job.submitted_ms, job.spec.organisation, job.spec.job_id)
