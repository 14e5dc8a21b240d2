"""The HTTP endpoints of an instance: metrics, health and readiness."""

from collections.abc import Callable, Iterable

import eventlet
from eventlet import wsgi

from hornbeamfold.telemetry import metrics_text

StartResponse = Callable[[str, list[tuple[str, str]]], object]
TEXT = [("Content-Type", "text/plain; charset=utf-8")]


def make_app(ready: Callable[[], str]) -> Callable[[dict, StartResponse], Iterable[bytes]]:
    """Return the WSGI application; `ready` returns "" or why the instance is not ready."""

    def app(environ: dict, start_response: StartResponse) -> Iterable[bytes]:
        path = environ.get("PATH_INFO", "")
        if path == "/metrics":
            start_response("200 OK", TEXT)
            return [metrics_text()]
        if path == "/health":
            start_response("200 OK", TEXT)
            return [b"alive\n"]
        if path == "/ready":
            problem = ready()
            start_response("503 Service Unavailable" if problem else "200 OK", TEXT)
            return [f"{problem or 'ready'}\n".encode()]
        start_response("404 Not Found", TEXT)
        return [b"try /metrics, /health or /ready\n"]

    return app


def serve_http(address: str, ready: Callable[[], str]) -> str:
    """Serve the endpoints in a green thread; return the bound address."""
    host, port = address.rsplit(":", 1)
    listener = eventlet.listen((host, int(port)))
    eventlet.spawn(wsgi.server, listener, make_app(ready), log_output=False)
    return f"{host}:{listener.getsockname()[1]}"
