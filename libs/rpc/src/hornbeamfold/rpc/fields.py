"""Validation of message fields that collects all errors into one refusal."""

import math
from collections.abc import Iterable
from ipaddress import ip_address

from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.naming import MAX_NAME_CHARACTERS, has_name_characters

MAX_BODY_BYTES = 65_536
MAX_ACCELERATORS = 1_024
MAX_QUANTITY = 1_000_000
MAX_INT64 = 2**63 - 1


class FieldErrors:
    """The validation errors of one message.

    Each check returns its value, also if it is invalid, so that the remaining fields are checked.
    """

    def __init__(self) -> None:
        self._errors: list[str] = []

    def add(self, path: str, problem: str) -> None:
        """Record an error of a field."""
        self._errors.append(f"{path}: {problem}")

    def to_refusal(self) -> Refused | None:
        """Return a refusal that names each invalid field, or None if there is none."""
        if not self._errors:
            return None
        return Refused(ErrorKind.INVALID, "; ".join(self._errors))

    def name(self, path: str, value: str) -> str:
        """Check a name."""
        if not 1 <= len(value) <= MAX_NAME_CHARACTERS:
            self.add(path, f"must have 1 to {MAX_NAME_CHARACTERS} characters, has {len(value)}")
        elif not has_name_characters(value):
            self.add(path, 'must be printable, without "/" and without leading or trailing spaces')
        return value

    def optional_name(self, path: str, value: str) -> str:
        """Check a name unless it is empty."""
        return self.name(path, value) if value else value

    def body(self, path: str, value: str) -> str:
        """Check the size of a body."""
        size = len(value.encode())
        if size > MAX_BODY_BYTES:
            self.add(path, f"must have at most {MAX_BODY_BYTES} bytes, has {size}")
        return value

    def integer(self, path: str, value: int, minimum: int, maximum: int = MAX_INT64) -> int:
        """Check that an integer is within inclusive bounds."""
        if not minimum <= value <= maximum:
            bounds = (
                f"at least {minimum}" if maximum == MAX_INT64 else f"from {minimum} to {maximum}"
            )
            self.add(path, f"must be {bounds}, is {value}")
        return value

    def weight(self, path: str, value: float) -> float:
        """Check a weight; 0 means that the field was not set, and becomes 1."""
        if not math.isfinite(value) or not 0 <= value <= MAX_QUANTITY:
            self.add(path, f"must be more than 0 and at most {MAX_QUANTITY}, is {value}")
        return value if value else 1.0

    def address(self, path: str, value: str) -> str:
        """Check an address of the form "ip:port"."""
        host, _, port = value.rpartition(":")
        try:
            ip_address(host.removeprefix("[").removesuffix("]"))
            is_valid = port.isascii() and port.isdigit() and 1 <= int(port) <= 65_535
        except ValueError:
            is_valid = False
        if not is_valid:
            self.add(path, f'must be "ip:port", is {value!r}')
        return value

    def unique(self, path: str, values: Iterable[str]) -> None:
        """Check that no value occurs twice."""
        seen: set[str] = set()
        for value in values:
            if value in seen:
                self.add(path, f"names {value!r} more than once")
            seen.add(value)
