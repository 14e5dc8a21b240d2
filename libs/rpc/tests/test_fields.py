"""Tests of the field validation: every invalid field of the input of a call is named."""

import unittest
from collections.abc import Callable
from typing import Any

from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.work import Request
from hornbeamfold.rpc import adapters, operator_adapters, peer_adapters, v1_pb2

NOW_MS = 1_800_000_000_000
HOUR_MS = 3_600_000


def read_request(message: v1_pb2.SubmitRequest) -> Request | Refused:
    """Read a request at a fixed time."""
    return adapters.read_request(message, NOW_MS)


VALID_REQUEST = {
    "organisation": "rampes",
    "request_id": "r1",
    "kind": "quote",
    "body": "b",
    "deadline_ms": NOW_MS,
    "attempt": 1,
}
VALID_WORKER = {
    "name": "w",
    "address": "127.0.0.1:1",
    "availability_zone": "z",
    "rack": "r",
    "slots": 1,
    "connections": 1,
}
VALID_HEARTBEAT = {
    "seq": 1,
    "name": "e",
    "incarnation": "i",
    "address": "127.0.0.1:1",
    "availability_zone": "z",
    "region": "r",
}
VALID_JOB = {
    "organisation": "rampes",
    "job_id": "j1",
    "kind": "proof",
    "shape": v1_pb2.Shape(accelerators=1),
    "declared_ms": 1,
}
INVALID_NAMES = ("", "x" * 129, "a/b", " a", "a\n")
INVALID_SHAPES = (
    {"accelerators": -1},
    {"accelerators": 1_025},
    {"processors": -1},
    {"memory_gb": -1},
)
NAME_FIELDS: tuple[tuple[Any, dict[str, Any], Callable[..., Any], str], ...] = (
    (v1_pb2.SubmitRequest, VALID_REQUEST, read_request, "organisation request_id kind"),
    (v1_pb2.JobSpec, VALID_JOB, adapters.read_job_spec, "organisation job_id kind"),
    (
        v1_pb2.CancelRequest,
        {"organisation": "o", "request_id": "r"},
        adapters.read_request_key,
        "organisation request_id",
    ),
    (
        v1_pb2.GetAnswerRequest,
        {"organisation": "o", "request_id": "r"},
        adapters.read_answer_query,
        "organisation request_id",
    ),
    (
        v1_pb2.JobRef,
        {"organisation": "o", "job_id": "j"},
        adapters.read_job_key,
        "organisation job_id",
    ),
    (v1_pb2.Organisation, {"name": "o"}, operator_adapters.read_organisation, "name"),
    (v1_pb2.OrganisationRef, {"name": "o"}, operator_adapters.read_organisation_ref, "name"),
    (
        v1_pb2.AvailabilityZone,
        {"name": "z", "region": "r"},
        operator_adapters.read_zone,
        "name region",
    ),
    (v1_pb2.DrainTargetRequest, {"worker": "w"}, operator_adapters.read_drain, "worker"),
    (
        v1_pb2.Heartbeat,
        VALID_HEARTBEAT,
        peer_adapters.read_heartbeat,
        "name incarnation availability_zone region",
    ),
)
OTHER_FIELDS: tuple[tuple[Any, dict[str, Any], Callable[..., Any], str, tuple[Any, ...]], ...] = (
    (
        v1_pb2.SubmitRequest,
        VALID_REQUEST,
        read_request,
        "deadline_ms",
        (0, NOW_MS + HOUR_MS + 1),
    ),
    (v1_pb2.SubmitRequest, VALID_REQUEST, read_request, "attempt", (0, -1)),
    (v1_pb2.SubmitRequest, VALID_REQUEST, read_request, "body", ("é" * 32_769,)),
    (v1_pb2.JobSpec, VALID_JOB, adapters.read_job_spec, "declared_ms", (0, -1, 2**62)),
    (v1_pb2.JobSpec, VALID_JOB, adapters.read_job_spec, "body", ("x" * 65_537,)),
    (
        v1_pb2.GetAnswerRequest,
        {"organisation": "o", "request_id": "r"},
        adapters.read_answer_query,
        "wait_ms",
        (-1, 60_001),
    ),
    (v1_pb2.ListJobsRequest, {}, adapters.read_job_filter, "state", ("sleeping",)),
    (
        v1_pb2.Organisation,
        {"name": "o"},
        operator_adapters.read_organisation,
        "weight",
        (-1.0, float("nan"), float("inf")),
    ),
    (
        v1_pb2.Organisation,
        {"name": "o"},
        operator_adapters.read_organisation,
        "version",
        (-1,),
    ),
    (v1_pb2.Heartbeat, VALID_HEARTBEAT, peer_adapters.read_heartbeat, "address", ("", "x:1")),
    (
        v1_pb2.ReadRecordsRequest,
        {"from": 0, "limit": 1},
        peer_adapters.read_records_query,
        "limit",
        (0, 10_001),
    ),
)


class InvalidFieldTest(unittest.TestCase):
    def assert_invalid(self, outcome: object, path: str) -> None:
        assert isinstance(outcome, Refused), outcome
        self.assertIs(outcome.kind, ErrorKind.INVALID)
        self.assertEqual([part.partition(": ")[0] for part in outcome.detail.split("; ")], [path])

    def test_the_valid_messages_are_accepted(self) -> None:
        """Guards against a test case that fails for another reason than its invalid field."""
        for message_type, valid_fields, read, _ in NAME_FIELDS:
            self.assertNotIsInstance(read(message_type(**valid_fields)), Refused)

    def test_invalid_names(self) -> None:
        """Guards against names that are empty, too long or ambiguous in task ids."""
        for message_type, valid_fields, read, fields in NAME_FIELDS:
            for field in fields.split():
                for invalid in INVALID_NAMES:
                    with self.subTest(
                        f"{message_type.DESCRIPTOR.name}.{field}", invalid=invalid[:5]
                    ):
                        self.assert_invalid(
                            read(message_type(**{**valid_fields, field: invalid})), field
                        )

    def test_invalid_values(self) -> None:
        """Guards against values out of range in any other field."""
        for message_type, valid_fields, read, field, values in OTHER_FIELDS:
            for invalid in values:
                with self.subTest(f"{message_type.DESCRIPTOR.name}.{field}"):
                    self.assert_invalid(
                        read(message_type(**{**valid_fields, field: invalid})), field
                    )

    def test_invalid_shapes(self) -> None:
        """Guards against quantities out of range and unknown spans, wherever a shape occurs."""
        for invalid in (*INVALID_SHAPES, {"span": 9}):
            shape = v1_pb2.Shape()
            for field, value in invalid.items():
                setattr(shape, field, value)
            (field,) = invalid
            job = v1_pb2.JobSpec(**{**VALID_JOB, "shape": shape})
            self.assert_invalid(adapters.read_job_spec(job), f"shape.{field}")
            organisation = v1_pb2.Organisation(name="o", guarantee=[v1_pb2.Shape(), shape])
            outcome = operator_adapters.read_organisation(organisation)
            self.assert_invalid(outcome, f"guarantee[1].{field}")
        job = v1_pb2.JobSpec(**{**VALID_JOB, "shape": None})
        self.assert_invalid(adapters.read_job_spec(job), "shape")

    def test_invalid_workers(self) -> None:
        """Guards against a worker set with invalid or contradictory entries."""
        cases: dict[str, tuple[Any, ...]] = {
            "name": INVALID_NAMES,
            "address": ("", "host:1", "127.0.0.1", "127.0.0.1:0"),
            "availability_zone": INVALID_NAMES,
            "rack": INVALID_NAMES,
            "position": (-1,),
            "processors": (-1,),
            "memory_gb": (-1,),
            "accelerators": (-1, 1_025),
            "slots": (0,),
            "connections": (0,),
        }
        for field, values in cases.items():
            for invalid in values:
                worker = v1_pb2.Worker(**{**VALID_WORKER, field: invalid})
                outcome = operator_adapters.read_workers(v1_pb2.PutWorkersRequest(workers=[worker]))
                with self.subTest(field, invalid=invalid):
                    self.assert_invalid(outcome, f"workers[0].{field}")
        worker = v1_pb2.Worker(**VALID_WORKER)
        twice = v1_pb2.PutWorkersRequest(workers=[worker], removed=["w"])
        self.assert_invalid(operator_adapters.read_workers(twice), "workers and removed")
        empty = v1_pb2.PutWorkersRequest()
        self.assert_invalid(operator_adapters.read_workers(empty), "workers")

    def test_all_errors_are_reported_at_once(self) -> None:
        """Guards against reporting only the first error, so that each fix reveals the next one."""
        outcome = read_request(v1_pb2.SubmitRequest())
        assert isinstance(outcome, Refused)
        for field in ("organisation", "request_id", "kind", "deadline_ms", "attempt"):
            self.assertIn(f"{field}: must", outcome.detail)
