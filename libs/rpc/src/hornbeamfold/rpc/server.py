"""A gRPC server for processes whose green threads run on eventlet's asyncio hub."""

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
# Short, because the handlers are cancelled when the server closes.
CLOSE_TIMEOUT_MS = 500


class _CallCounter:
    """Counts the unary calls in flight; streams are excluded because they may never end."""

    def __init__(self) -> None:
        self._call_count = 0
        self._idle_event: Event | None = None

    def count_calls(self, handler: Handler) -> Handler:
        """Wrap a handler so that its calls are counted."""
        if handler.cardinality.client_streaming or handler.cardinality.server_streaming:
            return handler
        function: Callable[[Any], Awaitable[None]] = handler.func

        async def run(stream: Any) -> None:
            self._call_count += 1
            try:
                await function(stream)
            finally:
                self._call_count -= 1
                if self._call_count == 0 and self._idle_event is not None:
                    self._idle_event.send()
                    self._idle_event = None

        return handler._replace(func=run)

    def wait_idle(self, timeout_ms: int) -> bool:
        """Wait until no call is in flight; return False on timeout."""
        if self._call_count == 0:
            return True
        if self._idle_event is None:
            self._idle_event = Event()
        idle_event = self._idle_event
        with Timeout(timeout_ms / 1_000, False):
            idle_event.wait()
            return True
        return False


class _CountedService:
    """Wraps a service so that its unary calls are counted."""

    def __init__(self, service: Any, in_flight: _CallCounter) -> None:
        self._service = service
        self._in_flight = in_flight

    def __mapping__(self) -> Mapping[str, Handler]:
        """Return the handlers by path."""
        return {
            path: self._in_flight.count_calls(handler)
            for path, handler in self._service.__mapping__().items()
        }


class ServerHandle:
    """A running server."""

    def __init__(self, server: Server, address: str, in_flight: _CallCounter) -> None:
        self._server = server
        self._address = address
        self._in_flight = in_flight

    @property
    def address(self) -> str:
        """The address that the server listens on, with the actual port if 0 was given."""
        return self._address

    def stop(self, timeout_ms: int) -> bool:
        """Wait for the unary calls in flight, then close; return whether all ended in time.

        New calls are still answered during the wait, so that callers receive the refusal of a
        draining instance instead of a connection error.
        """
        completed = self._in_flight.wait_idle(timeout_ms)
        spawn_for_awaitable(_close(self._server)).wait()
        return completed


def serve(address: str, handlers: Collection[Any]) -> ServerHandle:
    """Start a server for the handlers on an address; raise OSError if the address is in use."""
    host, port = split_address(address)
    listener = _listen(host, port)
    in_flight = _CallCounter()
    services = [_CountedService(handler, in_flight) for handler in handlers]
    server = spawn_for_awaitable(_start(services, listener)).wait()
    bound_host, bound_port = listener.getsockname()[:2]
    return ServerHandle(server, join_address(bound_host, bound_port), in_flight)


def _listen(host: str, port: int) -> Any:
    # asyncio needs a socket of the module as it was before eventlet's monkey patching.
    socket = original("socket")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio and grpclib set TCP_NODELAY only if the socket names its protocol. Without it, a reply
    # took 48 ms on the loopback interface, because it waited for a delayed acknowledgement.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


async def _start(services: Collection[Any], listener: Any) -> Server:
    # The server needs the running event loop, which exists only inside a coroutine.
    server = Server(services)
    await server.start(sock=listener, backlog=BACKLOG)
    return server


async def _close(server: Server) -> None:
    server.close()
    try:
        await wait_for(server.wait_closed(), CLOSE_TIMEOUT_MS / 1_000)
    except TimeoutError:
        return
