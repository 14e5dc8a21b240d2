"""Tests of the checks of the fault matrix: each must find the broken promise it is made for."""

import unittest

from hornbeamfold.bench.fault_checks import (
    cell_of,
    duplicates,
    false_refusals,
    late_starts,
    wrong_answers,
)
from hornbeamfold.bench.fault_evidence import Excluded, Sent
from hornbeamfold.model.errors import ErrorKind, ExecutionStatus, Refused
from hornbeamfold.model.status import RequestAnswer
from hornbeamfold.model.work import Request
from hornbeamfold.standins.worker_data import answer_of

NAME = "kill.running.1"


def request(idempotent=False, attempt=1):
    """Return a request of the cell."""
    return Request("a", NAME, "quote", "{}", idempotent, True, 0, attempt)


def start(at_ms, name=NAME):
    """Return a start of a request on worker w of zone z."""
    task = f"request/a/{name}/1"
    return {"request_id": name, "at_ms": at_ms, "zone": "z", "worker": "w", "task": task}


def sent(outcome, ended_ms=100, last=True, **values):
    """Return one attempt."""
    return Sent("running", request(**values), outcome, ended_ms, last)


class ChecksTest(unittest.TestCase):
    def test_duplicates(self) -> None:
        """Guards against a second run that goes unseen."""
        refused = Refused(ErrorKind.OUTCOME_UNKNOWN, "")
        for starts, idempotent, found in ((1, False, 0), (2, False, 1), (2, True, 0)):
            with self.subTest(starts=starts, idempotent=idempotent):
                attempts = [sent(refused, idempotent=idempotent)] * 2
                problems = duplicates(attempts, [start(at) for at in range(starts)])
                self.assertEqual(len(problems), found)

    def test_false_refusals(self) -> None:
        """Guards against a "not run" that is false, and against blaming the next attempt's run."""
        overloaded = Refused(ErrorKind.OVERLOADED, "")
        unknown = Refused(ErrorKind.OVERLOADED, "", ExecutionStatus.UNKNOWN)
        for name, outcome, last, at_ms, found in (
            ("ran before", overloaded, False, 50, 1),
            ("run by the retry", overloaded, False, 150, 0),
            ("ran after the last attempt", overloaded, True, 150, 1),
            ("unknown", unknown, True, 50, 0),
        ):
            with self.subTest(name):
                problems = false_refusals([sent(outcome, last=last)], [start(at_ms)])
                self.assertEqual(len(problems), found)

    def test_wrong_answers(self) -> None:
        """Guards against an answer that is cut short or belongs to another request."""
        right = answer_of("a", NAME, "{}")
        for name, answer, found in ((NAME, right, 0), (NAME, right[:-1], 1), ("other", right, 1)):
            with self.subTest(name=name, answer=answer):
                outcome = RequestAnswer("a", name, answer, "w", "done", "d")
                self.assertEqual(len(wrong_answers([sent(outcome)])), found)

    def test_late_starts(self) -> None:
        """Guards against starts in a zone, or on a worker, that was out by then."""
        for place, at_ms, found in (("z", 15, 1), ("w", 15, 1), ("z", 5, 0), ("z", 25, 0)):
            with self.subTest(place=place, at_ms=at_ms):
                problems = late_starts([Excluded(place, 10, 20)], [start(at_ms)])
                self.assertEqual(len(problems), found)
        self.assertEqual(late_starts([Excluded("y", 10, 20)], [start(15)]), [])

    def test_problems_belong_to_cells(self) -> None:
        """Guards against a violation that is reported for another step."""
        for task, cell in (
            ("request/a/kill.running.1/1", "running"),
            ("job/a/kill.reclaiming.12/1/w0", "reclaiming"),
            ("job/borrowers/fill-3/1/w0", "whole row"),
        ):
            with self.subTest(task):
                self.assertEqual(cell_of(task), cell)


if __name__ == "__main__":
    unittest.main()
