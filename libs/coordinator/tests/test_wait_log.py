"""Tests of the log of waiting steps."""

import unittest

from coordinator_cases import ManualClock

from hornbeamfold.coordinator.wait_log import MAX_LINES_PER_PASS, REPEAT_MS, WaitLog
from hornbeamfold.scheduling import Wait, WaitReason

LOGGER = "hornbeamfold.coordinator.waits"


def wait(job_id: str, reason: WaitReason = WaitReason.RACK) -> Wait:
    """Return the wait of a job's first step."""
    return Wait(job_id, 0, 0, reason, 1_500, 4, 8, 90, 100, 10)


class WaitLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.log = WaitLog(self.clock)

    def lines(self, *waits: Wait) -> int:
        """Record the waits of a pass; return how many lines were logged."""
        with self.assertLogs(LOGGER) as logs:
            self.log.record(waits, 20, 1, 24)
        return len(logs.records)

    def test_a_wait_is_logged_when_it_begins_changes_or_lasts(self) -> None:
        self.assertEqual(self.lines(wait("a")), 1)
        self.assertEqual(self.lines(wait("a"), wait("b")), 1)
        self.assertEqual(self.lines(wait("a", WaitReason.NO_ROOM), wait("b")), 1)
        self.clock.move(REPEAT_MS)
        self.assertEqual(self.lines(wait("a", WaitReason.NO_ROOM), wait("b")), 2)

    def test_a_pass_logs_a_bounded_number_of_lines(self) -> None:
        waits = [wait(str(index)) for index in range(3 * MAX_LINES_PER_PASS)]
        for _ in range(3):
            self.assertEqual(self.lines(*waits), MAX_LINES_PER_PASS)

    def test_a_line_has_the_inputs_of_the_decision(self) -> None:
        with self.assertLogs(LOGGER) as logs:
            self.log.record([wait("a")], 20, 1, 24)
        (line,) = logs.records
        fields = ("request", "reason", "idle_ms", "fitting", "candidates", "excluded", "workers")
        self.assertEqual(
            [getattr(line, field) for field in fields], ["a", "rack", 1_500, 8, 20, 1, 24]
        )


if __name__ == "__main__":
    unittest.main()
