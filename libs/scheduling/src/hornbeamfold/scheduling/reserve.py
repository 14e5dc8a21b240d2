"""Holds room for a step that found none, so that smaller work does not keep it out for ever."""

from collections.abc import Sequence

from hornbeamfold.batch import Resources
from hornbeamfold.scheduling.draft import Draft, Hold, pack
from hornbeamfold.scheduling.inputs import Occupant, ReadyStep


def reserve(
    draft: Draft,
    step: ReadyStep,
    groups: Sequence[Sequence[str]],
    occupants: Sequence[Occupant],
    now_ms: int,
) -> bool:
    """Hold room where all waiting tasks fit first, as runs end; return whether any place fits."""
    best: tuple[int, list[str]] | None = None
    for group in groups:
        found = _first_fit(draft, step, group, occupants)
        if found is not None and (best is None or found[0] < best[0]):
            best = found
    if best is None:
        return False
    remaining_ms, chosen = best
    for worker_id in chosen:
        draft.hold(Hold(worker_id, step.step.reserved, now_ms + remaining_ms))
    return True


def _first_fit(
    draft: Draft, step: ReadyStep, group: Sequence[str], occupants: Sequence[Occupant]
) -> tuple[int, list[str]] | None:
    """Return after how long all waiting tasks fit into a group, and on which workers."""
    members = set(group)
    free: dict[str, Resources] = {each: draft.free(each) for each in group}
    count = len(step.waiting)
    leaving = [each for each in occupants if each.worker_id in members]
    leaving.sort(key=lambda each: (each.remaining_ms, each.name))
    chosen = pack(draft, step, count, group, free.__getitem__)
    if len(chosen) == count:
        return 0, chosen
    for position, occupant in enumerate(leaving):
        free[occupant.worker_id] = free[occupant.worker_id] + occupant.reserved
        following = leaving[position + 1 : position + 2]
        if following and following[0].remaining_ms == occupant.remaining_ms:
            continue
        chosen = pack(draft, step, count, group, free.__getitem__)
        if len(chosen) == count:
            return occupant.remaining_ms, chosen
    return None
