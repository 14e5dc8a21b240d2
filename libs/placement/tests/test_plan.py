"""Tests of whole planning passes."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from placement_cases import Cluster, spec, workers

from hornbeamfold.model import JobJudged, JobPlaced, JobStopping, Organisation, Shape, Span

JOBS = st.lists(
    st.tuples(
        st.integers(0, 20),
        st.sampled_from(Span),
        st.booleans(),
        st.booleans(),
        st.sampled_from("abc"),
        st.integers(1, 90),
    ),
    max_size=60,
)


class PlanTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(JOBS, st.lists(st.integers(0, 59), max_size=30))
    def test_random_runs_are_consistent(self, jobs, ends):
        """Guards against accelerators allocated twice, incomplete gangs and exceeded spans."""
        organisations = (
            Organisation("a", (Shape(8, 8, 8), Shape(3))),
            Organisation("b", (Shape(16, 16, 16, Span.ZONE),)),
            Organisation("c"),
        )
        cluster = Cluster(self, workers(racks=3, per_rack=3), organisations)
        for number, (size, span, urgent, checkpointable, name, processors) in enumerate(jobs):
            item = spec(
                str(number), size, name, span, urgent,
                checkpointable=checkpointable, processors=processors,
            )  # fmt: skip
            cluster.submit(item)
            if number % 4 == 0:
                cluster.step()
            if number % 8 == 0:
                cluster.finish_stopping()
        keys = list(cluster.jobs)
        for number in ends:
            cluster.now += 10_000
            if number < len(keys) and cluster.jobs[keys[number]].members:
                cluster.finish(keys[number])
            cluster.step()

    def test_a_job_avoids_a_worker_on_which_it_failed(self):
        """Guards against a job that immediately fails ten times on the only free worker."""
        for guarantee, expected in (((Shape(8),), ["stop"]), ((), [])):
            with self.subTest(guarantee=guarantee):
                organisations = (Organisation("a", guarantee), Organisation("b"))
                cluster = Cluster(self, workers(racks=1, per_rack=2), organisations)
                cluster.submit(spec("borrower", 8, "b", checkpointable=True))
                cluster.step()
                used = cluster.jobs["b", "borrower"].members[0].member.worker
                free = next(name for name in cluster.machines if name != used)
                cluster.submit(spec("job", 8), failed_on=(free,), failures=1)
                kinds = {JobPlaced: "place", JobStopping: "stop", JobJudged: "judge"}
                self.assertEqual([kinds[type(event)] for event in cluster.step()], expected)

    def test_a_job_that_failed_everywhere_is_placed_again(self):
        """Guards against a job that waits forever after it failed on every worker."""
        cluster = Cluster(self, workers(racks=1, per_rack=1))
        cluster.submit(spec("job", 8), failed_on=tuple(cluster.machines), failures=1)
        self.assertEqual([type(event) for event in cluster.step()], [JobPlaced])

    def test_a_gang_that_failed_in_the_middle_of_a_rack_is_placed_again(self):
        """Guards against a gang that waits forever for workers that are not next to each other."""
        cluster = Cluster(self, workers(racks=1, per_rack=4))
        cluster.submit(spec("gang", 16), failed_on=("w01", "w02"), failures=2)
        self.assertEqual([type(event) for event in cluster.step()], [JobPlaced])

    def test_infeasibility_is_reported_once_and_again_after_a_change(self):
        """Guards against a job that waits forever for a topology that does not exist."""
        cluster = Cluster(self, workers(racks=1, per_rack=2))
        cluster.submit(spec("large", 17))
        cluster.submit(spec("fits", 16))
        judged = [event for event in cluster.step() if isinstance(event, JobJudged)]
        self.assertEqual([event.job_id for event in judged], ["large"])
        self.assertIn("17 accelerators", judged[0].infeasible)
        self.assertEqual(cluster.step(), [])
        cluster.machines |= {w.name: w for w in workers(racks=1, per_rack=3)}
        judged = [event for event in cluster.step() if isinstance(event, JobJudged)]
        self.assertEqual(judged[0].infeasible, "")

    def test_no_placement_in_a_zone_out_of_service(self):
        """Guards against placements in a zone that operators took out of service."""
        cluster = Cluster(self, workers(racks=2, per_rack=1))
        cluster.zones_out = {"z0"}
        cluster.submit(spec("one", 8))
        placed = [event for event in cluster.step() if isinstance(event, JobPlaced)]
        self.assertEqual([m.worker for m in placed[0].members], ["w10"])

    def test_reclaim_stops_once_and_places_the_job_in_the_window(self):
        """Guards against a second round of stops and a window that is given to another job."""
        cluster = Cluster(
            self, workers(racks=1, per_rack=2), (Organisation("a", (Shape(8),)), Organisation("b"))
        )
        cluster.submit(spec("b1", 8, "b", checkpointable=True))
        cluster.submit(spec("b2", 8, "b"))
        cluster.step()
        cluster.now = 60_000
        cluster.submit(spec("a1", 8, "a"))
        stops = [event for event in cluster.step() if isinstance(event, JobStopping)]
        self.assertEqual([event.job_id for event in stops], ["b1"])
        self.assertEqual(stops[0].beneficiary, ("a", "a1"))
        self.assertEqual(cluster.step(), [])
        cluster.finish_stopping()
        cluster.step()
        self.assertTrue(cluster.running(("a", "a1")))


if __name__ == "__main__":
    unittest.main()
