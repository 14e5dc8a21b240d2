"""Tests of the services in another process, with the client of another gRPC implementation."""

import json
import time
import unittest
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any

import grpc
from google.protobuf.message_factory import GetMessageClass
from rpc_processes import read_line, start_script

from hornbeamfold.rpc import v1_pb2

WAIT_S = 10.0
SPEC = {
    "organisation": "rampes",
    "job_id": "j1",
    "kind": "proof",
    "body": "b",
    "shape": {"accelerators": 8, "processors": 4, "memory_gb": 16, "span": "SPAN_ZONE"},
    "declared_ms": 60_000,
}
WORKER = {
    "name": "w1",
    "address": "127.0.0.1:9",
    "availability_zone": "sousse",
    "rack": "r1",
    "accelerators": 8,
    "slots": 8,
    "connections": 64,
}
KEY = {"organisation": "rampes", "job_id": "j1"}
# The call, its fields, and fields of the reply. The order matters: calls depend on earlier ones.
CALLS: tuple[tuple[str, dict[str, Any], dict[str, Any]], ...] = (
    ("Requests/Cancel", {"organisation": "o", "request_id": "queued"}, {"state": "cancelled"}),
    ("Jobs/SubmitJob", SPEC, {"state": "queued", "entitled": True}),
    ("Jobs/GetJob", KEY, {"submitted_ms": 1_000}),
    ("Jobs/CancelJob", KEY, {"offset": 5}),
    ("Jobs/ListJobs", {"state": "queued"}, {"offset": 5}),
    ("Operators/PutOrganisation", {"name": "o", "guarantee": [SPEC["shape"]]}, {"version": 1}),
    ("Operators/PutWorkers", {"workers": [WORKER]}, {"offset": 11, "version": 1}),
    ("Operators/DrainTarget", {"worker": "w1", "draining": True, "version": 1}, {"version": 2}),
    ("Operators/SetZone", {"name": "sousse", "region": "s", "version": 3}, {"version": 4}),
    ("Operators/GetConfiguration", {}, {"workers_version": 2}),
    ("Operators/RemoveOrganisation", {"name": "o", "version": 1}, {"version": 2}),
    ("Operators/ListPlacements", {}, {"free_accelerators": 12, "largest_free_run": 8}),
    ("Operators/ListInstances", {}, {}),
    ("Peers/FindAnswer", {"organisation": "o", "request_id": "r"}, {"answer": "answer"}),
    ("Peers/CancelWaiting", {"organisation": "o", "request_id": "r"}, {"state": "cancelled"}),
    ("Peers/ReadRecords", {"from": 3, "limit": 2}, {"next": 5, "confirmed_age_ms": 20}),
)


def heartbeat(offset: int) -> dict[str, Any]:
    """Return the fields of a valid heartbeat."""
    return {
        "seq": 1,
        "name": "entry-2",
        "incarnation": "i",
        "address": "127.0.0.1:8",
        "availability_zone": "sfax",
        "region": "sahel-south",
        "log_offset": offset,
    }


class InstanceCase(unittest.TestCase):
    """Starts an instance for each test and provides functions to call it."""

    stop_ms = 5_000

    def setUp(self) -> None:
        self.instance = start_script(self, "rpc_fake_instance.py", str(self.stop_ms))
        self.addCleanup(self.check_errors)
        self.channel = grpc.insecure_channel(self.read_output_line())
        self.addCleanup(self.channel.close)

    def check_errors(self) -> None:
        """Check that the instance printed only the tracebacks of the fake's own exceptions."""
        self.instance.kill()
        _, errors = self.instance.communicate()
        tracebacks = errors.count("Traceback")
        self.assertEqual(tracebacks, errors.count("RuntimeError: broken"), errors)
        self.assertNotIn("never retrieved", errors)

    def read_output_line(self) -> str:
        return read_line(self.instance)

    def method(self, path: str) -> tuple[Any, Callable[..., Any]]:
        """Return the input class and the function of a call, taken from the descriptors."""
        service, name = path.split("/")
        method = v1_pb2.DESCRIPTOR.services_by_name[service].methods_by_name[name]
        arity = ("stream" if method.client_streaming else "unary") + "_"
        arity += "stream" if method.server_streaming else "unary"
        function = getattr(self.channel, arity)(
            f"/{method.containing_service.full_name}/{name}",
            request_serializer=lambda message: message.SerializeToString(),
            response_deserializer=GetMessageClass(method.output_type).FromString,
        )
        return GetMessageClass(method.input_type), function

    def call(self, path: str, fields: dict[str, Any], timeout: float = WAIT_S) -> Any:
        message_type, function = self.method(path)
        return function(message_type(**fields), timeout=timeout)

    def submit(self, request_id: str, kind: str, body: str = "b", timeout: float = WAIT_S) -> Any:
        deadline_ms = time.time_ns() // 1_000_000 + 60_000
        names = {"organisation": "rampes", "request_id": request_id, "kind": kind, "body": body}
        fields = {**names, "deadline_ms": deadline_ms, "attempt": 1}
        return self.call("Requests/Submit", fields, timeout)

    def running(self) -> int:
        probe = {"organisation": "probe", "request_id": "running"}
        return int(self.call("Requests/GetAnswer", probe).answer)

    def events(self) -> list[str]:
        probe = {"organisation": "probe", "request_id": "events"}
        return json.loads(self.call("Requests/GetAnswer", probe).answer)

    def wait_for(self, event: str) -> None:
        deadline = time.monotonic() + WAIT_S
        while event not in self.events():
            self.assertLess(time.monotonic(), deadline, f"{event!r} not in {self.events()}")

    def refusal(self, call: Callable[[], Any]) -> tuple[grpc.StatusCode, str, dict[str, str]]:
        with self.assertRaises(grpc.RpcError) as raised:
            call()
        error: Any = raised.exception
        return error.code(), error.details(), dict(error.trailing_metadata())

    def open_heartbeats(self, offset: int) -> Any:
        message_type, function = self.method("Peers/Heartbeats")
        messages: SimpleQueue[Any] = SimpleQueue()
        self.addCleanup(messages.put, None)
        messages.put(message_type(**heartbeat(offset)))
        call = function.future(iter(messages.get, None))  # type: ignore[attr-defined]
        self.wait_for(f"heard entry-2 {offset}")
        return call

    def start_call_and_terminate(self) -> Any:
        message_type, function = self.method("Peers/FindAnswer")
        call = function.future(message_type(organisation="o", request_id="wait"))  # type: ignore[attr-defined]
        self.wait_for("waiting wait")
        self.instance.terminate()
        self.assertEqual(self.read_output_line(), "draining")
        return call


class ServicesTest(InstanceCase):
    def test_every_unary_call(self) -> None:
        """Guards against a call that is not connected to its function of the frontend."""
        self.assertEqual(self.submit("r1", "echo", "é").answer, "é")
        covered_calls = {
            "Requests/Submit",
            "Requests/GetAnswer",
            "Jobs/FollowJob",
            "Peers/Heartbeats",
        }
        for path, fields, expected in CALLS:
            covered_calls.add(path)
            with self.subTest(path):
                reply = self.call(path, fields)
                for field, value in expected.items():
                    self.assertEqual(getattr(reply, field), value)
        services = v1_pb2.DESCRIPTOR.services_by_name.values()
        self.assertEqual(
            covered_calls,
            {f"{service.name}/{method.name}" for service in services for method in service.methods},
        )

    def test_a_refusal_has_status_message_and_trailers(self) -> None:
        """Guards against a refusal that does not tell the caller whether its work ran."""
        status, message, trailers = self.refusal(lambda: self.submit("r1", "refuse", "overloaded"))
        self.assertEqual(status, grpc.StatusCode.RESOURCE_EXHAUSTED)
        self.assertEqual(message, "overloaded: détail")
        self.assertEqual(trailers["hornbeamfold-kind"], "overloaded")
        self.assertEqual(trailers["hornbeamfold-ran"], "unknown")

    def test_invalid_fields_do_not_reach_the_frontend(self) -> None:
        """Guards against running the work of an invalid or undecodable message."""
        status, message, _ = self.refusal(lambda: self.submit("a/b", ""))
        self.assertEqual(status, grpc.StatusCode.INVALID_ARGUMENT)
        self.assertIn("request_id: ", message)
        self.assertIn("kind: ", message)
        send = self.channel.unary_unary("/hornbeamfold.v1.Requests/Submit")
        status, _, trailers = self.refusal(lambda: send(b"\xff\xff", timeout=WAIT_S))
        self.assertEqual(trailers["hornbeamfold-kind"], "invalid")
        many = {"workers": [{"name": "é/" * 60}] * 500}
        status, message, _ = self.refusal(lambda: self.call("Operators/PutWorkers", many))
        self.assertEqual(status, grpc.StatusCode.INVALID_ARGUMENT)
        self.assertTrue(message.endswith("(shortened)"))
        self.assertEqual(self.events(), [])

    def test_an_exception_becomes_internal_with_a_log_line(self) -> None:
        """Guards against an exception that stops the server or is reported as "not run"."""
        _, message, trailers = self.refusal(lambda: self.submit("r1", "raise"))
        self.assertEqual(trailers["hornbeamfold-kind"], "internal")
        self.assertEqual(trailers["hornbeamfold-ran"], "unknown")
        self.assertNotIn("broken frontend", message)
        self.assertEqual(self.submit("r2", "echo").state, "done")
        self.instance.terminate()
        _, errors = self.instance.communicate(timeout=WAIT_S)
        self.assertIn("call_failed", errors)
        self.assertIn("RuntimeError: broken frontend", errors)

    def test_a_read_ends_when_its_client_disconnects(self) -> None:
        """Guards against leaking green threads when a caller disconnects or its timeout expires."""
        query = {"organisation": "o", "request_id": "late", "wait_ms": 60_000}
        status, _, _ = self.refusal(lambda: self.call("Requests/GetAnswer", query, timeout=0.3))
        self.assertEqual(status, grpc.StatusCode.DEADLINE_EXCEEDED)
        self.wait_for("GreenletExit late")
        message_type, function = self.method("Requests/GetAnswer")
        before = self.running()
        for number in range(20):
            request_id = f"left {number}"
            call = function.future(message_type(**{**query, "request_id": request_id}))  # type: ignore[attr-defined]
            self.wait_for(f"waiting {request_id}")
            call.cancel()
            self.wait_for(f"GreenletExit {request_id}")
        self.assertLessEqual(self.running(), before)

    def test_a_change_continues_after_its_client_disconnects(self) -> None:
        """Guards against killing work between its claim and its dispatch."""
        self.refusal(lambda: self.submit("slow", "wait", timeout=0.3))
        self.submit("r2", "release", "slow")
        self.wait_for("finished slow")

    def test_following_a_job(self) -> None:
        """Guards against a stream that omits changes, never ends or hides a failure."""
        self.call("Jobs/SubmitJob", SPEC)
        states = [status.state for status in self.call("Jobs/FollowJob", KEY)]
        self.assertEqual(states, ["queued", "finished"])
        missing = {**KEY, "job_id": "none"}
        status, _, _ = self.refusal(lambda: list(self.call("Jobs/FollowJob", missing)))
        self.assertEqual(status, grpc.StatusCode.NOT_FOUND)
        self.call("Jobs/SubmitJob", {**SPEC, "job_id": "broken"})
        broken = {**KEY, "job_id": "broken"}
        status, _, _ = self.refusal(lambda: list(self.call("Jobs/FollowJob", broken)))
        self.assertEqual(status, grpc.StatusCode.INTERNAL)

    def test_a_follower_that_disconnects_closes_the_iterator(self) -> None:
        """Guards against iterators that wait for a job forever."""
        self.call("Jobs/SubmitJob", {**SPEC, "job_id": "endless"})
        stream = self.call("Jobs/FollowJob", {**KEY, "job_id": "endless"})
        self.assertEqual(next(stream).state, "queued")
        self.wait_for("waiting endless")
        stream.cancel()
        self.wait_for("closed endless")

    def test_the_end_of_a_heartbeat_stream(self) -> None:
        """Guards against a closed stream that does not mark its peer as disconnected at once."""
        message_type, function = self.method("Peers/Heartbeats")
        function(iter([message_type(**heartbeat(4)), message_type(**heartbeat(5))]), timeout=WAIT_S)
        self.wait_for("lost entry-2")
        self.assertEqual(self.events(), ["heard entry-2 4", "heard entry-2 5", "lost entry-2"])
        invalid = {**heartbeat(6), "address": "x"}
        status, _, _ = self.refusal(
            lambda: function(iter([message_type(**invalid)]), timeout=WAIT_S)
        )
        self.assertEqual(status, grpc.StatusCode.INVALID_ARGUMENT)

    def test_the_end_of_an_older_heartbeat_stream_is_ignored(self) -> None:
        """Guards against reporting a live peer as lost when its previous stream fails."""
        first, second = self.open_heartbeats(1), self.open_heartbeats(2)
        first.cancel()
        self.submit("mark", "echo")
        third = self.open_heartbeats(3)
        self.assertNotIn("lost entry-2", self.events())
        second.cancel()
        third.cancel()
        self.wait_for("lost entry-2")
        self.assertEqual(self.events().count("lost entry-2"), 1)

    def test_stop_waits_for_calls_in_flight(self) -> None:
        """Guards against a graceful stop that aborts calls."""
        call = self.start_call_and_terminate()
        self.submit("r1", "release", "wait")
        self.assertEqual(call.result(timeout=WAIT_S).state, "done")
        self.assertEqual(self.read_output_line(), "True")
        self.assertEqual(self.instance.wait(timeout=WAIT_S), 0)


class ShortStopTest(InstanceCase):
    stop_ms = 200

    def test_stop_ends_in_time(self) -> None:
        """Guards against a graceful stop that waits forever for a call."""
        # grpcio cancels a call without references, so one is kept.
        call = self.start_call_and_terminate()
        self.assertEqual(self.read_output_line(), "False")
        self.assertIsNotNone(call.exception(timeout=WAIT_S))
        self.assertEqual(self.instance.wait(timeout=WAIT_S), 0)
