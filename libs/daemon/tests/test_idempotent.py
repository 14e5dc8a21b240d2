"""Tests of idempotent requests on workers that are slow."""

import unittest
from collections.abc import Callable
from types import SimpleNamespace

import eventlet

from hornbeamfold.daemon.idempotent import IdempotentService
from hornbeamfold.membership import Permit
from hornbeamfold.model.errors import Done, ErrorKind, Outcome, Refused
from hornbeamfold.model.work import Request
from hornbeamfold.workers import NoReply, RunDone, RunOutcome

DONE = RunDone("answer", "r", "d")
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


class HedgingTest(unittest.TestCase):
    def serve(self, run: Run, urgent: bool = False) -> Outcome:
        """Serve one request and return its outcome."""
        self.dispatcher = FakeDispatcher(run)
        freshness = SimpleNamespace(may_start=lambda now_ms: Permit(True, "yes"))
        service = IdempotentService("i", freshness, self.dispatcher, lambda: 0, lambda: 0)
        return service.serve(Request("o", "r", "render", "b", True, urgent, 60_000), "d")

    def test_a_slow_run_is_hedged(self) -> None:
        """Guards against an answer under the name of the worker that was too slow."""

        def answer_second(number: int) -> RunOutcome:
            if number == 0:
                eventlet.sleep(20 * HEDGE_MS / 1_000)
                return SLOW
            return DONE

        self.assertEqual(self.serve(answer_second, urgent=True), Done("answer", "w1"))


if __name__ == "__main__":
    unittest.main()
