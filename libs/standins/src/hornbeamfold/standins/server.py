"""Listening sockets that can be closed and reopened, and the life of a stand-in process."""

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
from hornbeamfold.standins.http import Application, Call, Handler, Reply, refusal
from hornbeamfold.standins.network import Delays, Traffic

HOST = "127.0.0.1"
BACKLOG = 512
MAX_CONNECTIONS = 4096
_server_log = getLogger("hornbeamfold.standins.server")
_server_log.setLevel(CRITICAL)


class _Connections:
    """A listening socket that remembers the connections it accepted."""

    def __init__(self, listening: Any) -> None:
        self._listening = listening
        self._open: set[Any] = set()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listening, name)

    @property
    def count(self) -> int:
        """The number of open connections."""
        self._open = {one for one in self._open if one.fileno() >= 0}
        return len(self._open)

    def accept(self) -> Any:
        """Accept one connection."""
        accepted = self._listening.accept()
        if len(self._open) > 2 * BACKLOG:
            self._open = {one for one in self._open if one.fileno() >= 0}
        self._open.add(accepted[0])
        return accepted

    def shut(self) -> None:
        """Close the port and break all its connections."""
        self._listening.close()
        for one in self._open:
            try:
                one.shutdown(SHUT_RDWR)
            except OSError:
                continue
        self._open.clear()


class Port:
    """One served TCP port; it keeps its number while it is closed."""

    def __init__(self, number: int) -> None:
        self._application: Application | None = None
        self._sockets = _Connections(_listening(number))
        self._number: int = self._sockets.getsockname()[1]
        self._thread: Any = None

    @property
    def address(self) -> str:
        """The address for callers."""
        return f"{HOST}:{self._number}"

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return self._sockets.count

    def serve(self, application: Application) -> None:
        """Serve the application in green threads, one for each connection."""
        self._application = application
        self._thread = spawn(
            server,
            self._sockets,
            application,
            log=_server_log,
            log_output=False,
            debug=False,
            max_size=MAX_CONNECTIONS,
        )

    def follow_faults(self, faults: Faults) -> None:
        """Close the port while connections are refused, and reopen it afterwards."""
        if faults.refuses and self._thread is not None:
            thread, self._thread = self._thread, None
            self._sockets.shut()
            kill(thread)
            return
        if not faults.refuses and self._thread is None and self._application is not None:
            self._sockets = _Connections(_listening(self._number))
            self.serve(self._application)


def _listening(number: int) -> Any:
    return listen((HOST, number), backlog=BACKLOG, reuse_port=False)


def arguments(description: str) -> ArgumentParser:
    """Return a parser with the arguments that all stand-ins share."""
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
    """Return the JSON of an argument that is JSON or the path of a file."""
    return decode(text if text.lstrip().startswith("{") else Path(text).read_bytes())


def delays_argument(text: str) -> Delays:
    """Return the table of delays of an argument."""
    return convert(json_argument(text), Delays)


def control_handler(
    change: Callable[[dict[str, Any]], str],
    reset: Callable[[], None],
    traffic: Traffic,
    more: Handler,
) -> Handler:
    """Return the handler of the paths that all stand-ins have under /control/."""

    def handle(call: Call) -> Reply:
        if (call.method, call.path) == ("POST", "/control/faults"):
            if not isinstance(call.body, dict):
                return refusal(400, "faults are a JSON object")
            wrong = change(call.body)
            return refusal(400, wrong) if wrong else Reply(200, {})
        if (call.method, call.path) == ("POST", "/control/reset"):
            reset()
            return Reply(200, {})
        if (call.method, call.path) == ("POST", "/control/traffic"):
            traffic.clear()
            return Reply(200, {})
        if (call.method, call.path) == ("GET", "/control/traffic"):
            return Reply(200, {"pairs": traffic.pairs()})
        return more(call)

    return handle


def run_process(ready: dict[str, Any], exit_on_eof: bool) -> None:
    """Print the ready line and serve until SIGTERM, or until standard input is closed."""
    # Nothing here outlives the process, so it can end at once.
    signal(SIGTERM, lambda *_: _exit(0))
    stdout.write(dumps({"ready": True, **ready}) + "\n")
    stdout.flush()
    sleep(0)
    if exit_on_eof:
        execute(stdin.read)
        _exit(0)
    Event().wait()
