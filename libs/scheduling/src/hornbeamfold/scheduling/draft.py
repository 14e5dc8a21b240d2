"""The room on all workers while a pass plans: what is free, what is held and for whom."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from hornbeamfold.batch import Resources
from hornbeamfold.scheduling.inputs import ReadyStep, Room

# Weight of an accelerator's share against the shares of processors and memory when the tightest
# worker is chosen. Accelerators come in whole units, so a fragmented worker loses most by them.
ACCELERATOR_WEIGHT = 2.0


@dataclass(frozen=True)
class Hold:
    """Room on a worker that is kept for a waiting step, from `start_ms` on."""

    worker_id: str
    amount: Resources
    start_ms: int


class Draft:
    """Free room by worker, reduced as tasks are placed."""

    def __init__(self, rooms: Iterable[Room]) -> None:
        self._rooms: dict[str, Room] = {}
        self._free: dict[str, Resources] = {}
        self._racks: dict[str, list[str]] = {}
        self._holds: list[Hold] = []
        self._idle: dict[str, int] = {}
        for room in rooms:
            self._idle[room.service] = self._idle.get(room.service, 0) + room.free.accelerators
            self._rooms[room.worker_id] = room
            self._free[room.worker_id] = room.free
            self._racks.setdefault(room.rack, []).append(room.worker_id)

    @property
    def racks(self) -> Mapping[str, Sequence[str]]:
        """The workers of each rack."""
        return self._racks

    @property
    def workers(self) -> Iterable[str]:
        """All workers that may get tasks."""
        return self._rooms.keys()

    def room(self, worker_id: str) -> Room:
        """Return what a worker is."""
        return self._rooms[worker_id]

    def has(self, worker_id: str) -> bool:
        """Tell whether the worker may get tasks."""
        return worker_id in self._rooms

    def free(self, worker_id: str) -> Resources:
        """Return what is free on a worker, held room included."""
        return self._free[worker_id]

    def idle_accelerators(self, service: str) -> int:
        """Return how many accelerators of a service are free, held ones included."""
        return self._idle.get(service, 0)

    def take(self, worker_id: str, amount: Resources) -> None:
        """Use room on a worker."""
        self._free[worker_id] = self._free[worker_id] - amount
        self._idle[self._rooms[worker_id].service] -= amount.accelerators

    def hold(self, hold: Hold) -> None:
        """Keep room for a waiting step; only tasks that end before its start may use it."""
        self._holds.append(hold)

    def available(self, worker_id: str, ends_ms: int) -> Resources:
        """Return what a task that ends at that time may use on a worker."""
        room = self._free[worker_id]
        for hold in self._holds:
            if hold.worker_id == worker_id and ends_ms > hold.start_ms:
                room = room - hold.amount
        return room


def is_eligible(step: ReadyStep, room: Room) -> bool:
    """Tell whether a worker of this kind may run the step at all."""
    if room.service != step.job.service or room.worker_id in step.avoid:
        return False
    label = step.step.required_label
    return not label or label in room.labels


def tightness(room: Room, left: Resources) -> float:
    """Return how much of a worker would be left; the least is the tightest fit."""
    capacity = room.capacity
    share = left.cpu_millis / max(1, capacity.cpu_millis)
    share += left.memory_mb / max(1, capacity.memory_mb)
    if capacity.accelerators:
        share += ACCELERATOR_WEIGHT * left.accelerators / capacity.accelerators
    return share


def pack(
    draft: Draft,
    step: ReadyStep,
    count: int,
    workers: Iterable[str],
    available: Callable[[str], Resources],
) -> list[str]:
    """Return workers for up to `count` tasks of a step, the tightest fit first; changes nothing."""
    demand = step.step.reserved
    most = step.step.max_per_worker or count + sum(step.placed_on.values())
    left: dict[str, Resources] = {}
    used: dict[str, int] = {}
    for worker_id in workers:
        if not is_eligible(step, draft.room(worker_id)):
            continue
        room = available(worker_id)
        if demand.fits(room) and step.placed_on.get(worker_id, 0) < most:
            left[worker_id] = room
            used[worker_id] = step.placed_on.get(worker_id, 0)
    chosen: list[str] = []
    while len(chosen) < count and left:
        worker_id = min(left, key=lambda each: (tightness(draft.room(each), left[each]), each))
        # The tightest worker stays the tightest while it has room for one more task.
        while len(chosen) < count and used[worker_id] < most and demand.fits(left[worker_id]):
            left[worker_id] = left[worker_id] - demand
            used[worker_id] += 1
            chosen.append(worker_id)
        del left[worker_id]
    return chosen
