"""Tests of the placement of entitled jobs."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from placement_cases import Cluster, region_of, spec, workers

from hornbeamfold.model import (
    JobSpec,
    JobState,
    JobStopping,
    Organisation,
    Shape,
    Span,
    WorkerCapacity,
)
from hornbeamfold.placement import entitled_keys, guarantees_fit

SHAPES = st.builds(
    Shape,
    st.sampled_from((1, 2, 3, 4, 6, 8)),
    st.integers(1, 64),
    st.integers(1, 64),
    st.sampled_from(Span),
)


class EntitledTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(st.lists(SHAPES, min_size=1, max_size=6), st.integers(0, 10_000))
    def test_guarantee_is_reclaimed_within_one_stop(self, shapes, seed):
        """Guards against an entitled job that waits longer than one stop and one placement."""
        names = "abc"
        organisations = tuple(
            Organisation(name, tuple(shapes[number::3])) for number, name in enumerate(names)
        )
        machines = workers(racks=2, per_rack=2)
        capacities = [WorkerCapacity(w, region_of(w), 0, 0, 0, 0, True) for w in machines]
        if guarantees_fit(organisations, capacities):
            return
        cluster = Cluster(self, machines, (*organisations, Organisation("d")))
        self._fill(cluster, Random(seed))
        for organisation in organisations:
            if organisation.guarantee:
                self._check_reclaim(cluster, organisation)

    def _fill(self, cluster, random):
        """Run a random mix of entitled jobs and borrowers for a while."""
        for number in range(40):
            organisation = random.choice(list(cluster.organisations.values()))
            shape = Shape(
                random.choice((0, 1, 2, 3, 8, 12)), random.randint(1, 40),
                random.randint(1, 99), random.choice(list(Span)),
            )  # fmt: skip
            if organisation.guarantee and random.random() < 0.5:
                shape = random.choice(organisation.guarantee)
            cluster.submit(
                JobSpec(
                    organisation.name, str(number), "k", "", shape, 60_000,
                    random.random() < 0.3, random.random() < 0.5,
                )
            )  # fmt: skip
            cluster.now += random.randrange(60_000)
            cluster.step()
            cluster.finish_stopping()
            for key, job in list(cluster.jobs.items()):
                if job.members and random.random() < 0.05:
                    cluster.finish(key)

    def _check_reclaim(self, cluster, organisation):
        """Submit the largest guaranteed shape as the organisation's only queued job."""
        for key, job in list(cluster.jobs.items()):
            if job.state is JobState.QUEUED:
                del cluster.jobs[key]
                cluster.reservations.pop(key, None)
        shape = max(organisation.guarantee, key=lambda item: item.accelerators)
        item = JobSpec(organisation.name, "claim", "k", "", shape, 60_000, False, True)
        cluster.submit(item)
        own_jobs = [
            job for job in cluster.jobs.values() if job.spec.organisation == item.organisation
        ]
        if item.key not in entitled_keys(organisation, own_jobs, cluster.jobs[item.key]):
            # A job of the whole shape is already running, so the guarantee is in use.
            return
        cluster.step()
        cluster.now += 10_000
        cluster.finish_stopping()
        cluster.step()
        self.assertTrue(cluster.running(item.key), f"{item} is not placed after one stop")

    def test_gang_across_the_window_is_stopped_as_a_whole(self):
        """Guards against stopping only the members of a gang that are within the window."""
        cluster = Cluster(
            self, workers(1, 2), (Organisation("a", (Shape(8, span=Span.WORKER),)),
                                  Organisation("b")),
        )  # fmt: skip
        cluster.submit(spec("gang", 16, "b", checkpointable=True))
        cluster.step()
        cluster.submit(spec("mine", 8, "a", Span.WORKER))
        stops = [event for event in cluster.step() if isinstance(event, JobStopping)]
        self.assertEqual([event.job_id for event in stops], ["gang"])
        cluster.finish_stopping()
        cluster.step()
        self.assertTrue(cluster.running(("a", "mine")))

    def test_job_without_checkpoints_leaves_room_for_other_guarantees(self):
        """Guards against an entitled job that cannot checkpoint and blocks another guarantee."""
        organisations = (
            Organisation("a", (Shape(4),)), Organisation("b", (Shape(8, span=Span.WORKER),)),
            Organisation("c"),
        )  # fmt: skip
        cluster = Cluster(self, workers(1, 2), organisations)
        cluster.submit(spec("left", 4, "c", Span.WORKER, checkpointable=True))
        cluster.step()
        cluster.submit(spec("other", 8, "c", Span.WORKER, checkpointable=True))
        cluster.step()
        cluster.finish(("c", "other"))
        cluster.submit(spec("lasting", 4, "a"))
        cluster.step()
        cluster.finish_stopping()
        cluster.step()
        cluster.submit(spec("whole", 8, "b", Span.WORKER))
        cluster.step()
        cluster.finish_stopping()
        cluster.step()
        self.assertTrue(cluster.running(("a", "lasting")))
        self.assertTrue(cluster.running(("b", "whole")))

    def test_reservation_out_of_service_is_replaced(self):
        """Guards against an entitled job that waits for a window in a zone out of service."""
        cluster = Cluster(
            self, workers(2, 1), (Organisation("a", (Shape(8),)), Organisation("b"))
        )  # fmt: skip
        for name in ("b1", "b2"):
            cluster.submit(spec(name, 8, "b", checkpointable=True))
        cluster.step()
        cluster.submit(spec("a1", 8, "a"))
        cluster.step()
        window = cluster.reservations[("a", "a1")].members[0].worker
        cluster.zones_out = {cluster.machines[window].availability_zone}
        cluster.step()
        self.assertNotEqual(cluster.reservations[("a", "a1")].members[0].worker, window)


if __name__ == "__main__":
    unittest.main()
