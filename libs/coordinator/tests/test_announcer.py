"""Tests for the announcer and the measurement of store latency."""

import unittest
import warnings
from collections.abc import Sequence

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

from hornbeamfold.batch import (  # noqa: E402
    AppendOutcome,
    Fence,
    JobState,
    KeyedRecord,
    ReadFailed,
    ReadOutcome,
    Records,
    Stored,
    TopicPort,
    elapsed_ms,
)
from hornbeamfold.coordinator import StoreLatency  # noqa: E402
from hornbeamfold.coordinator.announcer import Announcer  # noqa: E402
from hornbeamfold.coordinator.fenced_writer import FencedWriter  # noqa: E402

BEAT = KeyedRecord("coordinator", b"{}")


class AnnouncerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.appended: list[list[str]] = []
        self.append_ms = 0
        self.final: list[str] = []
        topic = TopicPort(
            self.append, lambda *_: ReadFailed("not used"), lambda _: ReadFailed("not used")
        )
        writer = FencedWriter("jobs", topic, 1, 0, self.fail, elapsed_ms)
        self.announcer = Announcer(writer, lambda: BEAT, self.final.append, elapsed_ms)
        self.addCleanup(self.announcer.stop)

    def append(
        self, records: Sequence[KeyedRecord], fence: Fence | None, timeout_ms: int
    ) -> AppendOutcome:
        eventlet.sleep(self.append_ms / 1_000)
        self.appended.append([record.key for record in records])
        return Stored(0)

    def test_states_share_an_append_and_final_ones_are_reported(self) -> None:
        self.announcer.announce("a", JobState.RUNNING)
        self.announcer.announce("b", JobState.RUNNING)
        self.announcer.announce("b", JobState.COMPLETED)
        eventlet.spawn(self.announcer.run)
        eventlet.sleep(0.05)
        self.assertEqual((self.appended, self.final), ([["state/a", "state/b"]], ["b"]))

    def test_half_of_the_time_of_a_slow_store_is_left_to_others(self) -> None:
        """Guards against a slow store that rejects submissions.

        Its queue of appends would be filled by the coordinator's records.
        """
        self.append_ms = 100
        eventlet.spawn(self.announcer.run)
        for _ in range(50):
            self.announcer.announce("a", JobState.RUNNING)
            eventlet.sleep(0.02)
        self.assertLessEqual(len(self.appended), 6)

    def test_the_final_record_is_written_after_pending_states(self) -> None:
        eventlet.spawn(self.announcer.run)
        self.announcer.announce("a", JobState.RUNNING)
        self.assertTrue(self.announcer.close_with(KeyedRecord("bye", b"{}"), 1_000))
        self.assertEqual(self.appended[-1][-1], "bye")


class StoreLatencyTest(unittest.TestCase):
    def test_the_wait_for_records_does_not_count_as_latency(self) -> None:
        now = [0]
        takes = [5]
        found: list[ReadOutcome] = []

        def read(start: int, wait_ms: int) -> ReadOutcome:
            now[0] += takes[0] + wait_ms
            return found.pop() if found else Records((), start, start, now[0])

        topic = TopicPort(lambda *_: Stored(0), read, lambda _: ReadFailed("not used"))
        latency = StoreLatency(topic, lambda: now[0])
        self.assertEqual(latency.age_ms, float("inf"))
        latency.sample()
        takes[0] = 240
        latency.port.read(0, 500)
        self.assertEqual((latency.min_ms, latency.excess_ms), (5, 235))
        found.append(ReadFailed("down"))
        now[0] += 1_000
        latency.port.read(0, 500)
        self.assertGreater(latency.age_ms, 1_000)


if __name__ == "__main__":
    unittest.main()
