"""Tests of refusals on the wire."""

import unittest

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from hornbeamfold.model.errors import ErrorKind, ExecutionStatus, Refused
from hornbeamfold.rpc.errors import grpc_error, refused_from, trailers


class ErrorsTest(unittest.TestCase):
    def test_every_kind_comes_back(self) -> None:
        """Guards against a kind whose status gRPC does not know, or that reads as another one."""
        for kind in ErrorKind:
            for ran in ExecutionStatus:
                refused = Refused(kind, "detail: more", ran)
                error = grpc_error(refused)
                self.assertIsNot(error.status, Status.OK)
                self.assertEqual(refused_from(error, trailers(refused), False), refused)

    def test_errors_without_trailers(self) -> None:
        """Guards against "not run" for a change that a proxy or a library broke off."""
        for status in Status:
            if status in (Status.OK, Status.UNIMPLEMENTED):
                continue
            refused = refused_from(GRPCError(status, "x"), None, False)
            self.assertIs(refused.kind, ErrorKind.OUTCOME_UNKNOWN)
        late = refused_from(GRPCError(Status.DEADLINE_EXCEEDED), {}, True)
        self.assertIs(late.kind, ErrorKind.DEADLINE_PASSED)
        lost = refused_from(GRPCError(Status.UNAVAILABLE), {}, True)
        self.assertIs(lost.kind, ErrorKind.UNREACHABLE)
        lacking = refused_from(GRPCError(Status.UNIMPLEMENTED), None, False)
        self.assertIs(lacking.effective_ran, ExecutionStatus.NOT_RUN)

    def test_trailers_of_a_newer_version(self) -> None:
        """Guards against "not run" read from trailers that this version does not know."""
        error = GRPCError(Status.ABORTED, "melted: x")
        unknown = refused_from(error, {"hornbeamfold-kind": "melted"}, False)
        self.assertIs(unknown.kind, ErrorKind.OUTCOME_UNKNOWN)
        refused = refused_from(error, {"hornbeamfold-kind": "overloaded"}, False)
        self.assertIs(refused.effective_ran, ExecutionStatus.UNKNOWN)
