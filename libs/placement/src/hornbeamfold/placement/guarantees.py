"""Matching of jobs to guaranteed shapes, and the check that all guarantees fit together.

A job that is matched to a guaranteed shape of its organisation is entitled; the other jobs borrow.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from functools import lru_cache
from heapq import nsmallest

from hornbeamfold.model import Job, JobState, Organisation, Shape, WorkerCapacity
from hornbeamfold.placement.blocks import share_of, total_index
from hornbeamfold.placement.fit import find_placement

Key = tuple[str, str]


def guarantees_fit(
    organisations: Iterable[Organisation], capacities: Iterable[WorkerCapacity]
) -> str:
    """Return which guarantee does not fit beside the others, or an empty string if all do.

    The shapes are packed in decreasing order into the total capacity of all workers, in service
    or not, with the rule that also places jobs: the smallest sufficient run.
    """
    index = total_index(capacities, only_eligible=False)
    required = [
        (organisation.name, shape)
        for organisation in organisations
        for shape in organisation.guarantee
    ]
    required.sort(key=lambda item: (decreasing_size(item[1]), item[0]))
    for name, shape in required:
        placement = find_placement(index, shape)
        if placement is None:
            return (
                f"the guarantee of {shape.accelerators} accelerators within a "
                f"{shape.span.name.lower()} for {name} does not fit beside the others"
            )
        index.take(placement.members)
    return ""


@lru_cache(maxsize=4096)
def covers(guarantee: Shape, shape: Shape) -> bool:
    """Return whether every placement of the guaranteed shape can also hold this shape.

    Processors and memory are compared for each size of a member, because the members of a gang
    get them in proportion to their accelerators. A shape with a narrower span than the guaranteed
    one is not covered.
    """
    if shape.accelerators > guarantee.accelerators or shape.span < guarantee.span:
        return False
    if shape.accelerators == 0:
        sizes = range(1 if guarantee.accelerators else 0, 2 if guarantee.accelerators else 1)
    else:
        sizes = range(1, shape.accelerators + 1)
    for size in sizes:
        processors, memory_gb = share_of(shape, size)
        available = share_of(guarantee, size)
        if processors > available[0] or memory_gb > available[1]:
            return False
    return True


def entitled_keys(
    organisation: Organisation, jobs: Iterable[Job], candidate: Job | None
) -> frozenset[Key]:
    """Return the keys of the entitled jobs among an organisation's jobs and the candidate.

    Of `jobs`, only those that are placed or running count.
    """
    candidates = [job for job in jobs if _can_hold_guarantee(job)]
    if candidate is not None:
        candidates.append(candidate)
    return frozenset(match_guarantees(organisation, candidates))


def match_guarantees(organisation: Organisation, jobs: Sequence[Job]) -> dict[Key, int]:
    """Match jobs to guaranteed shapes; return the index of the shape for each matched job.

    Jobs are matched in decreasing order of size, each to the smallest shape that covers it, so
    that large shapes stay available. Jobs of equal size are matched in their order in `jobs`.
    """
    shapes = sorted(
        range(len(organisation.guarantee)),
        key=lambda index: decreasing_size(organisation.guarantee[index]),
        reverse=True,
    )
    matched: dict[Key, int] = {}
    for job in sorted(jobs, key=lambda job: decreasing_size(job.spec.shape)):
        if not shapes:
            break
        for index in shapes:
            if covers(organisation.guarantee[index], job.spec.shape):
                matched[job.key] = index
                shapes.remove(index)
                break
    return matched


def entitled_active(
    organisations: Mapping[str, Organisation], active: Iterable[Job]
) -> dict[str, list[Job]]:
    """Return the entitled active jobs of each organisation that has a guarantee."""
    guaranteed = {item.name for item in organisations.values() if item.guarantee}
    if not guaranteed:
        return {}
    by_shape: dict[tuple[str, Shape], list[Job]] = {}
    for job in active:
        if job.spec.organisation in guaranteed and _can_hold_guarantee(job):
            by_shape.setdefault((job.spec.organisation, job.spec.shape), []).append(job)
    by_organisation: dict[str, list[Job]] = {}
    for (name, shape), jobs in by_shape.items():
        count = sum(1 for guarantee in organisations[name].guarantee if covers(guarantee, shape))
        if count:
            # Of jobs with equal shapes the oldest are matched, so the others can be skipped.
            by_organisation.setdefault(name, []).extend(nsmallest(count, jobs, key=_age_key))
    entitled: dict[str, list[Job]] = {}
    for name, jobs in by_organisation.items():
        jobs.sort(key=_age_key)
        matched = match_guarantees(organisations[name], jobs)
        entitled[name] = [job for job in jobs if job.key in matched]
    return entitled


def entitled_queue(
    organisations: Mapping[str, Organisation],
    entitled_jobs: Mapping[str, list[Job]],
    queued: Iterable[Job],
    reserved: Collection[Key] = frozenset(),
) -> frozenset[Key]:
    """Return the keys of queued jobs that are entitled.

    `entitled_jobs` are the entitled active jobs. Candidates are tried one at a time: those in
    `reserved` (they have a reservation), then urgent ones, then by age. A candidate that would
    displace an accepted candidate is not entitled. A candidate that needs the guaranteed shape of
    a smaller active job is entitled, and that job borrows from then on.
    """
    # Caches which shapes are covered: most queued jobs are larger than any guarantee of their
    # organisation.
    coverable_shapes: dict[str, dict[Shape, bool]] = {
        name: {} for name, item in organisations.items() if item.guarantee
    }
    if not coverable_shapes:
        return frozenset()
    waiting: dict[str, list[Job]] = {}
    for job in queued:
        name = job.spec.organisation
        coverable = coverable_shapes.get(name)
        if coverable is None or job.infeasible:
            continue
        shape = job.spec.shape
        is_coverable = coverable.get(shape)
        if is_coverable is None:
            is_coverable = any(covers(item, shape) for item in organisations[name].guarantee)
            coverable[shape] = is_coverable
        if is_coverable:
            waiting.setdefault(name, []).append(job)
    entitled: set[Key] = set()
    for name, jobs in waiting.items():
        jobs.sort(key=lambda job: (job.key not in reserved, not job.spec.urgent, *_age_key(job)))
        entitled.update(_accept_candidates(organisations[name], entitled_jobs.get(name, []), jobs))
    return frozenset(entitled)


def decreasing_size(shape: Shape) -> tuple[int, int, int, int]:
    """Return a sort key that puts large shapes first, and narrow spans among shapes of one size."""
    return (-shape.accelerators, int(shape.span), -shape.processors, -shape.memory_gb)


def _accept_candidates(
    organisation: Organisation, entitled_jobs: list[Job], jobs: list[Job]
) -> set[Key]:
    accepted: set[Key] = set()
    # A shape that was refused stays refused, because the set of accepted candidates only grows.
    refused: set[Shape] = set()
    for job in jobs:
        if len(accepted) == len(organisation.guarantee):
            break
        if job.spec.shape in refused:
            continue
        matched = match_guarantees(organisation, [*entitled_jobs, job])
        if job.key not in matched or not accepted <= matched.keys():
            refused.add(job.spec.shape)
            continue
        accepted.add(job.key)
        entitled_jobs = [item for item in [*entitled_jobs, job] if item.key in matched]
    return accepted


def _can_hold_guarantee(job: Job) -> bool:
    """Return whether an active job can use a guarantee; a stopping job no longer can."""
    return job.state in (JobState.PLACED, JobState.RUNNING)


def _age_key(job: Job) -> tuple[int, str]:
    return (job.submitted_ms, job.spec.job_id)
