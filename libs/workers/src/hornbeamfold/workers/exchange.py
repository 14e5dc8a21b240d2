"""An HTTP exchange with a timeout, which distinguishes a failed connection from a lost reply."""

from collections.abc import Callable
from dataclasses import dataclass
from http.client import IncompleteRead

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

# A worker that accepts no connection within this time counts as unreachable.
CONNECT_TIMEOUT_MS = 500
# Calls above the connection limit wait this long for a free connection.
POOL_TIMEOUT_MS = 100
MAX_REPLY_BYTES = 32 * 1024 * 1024
CHUNK_BYTES = 256 * 1024

# urllib3 raises these errors only before it writes to a socket.
_ERRORS_BEFORE_SENDING = (
    ConnectTimeoutError,
    EmptyPoolError,
    LocationValueError,
    NewConnectionError,
)


@dataclass(frozen=True)
class HttpReply:
    """A reply that was read completely."""

    status: int
    body: bytes


@dataclass(frozen=True)
class HttpCall:
    """A request to send; the whole reply must arrive within `timeout_ms`."""

    method: str
    url: str
    body: bytes | None
    timeout_ms: int


def exchange(pool: PoolManager, clock: Clock, call: HttpCall) -> HttpReply | CallFailure:
    """Send the call once and read the whole reply within its timeout."""
    deadline_ms = clock() + call.timeout_ms
    pool_timeout_ms = min(POOL_TIMEOUT_MS, call.timeout_ms // 4)
    total_ms = max(1, call.timeout_ms - pool_timeout_ms)
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
            pool_timeout=pool_timeout_ms / 1000,
        )
    except _ERRORS_BEFORE_SENDING as error:
        return NotSent(_describe_error(call, error))
    # http.client itself raises ValueError and OSError for some malformed replies.
    except (HTTPError, OSError, ValueError) as error:
        return NoReply(_describe_error(call, error), _was_closed(error))
    try:
        body = _read_body(response, clock, deadline_ms)
    except (HTTPError, OSError, ValueError) as error:
        return NoReply(_describe_error(call, error), _was_closed(error))
    return HttpReply(response.status, body)


def _read_body(response: BaseHTTPResponse, clock: Clock, deadline_ms: int) -> bytes:
    """Read the body and release the connection; close it unless the reply was complete."""
    chunks: list[bytes] = []
    size = 0
    complete = False
    try:
        while chunk := response.read1(CHUNK_BYTES):
            size += len(chunk)
            if size > MAX_REPLY_BYTES:
                raise ValueError(f"the reply is larger than {MAX_REPLY_BYTES} bytes")
            # The socket timeout restarts with each read; this check limits the total time.
            if clock() > deadline_ms:
                raise TimeoutError("the reply was not complete in time")
            chunks.append(chunk)
        complete = True
    finally:
        if not complete:
            response.close()
        response.release_conn()
    return b"".join(chunks)


def _was_closed(error: Exception) -> bool:
    """Return whether the connection was closed or reset before the reply was complete."""
    # urllib3 wraps the error of the socket or of http.client and keeps it as an argument.
    causes = (error, *error.args)
    return any(isinstance(cause, ConnectionError | IncompleteRead) for cause in causes)


def _describe_error(call: HttpCall, error: Exception) -> str:
    return f"{call.method} {call.url}: {type(error).__name__}: {error}"
