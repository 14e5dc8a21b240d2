"""The order of the queue: aged patient jobs, then classes, fair share and age."""

from collections.abc import Iterable, Iterator, Mapping
from heapq import heapify, heappop, heappush

from hornbeamfold.model import ACTIVE_JOBS, Job, JobState, Organisation
from hornbeamfold.model.timing import PATIENT_JOB_AGEING_MS
from hornbeamfold.placement.guarantees import entitled_queue

_AGED = 0
_ENTITLED_URGENT = 1
_URGENT = 2
_ENTITLED_PATIENT = 3
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
    entitled = entitled_queue(organisations, active, queued)
    return tuple(ordered(queued, active, organisations, entitled, now_ms))


def ordered(
    queued: Iterable[Job],
    active: Iterable[Job],
    organisations: Mapping[str, Organisation],
    entitled: frozenset[tuple[str, str]],
    now_ms: int,
) -> Iterator[Job]:
    """Yield queued jobs in order; each yielded job counts as usage for the rest of its class."""
    classes: list[list[Job]] = [[], [], [], [], []]
    for job in queued:
        classes[_class_of(job, entitled, now_ms)].append(job)
    classes[_AGED].sort(key=_age)
    yield from classes[_AGED]
    used = usage(active)
    for jobs in classes[1:]:
        yield from _by_fair_share(jobs, used, organisations)


def usage(active: Iterable[Job]) -> dict[str, int]:
    """Return what each organisation uses; a task without accelerators counts as one."""
    used: dict[str, int] = {}
    for job in active:
        name = job.spec.organisation
        used[name] = used.get(name, 0) + (job.spec.shape.accelerators or 1)
    return used


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
        used[name] = used.get(name, 0) + (job.spec.shape.accelerators or 1)
        if lane:
            heappush(heads, (_share(name, used, organisations), lane[-1].submitted_ms, name))


def _share(name: str, used: dict[str, int], organisations: Mapping[str, Organisation]) -> float:
    organisation = organisations.get(name)
    weight = organisation.weight if organisation is not None else 1.0
    return used.get(name, 0) / weight if weight > 0 else float("inf")


def _class_of(job: Job, entitled: frozenset[tuple[str, str]], now_ms: int) -> int:
    if is_aged(job, now_ms):
        return _AGED
    if job.key in entitled:
        return _ENTITLED_URGENT if job.spec.urgent else _ENTITLED_PATIENT
    return _URGENT if job.spec.urgent else _PATIENT


def _age(job: Job) -> tuple[int, str, str]:
    return (job.submitted_ms, job.spec.organisation, job.spec.job_id)
