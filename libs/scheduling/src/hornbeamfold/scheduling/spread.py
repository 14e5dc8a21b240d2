"""Spreads the tasks of a step that slow each other down."""

from collections.abc import Callable, Iterable
from heapq import heapify, heappop, heappush

from hornbeamfold.scheduling.worker_choice import Reluctance

# Returns the rank of a worker for a task if it also gets this many more tasks of the same step.
ReluctanceBeside = Callable[[str, int], Reluctance]


def spread(
    ranked: Iterable[tuple[Reluctance, float, str, int]],
    count: int,
    reluctance_beside: ReluctanceBeside,
) -> list[str]:
    """Return workers for up to `count` tasks, for each the best after the tasks before it.

    A ranked worker has its rank, the share that remains of it, its id, and how many tasks fit.
    """
    queue = [(rank, share, worker_id, 0, fit) for rank, share, worker_id, fit in ranked]
    heapify(queue)
    chosen: list[str] = []
    while queue and len(chosen) < count:
        _, share, worker_id, siblings, fit = heappop(queue)
        chosen.append(worker_id)
        siblings += 1
        if siblings < fit:
            rank = reluctance_beside(worker_id, siblings)
            heappush(queue, (rank, share, worker_id, siblings, fit))
    return chosen
