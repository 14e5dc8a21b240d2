"""Tests of the worker stand-ins as a process: requests, limits and faults."""

import unittest
from concurrent.futures import ThreadPoolExecutor
from socket import create_connection
from time import time
from typing import Any
from urllib.error import URLError

from msgspec.json import encode
from standin_calls import call, wait_until

from hornbeamfold.standins.launch import StandIn
from hornbeamfold.standins.worker_data import answer_of

TOPOLOGY = {
    "workers": [
        {"name": "w1", "availability_zone": "z1", "slots": 2, "connections": 6},
        {"name": "w2", "availability_zone": "z2", "supports_void": False},
    ]
}


class WorkersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.workers = StandIn("workers", "--topology", encode(TOPOLOGY).decode())
        self.addCleanup(self.workers.stop)
        self.pool = ThreadPoolExecutor()
        self.addCleanup(self.pool.shutdown)

    def url(self, worker: str, path: str) -> str:
        return f"http://{self.workers.addresses[worker]}/v1/{path}"

    def run_one(self, worker: str, task: str, **work: Any) -> tuple[int, Any]:
        """Run a request with the task id as its request id."""
        body = {
            "task": task,
            "organisation": "o",
            "request_id": task,
            "kind": "k",
            "body": encode(work).decode(),
            "digest": "d",
            "deadline_ms": int(time() * 1000) + 10_000,
        }
        return call(self.url(worker, "run"), body)

    def look_up(self, worker: str, task: str) -> Any:
        return call(self.url(worker, f"run/{task}"))[1]["state"]

    def starts(self) -> list[str]:
        return [start["task"] for start in self.workers.control("starts")["starts"]]

    def test_an_answer_belongs_to_its_request(self) -> None:
        """Guards against answers that tests cannot match to their requests."""
        answer = answer_of("o", "request/o/r/1", '{"run_ms":20}')
        expected = {"answer": answer, "request_id": "request/o/r/1", "digest": "d"}
        self.assertEqual(self.run_one("w1", "request/o/r/1", run_ms=20), (200, expected))
        found = call(self.url("w1", "run/request/o/r/1"))
        finished = {"state": "finished", "complete_since_ms": 0}
        self.assertEqual(found, (200, {**finished, **expected}))
        self.assertEqual(self.run_one("w1", "f", fail=True)[0], 422)
        self.assertEqual(self.look_up("w1", "f"), "failed")
        self.assertEqual(self.look_up("w1", "never"), "unknown")

    def test_busy_when_the_slots_are_full(self) -> None:
        """Guards against a worker that queues requests, and a busy reply to a request that runs."""
        held = [self.pool.submit(self.run_one, "w1", task, run_ms=1_000) for task in ("a", "b")]
        wait_until(lambda: set(self.starts()) == {"a", "b"})
        self.assertEqual(self.run_one("w1", "c")[0], 429)
        start = {"task": "t", "fence": 1, "lease_ms": 100}
        synced = call(self.url("w1", "sync"), {"start": [start]})[1]
        self.assertEqual((synced["tasks"][0]["state"], synced["free_slots"]), ("refused", 0))
        self.assertEqual({one.result()[0] for one in held}, {200})
        self.assertEqual(set(self.starts()), {"a", "b"})

    def test_busy_above_the_limit_of_connections(self) -> None:
        """Guards against instances that together open more connections than a worker allows."""
        host, port = self.workers.addresses["w1"].split(":")
        opened = [create_connection((host, int(port))) for _ in range(6)]
        wait_until(lambda: self.run_one("w1", "a")[0] == 429)
        for connection in opened:
            connection.close()
        wait_until(lambda: self.run_one("w1", "b")[0] == 200)

    def test_void_then_run_is_refused(self) -> None:
        """Guards against a run after a confirmed void, and against voiding a task that has run."""
        voided = {"state": "voided", "complete_since_ms": 0}
        self.assertEqual(call(self.url("w1", "run/a/void"), {}), (200, voided))
        self.assertEqual(self.run_one("w1", "a")[0], 409)
        self.assertEqual(self.starts(), [])
        self.run_one("w1", "b")
        finished = {"state": "finished", "complete_since_ms": 0}
        self.assertEqual(call(self.url("w1", "run/b/void"), {}), (200, finished))
        self.assertEqual(call(self.url("w2", "run/a/void"), {})[0], 404)
        self.assertFalse(call(self.url("w2", "sync"), {})[1]["supports_void"])

    def test_every_run_is_counted(self) -> None:
        """Guards against tests of "at most once" that cannot detect a second run."""
        self.run_one("w1", "a")
        self.run_one("w2", "a")
        self.run_one("w2", "a")
        starts = self.workers.control("starts")["starts"]
        self.assertEqual([one["zone"] for one in starts], ["z1", "z2", "z2"])
        self.assertEqual({(one["organisation"], one["request_id"]) for one in starts}, {("o", "a")})

    def test_a_dead_worker_refuses_connections_and_forgets(self) -> None:
        """Guards against a dead worker that still runs tasks, or that affects other workers."""
        held = self.pool.submit(self.run_one, "w1", "a", run_ms=60_000)
        wait_until(lambda: self.look_up("w1", "a") == "running")
        self.workers.set_faults(workers=["w1"], dead=True)
        self.assertIsNotNone(held.exception())
        with self.assertRaisesRegex(URLError, "refused"):
            self.run_one("w1", "b")
        self.assertEqual(self.run_one("w2", "b")[0], 200)
        self.workers.reset()
        self.assertEqual(self.look_up("w1", "a"), "unknown")

    def test_a_worker_that_fails_everything(self) -> None:
        """Guards against a `fail_all` fault without effect, which would go unnoticed in tests."""
        self.workers.set_faults(workers=["w1"], fail_all=True, leaving=True)
        self.assertEqual(self.run_one("w1", "a")[0], 422)
        start = {"task": "job/o/j/1/w1", "fence": 1, "lease_ms": 100}
        synced = call(self.url("w1", "sync"), {"start": [start]})[1]
        self.assertEqual((synced["tasks"][0]["state"], synced["leaving"]), ("failed", True))
        self.assertEqual(self.workers.control("starts")["starts"][1]["organisation"], "o")
