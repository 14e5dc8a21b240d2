"""Tests of claims: at most one dispatch, moves and releases."""

import unittest
from types import SimpleNamespace

from daemon_cases import WALL_MS, Clock, Cluster, Writer, follower_of, worker

from hornbeamfold.daemon.claims import ClaimService
from hornbeamfold.daemon.idempotent import checked_answer
from hornbeamfold.membership import Permit
from hornbeamfold.model.errors import Done, ErrorKind, ExecutionStatus, Refused
from hornbeamfold.model.events import ClaimDone, ClaimMade, ClaimMoved, ClaimReleased
from hornbeamfold.model.work import ClaimState, Request
from hornbeamfold.workers import (
    LookedUp,
    NoReply,
    NotSent,
    RunBusy,
    RunDone,
    RunFailed,
    RunRefused,
    RunState,
    Voided,
    VoidState,
)

REQUEST = Request("a", "r", "quote", "{}", False, True, WALL_MS + 60_000)
DONE = RunDone("answer", "r", "d")
UNKNOWN = LookedUp(RunState.UNKNOWN, complete_since_ms=0)


class Dispatcher:
    """Offers w0 and then w1, and answers each run with the next outcome."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.sent = []
        self.before_run = lambda: None

    def acquire(self, request, exclude):
        """Return a slot of the first worker that was not tried."""
        for name in ("w0", "w1"):
            if name not in exclude:
                return SimpleNamespace(worker=worker(name), release=lambda: None)
        return Refused(ErrorKind.NO_TARGET, "no worker is left")

    def run(self, request, digest, task, slot):
        """Note what was sent where, and return its outcome."""
        self.before_run()
        self.sent.append((slot.worker.name, task))
        return self.outcomes.pop(0)


class ClaimsTest(unittest.TestCase):
    def service(self, *outcomes, looked_up=UNKNOWN):
        self.cluster = Cluster()
        self.writer = Writer(self.cluster)
        self.dispatcher = Dispatcher(*outcomes)
        self.draining = False
        self.permit = Permit(True, "fresh")
        client = SimpleNamespace(
            look_up=lambda *arguments: looked_up,
            void=lambda *arguments: Voided(VoidState.VOIDED, 0),
        )
        freshness = SimpleNamespace(may_start=lambda now_ms: self.permit)
        return ClaimService(
            "me",
            follower_of(self.cluster),
            self.writer,
            lambda since_ms, timeout_ms: True,
            freshness,
            self.dispatcher,
            client,
            checked_answer,
            Clock(),
            Clock(WALL_MS),
            lambda: self.draining,
        )

    def claim(self):
        return self.cluster.view.claims.get(REQUEST.key)

    def test_outcomes(self) -> None:
        """Guards against a second run, a lost answer and a false "not run"."""
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
                service = self.service(*outcomes)
                outcome = service.serve(REQUEST, "d", 0)
                found = outcome.kind if isinstance(outcome, Refused) else outcome
                self.assertEqual(found, result)
                self.assertEqual([type(one) for one in self.writer.events], events)
                self.assertEqual(len(self.dispatcher.sent), sent)
                self.assertEqual(len({task for _, task in self.dispatcher.sent}), sent)

    def test_nothing_is_sent_before_the_claim_is_folded(self) -> None:
        """Guards against a dispatch that no retry elsewhere can see."""
        service = self.service(DONE)
        states = []
        self.dispatcher.before_run = lambda: states.append(self.claim().worker)
        service.serve(REQUEST, "d", 0)
        self.assertEqual(states, ["w0"])
        for name in ("log down", "stale view", "claimed by another", "other body"):
            with self.subTest(name):
                service = self.service(DONE)
                self.writer.down = name == "log down"
                if name == "stale view":
                    self.permit = Permit(False, "stale")
                if name == "claimed by another":
                    self.cluster.fold(ClaimMade(*REQUEST.key, "d", "you", "w0", WALL_MS + 60_000))
                    self.draining = True
                if name == "other body":
                    self.cluster.fold(ClaimMade(*REQUEST.key, "e", "you", "w0", WALL_MS + 60_000))
                self.assertIsInstance(service.serve(REQUEST, "d", 0), Refused)
                self.assertEqual(self.dispatcher.sent, [])

    def test_a_drain_does_not_wait_for_a_silent_worker(self) -> None:
        """Guards against a SIGTERM that waits until a deadline for a worker that is dead."""
        service = self.service(NoReply("lost"), looked_up=NotSent("refused"))
        self.draining = True
        outcome = service.serve(REQUEST, "d", 0)
        self.assertEqual(outcome.effective_ran, ExecutionStatus.UNKNOWN)
        self.assertEqual(self.claim().state, ClaimState.OPEN)


if __name__ == "__main__":
    unittest.main()
