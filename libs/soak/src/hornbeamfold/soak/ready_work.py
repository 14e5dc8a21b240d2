"""Finds ready work that does not run although there is room for it."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from hornbeamfold.batch import Clock, Resources, Worker
from hornbeamfold.soak.records import ViolationLog

# The platform's bound on the time for which a job may have nothing running in these conditions.
READY_BOUND_MS = 3_000
# Room counts if it is enough for this many times the tasks that wait.
ROOM_FACTOR = 2


@dataclass(frozen=True)
class WaitingStep:
    """The tasks of a step that are ready to run, all of them for a gang."""

    job_id: str
    step: int
    tasks: int
    demand: Resources


@dataclass(frozen=True)
class Room:
    """The free resources of each usable worker, and the accelerators in total and in use."""

    free: tuple[Resources, ...]
    accelerators: int
    used_accelerators: int

    def is_ample_for(self, waiting: WaitingStep) -> bool:
        """Return whether under half of the accelerators are in use and the tasks fit twice."""
        if 2 * self.used_accelerators >= self.accelerators:
            return False
        needed = ROOM_FACTOR * waiting.tasks
        return sum(_tasks_that_fit(waiting.demand, free, needed) for free in self.free) >= needed


def measure_room(workers: Sequence[Worker], used: Mapping[tuple[str, int], Resources]) -> Room:
    """Return the room on usable workers, with what each incarnation of any worker runs."""
    return Room(
        tuple(
            worker.capacity - used.get((worker.worker_id, worker.born_ms), Resources())
            for worker in workers
        ),
        sum(worker.capacity.accelerators for worker in workers),
        sum(each.accelerators for each in used.values()),
    )


def _tasks_that_fit(demand: Resources, free: Resources, limit: int) -> int:
    """Return how many tasks fit, up to a limit."""
    count = 0
    while count < limit and demand.times(count + 1).fits(free):
        count += 1
    return count


class ReadyWorkMonitor:
    """Measures how long each step has been waiting beside ample room."""

    def __init__(self, clock: Clock, violation_log: ViolationLog) -> None:
        self._clock = clock
        self._violation_log = violation_log
        self._since_ms: dict[tuple[str, int], int] = {}
        self._reported: set[tuple[str, int]] = set()
        self._longest_wait_ms = 0

    @property
    def longest_wait_ms(self) -> int:
        """The longest wait of any step so far."""
        return self._longest_wait_ms

    def update(self, steps: Sequence[WaitingStep], room: Room | None) -> None:
        """Continue the waits beside ample room and end all others; without room, end all."""
        now_ms = self._clock()
        since_ms: dict[tuple[str, int], int] = {}
        for waiting in steps:
            if room is None or not room.is_ample_for(waiting):
                continue
            key = (waiting.job_id, waiting.step)
            since_ms[key] = self._since_ms.get(key, now_ms)
            waited_ms = now_ms - since_ms[key]
            self._longest_wait_ms = max(self._longest_wait_ms, waited_ms)
            if waited_ms > READY_BOUND_MS and key not in self._reported:
                self._reported.add(key)
                self._violation_log.add(
                    "ready work runs where there is room", f"{waiting} after {waited_ms} ms: {room}"
                )
        self._since_ms = since_ms
