"""Tests of capacity tracking.

`test_view` checks on random events that the capacities follow from the jobs.
"""

from view_folding import ViewMixin, member

from hornbeamfold.model import InvariantViolationError


class CapacitiesTest(ViewMixin):
    def test_double_hold_is_reported(self) -> None:
        """Guards against missing accelerators that are allocated twice (I3)."""
        capacities = self.view.state.capacities
        capacities.allocate(("a", "j"), member("w0", 0, 1))
        capacities.allocate(("a", "k"), member("w0", 2, 3))
        with self.assertRaises(InvariantViolationError):
            capacities.allocate(("a", "l"), member("w0", 1))
