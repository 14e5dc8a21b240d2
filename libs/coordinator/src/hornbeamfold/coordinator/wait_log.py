"""Logs why ready steps wait, with a bounded number of lines."""

from collections.abc import Iterable

from hornbeamfold.batch import Clock
from hornbeamfold.scheduling import Wait, WaitReason
from hornbeamfold.telemetry import counter, get_logger

logger = get_logger("hornbeamfold.coordinator.waits")
_waits = counter("hornbeamfold_idle_job_waits", "Log lines about jobs without runs, by reason.")

# A step that waits on for the same reason is logged again after this time.
REPEAT_MS = 2_000
MAX_LINES_PER_PASS = 10

_StepKey = tuple[str, int, int]


class WaitLog:
    """The waits that were logged, so that each is logged when it begins or its reason changes."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._logged: dict[_StepKey, tuple[WaitReason, int]] = {}

    def record(
        self, waits: Iterable[Wait], candidates: int, excluded: int, registered: int
    ) -> None:
        """Log the waits of one pass that are new, and forget those that are over.

        `candidates` of the `registered` workers accept new tasks; `excluded` ones do not because
        runs on them failed or stalled.
        """
        now = self._clock()
        logged: dict[_StepKey, tuple[WaitReason, int]] = {}
        lines = 0
        for wait in waits:
            key = (wait.job_id, wait.occurrence, wait.step_index)
            previous = self._logged.get(key)
            if previous is not None and previous[0] is wait.reason:
                if now - previous[1] < REPEAT_MS or lines == MAX_LINES_PER_PASS:
                    logged[key] = previous
                    continue
            elif lines == MAX_LINES_PER_PASS:
                continue
            lines += 1
            logged[key] = (wait.reason, now)
            _waits(1, reason=wait.reason.value)
            logger.info(
                "step_waits",
                extra={
                    "request": wait.job_id,
                    "occurrence": wait.occurrence,
                    "step": wait.step_index,
                    "reason": wait.reason.value,
                    "idle_ms": wait.idle_ms,
                    "waiting": wait.waiting,
                    "fitting": wait.fitting,
                    "idle_accelerators": wait.idle_accelerators,
                    "total_accelerators": wait.total_accelerators,
                    "headroom": wait.headroom,
                    "candidates": candidates,
                    "excluded": excluded,
                    "workers": registered,
                },
            )
        self._logged = logged
