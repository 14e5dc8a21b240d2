"""JSON over WSGI: calls and replies as data, and the faults of the path between both ends."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from sys import stderr
from traceback import print_exc
from typing import Any
from urllib.parse import parse_qsl

from eventlet import sleep
from eventlet.wsgi import WSGI_LOCAL
from msgspec import DecodeError
from msgspec.json import decode, encode

from hornbeamfold.standins.faults import FaultState
from hornbeamfold.standins.network import Delays, Traffic, one_way_ms, region_of

# A record of 256 KiB may take six times its size as a JSON string.
MAX_BODY_BYTES = 2 * 1024 * 1024
# Status line and headers of a reply, which the server adds after the reply is counted.
REPLY_HEADER_BYTES = 130
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclass(frozen=True)
class Call:
    """One request to a stand-in; `body` is the decoded JSON."""

    method: str
    path: str
    query: dict[str, str]
    body: Any
    client: str
    instance: str
    zone: str

    @property
    def names(self) -> frozenset[str]:
        """The names by which a fault can cut this caller off."""
        return frozenset({self.client, self.instance, self.zone}) - {""}


@dataclass(frozen=True)
class Reply:
    """The answer to a call; `wrote` is set if the call changed the state of the service."""

    status: int
    body: Any
    wrote: bool = False


Handler = Callable[[Call], Reply]
Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


def refusal(status: int, detail: str) -> Reply:
    """Return a reply that only carries a reason."""
    return Reply(status, {"detail": detail})


def integer(call: Call, name: str, default: int) -> int | None:
    """Return an integer of the query, or nothing if it is not a number."""
    try:
        return int(call.query.get(name, default))
    except ValueError:
        return None


def with_faults(
    handle: Handler, faults: FaultState, delays: Delays, zone: str
) -> Callable[[Call], Reply | None]:
    """Put the faults and the delays before and after a handler; None drops the connection."""

    def request_passes(call: Call) -> bool:
        if faults.current.slow_ms:
            sleep(faults.current.slow_ms / 1000)
        return faults.hold_while(lambda now: now.frozen or bool(now.cut_requests & call.names))

    def reply_passes(call: Call) -> bool:
        return faults.hold_while(lambda now: now.frozen or bool(now.cut_replies & call.names))

    def serve(call: Call) -> Reply | None:
        sleep(one_way_ms(delays, call.zone, zone) / 1000)
        if not request_passes(call) or faults.current.refuses:
            return None
        if faults.current.down:
            return refusal(503, "the service is down")
        reply = handle(call)
        if reply.wrote and faults.loses_reply():
            return None
        if not reply_passes(call) or faults.current.refuses:
            return None
        if faults.current.down:
            # A write that took effect must not be reported as one that did not.
            return None if reply.wrote else refusal(503, "the service is down")
        sleep(one_way_ms(delays, zone, call.zone) / 1000)
        return reply

    return serve


def application(
    serve: Callable[[Call], Reply | None],
    control: Handler,
    delays: Delays,
    zone: str,
    traffic: Traffic,
) -> Application:
    """Return the WSGI application; paths under /control/ are free of faults and not counted."""

    def count(call: Call, sent: int, received: int) -> None:
        here, there = region_of(delays, zone), region_of(delays, call.zone)
        traffic.add(there, here, sent)
        traffic.add(here, there, received)

    def answer(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        raw = _read_body(environ)
        call = None if raw is None else _call(environ, raw)
        reply: Reply | None
        if raw is None:
            reply = refusal(413, "the body is too large")
        elif call is None:
            reply = refusal(400, "the body is not JSON")
        elif call.path.startswith("/control/"):
            reply = _guarded(control, call)
        else:
            reply = _guarded(serve, call)
        body = b"" if reply is None else encode(reply.body)
        if call is not None and not call.path.startswith("/control/"):
            sent = _header_bytes(environ) + len(raw or b"")
            count(call, sent, len(body) + REPLY_HEADER_BYTES if reply else 0)
        if reply is None:
            WSGI_LOCAL.already_handled = True
            return []
        start_response(
            f"{reply.status} {REASONS[reply.status]}", [("Content-Type", "application/json")]
        )
        return [body]

    return answer


def _guarded(handle: Callable[[Call], Reply | None], call: Call) -> Reply | None:
    try:
        return handle(call)
    except Exception:
        print_exc(file=stderr)
        return refusal(500, "the stand-in failed")


def _read_body(environ: dict[str, Any]) -> bytes | None:
    size = int(environ.get("CONTENT_LENGTH") or 0)
    if size > MAX_BODY_BYTES:
        return None
    data: bytes = environ["wsgi.input"].read(size) if size else b""
    return data


def _call(environ: dict[str, Any], raw: bytes) -> Call | None:
    try:
        body = decode(raw) if raw else {}
    except DecodeError:
        return None
    return Call(
        method=environ["REQUEST_METHOD"],
        # WSGI hands over the bytes of the path as Latin-1; names in it are UTF-8.
        path=environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace"),
        query=dict(parse_qsl(environ.get("QUERY_STRING", ""))),
        body=body,
        client=environ.get("REMOTE_ADDR", ""),
        instance=environ.get("HTTP_X_INSTANCE", ""),
        zone=environ.get("HTTP_X_AVAILABILITY_ZONE", ""),
    )


def _header_bytes(environ: dict[str, Any]) -> int:
    line = len(environ["REQUEST_METHOD"]) + len(environ.get("RAW_PATH_INFO", "")) + 13
    headers = environ.get("headers_raw", ())
    return line + sum(len(name) + len(value) + 4 for name, value in headers)
