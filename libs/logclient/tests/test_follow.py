"""Tests of the read loop, alone and with writer and client in a monkey-patched process."""

import unittest
from json import loads
from pathlib import Path
from subprocess import PIPE, Popen
from sys import executable

from eventlet import Timeout, sleep
from eventlet.hubs import use_hub

from hornbeamfold.logclient.follow import follow
from hornbeamfold.logclient.outcomes import (
    Expired,
    FailureKind,
    LogFailure,
    ReadOutcome,
    ReadResult,
)
from hornbeamfold.standins.launch import StandIn

use_hub("eventlet.hubs.asyncio")

EVENTS = 200


class FollowTest(unittest.TestCase):
    def calls_in_half_a_second(self, outcome: ReadOutcome) -> tuple[int, list]:
        """Return the number of reads, if each has this outcome, and the reported failures."""
        calls: list[int] = []
        failures: list = []

        def read(start: int, limit: int, wait_ms: int) -> ReadOutcome:
            calls.append(start)
            return outcome

        with Timeout(0.5, False):
            follow(read, lambda: 3, lambda *_: None, failures.append, lambda: 0)
        return len(calls), failures

    def test_no_outcome_causes_a_busy_loop(self) -> None:
        """Guards against a busy loop while the log is down, empty, expired or reset."""
        failure = LogFailure(FailureKind.NOT_CONNECTED, "refused", may_have_happened=False)
        for outcome, max_calls, expect_failures in (
            (failure, 6, True),
            (Expired(9, 12), 6, True),
            (ReadResult((), 0, 1, 0), 6, True),
            (ReadResult((), 0, 3, 0), 60, False),
        ):
            with self.subTest(outcome):
                calls, failures = self.calls_in_half_a_second(outcome)
                self.assertLess(calls, max_calls)
                self.assertGreater(calls, 2)
                self.assertEqual(bool(failures), expect_failures)


class PatchedProcessTest(unittest.TestCase):
    def wait_for_messages(self, log: StandIn, count: int) -> None:
        """Wait until the log service has counted this many more messages."""

        def messages() -> int:
            return sum(pair["messages"] for pair in log.control("traffic")["pairs"])

        expected = messages() + count
        with Timeout(20):
            while messages() < expected:
                sleep(0.01)

    def test_every_event_takes_effect_once_despite_log_faults(self) -> None:
        """Guards against lost or duplicate events after lost replies, late copies and outages."""
        log = StandIn("log")
        self.addCleanup(log.stop)
        log.set_faults(lose_probability=0.2, lose_seed=7, duplicate_appends=5, slow_ms=5)
        script = str(Path(__file__).with_name("patched_writer.py"))
        writer = Popen(
            [executable, "-W", "ignore", script, log.url, str(EVENTS)], stdout=PIPE, text=True
        )
        with writer:
            self.addCleanup(writer.kill)
            with Timeout(20):
                while log.control("log")["end"] < 5:
                    sleep(0.01)
            log.set_faults(down="refuse")
            log.set_faults(down="unavailable")
            self.wait_for_messages(log, 4)
            log.set_faults(down="")
            output, _ = writer.communicate(timeout=60)
        result = loads(output)
        self.assertEqual(sorted(map(int, result["accepted"])), list(range(EVENTS)))
        self.assertEqual((result["done"], result["drained"]), (EVENTS, True))
        self.assertGreater(result["failures"], 0)
