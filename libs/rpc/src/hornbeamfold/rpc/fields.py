"""Checks of message fields that collect every fault into one outcome."""

import math
from collections.abc import Iterable
from ipaddress import ip_address

from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.naming import MAX_NAME_CHARACTERS, has_name_characters

MAX_BODY_BYTES = 65_536
MAX_ACCELERATORS = 1_024
MAX_SIZE = 1_000_000
MAX_INT64 = 2**63 - 1


class Faults:
    """The faults found in one message; each check returns its value so that reading goes on."""

    def __init__(self) -> None:
        self._faults: list[str] = []

    def add(self, path: str, problem: str) -> None:
        """Note a fault of a field."""
        self._faults.append(f"{path}: {problem}")

    def refused(self) -> Refused | None:
        """Return one outcome that names each bad field, or None."""
        if not self._faults:
            return None
        return Refused(ErrorKind.INVALID, "; ".join(self._faults))

    def name(self, path: str, value: str) -> str:
        """Check a name."""
        if not 1 <= len(value) <= MAX_NAME_CHARACTERS:
            self.add(path, f"must have 1 to {MAX_NAME_CHARACTERS} characters, has {len(value)}")
        elif not has_name_characters(value):
            self.add(path, 'must be printable, without "/" and outer spaces')
        return value

    def optional_name(self, path: str, value: str) -> str:
        """Check a name that may be empty."""
        return self.name(path, value) if value else value

    def body(self, path: str, value: str) -> str:
        """Check the length of a body."""
        size = len(value.encode())
        if size > MAX_BODY_BYTES:
            self.add(path, f"must have at most {MAX_BODY_BYTES} bytes, has {size}")
        return value

    def whole(self, path: str, value: int, least: int, most: int = MAX_INT64) -> int:
        """Check the range of a whole number."""
        if not least <= value <= most:
            bounds = f"at least {least}" if most == MAX_INT64 else f"from {least} to {most}"
            self.add(path, f"must be {bounds}, is {value}")
        return value

    def weight(self, path: str, value: float) -> float:
        """Check a weight; 0 means that none was given and is taken as 1."""
        if not math.isfinite(value) or not 0 <= value <= MAX_SIZE:
            self.add(path, f"must be more than 0 and at most {MAX_SIZE}, is {value}")
        return value if value else 1.0

    def address(self, path: str, value: str) -> str:
        """Check an "ip:port"."""
        host, _, port = value.rpartition(":")
        try:
            ip_address(host.removeprefix("[").removesuffix("]"))
            usable = port.isascii() and port.isdigit() and 1 <= int(port) <= 65_535
        except ValueError:
            usable = False
        if not usable:
            self.add(path, f'must be "ip:port", is {value!r}')
        return value

    def unique(self, path: str, values: Iterable[str]) -> None:
        """Check that no value occurs twice."""
        seen: set[str] = set()
        for value in values:
            if value in seen:
                self.add(path, f"names {value!r} more than once")
            seen.add(value)
