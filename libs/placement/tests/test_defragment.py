"""Tests of moves that free a window for a waiting gang."""

import unittest

from placement_cases import Cluster, spec, workers

from hornbeamfold.model import Shape, Span
from hornbeamfold.placement.defragment import MIN_WAIT_TO_COST_RATIO, worthwhile_moves
from hornbeamfold.placement.occupancy import MOVE_COST_MS

LIMIT_MS = MIN_WAIT_TO_COST_RATIO * MOVE_COST_MS


class DefragmentTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(self, workers(1, 2))

    def _moves(self, shape, wait_ms, excluded=()):
        """Return the names of the moved jobs and the workers of the window; None without moves."""
        moves = worthwhile_moves(
            shape, wait_ms, self.cluster.free_index(), self.cluster.occupancy(),
            lambda occupant: occupant.job.spec.job_id not in excluded,
        )  # fmt: skip
        if moves is None:
            return None
        stops = sorted(occupant.job.spec.job_id for occupant in moves.stops)
        return stops, [member.worker for member in moves.window]

    def _start(self, name, *places):
        size = sum(len(indices) for _, indices in places)
        self.cluster.start(spec(name, size, checkpointable=True), *places)

    def test_short_wait_moves_nothing(self):
        """Guards against moves that cost as much as the wait they save."""
        self._start("one", ("w00", (3,)))
        self._start("two", ("w01", (3,)))
        self.assertIsNone(self._moves(Shape(8), LIMIT_MS))
        self.assertEqual(self._moves(Shape(8, span=Span.WORKER), LIMIT_MS + 1)[0], ["one"])

    def test_small_gang_does_not_move_a_large_one(self):
        """Guards against moves whose cost is compared per job instead of per accelerator."""
        self._start("large", ("w00", range(8)), ("w01", range(8)))
        self.assertIsNone(self._moves(Shape(4), 3 * LIMIT_MS))
        self.assertEqual(self._moves(Shape(4), 5 * LIMIT_MS)[0], ["large"])

    def test_cheapest_window_without_excluded_jobs_is_chosen(self):
        """Guards against moves of jobs that the caller excludes."""
        self._start("small", ("w00", (0,)))
        self._start("larger", ("w01", (0, 1, 2)))
        shape = Shape(8, span=Span.WORKER)
        self.assertEqual(self._moves(shape, 10 * LIMIT_MS), (["small"], ["w00"]))
        self.assertEqual(self._moves(shape, 10 * LIMIT_MS, {"small"}), (["larger"], ["w01"]))
        self.assertIsNone(self._moves(shape, 10 * LIMIT_MS, {"small", "larger"}))

    def test_zone_gang_takes_free_accelerators_before_occupied_ones(self):
        """Guards against unnecessary moves for a gang that may be scattered over its zone."""
        self._start("fixed", ("w00", (3,)))
        self._start("wide", ("w01", range(2)))
        moves = self._moves(Shape(14, span=Span.ZONE), 10 * LIMIT_MS, {"fixed"})
        self.assertEqual(moves[0], ["wide"])
        self.assertIsNone(self._moves(Shape(16, span=Span.ZONE), 10 * LIMIT_MS, {"fixed"}))

    def test_gang_larger_than_every_zone_moves_nothing(self):
        """Guards against moves that cannot free a window."""
        self._start("one", ("w00", (0,)))
        self.assertIsNone(self._moves(Shape(17, span=Span.REGION), 10 * LIMIT_MS))


if __name__ == "__main__":
    unittest.main()
