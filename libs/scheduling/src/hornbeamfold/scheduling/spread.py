"""Spreads the tasks of a step that slow each other down."""

from collections.abc import Callable, Iterable
from heapq import heapify, heappop, heappush

# Returns the slowdown of a task on a worker that also gets this many more tasks of the same step.
SlowdownBeside = Callable[[str, int], float]


def spread(
    ranked: Iterable[tuple[float, float, str, int]], count: int, slowdown_beside: SlowdownBeside
) -> list[str]:
    """Return workers for up to `count` tasks, for each the fastest after the tasks before it.

    A ranked worker has its slowdown, the share that remains of it, its id, and how many tasks fit.
    """
    queue = [(slowdown, share, worker_id, 0, fit) for slowdown, share, worker_id, fit in ranked]
    heapify(queue)
    chosen: list[str] = []
    while queue and len(chosen) < count:
        _, share, worker_id, siblings, fit = heappop(queue)
        chosen.append(worker_id)
        siblings += 1
        if siblings < fit:
            slowdown = slowdown_beside(worker_id, siblings)
            heappush(queue, (slowdown, share, worker_id, siblings, fit))
    return chosen
