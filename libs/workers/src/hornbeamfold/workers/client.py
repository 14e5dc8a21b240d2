"""HTTP client of the workers."""

from typing import TypeVar
from urllib.parse import quote

from msgspec.json import Encoder
from urllib3 import PoolManager

from hornbeamfold.decoding import DecodeError, decode_json
from hornbeamfold.model.topology import Worker
from hornbeamfold.workers.exchange import Clock, HttpCall, HttpReply, exchange
from hornbeamfold.workers.messages import (
    CallFailure,
    LookUpOutcome,
    LookUpReply,
    NoReply,
    RunBusy,
    RunDone,
    RunFailed,
    RunOutcome,
    RunRefused,
    RunRequest,
    SyncOutcome,
    SyncReply,
    SyncRequest,
    VoidOutcome,
    VoidReply,
)

T = TypeVar("T")

STATUS_OK = 200
STATUS_REFUSED = 409
STATUS_FAILED = 422
STATUS_BUSY = 429
# One connection is reserved for sync, look-up and void, so that long runs cannot delay a lease
# renewal.
CONTROL_CONNECTIONS = 1
MAX_DETAIL_CHARACTERS = 2_000

_encoder = Encoder()


class WorkerClient:
    """Client of all workers; every call is sent at most once."""

    def __init__(
        self,
        clock: Clock,
        connections: int,
        workers: int = 2_000,
        instance: str = "",
        availability_zone: str = "",
    ) -> None:
        """Open up to `connections` to each worker; keep pools for up to `workers` workers."""
        if connections <= CONTROL_CONNECTIONS:
            raise ValueError(f"connections must be more than {CONTROL_CONNECTIONS}")
        self._clock = clock
        self._run_connections = connections - CONTROL_CONNECTIONS
        headers = {"Content-Type": "application/json"}
        if instance:
            headers |= {"X-Instance": instance, "X-Availability-Zone": availability_zone}
        self._runs = PoolManager(workers, headers, maxsize=self._run_connections, block=True)
        self._control = PoolManager(workers, headers, maxsize=CONTROL_CONNECTIONS, block=True)

    @property
    def run_connections(self) -> int:
        """The maximum number of concurrent runs on one worker through this client."""
        return self._run_connections

    def sync(self, worker: Worker, request: SyncRequest, timeout_ms: int) -> SyncOutcome:
        """Start, renew, checkpoint, throttle, stop and forget tasks; return all tasks."""
        call = HttpCall("POST", _url(worker, "sync"), _encoder.encode(request), timeout_ms)
        return _decode(SyncReply, call, exchange(self._control, self._clock, call))

    def run(self, worker: Worker, request: RunRequest, timeout_ms: int) -> RunOutcome:
        """Run a request on the worker and wait for its answer."""
        call = HttpCall("POST", _url(worker, "run"), _encoder.encode(request), timeout_ms)
        reply = exchange(self._runs, self._clock, call)
        if not isinstance(reply, HttpReply):
            return reply
        if reply.status == STATUS_BUSY:
            return RunBusy()
        if reply.status == STATUS_REFUSED:
            return RunRefused()
        if reply.status == STATUS_FAILED:
            return _decode_failure(reply)
        return _decode(RunDone, call, reply)

    def look_up(self, worker: Worker, task: str, timeout_ms: int) -> LookUpOutcome:
        """Return the state of a dispatched request."""
        call = HttpCall("GET", _url(worker, f"run/{_quote_segment(task)}"), None, timeout_ms)
        return _decode(LookUpReply, call, exchange(self._control, self._clock, call))

    def void(self, worker: Worker, task: str, timeout_ms: int) -> VoidOutcome:
        """Make the worker refuse to start the task from now on, unless it has already started."""
        call = HttpCall("POST", _url(worker, f"run/{_quote_segment(task)}/void"), b"{}", timeout_ms)
        return _decode(VoidReply, call, exchange(self._control, self._clock, call))

    def close(self) -> None:
        """Close all idle connections."""
        self._runs.clear()
        self._control.clear()


def _url(worker: Worker, path: str) -> str:
    return f"http://{worker.address}/v1/{path}"


def _quote_segment(task: str) -> str:
    # Task ids contain slashes and names chosen by callers; they are quoted as one path segment.
    return quote(task, safe="")


def _decode(expected: type[T], call: HttpCall, reply: HttpReply | CallFailure) -> T | CallFailure:
    if not isinstance(reply, HttpReply):
        return reply
    if reply.status != STATUS_OK:
        return NoReply(f"{call.method} {call.url}: unexpected status {reply.status}")
    try:
        return decode_json(reply.body, expected)
    except DecodeError as error:
        return NoReply(f"{call.method} {call.url}: invalid reply: {error}")


def _decode_failure(reply: HttpReply) -> RunFailed:
    """Return the failure with the worker's detail, or with the raw body if that has none."""
    try:
        return decode_json(reply.body, RunFailed)
    except DecodeError:
        return RunFailed(reply.body.decode(errors="replace")[:MAX_DETAIL_CHARACTERS])
