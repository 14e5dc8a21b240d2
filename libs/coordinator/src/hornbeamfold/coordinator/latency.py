"""Measures the read latency of the store: the minimum, which reflects distance, and the latest."""

from dataclasses import replace

from hornbeamfold.batch import Clock, ReadOutcome, Records, TopicPort


class StoreLatency:
    """Measures the latency of all reads through `port`."""

    def __init__(self, topic: TopicPort, clock: Clock) -> None:
        self._topic = topic
        self._clock = clock
        self._min_ms = float("inf")
        self._last_ms = 0.0
        self._sampled_ms: int | None = None
        self._next_offset = 0

    @property
    def port(self) -> TopicPort:
        """The topic port with measured reads."""
        return replace(self._topic, read=self._read)

    @property
    def min_ms(self) -> float:
        """The shortest read latency so far; infinite before the first read."""
        return self._min_ms

    @property
    def excess_ms(self) -> float:
        """By how much the latest read exceeded the shortest one."""
        return max(0.0, self._last_ms - self._min_ms)

    @property
    def age_ms(self) -> float:
        """How long ago the latest read was measured; infinite before the first read."""
        if self._sampled_ms is None:
            return float("inf")
        return self._clock() - self._sampled_ms

    def sample(self) -> None:
        """Measure one read that does not wait for records."""
        self._read(self._next_offset, 0)

    def _read(self, from_offset: int, wait_ms: int) -> ReadOutcome:
        began = self._clock()
        outcome = self._topic.read(from_offset, wait_ms)
        if not isinstance(outcome, Records):
            return outcome
        self._next_offset = outcome.next_offset
        # A read without records took its whole wait in addition to the latency. A read with records
        # waited for an unknown part of it, so it is not a sample.
        took_ms = self._clock() - began
        if wait_ms and outcome.records:
            return outcome
        self._last_ms = max(0.0, took_ms - wait_ms)
        self._min_ms = min(self._min_ms, self._last_ms)
        self._sampled_ms = self._clock()
        return outcome
