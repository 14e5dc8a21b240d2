"""The baseline of the placement trial."""

from hornbeamfold.model import JobPlaced, JobState, Member, Shape, Span
from hornbeamfold.placement import Decision, PlanningState
from hornbeamfold.placement.blocks import FreeIndex, free_index, member_on


def baseline_plan(state: PlanningState, now_ms: int) -> tuple[Decision, ...]:
    """First come first served, first fit: the oldest job waits until it fits, and all behind it."""
    queued = [job for job in state.jobs if job.state is JobState.QUEUED]
    queued.sort(key=lambda job: (job.submitted_ms, job.key))
    index = free_index(state.capacities)
    decisions: list[Decision] = []
    for job in queued:
        members = _first_fit(index, job.spec.shape)
        if not members:
            break
        index.take(members)
        event = JobPlaced(*job.key, job.attempt, members, state.offset)
        decisions.append(Decision(event, "first fit"))
    return tuple(decisions)


def _first_fit(index: FreeIndex, shape: Shape) -> tuple[Member, ...]:
    need = shape.accelerators
    for line in index.racks:
        runs = line.worker_runs if shape.span is Span.WORKER else line.runs
        masks = [((1 << need) - 1) << start for start, size in runs if size >= need]
        if not masks and shape.span >= Span.ZONE and line.mask.bit_count() >= need:
            mask = 0
            for at in range(line.size):
                if line.mask >> at & 1 and mask.bit_count() < need:
                    mask |= 1 << at
            masks.append(mask)
        for mask in masks:
            members = tuple(
                member_on(room.worker.name, part, shape)
                for room in line.workers
                if (part := mask >> room.offset & ((1 << room.worker.accelerators) - 1))
            )
            if index.fits(members):
                return members
    return ()
