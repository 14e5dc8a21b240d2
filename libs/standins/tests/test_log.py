"""Tests of the log service stand-in as a process."""

import unittest
from concurrent.futures import ThreadPoolExecutor
from http.client import RemoteDisconnected
from time import monotonic
from typing import Any
from urllib.error import URLError

from standin_calls import call, wait_until

from hornbeamfold.standins.launch import StandIn
from hornbeamfold.standins.log_store import MAX_RECORD_BYTES

DELAYS = (
    '{"regions": {"a1": "a", "a2": "a", "b1": "b"}, '
    '"between_zones_ms": 1, "between_regions_ms": 60}'
)


class LogTest(unittest.TestCase):
    def start(self, *arguments: str) -> StandIn:
        """Start a log service that is stopped after the test."""
        self.log = StandIn("log", *arguments)
        self.addCleanup(self.log.stop)
        return self.log

    def append(self, data: str, **headers: str) -> tuple[int, Any]:
        return call(f"{self.log.url}/v1/records", {"data": data}, headers=headers)

    def read(self, start: int, wait_ms: int = 0, limit: int = 100) -> tuple[int, Any]:
        return call(f"{self.log.url}/v1/records?from={start}&limit={limit}&wait_ms={wait_ms}")

    def stored(self) -> list[str]:
        return [record["data"] for record in self.read(0)[1]["records"]]

    def test_records_have_consecutive_offsets_and_nondecreasing_times(self) -> None:
        """Guards against a stand-in on whose order tests cannot rely."""
        self.start()
        offsets = [self.append(str(n))[1]["offset"] for n in range(5)]
        self.assertEqual(offsets, list(range(5)))
        page = self.read(1, limit=3)[1]
        self.assertEqual([record["offset"] for record in page["records"]], [1, 2, 3])
        self.assertEqual((page["first"], page["end"]), (0, 5))
        times = [record["at_ms"] for record in page["records"]]
        self.assertEqual(times, sorted(times))

    def test_a_waiting_read_returns_with_the_next_record(self) -> None:
        """Guards against a long poll that returns too late, or too early without a record."""
        self.start()
        started = monotonic()
        self.assertEqual(self.read(0, wait_ms=200)[1]["records"], [])
        self.assertGreaterEqual(monotonic() - started, 0.19)
        with ThreadPoolExecutor() as pool:
            waiting = pool.submit(self.read, 0, 9_000)
            wait_until(lambda: self.log.control("log")["connections"] > 0)
            started = monotonic()
            self.append("a")
            self.assertEqual(len(waiting.result()[1]["records"]), 1)
        self.assertLess(monotonic() - started, 5)

    def test_large_records_and_bad_calls_are_refused(self) -> None:
        """Guards against a stand-in that accepts more than the real service does."""
        self.start()
        self.assertEqual(self.append("x" * MAX_RECORD_BYTES)[0], 200)
        self.assertEqual(self.append("x" * (MAX_RECORD_BYTES + 1))[0], 413)
        self.assertEqual(call(f"{self.log.url}/v1/records", {"data": 1})[0], 400)
        self.assertEqual(self.read(-1)[0], 400)
        self.assertEqual(call(f"{self.log.url}/v1/other")[0], 404)

    def test_retention_by_count_and_by_age(self) -> None:
        """Guards against readers that are never tested with status 410."""
        self.start("--max-records", "2")
        for n in range(5):
            self.append(str(n))
        self.assertEqual(self.read(2), (410, {"first": 3, "end": 5}))
        self.start("--max-age-ms", "100")
        self.append("old")
        wait_until(lambda: self.read(0) == (410, {"first": 1, "end": 1}))
        self.assertEqual(self.read(1), (200, {"records": [], "first": 1, "end": 1}))

    def test_appends_above_the_limit_are_delayed_and_not_refused(self) -> None:
        """Guards against a log that is faster in tests than that of the platform."""
        self.start("--appends-per-s", "50")
        started = monotonic()
        with ThreadPoolExecutor(10) as pool:
            statuses = {status for status, _ in pool.map(self.append, map(str, range(30)))}
        self.assertEqual(statuses, {200})
        # 5 of the 30 appends are within the allowed burst of 100 ms.
        self.assertGreaterEqual(monotonic() - started, 0.45)

    def test_a_lost_reply_leaves_one_record(self) -> None:
        """Guards against an injected fault that loses the write instead of the reply."""
        self.start()
        self.log.set_faults(lose_replies=1)
        with self.assertRaises(RemoteDisconnected):
            self.append("a")
        self.assertEqual(self.append("b")[0], 200)
        self.assertEqual(self.stored(), ["a", "b"])

    def test_an_append_can_be_duplicated_later(self) -> None:
        """Guards against tests of late duplicates in which none occurs."""
        self.start()
        self.log.set_faults(duplicate_appends=1, duplicate_after_ms=50)
        self.append("a")
        self.append("b")
        wait_until(lambda: self.stored() == ["a", "b", "a"])

    def test_down_is_503_or_a_closed_port(self) -> None:
        """Guards against an outage that has no effect, and a port that stays closed after it."""
        self.start()
        with ThreadPoolExecutor() as pool:
            waiting = pool.submit(self.read, 0, 9_000)
            wait_until(lambda: self.log.control("log")["connections"] > 0)
            self.log.set_faults(down="unavailable")
            self.assertEqual(waiting.result()[0], 503, "an outage ends waiting reads")
        self.assertEqual(self.append("a")[0], 503)
        self.log.set_faults(down="refuse")
        with self.assertRaisesRegex(URLError, "refused"):
            self.append("a")
        self.log.reset()
        self.assertEqual(self.append("a"), (200, {"offset": 0}))

    def test_a_frozen_service_handles_held_calls_afterwards(self) -> None:
        """Guards against tests of a paused service in which late effects never happen."""
        self.start()
        self.log.set_faults(frozen=True)
        with ThreadPoolExecutor() as pool:
            held = pool.submit(self.append, "a")
            wait_until(lambda: self.log.control("log")["connections"] > 0)
            self.assertEqual(self.log.control("log")["end"], 0)
            self.assertFalse(held.done())
            self.log.reset()
            self.assertEqual(held.result(), (200, {"offset": 0}))

    def test_a_partition_can_block_one_direction_only(self) -> None:
        """Guards against one-way partitions that also block the other direction."""
        self.start()
        with ThreadPoolExecutor() as pool:
            self.log.set_faults(cut_requests=["i1"])
            held = pool.submit(self.append, "request", **{"X-Instance": "i1"})
            self.assertEqual(self.append("other", **{"X-Instance": "i2"})[0], 200)
            self.assertEqual(self.stored(), ["other"])
            self.log.set_faults(cut_requests=[], cut_replies=["i1"])
            wait_until(lambda: self.stored() == ["other", "request"])
            self.assertFalse(held.done(), "the record is stored, but the reply is still held")
            self.log.reset()
            self.assertEqual(held.result(), (200, {"offset": 1}))

    def test_stale_reads_show_an_earlier_end(self) -> None:
        """Guards against stale reads that show new records."""
        self.start()
        self.append("a")
        self.log.set_faults(stale_reads=True)
        self.append("b")
        self.assertEqual((self.stored(), self.read(0)[1]["end"]), (["a"], 1))
        self.log.reset()
        self.assertEqual(self.stored(), ["a", "b"])

    def time_append(self, zone: str) -> float:
        started = monotonic()
        self.append("x" * 1_000, **{"X-Availability-Zone": zone})
        return monotonic() - started

    def test_delay_and_bytes_between_regions(self) -> None:
        """Guards against measurements without the delay and the traffic between regions."""
        self.start("--zone", "a1", "--delays", DELAYS)
        for zone, min_s, max_s in (("a2", 0.002, 0.1), ("b1", 0.12, 5.0)):
            durations = [self.time_append(zone) for _ in range(5)]
            self.assertGreaterEqual(min(durations), min_s)
            # An excessive delay affects every attempt, a busy machine only some.
            self.assertLess(min(durations), max_s)
        self.log.control("traffic", {})
        for zone in ("a2", "b1"):
            self.time_append(zone)
        pairs = {(p["from"], p["to"]): p for p in self.log.control("traffic")["pairs"]}
        self.assertEqual(set(pairs), {("a", "a"), ("b", "a"), ("a", "b")})
        self.assertGreater(pairs["b", "a"]["bytes"], 1_000)
        self.assertLess(pairs["a", "b"]["bytes"], 300)

    def test_unknown_faults_are_named(self) -> None:
        """Guards against a misspelt fault that is ignored."""
        self.start()
        url = self.log.url + "/control/faults"
        self.assertEqual(call(url, {"dwon": ""}), (400, {"detail": "unknown faults: dwon"}))
        self.assertEqual(call(url, {"slow_ms": "x"})[0], 400)

    def test_sigterm_ends_the_process(self) -> None:
        """Guards against processes that outlive the tests."""
        self.assertEqual(self.start().stop(), 0)
