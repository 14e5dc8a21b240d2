"""Stops other work where a job within its organisation's guarantee finds no room."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from hornbeamfold.batch import Resources
from hornbeamfold.scheduling.draft import Draft, pack
from hornbeamfold.scheduling.inputs import Occupant, ReadyStep

# A time after the start of every hold, so that room held for other steps does not count as free.
FOREVER_MS = 1 << 62


@dataclass(frozen=True)
class Reclaim:
    """Workers for all waiting tasks, and the runs to stop; none if enough are stopping already."""

    workers: tuple[str, ...]
    victims: tuple[Occupant, ...]
    lost_work: float


def reclaim(
    draft: Draft,
    step: ReadyStep,
    groups: Sequence[Sequence[str]],
    occupants: Sequence[Occupant],
) -> Reclaim | None:
    """Return the cheapest way to make room, or None if stopping all that may be is too little."""
    best: Reclaim | None = None
    gangs: dict[tuple[str, int, int], list[Occupant]] = {}
    for occupant in occupants:
        if occupant.gang is not None:
            gangs.setdefault(occupant.gang, []).append(occupant)
    for group in groups:
        found = _reclaim_in(draft, step, group, occupants, gangs)
        if found is not None and (best is None or found.lost_work < best.lost_work):
            best = found
    return best


def _reclaim_in(
    draft: Draft,
    step: ReadyStep,
    group: Sequence[str],
    occupants: Sequence[Occupant],
    gangs: Mapping[tuple[str, int, int], Sequence[Occupant]],
) -> Reclaim | None:
    free = {each: draft.available(each, FOREVER_MS) for each in group}
    by_worker: dict[str, list[Occupant]] = {each: [] for each in group}
    for occupant in occupants:
        if occupant.worker_id not in free:
            continue
        if occupant.stopping:
            free[occupant.worker_id] = free[occupant.worker_id] + occupant.reserved
        elif not occupant.protected and occupant.priority > step.job.priority:
            by_worker[occupant.worker_id].append(occupant)
    chosen = pack(draft, step, len(step.waiting), group, free.__getitem__)
    victims: dict[Occupant, None] = {}
    for worker_id in chosen:
        free[worker_id] = free[worker_id] - step.step.reserved
    while len(chosen) < len(step.waiting):
        found = _cheapest(step, free, by_worker, victims, gangs)
        if found is None:
            return None
        worker_id, added = found
        for victim in added:
            victims[victim] = None
            if victim.worker_id in free:
                free[victim.worker_id] = free[victim.worker_id] + victim.reserved
        free[worker_id] = free[worker_id] - step.step.reserved
        chosen.append(worker_id)
    lost = sum(victim.lost_work for victim in victims)
    return Reclaim(tuple(chosen), tuple(victims), lost)


def _cheapest(
    step: ReadyStep,
    free: Mapping[str, Resources],
    by_worker: Mapping[str, Sequence[Occupant]],
    victims: Mapping[Occupant, None],
    gangs: Mapping[tuple[str, int, int], Sequence[Occupant]],
) -> tuple[str, list[Occupant]] | None:
    """Return the worker on which one more task costs least, and the runs to stop for it."""
    best: tuple[float, str, list[Occupant]] | None = None
    for worker_id, candidates in by_worker.items():
        if worker_id in step.avoid:
            continue
        room = free[worker_id]
        added: dict[Occupant, None] = {}
        for occupant in sorted(candidates, key=lambda each: (each.lost_work, each.name)):
            if step.step.reserved.fits(room):
                break
            if occupant in victims or occupant in added:
                continue
            for member in _with_gang(occupant, gangs):
                if member in victims or member in added:
                    continue
                added[member] = None
                if member.worker_id == worker_id:
                    room = room + member.reserved
        if not step.step.reserved.fits(room):
            continue
        cost = sum(each.lost_work for each in added)
        if best is None or (cost, worker_id) < (best[0], best[1]):
            best = (cost, worker_id, list(added))
    return (best[1], best[2]) if best is not None else None


def _with_gang(
    occupant: Occupant, gangs: Mapping[tuple[str, int, int], Sequence[Occupant]]
) -> Iterable[Occupant]:
    return gangs[occupant.gang] if occupant.gang is not None else (occupant,)
