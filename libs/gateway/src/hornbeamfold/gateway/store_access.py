"""Whether the store answers this instance, which its copy of the records does not tell."""

from collections.abc import Callable

import eventlet

from hornbeamfold.batch import AppendOutcome, Clock, Fenced, ReadFailed, Rejected, Stored, TopicPort
from hornbeamfold.telemetry import get_logger, keep_running

logger = get_logger("hornbeamfold.gateway.store_access")

# The pause between reads that find out whether the store answers again.
PROBE_INTERVAL_MS = 250

Spawn = Callable[[Callable[[], None]], object]


class StoreAccess:
    """Suspects the store after an append that it refused or left unanswered, until it answers.

    Another instance of the region may read the records for this one, so they can be current while
    the store refuses this instance or does not hear it. `end_offset` returns where a read has few
    records or none.
    """

    def __init__(
        self,
        topic: TopicPort,
        end_offset: Callable[[], int],
        clock: Clock,
        spawn: Spawn = eventlet.spawn_n,
    ) -> None:
        self._topic = topic
        self._end_offset = end_offset
        self._clock = clock
        self._spawn = spawn
        self._suspected_since_ms: int | None = None
        self._probing = False
        self._read_failed = False

    @property
    def suspected(self) -> bool:
        """Whether an append is likely to fail."""
        return self._suspected_since_ms is not None

    @property
    def cut_off(self) -> bool:
        """Whether the store has failed a read of this instance too, so that it may be alone."""
        return self._read_failed

    def suspected_ms(self) -> int:
        """Return for how long the store has been suspected."""
        return 0 if self._suspected_since_ms is None else self._clock() - self._suspected_since_ms

    def record(self, outcome: AppendOutcome) -> None:
        """Record the outcome of an append."""
        if isinstance(outcome, Stored | Rejected | Fenced):
            self._clear()
        elif self._suspected_since_ms is None:
            self._suspected_since_ms = self._clock()
            logger.warning("store_suspected", extra={"outcome": str(outcome)})
            if not self._probing:
                self._probing = True
                self._spawn(keep_running(self._probe))

    def _clear(self) -> None:
        if self._suspected_since_ms is None:
            return
        logger.info("store_answers", extra={"suspected_ms": self.suspected_ms()})
        self._suspected_since_ms = None
        self._read_failed = False

    def _probe(self) -> None:
        """Read until the store answers."""
        self._probing = True
        try:
            while self.suspected:
                if not isinstance(self._topic.read(self._end_offset(), 0), ReadFailed):
                    self._clear()
                    return
                self._read_failed = True
                eventlet.sleep(PROBE_INTERVAL_MS / 1_000)
        finally:
            self._probing = False
