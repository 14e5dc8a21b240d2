"""Reads the processor time, memory and traffic of processes that this one started."""

import os
import socket
import struct
from dataclasses import dataclass
from pathlib import Path

# Message numbers and offsets of the kernel's sock_diag(7) and tcp(7).
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST_DUMP = 0x301
INET_DIAG_INFO = 2
INODE_AT = 68
MESSAGE_SIZE = 72
BYTES_ACKED_AT = 120
BYTES_RECEIVED_AT = 128
SEGMENTS_OUT_AT = 136


@dataclass(frozen=True)
class Traffic:
    """Bytes of payload and segments of the open TCP connections of a process."""

    sent: int = 0
    received: int = 0
    segments: int = 0


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def traffic(pid: int, ports: frozenset[int] = frozenset()) -> Traffic:
    """Return the traffic of a process, of all connections or of those to some remote ports."""
    inodes: set[int] = set()
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = os.readlink(entry)
        except FileNotFoundError:
            continue
        if target.startswith("socket:["):
            inodes.add(int(target[8:-1]))
    sent = received = segments = 0
    for inode, port, info in _tcp_infos():
        if inode not in inodes or (ports and port not in ports):
            continue
        sent += struct.unpack_from("Q", info, BYTES_ACKED_AT)[0]
        received += struct.unpack_from("Q", info, BYTES_RECEIVED_AT)[0]
        segments += struct.unpack_from("I", info, SEGMENTS_OUT_AT)[0]
    return Traffic(sent, received, segments)


def _tcp_infos() -> list[tuple[int, int, bytes]]:
    """Return inode, remote port and TCP_INFO of all TCP connections over IPv4."""
    found: list[tuple[int, int, bytes]] = []
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, 4) as link:
        wanted = struct.pack("BBBxI48x", socket.AF_INET, socket.IPPROTO_TCP, 2, 0xFFFFFFFF)
        header = struct.pack(
            "IHHII", 16 + len(wanted), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST_DUMP, 1, 0
        )
        link.send(header + wanted)
        while True:
            data = link.recv(1 << 20)
            at = 0
            while at < len(data):
                size, kind = struct.unpack_from("IH", data, at)
                if kind != SOCK_DIAG_BY_FAMILY:
                    return found
                message = data[at + 16 : at + size]
                port = struct.unpack_from("!H", message, 6)[0]
                inode = struct.unpack_from("I", message, INODE_AT)[0]
                info = _attribute(message[MESSAGE_SIZE:])
                if len(info) >= SEGMENTS_OUT_AT + 4:
                    found.append((inode, port, info))
                at += (size + 3) & ~3


def _attribute(data: bytes) -> bytes:
    at = 0
    while at + 4 <= len(data):
        size, kind = struct.unpack_from("HH", data, at)
        if kind == INET_DIAG_INFO:
            return data[at + 4 : at + size]
        at += (size + 3) & ~3
    return b""
