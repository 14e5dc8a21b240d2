"""Ports that can be closed and reopened, command-line arguments and the process loop."""

from argparse import ArgumentParser
from collections.abc import Callable
from json import dumps
from logging import CRITICAL, getLogger
from os import _exit
from pathlib import Path
from signal import SIGTERM, signal
from socket import SHUT_RDWR
from sys import stdin, stdout
from typing import Any

from eventlet import kill, listen, sleep, spawn
from eventlet.event import Event
from eventlet.tpool import execute
from eventlet.wsgi import server
from msgspec import convert
from msgspec.json import decode

from hornbeamfold.standins.faults import Faults
from hornbeamfold.standins.http import Application, Call, Handler, Reply, error_reply
from hornbeamfold.standins.network import Delays, Traffic

HOST = "127.0.0.1"
BACKLOG = 512
MAX_CONNECTIONS = 4096
_server_log = getLogger("hornbeamfold.standins.server")
_server_log.setLevel(CRITICAL)


class _TrackingListener:
    """A listening socket that tracks the connections it accepted."""

    def __init__(self, listener: Any) -> None:
        self._listener = listener
        self._open_connections: set[Any] = set()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listener, name)

    @property
    def count(self) -> int:
        """The number of open connections."""
        self._open_connections = {
            connection for connection in self._open_connections if connection.fileno() >= 0
        }
        return len(self._open_connections)

    def accept(self) -> Any:
        """Accept one connection."""
        accepted = self._listener.accept()
        if len(self._open_connections) > 2 * BACKLOG:
            self._open_connections = {
                connection for connection in self._open_connections if connection.fileno() >= 0
            }
        self._open_connections.add(accepted[0])
        return accepted

    def close_all(self) -> None:
        """Close the port and shut down all its connections."""
        self._listener.close()
        for connection in self._open_connections:
            try:
                connection.shutdown(SHUT_RDWR)
            except OSError:
                continue
        self._open_connections.clear()


class Port:
    """A served TCP port; it keeps its port number while it is closed."""

    def __init__(self, port_number: int) -> None:
        self._application: Application | None = None
        self._listener = _TrackingListener(_open_listener(port_number))
        self._port_number: int = self._listener.getsockname()[1]
        self._thread: Any = None

    @property
    def address(self) -> str:
        """The address as host:port."""
        return f"{HOST}:{self._port_number}"

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return self._listener.count

    def serve(self, application: Application) -> None:
        """Serve the application with one green thread per connection."""
        self._application = application
        self._thread = spawn(
            server,
            self._listener,
            application,
            log=_server_log,
            log_output=False,
            debug=False,
            max_size=MAX_CONNECTIONS,
        )

    def apply_faults(self, faults: Faults) -> None:
        """Close the port while the faults refuse connections, and reopen it afterwards."""
        if faults.refuses and self._thread is not None:
            thread, self._thread = self._thread, None
            self._listener.close_all()
            kill(thread)
            return
        if not faults.refuses and self._thread is None and self._application is not None:
            self._listener = _TrackingListener(_open_listener(self._port_number))
            self.serve(self._application)


def _open_listener(port_number: int) -> Any:
    return listen((HOST, port_number), backlog=BACKLOG, reuse_port=False)


def argument_parser(description: str) -> ArgumentParser:
    """Return a parser of the arguments that all stand-ins share."""
    parser = ArgumentParser(description=description)
    parser.add_argument("--port", type=int, default=0, help="0 takes a free port")
    parser.add_argument("--control-port", type=int, default=0, help="0 takes a free port")
    parser.add_argument("--zone", default="", help="the availability zone of this service")
    parser.add_argument(
        "--delays",
        default="{}",
        help="JSON or a file: regions (zone to region), within_zone_ms, between_zones_ms, "
        "between_regions_ms",
    )
    parser.add_argument(
        "--exit-on-eof", action="store_true", help="end when standard input is closed"
    )
    return parser


def json_argument(text: str) -> Any:
    """Decode an argument that is JSON or the path of a JSON file."""
    return decode(text if text.lstrip().startswith("{") else Path(text).read_bytes())


def delays_argument(text: str) -> Delays:
    """Decode the argument with the delays."""
    return convert(json_argument(text), Delays)


def control_handler(
    change: Callable[[dict[str, Any]], str],
    reset: Callable[[], None],
    traffic: Traffic,
    handle_other: Handler,
) -> Handler:
    """Return the handler of the /control/ paths; `handle_other` handles paths not shared by all."""

    def handle(call: Call) -> Reply:
        if (call.method, call.path) == ("POST", "/control/faults"):
            if not isinstance(call.body, dict):
                return error_reply(400, "faults are a JSON object")
            error = change(call.body)
            return error_reply(400, error) if error else Reply(200, {})
        if (call.method, call.path) == ("POST", "/control/reset"):
            reset()
            return Reply(200, {})
        if (call.method, call.path) == ("POST", "/control/traffic"):
            traffic.clear()
            return Reply(200, {})
        if (call.method, call.path) == ("GET", "/control/traffic"):
            return Reply(200, {"pairs": traffic.pairs()})
        return handle_other(call)

    return handle


def run_process(ready: dict[str, Any], exit_on_eof: bool) -> None:
    """Print the ready line and serve until SIGTERM, or until standard input is closed."""
    # There is nothing to save or release, so the process can exit at once.
    signal(SIGTERM, lambda *_: _exit(0))
    stdout.write(dumps({"ready": True, **ready}) + "\n")
    stdout.flush()
    sleep(0)
    if exit_on_eof:
        execute(stdin.read)
        _exit(0)
    Event().wait()
