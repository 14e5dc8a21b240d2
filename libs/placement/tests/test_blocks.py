"""Tests of the index of free accelerators."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from placement_cases import Cluster, spec, workers

from hornbeamfold.model import Member, Shape
from hornbeamfold.placement.blocks import indices_of, mask_of, member_on, runs_of


class BlocksTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.integers(0, (1 << 70) - 1))
    def test_runs_are_maximal_and_complete(self, mask):
        """Guards against a run that is too short, spans a gap or is missing."""
        indices = [start + i for start, size in runs_of(mask) for i in range(size)]
        self.assertEqual(tuple(indices), indices_of(mask))
        for start, size in runs_of(mask):
            self.assertFalse(mask >> (start + size) & 1)
            self.assertFalse(start and mask >> (start - 1) & 1)
        self.assertEqual(mask_of(indices_of(mask)), mask)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(1, 255)), max_size=12))
    def test_undone_changes_restore_the_index(self, changes):
        """Guards against stale run indexes while members are held, taken and released."""
        index = Cluster(self, workers(2, 2)).free_index()
        names = list(index.workers)
        before = [list(index.runs_from(1, within)) for within in (True, False)]
        undo = []
        for number, mask in changes:
            member = member_on(names[number], mask, Shape(8))
            if not index.fits((member,)):
                continue
            if mask % 2:
                index.take((member,))
                undo.append(lambda member=member: index.release((member,)))
            else:
                index.hold((member,))
                undo.append(lambda member=member: index.hold((member,), -1))
            self.assertFalse(index.fits((member,)))
            listed = {(id(rack), start, size) for size, rack, start in index.runs_from(1, False)}
            runs = {(id(rack), *run) for rack in index.racks for run in runs_of(rack.mask)}
            self.assertEqual(listed, runs)
        for action in reversed(undo):
            action()
        self.assertEqual([list(index.runs_from(1, within)) for within in (True, False)], before)

    def test_smallest_run_comes_first_and_the_fragmented_rack_before_the_free_one(self):
        """Guards against small jobs that fragment large free blocks."""
        cluster = Cluster(self, workers(2, 2))
        cluster.start(spec("short", 13), ("w10", range(8)), ("w11", range(5)))
        index = cluster.free_index()
        self.assertEqual([size for size, _, _ in index.runs_from(1, False)], [3, 16])
        index.take((Member("w00", (0, 1, 2, 3, 4), 0, 0),))
        found = [(size, rack.zone) for size, rack, _ in index.runs_from(1, True)]
        self.assertEqual(found, [(3, "z1"), (3, "z0"), (8, "z0")])

    def test_worker_without_a_slot_has_no_usable_accelerators(self):
        """Guards against a task that is placed on a worker without a free slot."""
        cluster = Cluster(self, workers(1, 1, slots=1))
        cluster.start(spec("only", 1), ("w00", (0,)))
        self.assertEqual(list(cluster.free_index().runs_from(1, True)), [])
        self.assertFalse(cluster.free_index().fits((Member("w00", (1,), 0, 0),)))

    def test_unknown_workers_are_ignored(self):
        """Guards against a plan that fails on a member whose worker was removed."""
        index = Cluster(self, workers(1, 1)).free_index()
        gone = (Member("gone", (0,), 1, 1),)
        index.take(gone)
        index.hold(gone)
        self.assertFalse(index.fits(gone))


if __name__ == "__main__":
    unittest.main()
