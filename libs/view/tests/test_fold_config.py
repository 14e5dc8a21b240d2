"""Tests of configuration changes."""

from dataclasses import replace

from view_folding import ViewMixin, make_spec, make_worker, member, placed

from hornbeamfold.model import (
    ClaimMade,
    ErrorKind,
    JobSubmitted,
    OrganisationPut,
    OrganisationRemoved,
    Shape,
    TargetDrain,
    WorkersPut,
    ZoneSet,
)
from hornbeamfold.view import View

CONFLICT, INVALID, NOT_FOUND = ErrorKind.CONFLICT, ErrorKind.INVALID, ErrorKind.NOT_FOUND
INFEASIBLE = ErrorKind.GUARANTEE_INFEASIBLE


class ConfigurationTest(ViewMixin):
    def test_refused_changes(self) -> None:
        """Guards against accepting a change that lost a race, breaks active work or is invalid."""
        self.accept(JobSubmitted(make_spec()), placed([member("w0", 0, 1)]))
        self.accept(ClaimMade("b", "r", "d", "i1", "w1", self.at_ms + 1_000))
        odd = replace(make_worker(1), accelerators=1 << 40)
        astray = replace(make_worker(1), availability_zone="z9")
        self.refuse(
            (CONFLICT, "version is 1", OrganisationPut("a", (), 2.0, 0)),
            (CONFLICT, "version is 0", OrganisationPut("c", (), 2.0, 1)),
            (INVALID, "weight", OrganisationPut("c", (), float("nan"), 0)),
            (INVALID, "slash", OrganisationPut("c/d", (), 1.0, 0)),
            (INVALID, "negative amount", OrganisationPut("c", (Shape(-1),), 1.0, 0)),
            (ErrorKind.UNKNOWN_ORGANISATION, "'c'", OrganisationRemoved("c", 0)),
            (CONFLICT, "version is 1", OrganisationRemoved("b", 2)),
            (CONFLICT, "placed", OrganisationRemoved("a", 1)),
            (CONFLICT, "claimed", OrganisationRemoved("b", 1)),
            (CONFLICT, "version is 1", ZoneSet("z1", "east", False, 0)),
            (INVALID, "in region", ZoneSet("z1", "south", False, 1)),
            (INVALID, "needs a region", ZoneSet("z9", "", True, 0)),
            (CONFLICT, "version is 1", WorkersPut((), ("w1",), 0)),
            (CONFLICT, "version is 1", TargetDrain("w1", True, 0)),
            (NOT_FOUND, "'w9'", TargetDrain("w9", True, 1)),
            (NOT_FOUND, "'w9'", WorkersPut((), ("w9",), 1)),
            (CONFLICT, "active members", WorkersPut((), ("w0",), 1)),
            (CONFLICT, "active members", WorkersPut((make_worker(0, 8),), (), 1)),
            (INVALID, "listed more than once", WorkersPut((make_worker(1),), ("w1",), 1)),
            (INVALID, "more than", WorkersPut((odd,), (), 1)),
            (INVALID, "'z9'", WorkersPut((astray,), (), 1)),
        )

    def test_eligibility_follows_zone_and_drain(self) -> None:
        """Guards against an eligible worker that is draining or in a zone out of service."""
        moved = replace(make_worker(0), address="127.0.0.2:1")
        self.accept(JobSubmitted(make_spec()), placed([member("w0", 0, 1)]))
        for event, eligible in (
            (ZoneSet("z1", "", False, 1), False),
            (TargetDrain("w0", True, 1), False),
            (ZoneSet("z1", "", True, 2), False),
            (WorkersPut((moved,), (), 2), False),
            (TargetDrain("w0", False, 3), True),
        ):
            self.accept(event)
            self.assertEqual(self.view.capacities["w0"].eligible, eligible, event)
            self.assertTrue(self.view.capacities["w3"].eligible)
            self.assertEqual(self.view.configuration_offset, self.entries[-1].offset)
        self.assertEqual(self.view.capacities["w0"].worker, moved)
        self.assertEqual(self.view.capacities["w0"].free_mask, 0b1100)

    def test_guarantees_are_checked_against_idle_workers(self) -> None:
        """Guards against changes of guarantees or workers that make a guarantee infeasible."""

        def fit(organisations, workers) -> str:  # type: ignore[no-untyped-def]
            asked = sum(shape.accelerators for o in organisations for shape in o.guarantee)
            free = sum(capacity.free_mask.bit_count() for capacity in workers)
            return f"{asked} of {free}" if asked > free else ""

        self.view = View(guarantees_fit=fit)
        self.view.apply(self.entries[0])
        self.accept(JobSubmitted(make_spec()), placed([member("w0", 0, 1)]))
        self.accept(ZoneSet("z2", "", False, 1), OrganisationPut("a", (Shape(18),), 1.0, 1))
        self.refuse(
            (INFEASIBLE, "21 of 20", OrganisationPut("b", (Shape(3),), 1.0, 1)),
            (INFEASIBLE, "18 of 16", WorkersPut((), ("w1",), 1)),
            (INFEASIBLE, "18 of 17", WorkersPut((make_worker(1, 1),), (), 1)),
        )
