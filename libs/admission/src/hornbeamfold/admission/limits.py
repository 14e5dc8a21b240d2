"""The limits of a server, derived from those of the machine."""

from dataclasses import dataclass
from enum import Enum, auto

MEGABYTE = 1_048_576
# The program and its ordinary state.
PROGRAM_MB = 70
# Share of the machine's memory that all connections may hold.
CONNECTIONS_SHARE = 0.54
MIN_CONNECTIONS_MB = 2
# Share of the sockets that callers' requests in progress may take for connections to the store.
REQUESTS_SHARE = 0.2
MIN_REQUESTS = 8
# A connection's green thread, its objects, and its unread bytes in the kernel.
CONNECTION_BYTES = 20_480
# The share of a server's memory that empty connections may take; the rest is for their requests.
EMPTY_CONNECTIONS_SHARE = 0.56
# Descriptors that the platform keeps for files.
FILES = 200


class ServerRole(Enum):
    """Whom a server answers."""

    CALLERS = auto()
    READINESS = auto()
    INTERNAL = auto()


@dataclass(frozen=True)
class _Share:
    """The share of a role: of the sockets, of the memory, and the least number of connections."""

    sockets: float
    memory: float
    min_connections: int


# What is left of the sockets is for connections to the store and to workers.
_SHARES = {
    ServerRole.CALLERS: _Share(0.52, 0.82, 16),
    ServerRole.READINESS: _Share(0.03, 0.03, 8),
    ServerRole.INTERNAL: _Share(0.13, 0.15, 16),
}


@dataclass(frozen=True)
class MachineLimits:
    """The limits of one process on its machine."""

    memory_mb: int = 300
    file_descriptors: int = 4_100


@dataclass(frozen=True)
class DoorLimits:
    """The limits that apply to each connection, and the most connections of callers."""

    connections: int = 2_000  # of callers
    memory_mb: int = 0  # of all connections; 0: derived from the machine's memory
    requests: int = 0  # of callers in progress; 0: derived from the machine's descriptors
    head_bytes: int = 24_576  # of a request line with its headers
    headers: int = 256  # of one request
    sent_ahead: int = 16  # requests that follow one another before their answers
    document_parts: int = 80_000  # objects and values of one body
    idle_ms: int = 15_000  # between two requests
    head_ms: int = 15_000  # from the first byte of a head to its last
    body_ms: int = 30_000  # from the end of a head to the end of its body
    answer_ms: int = 15_000  # until the client has taken an answer


@dataclass(frozen=True)
class ServerLimits:
    """The limits of one server; `memory_bytes` is for all its connections together."""

    connections: int
    memory_bytes: int
    each: DoorLimits
    requests: int = 64  # in progress at once; each may hold a connection to the store


def server_limits(role: ServerRole, machine: MachineLimits, door: DoorLimits) -> ServerLimits:
    """Return the limits of the server of a role."""
    share = _SHARES[role]
    total_mb = door.memory_mb or max(
        MIN_CONNECTIONS_MB,
        min(machine.memory_mb * CONNECTIONS_SHARE, machine.memory_mb - PROGRAM_MB),
    )
    memory_bytes = int(total_mb * MEGABYTE * share.memory)
    sockets = max(0, machine.file_descriptors - FILES)
    fitting = int(
        min(sockets * share.sockets, memory_bytes * EMPTY_CONNECTIONS_SHARE / CONNECTION_BYTES)
    )
    connections = min(max(share.min_connections, fitting), door.connections)
    # Calls of the other servers need no connection.
    requests = connections
    if role == ServerRole.CALLERS:
        requests = door.requests or max(MIN_REQUESTS, int(sockets * REQUESTS_SHARE))
    return ServerLimits(connections, memory_bytes, door, requests)
