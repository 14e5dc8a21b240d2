"""Reads processor time, resident memory and TCP traffic of processes from /proc and netlink."""

import os
import socket
import struct
from dataclasses import dataclass
from pathlib import Path

# Message numbers and byte offsets of sock_diag(7) and of the TCP_INFO structure of tcp(7).
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST_DUMP = 0x301
INET_DIAG_INFO = 2
INODE_OFFSET = 68
INET_DIAG_MSG_SIZE = 72
BYTES_ACKED_OFFSET = 120
BYTES_RECEIVED_OFFSET = 128
SEGMENTS_OUT_OFFSET = 136


@dataclass(frozen=True)
class Traffic:
    """Payload bytes in both directions, and segments sent, on open TCP connections."""

    sent: int = 0
    received: int = 0
    segments: int = 0


def processor_s(pid: int) -> float:
    """Return the processor time in seconds that the live threads of a process have used."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def traffic(pid: int, ports: frozenset[int] = frozenset()) -> Traffic:
    """Return the traffic of a process on all connections, or on those to the given ports."""
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
        sent += struct.unpack_from("Q", info, BYTES_ACKED_OFFSET)[0]
        received += struct.unpack_from("Q", info, BYTES_RECEIVED_OFFSET)[0]
        segments += struct.unpack_from("I", info, SEGMENTS_OUT_OFFSET)[0]
    return Traffic(sent, received, segments)


def _tcp_infos() -> list[tuple[int, int, bytes]]:
    """Return socket inode, remote port and TCP_INFO of all TCP connections over IPv4."""
    found: list[tuple[int, int, bytes]] = []
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, 4) as netlink:
        payload = struct.pack("BBBxI48x", socket.AF_INET, socket.IPPROTO_TCP, 2, 0xFFFFFFFF)
        header = struct.pack(
            "IHHII", 16 + len(payload), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST_DUMP, 1, 0
        )
        netlink.send(header + payload)
        while True:
            data = netlink.recv(1 << 20)
            offset = 0
            while offset < len(data):
                size, type_number = struct.unpack_from("IH", data, offset)
                if type_number != SOCK_DIAG_BY_FAMILY:
                    return found
                message = data[offset + 16 : offset + size]
                port = struct.unpack_from("!H", message, 6)[0]
                inode = struct.unpack_from("I", message, INODE_OFFSET)[0]
                info = _tcp_info_attribute(message[INET_DIAG_MSG_SIZE:])
                if len(info) >= SEGMENTS_OUT_OFFSET + 4:
                    found.append((inode, port, info))
                offset += (size + 3) & ~3


def _tcp_info_attribute(data: bytes) -> bytes:
    offset = 0
    while offset + 4 <= len(data):
        size, type_number = struct.unpack_from("HH", data, offset)
        if type_number == INET_DIAG_INFO:
            return data[offset + 4 : offset + size]
        offset += (size + 3) & ~3
    return b""
