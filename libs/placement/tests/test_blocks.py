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
        """Guards against a run that is cut short, joined over a gap or left out."""
        cells = [start + i for start, size in runs_of(mask) for i in range(size)]
        self.assertEqual(tuple(cells), indices_of(mask))
        for start, size in runs_of(mask):
            self.assertFalse(mask >> (start + size) & 1)
            self.assertFalse(start and mask >> (start - 1) & 1)
        self.assertEqual(mask_of(indices_of(mask)), mask)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(1, 255)), max_size=12))
    def test_changes_that_are_undone_leave_no_trace(self, changes):
        """Guards against run tables that go stale while members are held, taken and given back."""
        index = Cluster(self, workers(2, 2)).free()
        names = list(index.rooms)
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
            listed = {(id(line), start, size) for size, line, start in index.runs_from(1, False)}
            runs = {(id(line), *run) for line in index.lines for run in runs_of(line.mask)}
            self.assertEqual(listed, runs)
        for action in reversed(undo):
            action()
        self.assertEqual([list(index.runs_from(1, within)) for within in (True, False)], before)

    def test_smallest_run_comes_first_and_the_broken_rack_before_the_whole(self):
        """Guards against small jobs that break up large free blocks."""
        cluster = Cluster(self, workers(2, 2))
        cluster.start(spec("short", 13), ("w10", range(8)), ("w11", range(5)))
        index = cluster.free()
        self.assertEqual([size for size, _, _ in index.runs_from(1, False)], [3, 16])
        index.take((Member("w00", (0, 1, 2, 3, 4), 0, 0),))
        found = [(size, line.zone) for size, line, _ in index.runs_from(1, True)]
        self.assertEqual(found, [(3, "z1"), (3, "z0"), (8, "z0")])

    def test_worker_without_a_slot_has_no_usable_accelerators(self):
        """Guards against a task on a worker that would refuse it."""
        cluster = Cluster(self, workers(1, 1, slots=1))
        cluster.start(spec("only", 1), ("w00", (0,)))
        self.assertEqual(list(cluster.free().runs_from(1, True)), [])
        self.assertFalse(cluster.free().fits((Member("w00", (1,), 0, 0),)))

    def test_unknown_workers_are_passed_over(self):
        """Guards against a plan that fails on a member whose worker has left the list."""
        index = Cluster(self, workers(1, 1)).free()
        gone = (Member("gone", (0,), 1, 1),)
        index.take(gone)
        index.hold(gone)
        self.assertFalse(index.fits(gone))


if __name__ == "__main__":
    unittest.main()
