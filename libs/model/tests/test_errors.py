"""Tests of the table that maps error kinds to how they are reported."""

import unittest

from hornbeamfold.model.errors import ERROR_RESPONSES, ErrorKind, ExecutionStatus, Refused


class ErrorTableTest(unittest.TestCase):
    def test_every_kind_has_a_response(self) -> None:
        """Guards against a new error kind that has no status and no advice for callers."""
        self.assertEqual(set(ERROR_RESPONSES), set(ErrorKind))

    def test_unknown_outcome_never_says_not_run(self) -> None:
        """Guards against advising a caller to retry work that may have run."""
        self.assertEqual(ERROR_RESPONSES[ErrorKind.OUTCOME_UNKNOWN].ran, ExecutionStatus.UNKNOWN)
        self.assertFalse(ERROR_RESPONSES[ErrorKind.OUTCOME_UNKNOWN].retry)

    def test_an_override_takes_precedence_over_the_table(self) -> None:
        """Guards against reporting "not run" for a retried request of which a try may have run."""
        refused = Refused(ErrorKind.OVERLOADED, "queue full", ExecutionStatus.UNKNOWN)
        self.assertEqual(refused.effective_ran, ExecutionStatus.UNKNOWN)
