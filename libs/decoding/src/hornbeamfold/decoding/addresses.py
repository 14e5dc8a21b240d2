"""Checks of addresses of the form "host:port"."""

import re

from hornbeamfold.decoding.documents import DecodeError

MAX_PORT = 65_535
# A name or an IPv4 address, or an IPv6 address in brackets; no label exceeds 63 characters.
_HOST = re.compile(r"[0-9A-Za-z_-]{1,63}(\.[0-9A-Za-z_-]{1,63})*|\[[0-9A-Fa-f:.]{2,45}\]")
_PORT = re.compile(r"[0-9]{1,5}")


def check_address(address: str) -> tuple[str, int]:
    """Return host and port; raises DecodeError if no connection can be made to the address."""
    host, _, port = address.rpartition(":")
    if not _HOST.fullmatch(host) or not _PORT.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        raise DecodeError(f'{address!r} is not "host:port" with a port from 1 to {MAX_PORT}')
    return host, int(port)
