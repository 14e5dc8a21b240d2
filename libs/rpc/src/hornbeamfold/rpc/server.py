"""The gRPC server of a process whose green threads run on eventlet's asyncio hub."""

from asyncio import wait_for
from collections.abc import Awaitable, Callable, Collection, Mapping
from typing import Any

from eventlet import Timeout
from eventlet.asyncio import spawn_for_awaitable
from eventlet.event import Event
from eventlet.patcher import original
from grpclib.const import Handler
from grpclib.server import Server

from hornbeamfold.rpc.addresses import join_address, split_address

BACKLOG = 512
# Cancelled handlers have nothing left to wait for.
CLOSE_MS = 500


class _InFlight:
    """The number of unary calls in flight; streams have no end of their own and don't count."""

    def __init__(self) -> None:
        self._calls = 0
        self._idle: Event | None = None

    def counted(self, handler: Handler) -> Handler:
        """Return the handler with its calls counted."""
        if handler.cardinality.client_streaming or handler.cardinality.server_streaming:
            return handler
        function: Callable[[Any], Awaitable[None]] = handler.func

        async def run(stream: Any) -> None:
            self._calls += 1
            try:
                await function(stream)
            finally:
                self._calls -= 1
                if self._calls == 0 and self._idle is not None:
                    self._idle.send()
                    self._idle = None

        return handler._replace(func=run)

    def wait_idle(self, timeout_ms: int) -> bool:
        """Wait until no call is in flight; tell whether that happened in time."""
        if self._calls == 0:
            return True
        if self._idle is None:
            self._idle = Event()
        idle = self._idle
        with Timeout(timeout_ms / 1_000, False):
            idle.wait()
            return True
        return False


class _Counted:
    """A service whose unary calls are counted."""

    def __init__(self, service: Any, in_flight: _InFlight) -> None:
        self._service = service
        self._in_flight = in_flight

    def __mapping__(self) -> Mapping[str, Handler]:
        """Return the handlers by path."""
        return {
            path: self._in_flight.counted(handler)
            for path, handler in self._service.__mapping__().items()
        }


class ServerHandle:
    """A running server."""

    def __init__(self, server: Server, address: str, in_flight: _InFlight) -> None:
        self._server = server
        self._address = address
        self._in_flight = in_flight

    @property
    def address(self) -> str:
        """The address that the server listens on, with the port that the system chose."""
        return self._address

    def stop(self, timeout_ms: int) -> bool:
        """Wait for the unary calls in flight, then close; tell whether all ended in time.

        New calls are still answered while it waits, so that callers get the refusal of a draining
        instance and not a broken connection.
        """
        ended = self._in_flight.wait_idle(timeout_ms)
        spawn_for_awaitable(_close(self._server)).wait()
        return ended


def serve(address: str, handlers: Collection[Any]) -> ServerHandle:
    """Listen on an address and answer with the handlers; raises OSError if it is taken."""
    host, port = split_address(address)
    listener = _listen(host, port)
    in_flight = _InFlight()
    services = [_Counted(handler, in_flight) for handler in handlers]
    server = spawn_for_awaitable(_start(services, listener)).wait()
    bound_host, bound_port = listener.getsockname()[:2]
    return ServerHandle(server, join_address(bound_host, bound_port), in_flight)


def _listen(host: str, port: int) -> Any:
    # asyncio needs a socket that was not replaced by monkey patching.
    sockets = original("socket")
    family = sockets.AF_INET6 if ":" in host else sockets.AF_INET
    # asyncio and grpclib set TCP_NODELAY only if the protocol is named; without it, an answer took
    # 48 ms on the loopback interface, because it waited for a delayed acknowledgement.
    listener = sockets.socket(family, sockets.SOCK_STREAM, sockets.IPPROTO_TCP)
    try:
        listener.setsockopt(sockets.SOL_SOCKET, sockets.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


async def _start(services: Collection[Any], listener: Any) -> Server:
    # The server takes the running loop, which exists only inside a coroutine.
    server = Server(services)
    await server.start(sock=listener, backlog=BACKLOG)
    return server


async def _close(server: Server) -> None:
    server.close()
    try:
        await wait_for(server.wait_closed(), CLOSE_MS / 1_000)
    except TimeoutError:
        return
