"""Tests of the log of organisations that wait for their limits."""

import unittest

from coordinator_cases import ManualClock

from hornbeamfold.batch import Resources
from hornbeamfold.coordinator.limit_log import QUIET_MS, LimitLog
from hornbeamfold.scheduling import OrganisationUse

LOGGER = "hornbeamfold.coordinator.limits"
OWN = "sousse-crew"
USES = {OWN: OrganisationUse(Resources(1, 2, 9), Resources(0, 0, 9))}


class LimitLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.log = LimitLog(self.clock)

    def record(self, *limited: str) -> None:
        self.log.record(limited, USES, 7)

    def test_the_begin_of_a_wait_is_logged_with_what_decided_it(self) -> None:
        with self.assertLogs(LOGGER) as logs:
            self.record(OWN)
        (record,) = logs.records
        self.assertEqual(record.getMessage(), "limit_reached")
        fields = [
            record.__dict__[each] for each in ("organisation", "used", "limit", "configuration")
        ]
        self.assertEqual(fields, [OWN, (1, 2, 9), (0, 0, 9), 7])

    def test_waiting_now_and_then_is_one_wait(self) -> None:
        """Guards against two lines for each pass of an organisation near its limit."""
        self.record(OWN)
        with self.assertNoLogs(LOGGER):
            for _ in range(10):
                self.clock.move(QUIET_MS // 2)
                self.record()
                self.record(OWN)

    def test_the_end_of_a_wait_is_logged(self) -> None:
        self.record(OWN)
        self.clock.move(QUIET_MS)
        with self.assertLogs(LOGGER) as logs:
            self.record()
            self.record()
        self.assertEqual([each.getMessage() for each in logs.records], ["limit_left"])
        self.assertEqual(list(self.log.limited), [])


if __name__ == "__main__":
    unittest.main()
