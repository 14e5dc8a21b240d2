"""Tests of the table from error kind to answer."""

import unittest

from hornbeamfold.model.errors import ANSWERS, ErrorKind, Ran, Refused


class ErrorTableTest(unittest.TestCase):
    def test_every_kind_has_an_answer(self) -> None:
        """Guards against a new kind that reaches a caller without status and advice."""
        self.assertEqual(set(ANSWERS), set(ErrorKind))

    def test_unknown_outcome_never_says_not_run(self) -> None:
        """Guards against telling a caller to repeat work that may have run."""
        self.assertEqual(ANSWERS[ErrorKind.OUTCOME_UNKNOWN].ran, Ran.UNKNOWN)
        self.assertFalse(ANSWERS[ErrorKind.OUTCOME_UNKNOWN].retry)

    def test_an_override_goes_before_the_table(self) -> None:
        """Guards against a retried request being told "not run" by the table alone."""
        refused = Refused(ErrorKind.OVERLOADED, "queue full", Ran.UNKNOWN)
        self.assertEqual(refused.effective_ran, Ran.UNKNOWN)
