"""Tests of the fault matrix checks: each must find the kind of broken promise it looks for."""

import unittest

from hornbeamfold.bench.fault_checks import (
    cell_of_task,
    find_duplicate_runs,
    find_false_refusals,
    find_late_starts,
    find_wrong_answers,
)
from hornbeamfold.bench.fault_evidence import Attempt, ExclusionWindow
from hornbeamfold.model.errors import ErrorKind, ExecutionStatus, Refused
from hornbeamfold.model.status import RequestAnswer
from hornbeamfold.model.work import Request
from hornbeamfold.standins.worker_data import answer_of

REQUEST_ID = "kill.running.1"


def new_request(idempotent=False, attempt=1):
    """Return a request with the id of a cell."""
    return Request("a", REQUEST_ID, "quote", "{}", idempotent, True, 0, attempt)


def new_start(at_ms, name=REQUEST_ID):
    """Return the start of a request on worker w in zone z."""
    task = f"request/a/{name}/1"
    return {"request_id": name, "at_ms": at_ms, "zone": "z", "worker": "w", "task": task}


def new_attempt(outcome, ended_ms=100, last=True, **values):
    """Return an attempt to send a request, with its outcome."""
    return Attempt("running", new_request(**values), outcome, ended_ms, last)


class ChecksTest(unittest.TestCase):
    def test_duplicates(self) -> None:
        """Guards against missing that a non-idempotent request ran twice."""
        refused = Refused(ErrorKind.OUTCOME_UNKNOWN, "")
        for starts, idempotent, found in ((1, False, 0), (2, False, 1), (2, True, 0)):
            with self.subTest(starts=starts, idempotent=idempotent):
                attempts = [new_attempt(refused, idempotent=idempotent)] * 2
                problems = find_duplicate_runs(attempts, [new_start(at) for at in range(starts)])
                self.assertEqual(len(problems), found)

    def test_false_refusals(self) -> None:
        """Guards against missing a false "not run", and against counting the start of a retry."""
        overloaded = Refused(ErrorKind.OVERLOADED, "")
        unknown = Refused(ErrorKind.OVERLOADED, "", ExecutionStatus.UNKNOWN)
        for name, outcome, last, at_ms, found in (
            ("ran before", overloaded, False, 50, 1),
            ("run by the retry", overloaded, False, 150, 0),
            ("ran after the last attempt", overloaded, True, 150, 1),
            ("unknown", unknown, True, 50, 0),
        ):
            with self.subTest(name):
                problems = find_false_refusals(
                    [new_attempt(outcome, last=last)], [new_start(at_ms)]
                )
                self.assertEqual(len(problems), found)

    def test_wrong_answers(self) -> None:
        """Guards against missing an answer that is truncated or belongs to another request."""
        right = answer_of("a", REQUEST_ID, "{}")
        for name, answer, found in (
            (REQUEST_ID, right, 0),
            (REQUEST_ID, right[:-1], 1),
            ("other", right, 1),
        ):
            with self.subTest(name=name, answer=answer):
                outcome = RequestAnswer("a", name, answer, "w", "done", "d")
                self.assertEqual(len(find_wrong_answers([new_attempt(outcome)])), found)

    def test_late_starts(self) -> None:
        """Guards against missing a start in a zone, or on a worker, within its exclusion window."""
        for place, at_ms, found in (("z", 15, 1), ("w", 15, 1), ("z", 5, 0), ("z", 25, 0)):
            with self.subTest(place=place, at_ms=at_ms):
                problems = find_late_starts([ExclusionWindow(place, 10, 20)], [new_start(at_ms)])
                self.assertEqual(len(problems), found)
        self.assertEqual(find_late_starts([ExclusionWindow("y", 10, 20)], [new_start(15)]), [])

    def test_problems_belong_to_cells(self) -> None:
        """Guards against reporting a violation for the wrong step."""
        for task, cell in (
            ("request/a/kill.running.1/1", "running"),
            ("job/a/kill.reclaiming.12/1/w0", "reclaiming"),
            ("job/borrowers/fill-3/1/w0", "whole row"),
        ):
            with self.subTest(task):
                self.assertEqual(cell_of_task(task), cell)


if __name__ == "__main__":
    unittest.main()
