"""Tests of moves that open a window for a waiting gang."""

import unittest

from placement_cases import Cluster, spec, workers

from hornbeamfold.model import Shape, Span
from hornbeamfold.placement.defragment import WAIT_OVER_COST, worthwhile_moves
from hornbeamfold.placement.occupancy import MOVE_COST_MS

LIMIT_MS = WAIT_OVER_COST * MOVE_COST_MS


class DefragmentTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(self, workers(1, 2))

    def _moves(self, shape, wait_ms, fixed=()):
        """Return the names of the moved jobs and the workers of the window, if it is worth it."""
        found = worthwhile_moves(
            shape, wait_ms, self.cluster.free(), self.cluster.tenants(),
            lambda tenant: tenant.job.spec.job_id not in fixed,
        )  # fmt: skip
        if found is None:
            return None
        stops = sorted(tenant.job.spec.job_id for tenant in found.stops)
        return stops, [member.worker for member in found.window]

    def _start(self, name, *places):
        size = sum(len(indices) for _, indices in places)
        self.cluster.start(spec(name, size, checkpointable=True), *places)

    def test_short_wait_moves_nothing(self):
        """Guards against moves that cost as much as the wait that they save."""
        self._start("one", ("w00", (3,)))
        self._start("two", ("w01", (3,)))
        self.assertIsNone(self._moves(Shape(8), LIMIT_MS))
        self.assertEqual(self._moves(Shape(8, span=Span.WORKER), LIMIT_MS + 1)[0], ["one"])

    def test_small_gang_does_not_move_a_large_one(self):
        """Guards against moves whose cost is compared by job and not by accelerator."""
        self._start("large", ("w00", range(8)), ("w01", range(8)))
        self.assertIsNone(self._moves(Shape(4), 3 * LIMIT_MS))
        self.assertEqual(self._moves(Shape(4), 5 * LIMIT_MS)[0], ["large"])

    def test_cheapest_window_without_fixed_tenants_wins(self):
        """Guards against moves of jobs that the caller excludes."""
        self._start("small", ("w00", (0,)))
        self._start("larger", ("w01", (0, 1, 2)))
        shape = Shape(8, span=Span.WORKER)
        self.assertEqual(self._moves(shape, 10 * LIMIT_MS), (["small"], ["w00"]))
        self.assertEqual(self._moves(shape, 10 * LIMIT_MS, {"small"}), (["larger"], ["w01"]))
        self.assertIsNone(self._moves(shape, 10 * LIMIT_MS, {"small", "larger"}))

    def test_zone_gang_takes_free_cells_before_tenants(self):
        """Guards against moves for a gang that may be scattered over its zone."""
        self._start("fixed", ("w00", (3,)))
        self._start("wide", ("w01", range(2)))
        found = self._moves(Shape(14, span=Span.ZONE), 10 * LIMIT_MS, {"fixed"})
        self.assertEqual(found[0], ["wide"])
        self.assertIsNone(self._moves(Shape(16, span=Span.ZONE), 10 * LIMIT_MS, {"fixed"}))

    def test_gang_larger_than_every_zone_moves_nothing(self):
        """Guards against moves that cannot open a window."""
        self._start("one", ("w00", (0,)))
        self.assertIsNone(self._moves(Shape(17, span=Span.REGION), 10 * LIMIT_MS))


if __name__ == "__main__":
    unittest.main()
