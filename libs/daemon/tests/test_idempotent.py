"""Tests of idempotent requests on workers whose connections break, or that are slow."""

import unittest
from collections.abc import Callable
from types import SimpleNamespace

import eventlet

from hornbeamfold.daemon.idempotent import IdempotentService
from hornbeamfold.membership import Permit
from hornbeamfold.model.errors import Done, ErrorKind, ExecutionStatus, Outcome, Refused
from hornbeamfold.model.work import Request
from hornbeamfold.workers import NoReply, NotSent, RunBusy, RunDone, RunFailed, RunOutcome

DONE = RunDone("answer", "r", "d")
BROKEN = NoReply("connection reset", True)
SLOW = NoReply("timed out")
WORKERS = 20
HEDGE_MS = 5

Run = Callable[[int], RunOutcome]


class FakeDispatcher:
    """Grants a slot on the next worker that is not excluded; `run` decides each outcome."""

    def __init__(self, run: Run) -> None:
        self._run = run
        self.used: list[str] = []

    def acquire(self, request: Request, exclude: frozenset[str]) -> SimpleNamespace | Refused:
        """Return a slot on the first worker that was not excluded."""
        for number in range(WORKERS):
            name = f"w{number}"
            if name not in exclude:
                return SimpleNamespace(worker=SimpleNamespace(name=name), release=lambda: None)
        return Refused(ErrorKind.NO_TARGET, "no worker is left")

    def hedge(self, request: Request, exclude: frozenset[str]) -> SimpleNamespace | None:
        """Return a slot on a second worker."""
        slot = self.acquire(request, exclude)
        return None if isinstance(slot, Refused) else slot

    def may_retry(self, request: Request) -> bool:
        """Return True: the budget is not exhausted."""
        return True

    def hedge_delay(self, request: Request) -> float:
        """Return the delay before a hedged request."""
        return HEDGE_MS

    def run(self, request: Request, digest: str, task: str, slot: SimpleNamespace) -> RunOutcome:
        """Return the outcome for the number of this run, from 0."""
        self.used.append(slot.worker.name)
        return self._run(len(self.used) - 1)


class BrokenConnectionsTest(unittest.TestCase):
    def serve(self, run: Run, urgent: bool = False) -> Outcome:
        """Serve one request and return its outcome."""
        self.dispatcher = FakeDispatcher(run)
        freshness = SimpleNamespace(may_start=lambda now_ms: Permit(True, "yes"))
        service = IdempotentService("i", freshness, self.dispatcher, lambda: 0, lambda: 0)
        return service.serve(Request("o", "r", "render", "b", True, urgent, 60_000), "d")

    def assert_given_up(self, outcome: Outcome) -> None:
        assert isinstance(outcome, Refused), outcome
        self.assertEqual(
            (outcome.kind, outcome.effective_ran, outcome.response.retry),
            (ErrorKind.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN, False),
        )
        for name in ("w0", "w1", "w2"):
            self.assertIn(name, outcome.detail)
        self.assertEqual(set(self.dispatcher.used), {"w0", "w1", "w2"})

    def test_a_request_that_crashes_its_workers_is_given_up(self) -> None:
        """Guards against a request that takes down one worker after the other."""
        for urgent in (False, True):
            with self.subTest(urgent=urgent):
                self.assert_given_up(self.serve(lambda number: BROKEN, urgent))

    def test_hedged_runs_count(self) -> None:
        """Guards against a fourth worker that crashes because two runs were under way at once."""

        def crash_late(number: int) -> RunOutcome:
            eventlet.sleep(4 * HEDGE_MS / 1_000)
            return BROKEN

        self.assert_given_up(self.serve(crash_late, urgent=True))

    def test_other_ends_are_tried_again(self) -> None:
        """Guards against giving up on slow, busy or unreachable workers, or after two crashes."""
        for name, before in (
            ("two crashes", [BROKEN, BROKEN]),
            ("slow", [SLOW] * 5),
            ("refused connections", [NotSent("refused")] * 5),
            ("busy", [RunBusy()] * 5),
            ("all", [BROKEN, SLOW, NotSent(""), RunBusy(), BROKEN, SLOW, RunFailed("x")]),
        ):
            with self.subTest(name):
                outcome = self.serve(lambda at, ends=(*before, DONE): ends[at])
                self.assertIsInstance(outcome, Done, outcome)
                self.assertEqual(len(set(self.dispatcher.used)), len(before) + 1)

    def test_a_slow_run_is_hedged(self) -> None:
        """Guards against an answer under the name of the worker that was too slow."""

        def answer_second(number: int) -> RunOutcome:
            if number == 0:
                eventlet.sleep(20 * HEDGE_MS / 1_000)
                return SLOW
            return DONE

        self.assertEqual(self.serve(answer_second, urgent=True), Done("answer", "w1"))

    def test_a_request_that_ran_and_crashed_is_reported_as_run(self) -> None:
        """Guards against an unknown outcome although a worker reported that it ran."""
        ends = (RunFailed("x"), BROKEN, BROKEN, BROKEN)
        outcome = self.serve(lambda number: ends[number])
        assert isinstance(outcome, Refused), outcome
        self.assertEqual(
            (outcome.kind, outcome.effective_ran), (ErrorKind.FAILED, ExecutionStatus.RAN)
        )


if __name__ == "__main__":
    unittest.main()
