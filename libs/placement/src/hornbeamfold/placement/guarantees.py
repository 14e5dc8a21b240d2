"""Which jobs are entitled, and whether all guarantees fit into the topology together."""

from collections.abc import Collection, Iterable, Mapping, Sequence
from functools import lru_cache
from heapq import nsmallest

from hornbeamfold.model import Job, JobState, Organisation, Shape, WorkerCapacity
from hornbeamfold.placement.blocks import share_of, total_index
from hornbeamfold.placement.fit import find_place

Key = tuple[str, str]


def guarantees_fit(
    organisations: Iterable[Organisation], capacities: Iterable[WorkerCapacity]
) -> str:
    """Return which guarantee does not fit beside the others, or an empty string if all do.

    The shapes are packed in decreasing order into the whole capacity of all workers, in service
    or not, with the choice that places jobs: the smallest sufficient run.
    """
    index = total_index(capacities, only_eligible=False)
    wanted = [
        (organisation.name, shape)
        for organisation in organisations
        for shape in organisation.guarantee
    ]
    wanted.sort(key=lambda item: (decreasing(item[1]), item[0]))
    for name, shape in wanted:
        found = find_place(index, shape)
        if found is None:
            return (
                f"the guarantee of {shape.accelerators} accelerators within a "
                f"{shape.span.name.lower()} for {name} does not fit beside the others"
            )
        index.take(found.members)
    return ""


@lru_cache(maxsize=4096)
def covers(guarantee: Shape, shape: Shape) -> bool:
    """Return whether each place for the guaranteed shape also holds this shape.

    Processors and memory are compared member by member, because the members of a gang get them in
    proportion. A narrower span than the guaranteed one is not covered.
    """
    if shape.accelerators > guarantee.accelerators or shape.span < guarantee.span:
        return False
    if shape.accelerators == 0:
        sizes = range(1 if guarantee.accelerators else 0, 2 if guarantee.accelerators else 1)
    else:
        sizes = range(1, shape.accelerators + 1)
    for size in sizes:
        processors, memory_gb = share_of(shape, size)
        room = share_of(guarantee, size)
        if processors > room[0] or memory_gb > room[1]:
            return False
    return True


def entitled_keys(
    organisation: Organisation, jobs: Iterable[Job], candidate: Job | None
) -> frozenset[Key]:
    """Return which of an organisation's active jobs and the candidate are entitled."""
    holders = [job for job in jobs if _holds(job)]
    if candidate is not None:
        holders.append(candidate)
    return frozenset(match(organisation, holders))


def match(organisation: Organisation, jobs: Sequence[Job]) -> dict[Key, int]:
    """Match jobs to guaranteed shapes and return the number of the shape for each matched job.

    The largest job chooses first and takes the smallest shape that covers it, so that large
    shapes stay open. Of equal jobs, the one that comes first in `jobs` is matched first.
    """
    shapes = sorted(
        range(len(organisation.guarantee)),
        key=lambda number: decreasing(organisation.guarantee[number]),
        reverse=True,
    )
    matched: dict[Key, int] = {}
    for job in sorted(jobs, key=lambda job: decreasing(job.spec.shape)):
        if not shapes:
            break
        for number in shapes:
            if covers(organisation.guarantee[number], job.spec.shape):
                matched[job.key] = number
                shapes.remove(number)
                break
    return matched


def entitled_active(
    organisations: Mapping[str, Organisation], active: Iterable[Job]
) -> dict[str, list[Job]]:
    """Return the entitled active jobs of each organisation that has a guarantee."""
    guaranteed = {item.name for item in organisations.values() if item.guarantee}
    if not guaranteed:
        return {}
    groups: dict[tuple[str, Shape], list[Job]] = {}
    for job in active:
        if job.spec.organisation in guaranteed and _holds(job):
            groups.setdefault((job.spec.organisation, job.spec.shape), []).append(job)
    by_name: dict[str, list[Job]] = {}
    for (name, shape), jobs in groups.items():
        number = sum(1 for guarantee in organisations[name].guarantee if covers(guarantee, shape))
        if number:
            # Of equal jobs the oldest are matched, so the others need not be looked at.
            by_name.setdefault(name, []).extend(nsmallest(number, jobs, key=_age))
    entitled: dict[str, list[Job]] = {}
    for name, jobs in by_name.items():
        jobs.sort(key=_age)
        matched = match(organisations[name], jobs)
        entitled[name] = [job for job in jobs if job.key in matched]
    return entitled


def entitled_queue(
    organisations: Mapping[str, Organisation],
    holders: Mapping[str, list[Job]],
    queued: Iterable[Job],
    first: Collection[Key] = frozenset(),
) -> frozenset[Key]:
    """Return the keys of queued jobs that are entitled.

    `holders` are the entitled active jobs. Candidates are tried one at a time: those in `first`
    (they have a reservation), then urgent ones, then by age. One that would take the shape of an
    accepted candidate is not entitled; one that needs the shape under a smaller active job is, and
    that job borrows from then on.
    """
    # Most queued jobs are larger than any guarantee of their organisation.
    covered: dict[str, dict[Shape, bool]] = {
        name: {} for name, item in organisations.items() if item.guarantee
    }
    if not covered:
        return frozenset()
    waiting: dict[str, list[Job]] = {}
    for job in queued:
        name = job.spec.organisation
        verdicts = covered.get(name)
        if verdicts is None or job.infeasible:
            continue
        shape = job.spec.shape
        possible = verdicts.get(shape)
        if possible is None:
            possible = any(covers(item, shape) for item in organisations[name].guarantee)
            verdicts[shape] = possible
        if possible:
            waiting.setdefault(name, []).append(job)
    found: set[Key] = set()
    for name, jobs in waiting.items():
        jobs.sort(key=lambda job: (job.key not in first, not job.spec.urgent, *_age(job)))
        found.update(_accept(organisations[name], holders.get(name, []), jobs))
    return frozenset(found)


def decreasing(shape: Shape) -> tuple[int, int, int, int]:
    """Return the sort key that puts large shapes, and among equals narrow spans, first."""
    return (-shape.accelerators, int(shape.span), -shape.processors, -shape.memory_gb)


def _accept(organisation: Organisation, holders: list[Job], jobs: list[Job]) -> set[Key]:
    accepted: set[Key] = set()
    # Once a shape is refused it stays refused, because accepted candidates only grow in number.
    refused: set[Shape] = set()
    for job in jobs:
        if len(accepted) == len(organisation.guarantee):
            break
        if job.spec.shape in refused:
            continue
        matched = match(organisation, [*holders, job])
        if job.key not in matched or not accepted <= matched.keys():
            refused.add(job.spec.shape)
            continue
        accepted.add(job.key)
        holders = [holder for holder in [*holders, job] if holder.key in matched]
    return accepted


def _holds(job: Job) -> bool:
    """Return whether a job uses its organisation's guarantee; a stopping job no longer does."""
    return job.state in (JobState.PLACED, JobState.RUNNING)


def _age(job: Job) -> tuple[int, str]:
    return (job.submitted_ms, job.spec.job_id)
