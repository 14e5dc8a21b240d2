"""On which workers a step's tasks are tried, in which order."""

from collections.abc import Iterable

from hornbeamfold.scheduling.draft import Draft, is_eligible
from hornbeamfold.scheduling.inputs import ReadyStep

# A task takes several times as long away from its data, so it waits for room near them for this
# share of its estimate before it goes elsewhere.
LOCAL_WAIT_SHARE = 0.8


def candidate_groups(draft: Draft, step: ReadyStep, now_ms: int) -> list[list[str]]:
    """Return groups of workers, the best first; all tasks of a pass go to one group."""
    eligible = [each for each in draft.workers if is_eligible(step, draft.room(each))]
    preferred = step.step.preferred_rack
    waited = now_ms - step.ready_ms
    may_leave = waited > LOCAL_WAIT_SHARE * step.step.estimate_ms
    near = [each for each in eligible if preferred and draft.room(each).rack == preferred]
    if step.step.one_rack:
        return _racks(draft, step, eligible, near, may_leave)
    if not near:
        return [eligible]
    return [near, eligible] if may_leave else [near]


def _racks(
    draft: Draft, step: ReadyStep, eligible: Iterable[str], near: list[str], may_leave: bool
) -> list[list[str]]:
    by_rack: dict[str, list[str]] = {}
    for worker_id in eligible:
        by_rack.setdefault(draft.room(worker_id).rack, []).append(worker_id)
    # Tasks that are placed already fix the rack of the rest.
    racks = {draft.room(each).rack for each in step.placed_on if draft.has(each)}
    if len(racks) == 1:
        return [by_rack.get(racks.pop(), [])]
    groups = sorted(by_rack.values(), key=lambda group: -holds(draft, step, group))
    large_enough = [group for group in groups if holds(draft, step, group) >= step.step.count]
    if not large_enough:
        return [[worker_id for group in groups for worker_id in group]]
    if not near:
        return large_enough
    if holds(draft, step, near) >= step.step.count and not may_leave:
        return [near]
    return [near, *(group for group in large_enough if group != near)]


def holds(draft: Draft, step: ReadyStep, workers: Iterable[str]) -> int:
    """Return how many tasks of a step these workers could hold if they were empty."""
    total = 0
    demand = step.step.reserved
    for worker_id in workers:
        capacity = draft.room(worker_id).capacity
        most = step.step.max_per_worker or step.step.count
        if demand.cpu_millis:
            most = min(most, capacity.cpu_millis // demand.cpu_millis)
        if demand.memory_mb:
            most = min(most, capacity.memory_mb // demand.memory_mb)
        if demand.accelerators:
            most = min(most, capacity.accelerators // demand.accelerators)
        total += most
    return total
