"""Tests of a planned stop while requests run that take longer than the stop may."""

import asyncio
import time
import unittest
from json import dumps

from hornbeamfold.bench.demo import configure
from hornbeamfold.bench.fleet import FleetOptions, running_fleet, wait_until
from hornbeamfold.bench.topologies import rampes
from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.status import RequestAnswer
from hornbeamfold.model.work import Request
from hornbeamfold.rpc import client

REQUEST_RUN_MS = 6_000
STOP_BOUND_MS = 5_000
CALL_TIMEOUT_MS = 15_000


def long_request(idempotent: bool) -> Request:
    """Return a request that runs longer than the instance may take to stop."""
    return Request(
        organisation="accounts",
        request_id=f"long-{idempotent}",
        kind="quote",
        body=dumps({"run_ms": REQUEST_RUN_MS}),
        idempotent=idempotent,
        urgent=True,
        deadline_ms=int(time.time() * 1000) + CALL_TIMEOUT_MS,
    )


class DrainTest(unittest.TestCase):
    def test_requests_that_outlast_the_stop_are_handed_over(self) -> None:
        """Guards against a planned stop that fails, is too slow, or loses or repeats a request."""
        options = FleetOptions(instances=2, settings=(("stop_bound_ms", STOP_BOUND_MS),))
        with running_fleet(rampes(), options) as fleet:
            first, second = fleet.daemons.values()
            asyncio.run(configure(first.address, fleet.topology))
            asyncio.run(self.stop_during(fleet, first, second.address))
            self.assertEqual(fleet.violations(), [])

    async def stop_during(self, fleet, first, second) -> None:  # type: ignore[no-untyped-def]
        requests = [long_request(False), long_request(True)]
        calls = [
            asyncio.create_task(client.submit(first.address, one, CALL_TIMEOUT_MS))
            for one in requests
        ]
        await asyncio.to_thread(wait_until, lambda: len(fleet.starts()) == 2, 5, "both run")
        began = time.monotonic()
        self.assertEqual(await asyncio.to_thread(first.terminate), 0)
        self.assertLess(time.monotonic() - began, STOP_BOUND_MS / 1_000)
        for call in calls:
            outcome = await call
            assert isinstance(outcome, Refused)
            self.assertEqual(outcome.kind, ErrorKind.OUTCOME_UNKNOWN)
        found = await client.get_answer(second, "accounts", "long-False", 10_000, CALL_TIMEOUT_MS)
        assert isinstance(found, RequestAnswer), found
        self.assertEqual((found.state, found.request_id), ("done", "long-False"))
        starts = [one["request_id"] for one in fleet.starts()]
        self.assertEqual(starts.count("long-False"), 1)
