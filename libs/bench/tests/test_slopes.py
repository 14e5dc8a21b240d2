"""Tests of the line fitting and of the cluster builder for slopes."""

import unittest

from hornbeamfold.bench.fitting import Point, fit_line, least_squares, read_csv, write_csv
from hornbeamfold.bench.scale import (
    configured_cluster,
    gang_specs,
    make_workers,
    queued_specs,
    single_specs,
)


def points(values: dict[float, tuple[float, ...]]) -> list[Point]:
    """Return points from the values of each repeat at each size."""
    return [
        Point("m", "ms", size, repeat, value)
        for size, row in values.items()
        for repeat, value in enumerate(row)
    ]


class FittingTest(unittest.TestCase):
    def test_a_line_is_found(self) -> None:
        """Guards against a wrong slope or intercept."""
        slope, intercept = least_squares([1.0, 2.0, 4.0], [5.0, 7.0, 11.0])
        self.assertAlmostEqual(slope, 2.0)
        self.assertAlmostEqual(intercept, 3.0)

    def test_a_disturbed_repeat_shows_in_the_spread_only(self) -> None:
        """Guards against a disturbed run that changes the slope or does not show in the spread."""
        line = fit_line(points({1: (1.0, 1.0, 1.0), 2: (2.0, 2.0, 9.0), 3: (3.0, 3.0, 3.5)}))
        self.assertAlmostEqual(line.slope, 1.0)
        self.assertAlmostEqual(line.intercept, 0.0)
        self.assertAlmostEqual(line.least, 1.0)
        self.assertAlmostEqual(line.most, 1.25)

    def test_an_incomplete_repeat_does_not_count_for_the_spread(self) -> None:
        """Guards against the slope of a repeat that lacks sizes being compared with the others."""
        line = fit_line(points({1: (1.0, 1.0), 2: (2.0, 2.0), 9: (9.0,)}))
        self.assertEqual((line.least, line.most), (line.slope, line.slope))

    def test_a_single_size_gives_a_line_through_the_origin(self) -> None:
        """Guards against a division by zero for measures taken at one size."""
        self.assertEqual(least_squares([4.0], [8.0]), (2.0, 0.0))
        self.assertEqual(least_squares([0.0], [8.0]), (0.0, 0.0))
        with self.assertRaises(ValueError):
            least_squares([], [])

    def test_points_survive_the_file(self) -> None:
        """Guards against figures that change between the run and the stored points."""
        kept = points({1: (0.25, 3.0), 1_900: (1e-5, 7.5)})
        self.assertEqual(read_csv(write_csv(kept)), kept)


class ScaleTest(unittest.TestCase):
    def test_the_cluster_has_the_asked_size(self) -> None:
        """Guards against slopes over a size that differs from that of the folded view."""
        cluster = configured_cluster(make_workers(950))
        cluster.run(gang_specs(760))
        cluster.run(single_specs(300))
        tasks = [len(job.members) for job in cluster.view.active.values()]
        self.assertEqual((len(cluster.view.workers), sum(tasks)), (950, 1_060))
        self.assertEqual({len(cluster.view.zones), len(cluster.view.organisations)}, {19, 63})

    def test_the_queue_holds_gangs_of_128(self) -> None:
        """Guards against a queue that leaves the largest gangs out of the measurement."""
        sizes = [spec.shape.accelerators for spec in queued_specs(64)]
        self.assertEqual(sizes.count(128), 8)
