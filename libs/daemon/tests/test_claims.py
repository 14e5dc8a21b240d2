"""Tests of claims: at most one dispatch, moves, releases and the end of dead holders' claims."""

import unittest
from types import SimpleNamespace

from daemon_cases import WALL_MS, Clock, Cluster, Writer, follower_of, worker

from hornbeamfold.daemon.claims import CLOCK_SKEW_MS, ClaimService
from hornbeamfold.daemon.requests import checked_answer
from hornbeamfold.membership import Permit
from hornbeamfold.model.errors import Done, ErrorKind, Ran, Refused
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
FINISHED = LookedUp(RunState.FINISHED, "answer", request_id="r", digest="d")


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
    def service(self, *outcomes, looked_up=UNKNOWN, voided=None, holder="me"):
        self.cluster = Cluster()
        self.writer = Writer(self.cluster)
        self.dispatcher = Dispatcher(*outcomes)
        self.draining = False
        self.permit = Permit(True, "fresh")
        self.voids = 0

        def void(*arguments):
            self.voids += 1
            return voided or Voided(VoidState.VOIDED, 0)

        client = SimpleNamespace(look_up=lambda *arguments: looked_up, void=void)
        peers = SimpleNamespace(rank=lambda *arguments: 0, incarnation_live=lambda *a: False)
        freshness = SimpleNamespace(may_start=lambda now_ms: self.permit)
        return ClaimService(
            holder,
            follower_of(self.cluster),
            self.writer,
            lambda since_ms, timeout_ms: True,
            freshness,
            peers,
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
        self.assertEqual(outcome.effective_ran, Ran.UNKNOWN)
        self.assertEqual(self.claim().state, ClaimState.OPEN)

    def test_resolving_a_dead_holder(self) -> None:
        """Guards against a release without a void, and against "not run" of a forgotten run."""
        forgot = Voided(VoidState.VOIDED, WALL_MS + CLOCK_SKEW_MS)
        for name, looked_up, voided, event, voids in (
            ("finished", FINISHED, None, ClaimDone, 0),
            ("failed", LookedUp(RunState.FAILED), None, ClaimDone, 0),
            ("running", LookedUp(RunState.RUNNING), None, None, 0),
            ("never seen", UNKNOWN, Voided(VoidState.VOIDED, 0), ClaimReleased, 1),
            ("arrived meanwhile", UNKNOWN, Voided(VoidState.RUNNING, 0), None, 1),
            ("worker restarted", UNKNOWN, forgot, None, 1),
            ("no void", UNKNOWN, NoReply("404"), None, 1),
            ("worker dead", NotSent("refused"), None, None, 0),
        ):
            with self.subTest(name):
                service = self.service(looked_up=looked_up, voided=voided)
                self.cluster.fold(ClaimMade(*REQUEST.key, "d", "you", "w0", WALL_MS + 60_000))
                found = service._resolution(self.claim())
                self.assertEqual(type(found) if found else None, event)
                self.assertEqual(self.voids, voids)

    def test_an_own_claim_that_was_never_sent_is_released(self) -> None:
        """Guards against a claim that stays open after its call was refused."""
        service = self.service()
        self.cluster.fold(ClaimMade(*REQUEST.key, "d", "me", "w0", WALL_MS + 60_000))
        self.assertIsInstance(service._resolution(self.claim()), ClaimReleased)
        self.assertEqual(self.voids, 0)


if __name__ == "__main__":
    unittest.main()
