"""Parsing and formatting of addresses of the form "ip:port" or "[ip]:port"."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port; raise ValueError if the address is malformed."""
    host, colon, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65_535:
        raise ValueError(f'{address!r} is not "ip:port"')
    return host, int(port)


def join_address(host: str, port: int) -> str:
    """Return the address of a host and a port."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
