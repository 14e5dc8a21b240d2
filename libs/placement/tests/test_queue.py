"""Tests of the order of the queue and of the bound for patient jobs."""

import unittest
from random import Random

from placement_cases import Cluster, spec, workers

from hornbeamfold.model import Job, JobState, Organisation, Shape, Span
from hornbeamfold.model.timing import PATIENT_JOB_AGEING_MS
from hornbeamfold.placement import order_queue
from hornbeamfold.placement.plan import NO_BACKFILL_AGE_MS
from hornbeamfold.placement.queue import AGED_PLACEMENT_INTERVAL_MS


class QueueTest(unittest.TestCase):
    def test_order_is_by_class_then_share_then_age(self):
        """Guards against patient or borrowing jobs that are ordered before a higher class."""
        organisations = {
            "a": Organisation("a", (Shape(2),)), "b": Organisation("b", weight=2.0),
        }  # fmt: skip
        now = PATIENT_JOB_AGEING_MS * 2
        jobs = [
            Job(spec("running", 4, "b"), 0, JobState.RUNNING),
            Job(spec("aged", 8, "b"), 1),
            Job(spec("aged2", 8, "b"), 2),
            Job(spec("patient", 4, "b"), now - 9),
            Job(spec("urgent", 4, "b", urgent=True), now - 8),
            Job(spec("least", 4, "a", urgent=True), now - 7),
            Job(spec("mine", 2, "a"), now - 6),
            Job(spec("mine now", 2, "a", urgent=True), now - 5),
        ]
        names = [job.spec.job_id for job in order_queue(jobs, organisations, now)]
        expected = ["aged", "mine now", "urgent", "least", "aged2", "patient", "mine"]
        self.assertEqual(names, expected)

    def test_a_patient_gang_is_placed_within_its_bound(self):
        """Guards against starvation of a gang by urgent jobs whose estimates are far too low.

        The bound is twice the ageing bound, plus the longest run time and one placement interval
        for each aged patient job ahead of it, plus the longest run time once more for the gang.
        """
        longest = 300_000
        bound = NO_BACKFILL_AGE_MS + 2 * (longest + AGED_PLACEMENT_INTERVAL_MS)
        for seed in range(4):
            random = Random(seed)
            cluster = Cluster(self, workers(1, 3))
            ends = {}
            cluster.submit(spec("older", 24))
            cluster.submit(spec("gang", 24))
            number = 0
            while not cluster.running(("a", "gang")):
                self.assertLess(cluster.now, bound, "the patient gang is starved")
                for _ in range(2):
                    number += 1
                    cluster.submit(
                        spec(f"u{number}", random.choice((1, 2, 4)), urgent=True, declared_ms=1_000)
                    )
                cluster.step()
                for key, job in list(cluster.jobs.items()):
                    if job.state is JobState.RUNNING and key not in ends:
                        ends[key] = cluster.now + random.randint(60_000, longest)
                cluster.now += 10_000
                for key in [key for key, end in ends.items() if end <= cluster.now]:
                    del ends[key]
                    cluster.finish(key)

    def test_span_does_not_change_the_order(self):
        """Guards against an order that depends on the span besides class, share and age."""
        jobs = [Job(spec(str(n), 2, span=span), n) for n, span in enumerate(reversed(Span))]
        ordered = order_queue(reversed(jobs), {}, 10)
        self.assertEqual([job.spec.job_id for job in ordered], ["0", "1", "2", "3"])


if __name__ == "__main__":
    unittest.main()
