"""Tests of stops due to configuration changes and slow starts."""

import unittest
from types import SimpleNamespace

from daemon_cases import KEY, Cluster

from hornbeamfold.daemon.placer import required_stops, usable_capacities
from hornbeamfold.model.events import JobStopping, ZoneSet
from hornbeamfold.model.timing import START_BOUND_MS
from hornbeamfold.model.work import StopReason


class DueStopsTest(unittest.TestCase):
    def test_reasons(self) -> None:
        """Guards against jobs that stay in a zone out of service, and against needless stops."""
        reason = StopReason
        for name, running, checkpointable, out, drained, age_ms, expected in (
            ("placed", False, True, False, (), START_BOUND_MS, None),
            ("slow start", False, True, False, (), START_BOUND_MS + 1, reason.START_TIMEOUT),
            ("runs for long", True, True, False, (), START_BOUND_MS + 1, None),
            ("zone out", True, False, True, (), 0, reason.ZONE_OUT),
            ("drained", True, True, False, ("w1",), 0, reason.TARGET_DRAIN),
            ("drained, cannot be saved", True, False, False, ("w1",), 0, None),
        ):
            with self.subTest(name):
                cluster = Cluster()
                start = cluster.run if running else cluster.place
                start(checkpointable=checkpointable)
                if out:
                    cluster.apply(ZoneSet("z", "east", False, 1))
                ages = SimpleNamespace(placed_age=lambda key, attempt, age=age_ms: age)
                stops = required_stops(cluster.view, ages, frozenset(drained))
                self.assertEqual(
                    [one.event.reason for one in stops], [expected] if expected else []
                )

    def test_a_stopping_job_is_not_stopped_again(self) -> None:
        """Guards against a stop record in each planning pass while a job is stopping."""
        cluster = Cluster()
        cluster.run()
        cluster.apply(JobStopping(*KEY, 1, StopReason.RECLAIM), ZoneSet("z", "east", False, 1))
        self.assertEqual(required_stops(cluster.view, SimpleNamespace(), frozenset()), ())

    def test_unavailable_workers_take_nothing(self) -> None:
        """Guards against new tasks on workers that are leaving or ejected."""
        capacities = usable_capacities(Cluster().view, frozenset({"w0", "gone"}))
        eligible = {name: one.eligible for name, one in capacities.items()}
        self.assertEqual(eligible, {"w0": False, "w1": True})


if __name__ == "__main__":
    unittest.main()
