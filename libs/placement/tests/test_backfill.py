"""Tests of the reservation for the head of the queue and of backfill."""

import unittest
from random import Random

from placement_cases import Cluster, spec, workers

from hornbeamfold.model import JobState


class BackfillTest(unittest.TestCase):
    def test_backfill_does_not_delay_the_reservation(self):
        """Guards against small jobs that delay the start of the gang ahead of them."""
        for seed in range(4):
            alone = self._start_of_gang(seed, small_jobs=False)
            crowded = self._start_of_gang(seed, small_jobs=True)
            self.assertLessEqual(crowded, alone)

    def test_backfill_uses_what_the_reservation_leaves(self):
        """Guards against idle accelerators although a short job ends before the gang starts."""
        cluster = Cluster(self, workers(1, 2))
        cluster.submit(spec("first", 10, declared_ms=100_000))
        cluster.step()
        cluster.submit(spec("gang", 16))
        cluster.submit(spec("short", 4, declared_ms=50_000))
        cluster.submit(spec("long", 2, declared_ms=200_000))
        cluster.step()
        self.assertTrue(cluster.running(("a", "short")))
        self.assertIs(cluster.jobs[("a", "long")].state, JobState.QUEUED)

    def _start_of_gang(self, seed, small_jobs):
        """Return when a gang starts if all other jobs run exactly as long as declared."""
        random = Random(seed)
        cluster = Cluster(self, workers(1, 3))
        for number in range(8):
            cluster.submit(spec(f"r{number}", 3, declared_ms=random.randint(30, 300) * 1_000))
        cluster.step()
        cluster.submit(spec("gang", 20, declared_ms=50_000))
        number = 0
        while not cluster.running(("a", "gang")):
            self.assertLess(cluster.now, 400_000)
            if small_jobs:
                number += 1
                cluster.now += 1
                item = spec(f"s{number}", random.choice((1, 2, 5)),
                            declared_ms=random.randint(5, 200) * 1_000)  # fmt: skip
                cluster.submit(item)
                cluster.now -= 1
            cluster.step()
            cluster.now += 1_000
            for key, job in list(cluster.jobs.items()):
                ends = job.running_ms + job.spec.declared_ms
                if job.state is JobState.RUNNING and ends <= cluster.now:
                    cluster.finish(key)
        return cluster.now


if __name__ == "__main__":
    unittest.main()
