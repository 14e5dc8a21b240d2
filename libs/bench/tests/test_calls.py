"""Tests of every caller and operator call on real instances, with grpcio, not with grpclib."""

import time
import unittest
from json import dumps
from typing import Any, ClassVar

import grpc

from hornbeamfold.bench.fleet import Fleet, FleetOptions, running_fleet, wait_until
from hornbeamfold.bench.topologies import rampes
from hornbeamfold.rpc import v1_pb2 as pb

CALL_TIMEOUT_S = 10.0
SERVICES = pb.DESCRIPTOR.services_by_name


def call(address: str, path: str, **fields: Any) -> Any:
    """Make one call; return its reply, or a list of replies if the call streams them."""
    service, method = path.split("/")
    descriptor = SERVICES[service].methods_by_name[method]
    request = getattr(pb, descriptor.input_type.name)(**fields)
    reply = getattr(pb, descriptor.output_type.name)
    with grpc.insecure_channel(address) as channel:
        kind = channel.unary_stream if descriptor.server_streaming else channel.unary_unary
        function = kind(
            f"/hornbeamfold.v1.{path}",
            request_serializer=type(request).SerializeToString,
            response_deserializer=reply.FromString,
        )
        answer = function(request, timeout=CALL_TIMEOUT_S)
        return list(answer) if descriptor.server_streaming else answer


def request_fields(request_id: str, **changes: Any) -> dict[str, Any]:
    """Return the fields of a valid request."""
    fields: dict[str, Any] = {
        "organisation": "accounts",
        "request_id": request_id,
        "kind": "quote",
        "body": dumps({"run_ms": 30}),
        "idempotent": False,
        "urgent": True,
        "deadline_ms": int(time.time() * 1000) + 8_000,
        "attempt": 1,
    }
    return {**fields, **changes}


def job_fields(job_id: str, **changes: Any) -> dict[str, Any]:
    """Return the fields of a valid gang job."""
    fields: dict[str, Any] = {
        "organisation": "sousse-crew",
        "job_id": job_id,
        "kind": "train",
        "body": dumps({"run_ms": 500}),
        "shape": pb.Shape(accelerators=16, processors=32, memory_gb=64, span=pb.SPAN_RACK),
        "declared_ms": 500,
        "checkpointable": True,
    }
    return {**fields, **changes}


class CallsTest(unittest.TestCase):
    """Runs all tests on one fleet of two instances."""

    fleet: ClassVar[Fleet]
    first: ClassVar[str]
    second: ClassVar[str]

    @classmethod
    def setUpClass(cls) -> None:
        running = running_fleet(rampes(), FleetOptions(instances=2))
        cls.fleet = cls.enterClassContext(running)
        cls.first, cls.second = cls.fleet.addresses()
        topology = cls.fleet.topology
        for zone in topology.zones:
            fields: dict[str, Any] = {"name": zone.name, "region": zone.region, "in_service": True}
            cls.change(cls.first, "Operators/SetZone", **fields)
        workers = [pb.Worker(**vars(worker)) for worker in topology.workers]
        cls.change(cls.second, "Operators/PutWorkers", workers=workers, version=0)
        for one in topology.organisations:
            shapes = [
                pb.Shape(
                    accelerators=shape.accelerators,
                    processors=shape.processors,
                    memory_gb=shape.memory_gb,
                    span=shape.span + 1,
                )
                for shape in one.guarantee
            ]
            fields = {"name": one.name, "guarantee": shapes, "weight": one.weight}
            cls.change(cls.first, "Operators/PutOrganisation", **fields)

    @classmethod
    def change(cls, address: str, path: str, **fields: Any) -> None:
        """Publish a change; retry while the instance is joining and does not accept changes yet."""

        def accepted() -> bool:
            try:
                call(address, path, **fields)
            except grpc.RpcError as error:
                if error.code() is grpc.StatusCode.UNAVAILABLE:
                    return False
                raise
            return True

        wait_until(accepted, 20, f"{path} is accepted")

    def refused(self, address: str, path: str, **fields: Any) -> tuple[str, str]:
        """Make a call that must be refused; return its error kind and its execution status."""
        with self.assertRaises(grpc.RpcError) as caught:
            call(address, path, **fields)
        trailers = dict(caught.exception.trailing_metadata())
        return trailers["hornbeamfold-kind"], trailers["hornbeamfold-ran"]

    def test_requests(self) -> None:
        """Guards against answers that are lost or differ by instance, and against second runs."""
        for idempotent in (False, True):
            request_id = f"r-{idempotent}"
            fields = request_fields(request_id, idempotent=idempotent)
            answer = call(self.first, "Requests/Submit", **fields)
            again = call(self.second, "Requests/Submit", **{**fields, "attempt": 2})
            found = call(
                self.second,
                "Requests/GetAnswer",
                organisation="accounts",
                request_id=request_id,
                wait_ms=1_000,
            )
            self.assertEqual({answer.answer}, {again.answer, found.answer})
            starts = [one for one in self.fleet.starts() if one["request_id"] == request_id]
            self.assertEqual(len(starts), 1)

    def test_cancel_through_another_instance(self) -> None:
        """Guards against a cancellation that works only on the instance that holds the request."""
        key = {"organisation": "accounts", "request_id": "nobody"}
        self.assertEqual(
            self.refused(self.second, "Requests/Cancel", **key), ("not_found", "unknown")
        )
        slow = request_fields("slow", body=dumps({"run_ms": 1_500}), idempotent=True)
        with grpc.insecure_channel(self.first) as channel:
            submit = channel.unary_unary(
                "/hornbeamfold.v1.Requests/Submit",
                request_serializer=pb.SubmitRequest.SerializeToString,
                response_deserializer=pb.RequestAnswer.FromString,
            )
            pending = submit.future(pb.SubmitRequest(**slow), timeout=CALL_TIMEOUT_S)
            started = lambda: any(one["request_id"] == "slow" for one in self.fleet.starts())  # noqa: E731
            wait_until(started, 5, "the request was dispatched")
            key["request_id"] = "slow"
            self.assertEqual(
                self.refused(self.second, "Requests/Cancel", **key), ("conflict", "unknown")
            )
            self.assertEqual(pending.result().request_id, "slow")

    def test_jobs(self) -> None:
        """Guards against jobs that only one instance can follow or cancel."""
        status = call(self.first, "Jobs/SubmitJob", **job_fields("j1"))
        self.assertEqual(status.spec.job_id, "j1")
        same = call(self.second, "Jobs/SubmitJob", **job_fields("j1"))
        self.assertEqual(same.spec, status.spec)
        followed = call(self.second, "Jobs/FollowJob", organisation="sousse-crew", job_id="j1")
        self.assertEqual(followed[-1].state, "finished")
        self.assertTrue(any(one.state == "running" for one in followed))
        call(self.first, "Jobs/SubmitJob", **job_fields("j2", body=dumps({"run_ms": 60_000})))
        key = {"organisation": "sousse-crew", "job_id": "j2"}
        placed = lambda: call(self.second, "Jobs/GetJob", **key).state == "running"  # noqa: E731
        wait_until(placed, 5, "the job runs")
        placements = call(self.second, "Operators/ListPlacements")
        self.assertIn("j2", [one.job_id for one in placements.placements])
        call(self.second, "Jobs/CancelJob", **key)
        gone = lambda: call(self.first, "Jobs/GetJob", **key).state == "cancelled"  # noqa: E731
        wait_until(gone, 15, "the job is cancelled")
        listed = call(self.first, "Jobs/ListJobs", organisation="sousse-crew", state="cancelled")
        self.assertEqual([one.spec.job_id for one in listed.jobs], ["j2"])

    def test_operators(self) -> None:
        """Guards against changes that are not visible or overwrite another operator's change."""
        configuration = call(self.first, "Operators/GetConfiguration")
        self.assertEqual(len(configuration.workers), 24)
        fields = {"name": "visitors", "weight": 1.0}
        self.assertEqual(call(self.first, "Operators/PutOrganisation", **fields).version, 1)
        self.assertEqual(
            self.refused(self.second, "Operators/PutOrganisation", **fields),
            ("conflict", "not_run"),
        )
        call(self.second, "Operators/RemoveOrganisation", name="visitors", version=1)
        drain = {"worker": "sfax-7", "draining": True, "version": configuration.workers_version}
        drained = call(self.first, "Operators/DrainTarget", **drain)
        self.assertEqual(
            self.refused(self.second, "Operators/DrainTarget", **drain), ("conflict", "not_run")
        )
        undrain = {"worker": "sfax-7", "draining": False, "version": drained.version}
        call(self.second, "Operators/DrainTarget", **undrain)
        instances = call(self.first, "Operators/ListInstances").instances
        self.assertEqual({one.state for one in instances}, {"self", "live"})

    def test_bad_input(self) -> None:
        """Guards against invalid input that is accepted or refused with the wrong error kind."""
        call(self.first, "Requests/Submit", **request_fields("taken"))
        call(self.first, "Jobs/SubmitJob", **job_fields("taken"))
        offset = call(self.first, "Operators/GetConfiguration").offset
        past = int(time.time() * 1000) - 1_000
        far = int(time.time() * 1000) + 10**8
        wide = pb.Shape(accelerators=128, processors=1, memory_gb=1, span=pb.SPAN_RACK)
        huge = pb.Shape(accelerators=10**6, processors=1, memory_gb=1)
        negative = pb.Shape(accelerators=-1, processors=1, memory_gb=1)
        greedy = pb.Shape(accelerators=192, processors=1, memory_gb=1, span=pb.SPAN_REGION)
        bad_worker = pb.Worker(name="w", address="nowhere", availability_zone="sfax", slots=-1)
        cases: list[tuple[str, dict[str, Any], str]] = [
            ("Requests/Submit", request_fields(""), "invalid"),
            ("Requests/Submit", request_fields("a", body="x" * 70_000), "invalid"),
            ("Requests/Submit", request_fields("a", organisation="none"), "unknown_organisation"),
            ("Requests/Submit", request_fields("a", deadline_ms=past), "deadline_passed"),
            ("Requests/Submit", request_fields("a", deadline_ms=far), "invalid"),
            ("Requests/Submit", request_fields("taken", body="other"), "duplicate_request"),
            ("Jobs/SubmitJob", job_fields("b", shape=negative), "invalid"),
            ("Jobs/SubmitJob", job_fields("b", shape=huge), "invalid"),
            ("Jobs/SubmitJob", job_fields("b", declared_ms=0), "invalid"),
            ("Jobs/SubmitJob", job_fields("b", shape=wide), "infeasible"),
            ("Jobs/SubmitJob", job_fields("b", organisation="none"), "unknown_organisation"),
            ("Jobs/SubmitJob", job_fields("taken", body="other"), "duplicate_request"),
            ("Jobs/GetJob", {"organisation": "accounts", "job_id": "none"}, "not_found"),
            ("Operators/PutWorkers", {"workers": [bad_worker], "version": 1}, "invalid"),
            (
                "Operators/PutOrganisation",
                {"name": "g", "guarantee": [greedy]},
                "guarantee_infeasible",
            ),
            ("Operators/SetZone", {"name": "sfax", "region": "x", "version": 99}, "conflict"),
        ]
        for path, fields, kind in cases:
            with self.subTest(path=path, kind=kind):
                started = time.monotonic()
                self.assertEqual(self.refused(self.first, path, **fields), (kind, "not_run"))
                self.assertLess(time.monotonic() - started, 2.0)
        with grpc.insecure_channel(self.first) as channel:
            raw = channel.unary_unary("/hornbeamfold.v1.Requests/Submit")
            with self.assertRaises(grpc.RpcError) as caught:
                raw(b"\xff\xff\xff", timeout=CALL_TIMEOUT_S)
        self.assertEqual(dict(caught.exception.trailing_metadata())["hornbeamfold-kind"], "invalid")
        self.assertEqual(call(self.first, "Operators/GetConfiguration").offset, offset)
        started_ids = {one["request_id"] for one in self.fleet.starts()}
        self.assertNotIn("a", started_ids)
        self.assertFalse([one for one in self.fleet.starts() if "/b/" in one["task"]])

    def test_no_violations(self) -> None:
        """Guards against errors and violated invariants that the replies do not show."""
        self.assertEqual(self.fleet.violations(), [])
