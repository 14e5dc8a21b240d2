"""What is allowed for each key of the settings."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from ipaddress import ip_address
from types import MappingProxyType
from urllib.parse import urlsplit

from hornbeamfold.model.naming import MAX_NAME_CHARACTERS, has_name_characters
from hornbeamfold.model.timing import STOP_BOUND_MS

LOG_LEVELS = ("debug", "info", "warning", "error")

# Returns the value to use, or raises ValueError with the problem.
Check = Callable[[object], object]


@dataclass(frozen=True)
class Rule:
    """How the value of one key is checked and what is allowed; `is_text` takes overrides as is."""

    check: Check
    allowed: str
    is_text: bool = False
    required: bool = False


def is_name(value: str) -> bool:
    """Tell whether a name can be part of a task id or of a pair of zones."""
    return 1 <= len(value) <= MAX_NAME_CHARACTERS and has_name_characters(value)


def _name(value: object) -> object:
    if isinstance(value, str) and is_name(value):
        return value
    raise ValueError(f"{value!r} is not a name")


def _address(value: object) -> object:
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not colon or not port.isascii() or not port.isdigit() or int(port) > 65_535:
        raise ValueError(f"{value!r} is not an address with a port")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        version = ip_address(host[1:-1] if bracketed else host).version
    except ValueError:
        raise ValueError(f"{host!r} is not an IP address") from None
    if bracketed != (version == 6):
        raise ValueError(f"{value!r} must have brackets around an IPv6 address and no other")
    return value


def _url(value: object) -> object:
    problem = ValueError(f"{value!r} is not a URL")
    if not isinstance(value, str):
        raise problem
    try:
        parts = urlsplit(value)
        usable = parts.scheme in ("http", "https") and parts.hostname and parts.port != 0
    except ValueError:
        raise problem from None
    if not usable or parts.query or parts.fragment:
        raise problem
    return value.rstrip("/")


def _level(value: object) -> object:
    if isinstance(value, str) and value.lower() in LOG_LEVELS:
        return value.lower()
    raise ValueError(f"{value!r} is not a log level")


def _flag(value: object) -> object:
    if isinstance(value, bool):
        return value
    raise ValueError(f"{value!r} is neither true nor false")


def _whole(least: int, most: int) -> Check:
    def check(value: object) -> object:
        # bool is a subclass of int, and "true" is no number.
        if not isinstance(value, int) or isinstance(value, bool):
            raise ValueError(f"{value!r} is not a whole number")
        if not least <= value <= most:
            raise ValueError(f"{value} is out of range")
        return value

    return check


def whole_number(least: int, most: int) -> Rule:
    """Return the rule for a whole number within bounds."""
    return Rule(_whole(least, most), f"a whole number from {least} to {most}")


def delay(value: object) -> float:
    """Check one link delay; raise ValueError with the problem."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value):  # type: ignore[arg-type]
        raise ValueError(f"{value!r} is not a number of milliseconds")
    if not 0 <= value <= 10_000:  # type: ignore[operator]
        raise ValueError(f"{value} is out of range")
    return float(value)  # type: ignore[arg-type]


def is_zone_pair(key: object) -> bool:
    """Tell whether a key has the form "zone-a/zone-b"."""
    if not isinstance(key, str):
        return False
    zones = key.split("/")
    return len(zones) == 2 and all(is_name(zone) for zone in zones)


NAME = f'1 to {MAX_NAME_CHARACTERS} printable characters without "/" and outer spaces'
ADDRESS = '"ip:port" with a port from 0 (the system chooses) to 65535'
ZONE_PAIR = 'a pair "zone-a/zone-b"'
DELAY = "one-way milliseconds from 0 to 10000"
LINK_DELAYS = "link_delays"

RULES: Mapping[str, Rule] = MappingProxyType(
    {
        "name": Rule(_name, NAME, is_text=True, required=True),
        "availability_zone": Rule(_name, NAME, is_text=True, required=True),
        "region": Rule(_name, NAME, is_text=True, required=True),
        "rpc_address": Rule(_address, ADDRESS, is_text=True, required=True),
        "http_address": Rule(_address, ADDRESS, is_text=True, required=True),
        "log_url": Rule(_url, 'a URL such as "http://ip:port"', is_text=True, required=True),
        "instances_url": Rule(_url, 'a URL such as "http://ip:port"', is_text=True, required=True),
        "log_retention_ms": Rule(
            _whole(1_000, 2_592_000_000),
            "a whole number from 1000 to 2592000000 (30 days)",
            required=True,
        ),
        "bootstrap": Rule(_flag, "true or false"),
        "log_level": Rule(_level, ", ".join(LOG_LEVELS), is_text=True),
        "sync_interval_ms": whole_number(100, 10_000),
        "stop_bound_ms": whole_number(1_000, STOP_BOUND_MS),
        "max_queue": whole_number(1, 100_000),
        "strict_invariants": Rule(_flag, "true or false"),
    }
)
KNOWN_KEYS = (*RULES, LINK_DELAYS)
