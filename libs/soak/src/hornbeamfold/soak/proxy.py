"""A loopback TCP proxy that can delay, reset, stall or block connections in either direction."""

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

import eventlet
from eventlet.event import Event
from eventlet.green import socket as green_socket
from eventlet.greenthread import GreenThread

RECEIVE_BUFFER_BYTES = 65_536
BACKLOG = 256
# How often a blocked direction checks whether it may forward again.
BLOCKED_POLL_INTERVAL_S = 0.02
CLOSED_FILENO = -1
# SO_LINGER switched on with a timeout of 0: close() sends RST instead of FIN.
LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass(frozen=True)
class LinkFault:
    """A fault injected into a link.

    `to_target` and `to_caller` tell which directions are open; data in a closed direction is held
    back until it opens again. `refuse` resets new connections.
    """

    delay_ms: int = 0
    to_target: bool = True
    to_caller: bool = True
    refuse: bool = False


NO_LINK_FAULT = LinkFault()


class _Connection:
    """One proxied connection; once silent, it never forwards data again."""

    def __init__(self, caller: socket.socket, target: socket.socket) -> None:
        self._sockets = (caller, target)
        self._forwarders: list[GreenThread] = []
        self._silent = False
        self._reset = False

    @property
    def silent(self) -> bool:
        return self._silent

    def silence(self) -> None:
        self._silent = True

    def run(
        self, forward: Callable[["_Connection", socket.socket, socket.socket, bool], None]
    ) -> None:
        """Forward data in both directions until one of them ends."""
        caller, target = self._sockets
        direction_ended: Event = Event()
        for source, sink, to_target in ((caller, target, True), (target, caller, False)):
            thread = eventlet.spawn(forward, self, source, sink, to_target)
            thread.link(lambda _: direction_ended.ready() or direction_ended.send(None))
            self._forwarders.append(thread)
        direction_ended.wait()
        self.close()

    def close(self, reset: bool = False) -> None:
        """Close both sockets, with RST if `reset` is set."""
        # Killing the forwarders wakes `run`, which calls `close` again.
        self._reset = self._reset or reset
        for thread in self._forwarders:
            thread.kill()
        for sock in self._sockets:
            close_socket(sock, self._reset)


def close_socket(sock: socket.socket, reset: bool) -> None:
    """Close a socket, with RST if `reset` is set; closed sockets are skipped."""
    if sock.fileno() == CLOSED_FILENO:
        return
    if reset:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    sock.close()


class Link:
    """A listener that forwards connections to a target, under an optional fault."""

    def __init__(self, name: str, target: Callable[[], str]) -> None:
        self._name = name
        self._target = target
        self._fault = NO_LINK_FAULT
        self._connections: set[_Connection] = set()
        self._listener = eventlet.listen(("127.0.0.1", 0), backlog=BACKLOG)
        self._acceptor = eventlet.spawn(self._accept)
        self._port_holder: socket.socket | None = None

    @property
    def name(self) -> str:
        """The link's name, which tells its two ends."""
        return self._name

    @property
    def address(self) -> str:
        """The listening address, as "ip:port"."""
        host, port = (self._port_holder or self._listener).getsockname()[:2]
        return f"{host}:{port}"

    @property
    def fault(self) -> LinkFault:
        """The current fault, or `NO_LINK_FAULT`."""
        return self._fault

    def set_fault(self, fault: LinkFault) -> None:
        """Replace the fault, for open connections too."""
        self._fault = fault

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in tuple(self._connections):
            connection.close(reset=True)

    def silence(self) -> None:
        """Stop forwarding on all open connections for good; new ones work."""
        for connection in self._connections:
            connection.silence()

    @property
    def shut(self) -> bool:
        """Whether new connections are refused."""
        return self._port_holder is not None

    def shut_down(self) -> None:
        """Reset all open connections and refuse new ones, as if no process listened."""
        if self.shut:
            return
        host, port = self._listener.getsockname()[:2]
        self._acceptor.kill()
        self._listener.close()
        self.reset()
        # A bound socket that does not listen keeps the port until the link is reopened.
        self._port_holder = socket.socket()
        self._port_holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_holder.bind((host, port))

    def reopen(self) -> None:
        """Accept connections again after `shut_down`."""
        if self._port_holder is None:
            return
        address = self._port_holder.getsockname()[:2]
        self._port_holder.close()
        self._port_holder = None
        self._listener = eventlet.listen(address, backlog=BACKLOG)
        self._acceptor = eventlet.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            caller, _ = self._listener.accept()
            eventlet.spawn_n(self._serve, caller)

    def _serve(self, caller: socket.socket) -> None:
        host, _, port = self._target().rpartition(":")
        try:
            if self._fault.refuse:
                raise ConnectionRefusedError
            target = green_socket.create_connection((host, int(port)))
        except OSError:
            close_socket(caller, reset=True)
            return
        connection = _Connection(caller, target)
        self._connections.add(connection)
        connection.run(self._forward)
        self._connections.discard(connection)

    def _forward(
        self,
        connection: _Connection,
        source: socket.socket,
        sink: socket.socket,
        to_target: bool,
    ) -> None:
        """Forward data in one direction until either end closes."""
        try:
            while data := source.recv(RECEIVE_BUFFER_BYTES):
                if self._fault.delay_ms:
                    eventlet.sleep(self._fault.delay_ms / 1_000)
                while self._is_blocked(connection, to_target):
                    eventlet.sleep(BLOCKED_POLL_INTERVAL_S)
                sink.sendall(data)
        except OSError:
            # Either end reset the connection, which ends both directions.
            return

    def _is_blocked(self, connection: _Connection, to_target: bool) -> bool:
        is_open = self._fault.to_target if to_target else self._fault.to_caller
        return connection.silent or not is_open
