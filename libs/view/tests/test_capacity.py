"""Tests of the capacities; that they follow all events is in `test_view`."""

from view_folding import ViewMixin, member

from hornbeamfold.model import InvariantViolationError


class CapacitiesTest(ViewMixin):
    def test_double_hold_is_reported(self) -> None:
        """Guards against a fault in the checks of a placement that nobody notices (I3)."""
        capacities = self.view.state.capacities
        capacities.hold(("a", "j"), member("w0", 0, 1))
        capacities.hold(("a", "k"), member("w0", 2, 3))
        with self.assertRaises(InvariantViolationError):
            capacities.hold(("a", "l"), member("w0", 1))
