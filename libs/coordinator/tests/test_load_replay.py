"""Replays recorded days of high load against the planner."""

import logging
import unittest

from load_replay import load, replay

# Urgent work starts within this time, by the size that the system is designed for.
URGENT_START_MS = 1_400
# A job runs within this time if there is room for it twice over; users count it as lost otherwise.
MAX_IDLE_BESIDE_ROOM_MS = 3_000


class LoadReplayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.addCleanup(logging.disable, logging.NOTSET)
        logging.disable(logging.CRITICAL)

    def test_a_burst_while_a_seventh_of_the_workers_is_away(self) -> None:
        """Guards against urgent work that waits behind patient work, and patient work that expires.

        Load: the first 35 s of rsa-fold-large scale-1, a burst of quote checks and of renders, on
        the 232 workers that are left once 38 were taken away at short notice. Before the headroom
        of 2 s and preemption for urgent work without a guarantee, quote checks waited 4.3 s.
        """
        result = replay(load("large-burst.json"))
        self.assertLessEqual(max(result.by_priority[0].waits_ms), URGENT_START_MS)
        self.assertLessEqual(result.max_guaranteed_wait_ms, URGENT_START_MS)
        self.assertLessEqual(result.max_idle_beside_room_ms, MAX_IDLE_BESIDE_ROOM_MS)
        for priority, outcome in result.by_priority.items():
            with self.subTest(priority=priority):
                self.assertEqual(outcome.expired, 0)

    def test_room_is_made_once_for_guaranteed_work(self) -> None:
        """Guards against guaranteed work whose room others take, and that stops runs again for it.

        Load: the first 42 s of bulles-tn-grown scale-2, a burst of large jobs beside small ones, on
        140 workers of 32 cores, as if 36 were away. Some tasks need half of a worker. The
        guarantees are in proportion to what the organisations ask for.
        """
        recording = load("uneven-burst.json")
        before, after = (
            replay(recording, keep_claims=keep_claims) for keep_claims in (False, True)
        )
        self.assertGreater(before.max_guaranteed_wait_ms, URGENT_START_MS)
        self.assertLessEqual(after.max_guaranteed_wait_ms, URGENT_START_MS)
        self.assertLessEqual(after.lost_work, before.lost_work)
        for priority, outcome in after.by_priority.items():
            with self.subTest(priority=priority):
                self.assertEqual((outcome.late, outcome.expired), (0, 0))


if __name__ == "__main__":
    unittest.main()
