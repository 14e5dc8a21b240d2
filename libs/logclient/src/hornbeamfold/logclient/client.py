"""The HTTP client of the log service."""

from collections.abc import Callable
from dataclasses import dataclass

from msgspec.json import encode
from urllib3 import HTTPConnectionPool, Timeout, connection_from_url
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    TimeoutError,
)
from urllib3.response import BaseHTTPResponse

from hornbeamfold.decoding import Count, DecodeError, decode_json
from hornbeamfold.logclient.entries import decode_entries
from hornbeamfold.logclient.outcomes import (
    Appended,
    AppendOutcome,
    Expired,
    FailureKind,
    LogFailure,
    ReadOutcome,
    ReadResult,
)

CONNECT_TIMEOUT_MS = 1_000
APPEND_TIMEOUT_MS = 2_000
# A read may take this much longer than the wait that it asks for.
READ_TIMEOUT_MS = 2_000
# One green thread follows the end of the log while another may scan it for a snapshot.
READ_CONNECTIONS = 2
# After one of these statuses, sending the same record again would fail again.
REJECTED_STATUSES = (400, 413)


@dataclass(frozen=True)
class _StoredRecord:
    offset: Count
    at_ms: int
    data: str


@dataclass(frozen=True)
class _ReadReply:
    records: tuple[_StoredRecord, ...]
    first: Count
    end: Count


@dataclass(frozen=True)
class _ExpiredReply:
    first: Count
    end: Count


@dataclass(frozen=True)
class _AppendReply:
    offset: Count


class LogClient:
    """Client of one log service, with separate connections for appends and reads."""

    def __init__(
        self,
        url: str,
        clock: Callable[[], int],
        instance: str = "",
        availability_zone: str = "",
        append_timeout_ms: int = APPEND_TIMEOUT_MS,
        read_timeout_ms: int = READ_TIMEOUT_MS,
    ) -> None:
        self._clock = clock
        self._append_timeout_ms = append_timeout_ms
        self._read_timeout_ms = read_timeout_ms
        optional_headers = {"X-Instance": instance, "X-Availability-Zone": availability_zone}
        headers = {name: value for name, value in optional_headers.items() if value}
        # Separate pools, so that a long poll cannot delay an append.
        self._appends = connection_from_url(url, maxsize=1, headers=headers)
        self._reads = connection_from_url(url, maxsize=READ_CONNECTIONS, headers=headers)

    def append(self, data: str) -> AppendOutcome:
        """Append a record to the log; the request is sent at most once."""
        response = self._call(
            self._appends, "POST", "/v1/records", self._append_timeout_ms, encode({"data": data})
        )
        if isinstance(response, LogFailure):
            return response
        if response.status != 200:
            return _unexpected_status(response)
        try:
            return Appended(decode_json(response.data, _AppendReply).offset)
        except DecodeError as error:
            return LogFailure(FailureKind.PROTOCOL, str(error), may_have_happened=True)

    def read(self, start: int, limit: int, wait_ms: int) -> ReadOutcome:
        """Read up to `limit` entries from offset `start`; wait for the first up to `wait_ms`."""
        started_ms = self._clock()
        path = f"/v1/records?from={start}&limit={limit}&wait_ms={wait_ms}"
        response = self._call(self._reads, "GET", path, wait_ms + self._read_timeout_ms, None)
        if isinstance(response, LogFailure):
            return response
        try:
            if response.status == 410:
                expired = decode_json(response.data, _ExpiredReply)
                return Expired(expired.first, expired.end)
            if response.status != 200:
                return _unexpected_status(response)
            return _read_result(decode_json(response.data, _ReadReply), started_ms)
        except DecodeError as error:
            return LogFailure(FailureKind.PROTOCOL, str(error), may_have_happened=False)

    def close(self) -> None:
        """Close all idle connections."""
        self._appends.close()
        self._reads.close()

    def _call(
        self, pool: HTTPConnectionPool, method: str, path: str, timeout_ms: int, body: bytes | None
    ) -> BaseHTTPResponse | LogFailure:
        timeout = Timeout(connect=CONNECT_TIMEOUT_MS / 1000, read=timeout_ms / 1000)
        is_append = body is not None
        try:
            return pool.urlopen(
                method,
                path,
                body=body,
                headers=_headers(pool, is_append),
                retries=False,
                timeout=timeout,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            # The connection failed, so nothing was sent.
            return LogFailure(FailureKind.NOT_CONNECTED, str(error), may_have_happened=False)
        except TimeoutError as error:
            return LogFailure(FailureKind.TIMEOUT, str(error), may_have_happened=is_append)
        except HTTPError as error:
            return LogFailure(FailureKind.BROKEN, str(error), may_have_happened=is_append)


def _headers(pool: HTTPConnectionPool, is_append: bool) -> dict[str, str]:
    headers = dict(pool.headers)
    return headers | {"Content-Type": "application/json"} if is_append else headers


def _unexpected_status(response: BaseHTTPResponse) -> LogFailure:
    detail = f"status {response.status}: {response.data[:200].decode(errors='replace')}"
    if response.status == 503:
        # The protocol does not guarantee that an append answered with 503 had no effect.
        return LogFailure(FailureKind.UNAVAILABLE, detail, may_have_happened=True)
    if response.status in REJECTED_STATUSES:
        return LogFailure(FailureKind.REJECTED, detail, may_have_happened=False)
    return LogFailure(FailureKind.PROTOCOL, detail, may_have_happened=True)


def _read_result(reply: _ReadReply, started_ms: int) -> ReadResult:
    entries, skipped = decode_entries((row.offset, row.at_ms, row.data) for row in reply.records)
    return ReadResult(entries, reply.first, reply.end, started_ms, skipped)
