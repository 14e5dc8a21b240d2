"""A loopback proxy that can cut a server off from its callers, in one direction or in both."""

import contextlib
import socket
import threading

RECEIVE_BYTES = 65_536
BACKLOG = 64


class CutLink:
    """Forwards connections; while it is cut, what the server sends is lost.

    What callers send on open connections arrives, unless both directions are cut. A new connection
    does not come about, as the server's part of its opening is lost: it is left unanswered in a
    full queue.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._cut = threading.Event()
        self._both = False
        self._open = threading.Event()
        self._open.set()
        self._lock = threading.Lock()
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._fillers: list[socket.socket] = []
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(BACKLOG)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """The address that callers connect to."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def cut(self, both: bool = False) -> None:
        """Lose all that the server sends from now on, and what callers send if `both` is set."""
        self._both = both
        self._open.clear()
        self._cut.set()
        self._listener.listen(0)
        # One connection reaches the pending call of accept, and the others fill the queue.
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self._listener.getsockname())
            self._fillers.append(filler)

    def heal(self) -> None:
        """Forward in both directions again; connections that lost something are closed."""
        with self._lock:
            pairs, self._pairs = self._pairs, set()
        for pair in pairs:
            _close(pair)
        for filler in self._fillers:
            filler.close()
        self._fillers = []
        self._listener.listen(BACKLOG)
        self._cut.clear()
        self._open.set()

    def _accept(self) -> None:
        while True:
            self._open.wait()
            caller, _ = self._listener.accept()
            if self._cut.is_set():
                caller.close()
                continue
            server = socket.create_connection(self._target)
            for each in (caller, server):
                each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pair = (caller, server)
            with self._lock:
                self._pairs.add(pair)
            for source, sink, to_caller in ((caller, server, False), (server, caller, True)):
                arguments = (pair, source, sink, to_caller)
                threading.Thread(target=self._forward, args=arguments, daemon=True).start()

    def _forward(
        self,
        pair: tuple[socket.socket, socket.socket],
        source: socket.socket,
        sink: socket.socket,
        to_caller: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(RECEIVE_BYTES):
                if self._cut.is_set() and (to_caller or self._both):
                    continue
                sink.sendall(data)
        with self._lock:
            self._pairs.discard(pair)
        _close(pair)


def _close(pair: tuple[socket.socket, socket.socket]) -> None:
    for each in pair:
        with contextlib.suppress(OSError):
            each.shutdown(socket.SHUT_RDWR)
        each.close()
