"""Tests of claims: at most one dispatch per claim, moves and releases."""

import unittest
from types import SimpleNamespace

from daemon_cases import WALL_MS, Clock, Cluster, Writer, make_follower, make_worker

from hornbeamfold.daemon.claims import ClaimService
from hornbeamfold.daemon.idempotent import verify_answer
from hornbeamfold.membership import Permit
from hornbeamfold.model.errors import Done, ErrorKind, ExecutionStatus, Refused
from hornbeamfold.model.events import ClaimDone, ClaimMade, ClaimMoved, ClaimReleased
from hornbeamfold.model.work import ClaimState, Request
from hornbeamfold.workers import (
    LookUpReply,
    NoReply,
    NotSent,
    RunBusy,
    RunDone,
    RunFailed,
    RunRefused,
    RunState,
    VoidReply,
    VoidState,
)

REQUEST = Request("a", "r", "quote", "{}", False, True, WALL_MS + 60_000)
DONE = RunDone("answer", "r", "d")
UNKNOWN = LookUpReply(RunState.UNKNOWN, complete_since_ms=0)


class Dispatcher:
    """A dispatcher that offers w0, then w1, and returns the next outcome for each run."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.sent = []
        self.before_run = lambda: None

    def acquire(self, request, exclude):
        """Return a slot on the first worker that is not excluded."""
        for name in ("w0", "w1"):
            if name not in exclude:
                return SimpleNamespace(worker=make_worker(name), release=lambda: None)
        return Refused(ErrorKind.NO_TARGET, "no worker is left")

    def run(self, request, digest, task, slot):
        """Record the worker and the task, and return the next outcome."""
        self.before_run()
        self.sent.append((slot.worker.name, task))
        return self.outcomes.pop(0)


class ClaimsTest(unittest.TestCase):
    def make_service(self, *outcomes, looked_up=UNKNOWN):
        self.cluster = Cluster()
        self.writer = Writer(self.cluster)
        self.dispatcher = Dispatcher(*outcomes)
        self.draining = False
        self.permit = Permit(True, "fresh")
        client = SimpleNamespace(
            look_up=lambda *arguments: looked_up,
            void=lambda *arguments: VoidReply(VoidState.VOIDED, 0),
        )
        freshness = SimpleNamespace(may_start=lambda now_ms: self.permit)
        return ClaimService(
            "me",
            make_follower(self.cluster),
            self.writer,
            lambda since_ms, timeout_ms: True,
            freshness,
            self.dispatcher,
            client,
            verify_answer,
            Clock(),
            Clock(WALL_MS),
            lambda: self.draining,
        )

    def claim(self):
        return self.cluster.view.claims.get(REQUEST.key)

    def test_outcomes(self) -> None:
        """Guards against a second run, a lost answer and a wrong "not run"."""
        made, moved, done, released = ClaimMade, ClaimMoved, ClaimDone, ClaimReleased
        for name, outcomes, result, events, sent in (
            ("answered", [DONE], Done("answer", "w0"), [made, done], 1),
            ("failed", [RunFailed("x")], ErrorKind.FAILED, [made, done], 1),
            ("busy", [RunBusy(), DONE], Done("answer", "w1"), [made, moved, done], 2),
            ("refused", [RunRefused(), DONE], Done("answer", "w1"), [made, moved, done], 2),
            ("not sent", [NotSent(""), DONE], Done("answer", "w1"), [made, moved, done], 2),
            ("voided", [NoReply(""), DONE], Done("answer", "w1"), [made, moved, done], 2),
            ("nowhere", [RunBusy()] * 2, ErrorKind.NO_TARGET, [made, moved, released], 2),
        ):
            with self.subTest(name):
                service = self.make_service(*outcomes)
                outcome = service.serve(REQUEST, "d", 0)
                found = outcome.kind if isinstance(outcome, Refused) else outcome
                self.assertEqual(found, result)
                self.assertEqual([type(one) for one in self.writer.events], events)
                self.assertEqual(len(self.dispatcher.sent), sent)
                self.assertEqual(len({task for _, task in self.dispatcher.sent}), sent)

    def test_nothing_is_sent_before_the_claim_is_applied(self) -> None:
        """Guards against a dispatch that a retry through another instance cannot see."""
        service = self.make_service(DONE)
        states = []
        self.dispatcher.before_run = lambda: states.append(self.claim().worker)
        service.serve(REQUEST, "d", 0)
        self.assertEqual(states, ["w0"])
        for name in ("log down", "stale view", "claimed by another", "other body"):
            with self.subTest(name):
                service = self.make_service(DONE)
                self.writer.down = name == "log down"
                if name == "stale view":
                    self.permit = Permit(False, "stale")
                if name == "claimed by another":
                    self.cluster.apply(ClaimMade(*REQUEST.key, "d", "you", "w0", WALL_MS + 60_000))
                    self.draining = True
                if name == "other body":
                    self.cluster.apply(ClaimMade(*REQUEST.key, "e", "you", "w0", WALL_MS + 60_000))
                self.assertIsInstance(service.serve(REQUEST, "d", 0), Refused)
                self.assertEqual(self.dispatcher.sent, [])

    def test_a_drain_does_not_wait_for_a_silent_worker(self) -> None:
        """Guards against a drain that waits for a dead worker until the request's deadline."""
        service = self.make_service(NoReply("lost"), looked_up=NotSent("refused"))
        self.draining = True
        outcome = service.serve(REQUEST, "d", 0)
        self.assertEqual(outcome.effective_ran, ExecutionStatus.UNKNOWN)
        self.assertEqual(self.claim().state, ClaimState.OPEN)


if __name__ == "__main__":
    unittest.main()
