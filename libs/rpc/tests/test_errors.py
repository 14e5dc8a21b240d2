"""Tests of the conversion between refusals and gRPC errors."""

import unittest

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from hornbeamfold.model.errors import ErrorKind, ExecutionStatus, Refused
from hornbeamfold.rpc.errors import grpc_error, refusal_from_error, refusal_trailers


class ErrorsTest(unittest.TestCase):
    def test_every_kind_survives_a_round_trip(self) -> None:
        """Guards against a kind with an unknown gRPC status, or one that is read as another."""
        for kind in ErrorKind:
            for ran in ExecutionStatus:
                refused = Refused(kind, "detail: more", ran)
                error = grpc_error(refused)
                self.assertIsNot(error.status, Status.OK)
                self.assertEqual(
                    refusal_from_error(error, refusal_trailers(refused), False), refused
                )

    def test_errors_without_trailers(self) -> None:
        """Guards against "not run" for a change that a proxy or a library aborted."""
        for status in Status:
            if status in (Status.OK, Status.UNIMPLEMENTED):
                continue
            refused = refusal_from_error(GRPCError(status, "x"), None, False)
            self.assertIs(refused.kind, ErrorKind.OUTCOME_UNKNOWN)
        late = refusal_from_error(GRPCError(Status.DEADLINE_EXCEEDED), {}, True)
        self.assertIs(late.kind, ErrorKind.DEADLINE_PASSED)
        lost = refusal_from_error(GRPCError(Status.UNAVAILABLE), {}, True)
        self.assertIs(lost.kind, ErrorKind.UNREACHABLE)
        unimplemented = refusal_from_error(GRPCError(Status.UNIMPLEMENTED), None, False)
        self.assertIs(unimplemented.effective_ran, ExecutionStatus.NOT_RUN)

    def test_trailers_of_a_newer_version(self) -> None:
        """Guards against reading trailers that this version does not know as "not run"."""
        error = GRPCError(Status.ABORTED, "melted: x")
        unknown = refusal_from_error(error, {"hornbeamfold-kind": "melted"}, False)
        self.assertIs(unknown.kind, ErrorKind.OUTCOME_UNKNOWN)
        refused = refusal_from_error(error, {"hornbeamfold-kind": "overloaded"}, False)
        self.assertIs(refused.effective_ran, ExecutionStatus.UNKNOWN)
