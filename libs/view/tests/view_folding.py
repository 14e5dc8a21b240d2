"""A small cluster and helper functions shared by the tests of the view."""

import unittest

from msgspec.json import decode

from hornbeamfold.model import (
    Applied,
    Entry,
    ErrorKind,
    Event,
    JobPlaced,
    JobSpec,
    JobSubmitted,
    Member,
    MemberReport,
    MembersReported,
    MemberState,
    OrganisationPut,
    Record,
    Shape,
    Worker,
    WorkersPut,
    ZoneSet,
    configure_invariants,
)
from hornbeamfold.view import View
from hornbeamfold.view.encoding import encode_state

START_MS = 1_700_000_000_000
KEY = ("a", "j")


def make_worker(number: int, accelerators: int = 4) -> Worker:
    """Return worker `number` of the small cluster."""
    zone, rack = (("z1", "k1"), ("z1", "k1"), ("z1", "k2"), ("z2", "k1"), ("z3", "k1"))[number]
    return Worker(f"w{number}", "127.0.0.1:1", zone, rack, number, 8, 16, accelerators, 3, 8)


def member(worker: str, *accelerators: int) -> Member:
    """Return a member with the given accelerators, and one processor for each but at least one."""
    return Member(worker, accelerators, max(1, len(accelerators)), 1)


def make_spec(job_id: str = "j", accelerators: int = 2, **more: object) -> JobSpec:
    """Return the specification of a job of organisation a."""
    shape = Shape(accelerators, max(1, accelerators))
    values: dict = {"declared_ms": 1_000, "shape": shape, "body": "{}"} | more
    return JobSpec("a", job_id, "render", **values)


def placed(members: list[Member], attempt: int = 1, job_id: str = "j") -> JobPlaced:
    """Return the placement of a job of organisation a."""
    return JobPlaced("a", job_id, attempt, tuple(members), 0)


def reported(worker: str, state: MemberState, attempt: int = 1, **more: str) -> MembersReported:
    """Return an event with a report on one member of job j."""
    return MembersReported((MemberReport("a", "j", attempt, worker, state, **more),))


def content(view: View) -> dict:
    """Return the encoded state without what every entry changes: offset, time and writers."""
    values = decode(encode_state(view.state))
    return {name: values[name] for name in values if name not in ("offset", "at_ms", "writers")}


class ViewMixin(unittest.TestCase):
    """Folds events into a view of five workers and checks the results; violations raise."""

    def setUp(self) -> None:
        configure_invariants(lambda name, detail: None, True)
        self.addCleanup(configure_invariants, lambda name, detail: None, False)
        self.view = View()
        self.entries: list[Entry] = []
        self.at_ms = START_MS
        self.accept(
            OrganisationPut("a", (), 1.0, 0),
            OrganisationPut("b", (), 1.0, 0),
            ZoneSet("z1", "east", True, 0),
            ZoneSet("z2", "east", True, 0),
            ZoneSet("z3", "south", True, 0),
            WorkersPut(tuple(make_worker(number) for number in range(5)), (), 0),
        )

    def send(self, *events: Event, after_ms: int = 1, writer: str = "i1") -> tuple[Applied, ...]:
        self.at_ms += after_ms
        offset = len(self.entries)
        self.entries.append(Entry(offset, self.at_ms, Record(writer, offset + 1, events)))
        return self.view.apply(self.entries[-1])

    def accept(self, *events: Event, after_ms: int = 1) -> None:
        for applied in self.send(*events, after_ms=after_ms):
            self.assertTrue(applied.accepted, applied)

    def refuse(self, *cases: tuple[ErrorKind, str, Event]) -> None:
        """Check that each event is refused with this kind and detail, and changes no state."""
        for kind, text, event in cases:
            with self.subTest(event=event):
                before = content(self.view)
                (applied,) = self.send(event)
                self.assertEqual((applied.accepted, applied.kind), (False, kind), applied)
                self.assertIn(text, applied.detail)
                self.assertEqual(content(self.view), before)

    def run_job(self, members: list[Member]) -> None:
        """Submit and place job j, and report all members as running."""
        size = sum(len(each.accelerators) for each in members)
        self.accept(JobSubmitted(make_spec(accelerators=size)), placed(members))
        for each in members:
            self.accept(reported(each.worker, MemberState.RUNNING))
