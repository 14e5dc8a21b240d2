"""JSON over WSGI: calls and replies as data classes, with injected faults and delays."""

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

# A record of 256 KiB may grow to six times its size when encoded as a JSON string.
MAX_BODY_BYTES = 2 * 1024 * 1024
# Size of the status line and headers, which the server adds after the reply is counted.
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
        """The names by which `cut_requests` and `cut_replies` can select this caller."""
        return frozenset({self.client, self.instance, self.zone}) - {""}


@dataclass(frozen=True)
class Reply:
    """The reply to a call; `wrote` is set if the call changed the state of the service."""

    status: int
    body: Any
    wrote: bool = False


Handler = Callable[[Call], Reply]
Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


def error_reply(status: int, detail: str) -> Reply:
    """Return an error reply with a status and a detail."""
    return Reply(status, {"detail": detail})


def query_integer(call: Call, name: str, default: int) -> int | None:
    """Return an integer parameter of the query, or None if it is not an integer."""
    try:
        return int(call.query.get(name, default))
    except ValueError:
        return None


def with_faults(
    handle: Handler, faults: FaultState, delays: Delays, zone: str
) -> Callable[[Call], Reply | None]:
    """Wrap a handler with faults and delays; a result of None drops the connection."""

    def request_passes(call: Call) -> bool:
        if faults.current.slow_ms:
            sleep(faults.current.slow_ms / 1000)
        return faults.wait_while(
            lambda current: current.frozen or bool(current.cut_requests & call.names)
        )

    def reply_passes(call: Call) -> bool:
        return faults.wait_while(
            lambda current: current.frozen or bool(current.cut_replies & call.names)
        )

    def serve(call: Call) -> Reply | None:
        sleep(one_way_ms(delays, call.zone, zone) / 1000)
        if not request_passes(call) or faults.current.refuses:
            return None
        if faults.current.down:
            return error_reply(503, "the service is down")
        reply = handle(call)
        if reply.wrote and faults.loses_reply():
            return None
        if not reply_passes(call) or faults.current.refuses:
            return None
        if faults.current.down:
            # A 503 would report a write that took effect as one that did not.
            return None if reply.wrote else error_reply(503, "the service is down")
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
    """Return the WSGI application; paths under /control/ have no faults and are not counted."""

    def count(call: Call, sent: int, received: int) -> None:
        service_region, caller_region = region_of(delays, zone), region_of(delays, call.zone)
        traffic.add(caller_region, service_region, sent)
        traffic.add(service_region, caller_region, received)

    def respond(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        raw_body = _read_body(environ)
        call = None if raw_body is None else _decode_call(environ, raw_body)
        reply: Reply | None
        if raw_body is None:
            reply = error_reply(413, "the body is too large")
        elif call is None:
            reply = error_reply(400, "the body is not JSON")
        elif call.path.startswith("/control/"):
            reply = _handle_safely(control, call)
        else:
            reply = _handle_safely(serve, call)
        body = b"" if reply is None else encode(reply.body)
        if call is not None and not call.path.startswith("/control/"):
            sent = _header_bytes(environ) + len(raw_body or b"")
            count(call, sent, len(body) + REPLY_HEADER_BYTES if reply else 0)
        if reply is None:
            WSGI_LOCAL.already_handled = True
            return []
        start_response(
            f"{reply.status} {REASONS[reply.status]}", [("Content-Type", "application/json")]
        )
        return [body]

    return respond


def _handle_safely(handle: Callable[[Call], Reply | None], call: Call) -> Reply | None:
    try:
        return handle(call)
    except Exception:
        print_exc(file=stderr)
        return error_reply(500, "the stand-in failed")


def _read_body(environ: dict[str, Any]) -> bytes | None:
    size = int(environ.get("CONTENT_LENGTH") or 0)
    if size > MAX_BODY_BYTES:
        return None
    data: bytes = environ["wsgi.input"].read(size) if size else b""
    return data


def _decode_call(environ: dict[str, Any], raw_body: bytes) -> Call | None:
    try:
        body = decode(raw_body) if raw_body else {}
    except DecodeError:
        return None
    return Call(
        method=environ["REQUEST_METHOD"],
        # WSGI passes the bytes of the path decoded as Latin-1; names in it are UTF-8.
        path=environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace"),
        query=dict(parse_qsl(environ.get("QUERY_STRING", ""))),
        body=body,
        client=environ.get("REMOTE_ADDR", ""),
        instance=environ.get("HTTP_X_INSTANCE", ""),
        zone=environ.get("HTTP_X_AVAILABILITY_ZONE", ""),
    )


def _header_bytes(environ: dict[str, Any]) -> int:
    request_line_bytes = len(environ["REQUEST_METHOD"]) + len(environ.get("RAW_PATH_INFO", "")) + 13
    headers = environ.get("headers_raw", ())
    return request_line_bytes + sum(len(name) + len(value) + 4 for name, value in headers)
