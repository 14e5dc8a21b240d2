"""One bounded HTTP exchange that tells a failed connection from a lost reply."""

from collections.abc import Callable
from dataclasses import dataclass

from urllib3 import BaseHTTPResponse, PoolManager, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    EmptyPoolError,
    HTTPError,
    LocationValueError,
    NewConnectionError,
)

from hornbeamfold.workers.messages import CallFailure, NoReply, NotSent

Clock = Callable[[], int]

# A worker that does not accept a connection within this time is unreachable.
CONNECT_TIMEOUT_MS = 500
# Calls beyond the connection limit wait this long for a free connection.
POOL_WAIT_MS = 100
MAX_REPLY_BYTES = 32 * 1024 * 1024
CHUNK_BYTES = 256 * 1024

# urllib3 raises these only before it writes to a socket.
_NOT_SENT = (ConnectTimeoutError, EmptyPoolError, LocationValueError, NewConnectionError)


@dataclass(frozen=True)
class HttpReply:
    """A reply that was read to its end."""

    status: int
    body: bytes


@dataclass(frozen=True)
class HttpCall:
    """What to send, and in how much time the whole reply must be there."""

    method: str
    url: str
    body: bytes | None
    timeout_ms: int


def exchange(pool: PoolManager, clock: Clock, call: HttpCall) -> HttpReply | CallFailure:
    """Send the call once and read the whole reply within its timeout."""
    ends_ms = clock() + call.timeout_ms
    pool_wait_ms = min(POOL_WAIT_MS, call.timeout_ms // 4)
    total_ms = max(1, call.timeout_ms - pool_wait_ms)
    try:
        response = pool.urlopen(
            call.method,
            call.url,
            body=call.body,
            retries=False,
            redirect=False,
            preload_content=False,
            timeout=Timeout(
                connect=min(CONNECT_TIMEOUT_MS, total_ms) / 1000, total=total_ms / 1000
            ),
            pool_timeout=pool_wait_ms / 1000,
        )
    except _NOT_SENT as error:
        return NotSent(_describe(call, error))
    # http.client raises ValueError and OSError of its own for some broken replies.
    except (HTTPError, OSError, ValueError) as error:
        return NoReply(_describe(call, error))
    try:
        body = _read_body(response, clock, ends_ms)
    except (HTTPError, OSError, ValueError) as error:
        return NoReply(_describe(call, error))
    return HttpReply(response.status, body)


def _read_body(response: BaseHTTPResponse, clock: Clock, ends_ms: int) -> bytes:
    """Read to the end and give the connection back, closed unless the reply was complete."""
    chunks: list[bytes] = []
    size = 0
    complete = False
    try:
        while chunk := response.read1(CHUNK_BYTES):
            size += len(chunk)
            if size > MAX_REPLY_BYTES:
                raise ValueError(f"the reply is larger than {MAX_REPLY_BYTES} bytes")
            # The socket timeout starts anew with each read, so a slow sender needs this check.
            if clock() > ends_ms:
                raise TimeoutError("the reply was not complete in time")
            chunks.append(chunk)
        complete = True
    finally:
        if not complete:
            response.close()
        response.release_conn()
    return b"".join(chunks)


def _describe(call: HttpCall, error: Exception) -> str:
    return f"{call.method} {call.url}: {type(error).__name__}: {error}"
