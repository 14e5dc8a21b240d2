"""Tests of resolving claims whose holder is gone."""

import unittest
from types import SimpleNamespace

from daemon_cases import WALL_MS, Clock, Cluster, Writer, make_follower

from hornbeamfold.daemon.claim_outcomes import CLOCK_SKEW_MS
from hornbeamfold.daemon.resolver import ClaimResolver
from hornbeamfold.membership import Permit
from hornbeamfold.model.events import ClaimDone, ClaimMade, ClaimReleased, Event
from hornbeamfold.model.work import Request
from hornbeamfold.workers import LookUpReply, NoReply, NotSent, RunState, VoidReply, VoidState

REQUEST = Request("a", "r", "quote", "{}", False, True, WALL_MS + 60_000)
UNKNOWN = LookUpReply(RunState.UNKNOWN, complete_since_ms=0)
FINISHED = LookUpReply(RunState.FINISHED, "answer", request_id="r", digest="d")


class ResolverTest(unittest.TestCase):
    def make_resolver(self, looked_up, voided):
        self.cluster = Cluster()
        self.voids = 0

        def void(*arguments):
            self.voids += 1
            return voided

        self.service = ClaimResolver(
            "me",
            make_follower(self.cluster),
            Writer(self.cluster),
            SimpleNamespace(may_start=lambda now_ms: Permit(True, "fresh")),
            SimpleNamespace(rank=lambda *arguments: 0, incarnation_live=lambda *a: False),
            SimpleNamespace(look_up=lambda *arguments: looked_up, void=void),
            lambda key: False,
            lambda claim: False,
            Clock(),
            Clock(WALL_MS),
        )

    def resolve(self) -> Event | None:
        return self.service.resolution(self.cluster.view.claims[REQUEST.key])

    def test_resolving_a_dead_holder(self) -> None:
        """Guards against a release without a void, and against a wrong "not run".

        A worker that restarted has lost its task table and may have run the task before.
        """
        forgot = VoidReply(VoidState.VOIDED, WALL_MS + CLOCK_SKEW_MS)
        for name, looked_up, voided, event, voids in (
            ("finished", FINISHED, None, ClaimDone, 0),
            ("failed", LookUpReply(RunState.FAILED), None, ClaimDone, 0),
            ("running", LookUpReply(RunState.RUNNING), None, None, 0),
            ("never seen", UNKNOWN, VoidReply(VoidState.VOIDED, 0), ClaimReleased, 1),
            ("arrived meanwhile", UNKNOWN, VoidReply(VoidState.RUNNING, 0), None, 1),
            ("worker restarted", UNKNOWN, forgot, None, 1),
            ("no void", UNKNOWN, NoReply("404"), None, 1),
            ("worker dead", NotSent("refused"), None, None, 0),
        ):
            with self.subTest(name):
                self.make_resolver(looked_up, voided)
                self.cluster.apply(ClaimMade(*REQUEST.key, "d", "you", "w0", WALL_MS + 60_000))
                found = self.resolve()
                self.assertEqual(type(found) if found else None, event)
                self.assertEqual(self.voids, voids)

    def test_an_own_claim_that_was_never_sent_is_released(self) -> None:
        """Guards against a claim that stays open after its request was refused."""
        self.make_resolver(UNKNOWN, None)
        self.cluster.apply(ClaimMade(*REQUEST.key, "d", "me", "w0", WALL_MS + 60_000))
        self.assertIsInstance(self.resolve(), ClaimReleased)
        self.assertEqual(self.voids, 0)
