"""Tests of the search for a placement."""

import unittest

from placement_cases import region_of, spec, workers

from hornbeamfold.model import Member, Reservation, Shape, Span, WorkerCapacity
from hornbeamfold.placement import NoPlacement, explain_infeasibility, place


def capacities(masks, slots=8, processors=64):
    """Return the workers of one rack with these free masks."""
    machines = workers(1, len(masks))
    return {
        w.name: WorkerCapacity(w, region_of(w), mask, processors, 256, slots, True)
        for w, mask in zip(machines, masks, strict=True)
    }


class FitTest(unittest.TestCase):
    def test_smallest_sufficient_run_is_used(self):
        """Guards against small jobs that fragment large free blocks."""
        placement = place(spec("j", 2), capacities([0xFF, 0b1100]), ())
        self.assertEqual(placement.members[0], Member("w01", (2, 3), 1, 1))

    def test_rack_run_crosses_workers_and_shares_round_up(self):
        """Guards against members with too few processors and against gaps within a gang."""
        placement = place(spec("j", 6, processors=10), capacities([0xF0, 0x0F]), ())
        self.assertEqual(placement.span, Span.RACK)
        self.assertEqual([m.processors for m in placement.members], [7, 4])
        self.assertIsInstance(place(spec("j", 6), capacities([0xF0, 0x1E]), ()), NoPlacement)

    def test_zone_gang_is_split_into_the_fewest_pieces(self):
        """Guards against more pieces than necessary, and a last piece that splits a larger run."""
        placement = place(spec("j", 6, span=Span.ZONE), capacities([0b11, 0xF0, 0, 0b1111]), ())
        self.assertEqual({m.worker for m in placement.members}, {"w00", "w01"})

    def test_resources_reserved_for_another_job_are_not_used(self):
        """Guards against a reclaimed window that is given to another job."""
        available = capacities([0xFF])
        reservation = Reservation(("a", "other"), (Member("w00", tuple(range(8)), 1, 1),), 9)
        self.assertIsInstance(place(spec("j", 1), available, [reservation]), NoPlacement)
        self.assertNotIsInstance(place(spec("other", 8), available, [reservation]), NoPlacement)

    def test_slots_and_processors_limit_a_placement(self):
        """Guards against members on workers that have accelerators but no slot or processors."""
        self.assertIsInstance(place(spec("j", 1), capacities([0xFF], slots=0), ()), NoPlacement)
        large = spec("j", 1, processors=65)
        self.assertIsInstance(place(large, capacities([0xFF]), ()), NoPlacement)
        self.assertNotEqual(explain_infeasibility(large.shape, capacities([0]).values()), "")

    def test_task_without_accelerators_avoids_free_accelerators(self):
        """Guards against tasks that take the slots of workers with free accelerators."""
        placement = place(spec("j", 0), capacities([0xFF, 0, 0x0F]), ())
        self.assertEqual(placement.members, (Member("w01", (), 1, 1),))

    def test_feasibility_counts_total_capacity_in_service(self):
        """Guards against jobs reported as infeasible only because the cluster is full."""
        self.assertEqual(explain_infeasibility(Shape(16), capacities([0, 0]).values()), "")
        self.assertIn("17", explain_infeasibility(Shape(17), capacities([0xFF, 0xFF]).values()))


if __name__ == "__main__":
    unittest.main()
