"""Tests of the routing candidates that the dispatcher caches."""

import unittest
from collections.abc import Sequence

from hornbeamfold.daemon.clock import monotonic_ms
from hornbeamfold.daemon.follower import LoadedView
from hornbeamfold.daemon.instance import Lifecycle, build
from hornbeamfold.model import (
    ClaimMade,
    Entry,
    Event,
    JobPlaced,
    JobSpec,
    JobStopping,
    JobSubmitted,
    Member,
    MemberReport,
    MembersReported,
    MemberState,
    OrganisationPut,
    Record,
    Shape,
    Span,
    StopReason,
    TargetDrain,
    Worker,
    WorkersPut,
    ZoneSet,
)
from hornbeamfold.routing import make_candidates
from hornbeamfold.settings import Settings
from hornbeamfold.view import SnapshotCollector, snapshot_parts

UNUSED_URL = "http://127.0.0.1:9"
ANY_PORT = "127.0.0.1:0"
SHAPE = Shape(1, 1, 1, Span.WORKER)
SPEC = JobSpec("o", "j", "train", "{}", SHAPE, 60_000)
WORKERS = tuple(Worker(f"w{at}", ANY_PORT, "z", "r", at, 8, 8, 1, 4, 8) for at in range(3))
REPORT = MemberReport("o", "j", 1, "w0", MemberState.STOPPED)
EVENTS: Sequence[Event] = (
    ZoneSet("z", "east", True, 0),
    WorkersPut(WORKERS, (), 0),
    OrganisationPut("o", (), 1.0, 0),
    JobSubmitted(SPEC),
    JobPlaced("o", "j", 1, (Member("w0", (0,), 1, 1),), 4),
    ClaimMade("o", "r", "d", "holder", "w1", 60_000),
    JobStopping("o", "j", 1, StopReason.RECLAIM),
    MembersReported((REPORT,)),
    TargetDrain("w1", True, 1),
    ZoneSet("z", "east", False, 1),
    ZoneSet("z", "east", True, 2),
    TargetDrain("w1", False, 2),
    WorkersPut((), ("w2",), 3),
)


class CandidatesTest(unittest.TestCase):
    def setUp(self) -> None:
        settings = Settings("a", "z", "east", ANY_PORT, ANY_PORT, UNUSED_URL, UNUSED_URL, 3_600_000)
        self.parts = build(settings, Lifecycle())
        self.seq = 0

    def apply(self, event: Event) -> None:
        """Apply one event and check that it was accepted."""
        self.seq += 1
        follower = self.parts.follower
        entry = Entry(follower.view.offset, 1_000, Record("w", self.seq, (event,)))
        accepted: list[bool] = []
        follower.add_listener(lambda _, applied: accepted.extend(one.accepted for one in applied))
        follower.on_entries((entry,), entry.offset + 1, monotonic_ms())
        self.assertTrue(all(accepted) and accepted, event)

    def assert_candidates_current(self) -> None:
        """Check that the cached candidates equal newly built ones."""
        cached = self.parts.dispatcher._current_candidates()
        rebuilt = make_candidates(
            self.parts.follower.view.capacities.values(),
            {one.worker for one in cached.all if one.in_own_subset},
        )
        self.assertEqual(cached.all, rebuilt.all)

    def test_candidates_follow_each_event(self) -> None:
        """Guards against requests to workers that are busy, drained, removed or out of service."""
        for event in EVENTS:
            self.apply(event)
            with self.subTest(event=type(event).__name__):
                self.assert_candidates_current()

    def test_a_loaded_snapshot_brings_its_own_candidates(self) -> None:
        """Guards against candidates that are still those of the view before a snapshot load."""
        for event in EVENTS[:2]:
            self.apply(event)
        before = self.parts.dispatcher._current_candidates()
        self.apply(ZoneSet("z", "east", False, 1))
        (part,) = snapshot_parts(self.parts.follower.view)
        other = CandidatesTest()
        other.setUp()
        for event in EVENTS[:2]:
            other.apply(event)
        self.assertEqual(len(other.parts.dispatcher._current_candidates().all), len(before.all))
        view = SnapshotCollector().add(part)
        assert view is not None
        other.parts.follower.replace_view(LoadedView(view, view.offset, monotonic_ms()))
        other.assert_candidates_current()
        self.assertEqual(other.parts.dispatcher._current_candidates().all, ())

    def test_a_claim_keeps_the_candidates(self) -> None:
        """Guards against rebuilding the candidates of all workers for each claimed request."""
        for event in EVENTS[:3]:
            self.apply(event)
        before = self.parts.dispatcher._current_candidates()
        self.apply(ClaimMade("o", "r", "d", "holder", "w1", 60_000))
        self.assertIs(self.parts.dispatcher._current_candidates(), before)
