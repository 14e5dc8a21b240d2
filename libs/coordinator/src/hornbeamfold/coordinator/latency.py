"""How long the store takes for a read: at its best, which tells how far it is, and lately."""

from dataclasses import replace

from hornbeamfold.batch import Clock, ReadOutcome, Records, TopicPort


class StoreLatency:
    """Measures all reads that go through its port."""

    def __init__(self, topic: TopicPort, clock: Clock) -> None:
        self._topic = topic
        self._clock = clock
        self._least_ms = float("inf")
        self._last_ms = 0.0
        self._sampled_ms: int | None = None
        self._next_offset = 0

    @property
    def port(self) -> TopicPort:
        """The topic with its reads measured."""
        return replace(self._topic, read=self._read)

    @property
    def least_ms(self) -> float:
        """The least time of a read; infinite before the first one."""
        return self._least_ms

    @property
    def slower_ms(self) -> float:
        """How much longer the last read took than the least."""
        return max(0.0, self._last_ms - self._least_ms)

    @property
    def age_ms(self) -> float:
        """How long ago the last read was measured; infinite before the first one."""
        if self._sampled_ms is None:
            return float("inf")
        return self._clock() - self._sampled_ms

    def sample(self) -> None:
        """Read once without waiting."""
        self._read(self._next_offset, 0)

    def _read(self, from_offset: int, wait_ms: int) -> ReadOutcome:
        began = self._clock()
        outcome = self._topic.read(from_offset, wait_ms)
        if not isinstance(outcome, Records):
            return outcome
        self._next_offset = outcome.next_offset
        # A read that waited in vain took its wait besides; one that found records may have waited.
        took_ms = self._clock() - began
        if wait_ms and outcome.records:
            return outcome
        self._last_ms = max(0.0, took_ms - wait_ms)
        self._least_ms = min(self._least_ms, self._last_ms)
        self._sampled_ms = self._clock()
        return outcome
