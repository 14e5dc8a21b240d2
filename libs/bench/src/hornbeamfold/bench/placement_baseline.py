"""The baseline policy of the placement trial: first come, first served, with first fit."""

from hornbeamfold.model import JobPlaced, JobState, Member, Shape, Span
from hornbeamfold.placement import Decision, PlanningState
from hornbeamfold.placement.blocks import FreeIndex, free_index, member_on


def baseline_plan(state: PlanningState, now_ms: int) -> tuple[Decision, ...]:
    """Place queued jobs in submission order; a job that does not fit blocks all later ones."""
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
    accelerators = shape.accelerators
    for rack in index.racks:
        runs = rack.worker_runs if shape.span is Span.WORKER else rack.runs
        masks = [((1 << accelerators) - 1) << start for start, size in runs if size >= accelerators]
        if not masks and shape.span >= Span.ZONE and rack.mask.bit_count() >= accelerators:
            mask = 0
            for position in range(rack.size):
                if rack.mask >> position & 1 and mask.bit_count() < accelerators:
                    mask |= 1 << position
            masks.append(mask)
        for mask in masks:
            members = tuple(
                member_on(entry.worker.name, part, shape)
                for entry in rack.workers
                if (part := mask >> entry.offset & ((1 << entry.worker.accelerators) - 1))
            )
            if index.fits(members):
                return members
    return ()
