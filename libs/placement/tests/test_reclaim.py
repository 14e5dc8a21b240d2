"""Tests of the search for the cheapest window that an entitled job can reclaim."""

import unittest

from placement_cases import Cluster, spec, workers

from hornbeamfold.model import JobState, Member, Shape, Span
from hornbeamfold.placement.blocks import total_index
from hornbeamfold.placement.reclaim import cheapest_reclaim, reclaim_of

WHOLE = Shape(8, span=Span.WORKER)


class ReclaimTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(self, workers(1, 3))
        self.cluster.now = 600_000

    def _reclaim(self, protected=(), held=(), shape=WHOLE):
        """Return the names of the jobs to stop and the workers of the window; None without one."""
        allowed = total_index(self.cluster.capacities().values(), only_eligible=True)
        index = self.cluster.free_index()
        index.hold(held)
        reclaim = cheapest_reclaim(
            shape, allowed, index, self.cluster.occupancy(),
            lambda occupant: occupant.job.spec.job_id in protected, (),
        )  # fmt: skip
        if reclaim is None:
            return None
        stops = sorted(occupant.job.spec.job_id for occupant in reclaim.stops)
        return stops, [member.worker for member in reclaim.window]

    def _fill(self):
        self.cluster.start(spec("lasting", 8), ("w00", range(8)))
        self.cluster.start(spec("saved", 8, checkpointable=True), ("w01", range(8)))
        self.cluster.start(
            spec("urgent", 8, urgent=True, checkpointable=True), ("w02", range(8))
        )  # fmt: skip

    def test_least_lost_work_is_stopped(self):
        """Guards against a stop of an urgent job or of much work while a cheaper one exists."""
        self._fill()
        self.assertEqual(self._reclaim(), (["saved"], ["w01"]))
        self.assertEqual(self._reclaim({"saved"}), (["urgent"], ["w02"]))
        self.assertEqual(self._reclaim({"saved", "urgent"}), (["lasting"], ["w00"]))

    def test_protected_and_held_windows_are_never_taken(self):
        """Guards against a reclaim from an entitled job or from another reservation."""
        self._fill()
        self.assertIsNone(self._reclaim({"lasting", "saved", "urgent"}))
        held = (Member("w01", (3,), 0, 0),)
        self.assertEqual(self._reclaim({"urgent"}, held), (["lasting"], ["w00"]))

    def test_stopping_jobs_cost_nothing_and_are_not_stopped_again(self):
        """Guards against stopping a job twice or stopping other jobs in its place."""
        self._fill()
        self.cluster.jobs.pop(("a", "lasting"))
        self.cluster.start(spec("leaves", 8), ("w00", range(8)), state=JobState.STOPPING)
        self.assertEqual(self._reclaim({"leaves"}), ([], ["w00"]))

    def test_gang_counts_once_however_many_workers_it_has(self):
        """Guards against counting the cost of a gang once for each of its workers."""
        gang = spec("gang", 16, checkpointable=True)
        self.cluster.start(gang, ("w00", range(8)), ("w01", range(8)))
        for index in range(8):
            # Each costs 90 accelerator seconds, so all eight cost 720, and the gang costs 480.
            small = spec(f"small{index}", 1)
            self.cluster.start(small, ("w02", (index,)), started_ms=self.cluster.now - 60_000)
        self.assertEqual(self._reclaim(), (["gang"], ["w00"]))

    def test_tasks_without_accelerators_are_stopped_for_their_processors(self):
        """Guards against a window whose accelerators are free but whose processors are not."""
        cluster = Cluster(self, workers(1, 1))
        for name, processors in (("small", 4), ("large", 60)):
            item = spec(name, 0, checkpointable=True, processors=processors)
            cluster.start(item, ("w00", ()))
        window = (Member("w00", (0, 1), 8, 1),)
        occupancy = cluster.occupancy()
        reclaim = reclaim_of(window, cluster.free_index(), occupancy, lambda occupant: False)
        self.assertEqual([occupant.job.spec.job_id for occupant in reclaim.stops], ["large"])
        self.assertIsNone(
            reclaim_of(window, cluster.free_index(), occupancy, lambda occupant: True)
        )


if __name__ == "__main__":
    unittest.main()
