"""Estimates the capacity that urgent work will need soon from the recent demand."""

from collections import deque
from collections.abc import Iterable, Mapping

from hornbeamfold.scheduling import ReadyStep

# Urgent jobs arrive singly, a few per second; a window of this length has enough of them.
WINDOW_MS = 4_000
# Capacity is kept for the arrivals of about the time in which other work ends and frees capacity.
LEAD_TIME_MS = 2_000


class UrgentDemand:
    """The recent demand of priority 0 steps for accelerators, by service."""

    def __init__(self) -> None:
        self._requests: deque[tuple[int, str, int]] = deque()

    def record(self, steps: Iterable[ReadyStep], now_ms: int) -> None:
        """Record the steps that became ready at `now_ms`, on the coordinator's clock."""
        for step in steps:
            if step.job.priority == 0 and step.ready_ms == now_ms:
                accelerators = step.step.count * step.step.demand.accelerators
                self._requests.append((now_ms, step.job.service, accelerators))
        while self._requests and now_ms - self._requests[0][0] > WINDOW_MS:
            self._requests.popleft()

    def headroom(self) -> Mapping[str, int]:
        """Return the number of accelerators to keep free, by service."""
        total: dict[str, int] = {}
        for _, service, accelerators in self._requests:
            total[service] = total.get(service, 0) + accelerators
        return {
            service: accelerators * LEAD_TIME_MS // WINDOW_MS
            for service, accelerators in total.items()
        }
