"""Tests of the asyncio client: outcomes of failed and refused calls."""

import asyncio
import socket
import threading
import time
import unittest
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

from rpc_processes import read_line, start_script

from hornbeamfold.model.errors import ErrorKind, ExecutionStatus, Refused
from hornbeamfold.model.status import JobStatus, RequestAnswer
from hornbeamfold.model.topology import Shape
from hornbeamfold.model.work import JobSpec, JobState, Request
from hornbeamfold.rpc import client

TIMEOUT_MS = 5_000


def request(kind: str, body: str = "b") -> Request:
    """Return a request with one minute left."""
    deadline_ms = time.time_ns() // 1_000_000 + 60_000
    return Request("rampes", "r1", kind, body, False, False, deadline_ms)


@contextmanager
def unresponsive_server(closes: bool) -> Iterator[str]:
    """Accept connections without replying, or close one after its first byte."""
    with socket.create_server(("127.0.0.1", 0)) as server:

        def close_each() -> None:
            connection, _ = server.accept()
            connection.recv(1)
            connection.close()

        thread = threading.Thread(target=close_each, daemon=True)
        if closes:
            thread.start()
        yield f"127.0.0.1:{server.getsockname()[1]}"
        if closes:
            thread.join()


async def collect(statuses: AsyncIterator[JobStatus | Refused]) -> list[JobStatus | Refused]:
    """Return all items of a stream."""
    return [status async for status in statuses]


class ClientTest(unittest.TestCase):
    def assert_refused(self, outcome: object, kind: ErrorKind, ran: ExecutionStatus) -> None:
        assert isinstance(outcome, Refused), outcome
        self.assertEqual((outcome.kind, outcome.effective_ran), (kind, ran))

    def test_no_connection(self) -> None:
        """Guards against an outcome other than "not run" for a call that was never sent."""
        with socket.create_server(("127.0.0.1", 0)) as unused:
            unused_address = f"127.0.0.1:{unused.getsockname()[1]}"
        outcome = asyncio.run(client.submit(unused_address, request("echo"), TIMEOUT_MS))
        self.assert_refused(outcome, ErrorKind.UNREACHABLE, ExecutionStatus.NOT_RUN)
        outcome = asyncio.run(client.submit("nowhere", request("echo"), TIMEOUT_MS))
        self.assert_refused(outcome, ErrorKind.INVALID, ExecutionStatus.NOT_RUN)

    def test_a_lost_reply(self) -> None:
        """Guards against reporting "not run" for a change whose reply was lost."""
        for closes, timeout_ms in ((False, 200), (True, TIMEOUT_MS)):
            with self.subTest(closes=closes):
                with unresponsive_server(closes) as address:
                    outcome = asyncio.run(client.submit(address, request("echo"), timeout_ms))
                self.assert_refused(outcome, ErrorKind.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN)
                kind = ErrorKind.UNREACHABLE if closes else ErrorKind.DEADLINE_PASSED
                with unresponsive_server(closes) as address:
                    read = asyncio.run(client.get_configuration(address, timeout_ms))
                self.assert_refused(read, kind, ExecutionStatus.NOT_RUN)

    def test_outcomes_of_an_instance(self) -> None:
        """Guards against losing the kind, the detail or the execution status of an outcome."""
        address = read_line(start_script(self, "rpc_fake_instance.py", "500"))
        answer = asyncio.run(client.submit(address, request("echo", "é"), TIMEOUT_MS))
        self.assertEqual(answer, RequestAnswer("rampes", "r1", "é", "worker-1", "done", "d"))
        for kind in ErrorKind:
            refused = asyncio.run(client.submit(address, request("refuse", kind), TIMEOUT_MS))
            self.assertEqual(refused, Refused(kind, "détail", ExecutionStatus.UNKNOWN))
        spec = JobSpec("rampes", "j1", "proof", "b", Shape(8), 1_000)
        asyncio.run(client.submit_job(address, spec, TIMEOUT_MS))
        following = client.follow_job(address, "rampes", "j1", TIMEOUT_MS)
        statuses = asyncio.run(collect(following))
        states = [item.job.state for item in statuses if isinstance(item, JobStatus)]
        self.assertEqual(states, [JobState.QUEUED, JobState.FINISHED])
        missing = asyncio.run(collect(client.follow_job(address, "rampes", "none", TIMEOUT_MS)))
        self.assertEqual(missing, [Refused(ErrorKind.NOT_FOUND, "no job", ExecutionStatus.NOT_RUN)])
