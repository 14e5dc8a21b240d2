"""How much urgent work is expected next, from what has come lately."""

from collections import deque
from collections.abc import Iterable, Mapping

from hornbeamfold.scheduling import ReadyStep

# Urgent jobs come singly and a few a second; over this time their number says something.
WINDOW_MS = 4_000
# Room is kept for what comes in about the time in which other work ends and frees room.
LEAD_MS = 1_000


class UrgentDemand:
    """The accelerators that steps of priority 0 have asked for lately, by service."""

    def __init__(self) -> None:
        self._asked: deque[tuple[int, str, int]] = deque()

    def note(self, steps: Iterable[ReadyStep], now_ms: int) -> None:
        """Note the steps that became ready at this time, on the coordinator's clock."""
        for step in steps:
            if step.job.priority == 0 and step.ready_ms == now_ms:
                accelerators = step.step.count * step.step.demand.accelerators
                self._asked.append((now_ms, step.job.service, accelerators))
        while self._asked and now_ms - self._asked[0][0] > WINDOW_MS:
            self._asked.popleft()

    def headroom(self) -> Mapping[str, int]:
        """Return the accelerators to keep free, by service."""
        total: dict[str, int] = {}
        for _, service, accelerators in self._asked:
            total[service] = total.get(service, 0) + accelerators
        return {service: asked * LEAD_MS // WINDOW_MS for service, asked in total.items()}
