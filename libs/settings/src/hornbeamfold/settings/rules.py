"""Validation rules for each key of the settings."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from ipaddress import ip_address
from types import MappingProxyType
from urllib.parse import urlsplit

from hornbeamfold.model.naming import MAX_NAME_CHARACTERS, has_name_characters
from hornbeamfold.model.timing import STOP_BOUND_MS

LOG_LEVELS = ("debug", "info", "warning", "error")

# Returns the normalised value, or raises ValueError with a description of the problem.
Check = Callable[[object], object]


@dataclass(frozen=True)
class Rule:
    """The check of one key and a description of its allowed values.

    An environment variable is taken verbatim if `is_string` is set, and parsed as YAML otherwise.
    """

    check: Check
    allowed: str
    is_string: bool = False
    required: bool = False


def is_valid_name(value: str) -> bool:
    """Return whether a name can be used in a task id or in a pair of zones."""
    return 1 <= len(value) <= MAX_NAME_CHARACTERS and has_name_characters(value)


def _check_name(value: object) -> object:
    if isinstance(value, str) and is_valid_name(value):
        return value
    raise ValueError(f"{value!r} is not a name")


def _check_address(value: object) -> object:
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not colon or not port.isascii() or not port.isdigit() or int(port) > 65_535:
        raise ValueError(f"{value!r} is not an address with a valid port")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        version = ip_address(host[1:-1] if bracketed else host).version
    except ValueError:
        raise ValueError(f"{host!r} is not an IP address") from None
    if bracketed != (version == 6):
        raise ValueError(f"{value!r} must have brackets around an IPv6 address and around no other")
    return value


def _check_url(value: object) -> object:
    error = ValueError(f"{value!r} is not a URL")
    if not isinstance(value, str):
        raise error
    try:
        parts = urlsplit(value)
        is_valid = parts.scheme in ("http", "https") and parts.hostname and parts.port != 0
    except ValueError:
        raise error from None
    if not is_valid or parts.query or parts.fragment:
        raise error
    return value.rstrip("/")


def _check_log_level(value: object) -> object:
    if isinstance(value, str) and value.lower() in LOG_LEVELS:
        return value.lower()
    raise ValueError(f"{value!r} is not a log level")


def _check_boolean(value: object) -> object:
    if isinstance(value, bool):
        return value
    raise ValueError(f"{value!r} is neither true nor false")


def _integer_check(minimum: int, maximum: int) -> Check:
    def check(value: object) -> object:
        # bool is a subclass of int, but `true` is not a valid integer setting.
        if not isinstance(value, int) or isinstance(value, bool):
            raise ValueError(f"{value!r} is not an integer")
        if not minimum <= value <= maximum:
            raise ValueError(f"{value} is out of range")
        return value

    return check


def integer_rule(minimum: int, maximum: int) -> Rule:
    """Return a rule for integers within inclusive bounds."""
    return Rule(_integer_check(minimum, maximum), f"an integer from {minimum} to {maximum}")


def check_delay(value: object) -> float:
    """Return one link delay in milliseconds; raise ValueError if it is invalid."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # Only floating-point numbers are infinite, and huge integers cannot be converted to one.
    if not is_number or (isinstance(value, float) and not math.isfinite(value)):
        raise ValueError(f"{value!r} is not a number of milliseconds")
    if not 0 <= value <= 10_000:  # type: ignore[operator]
        raise ValueError(f"{value} is out of range")
    return float(value)  # type: ignore[arg-type]


def is_zone_pair(key: object) -> bool:
    """Return whether a key has the form "zone-a/zone-b"."""
    if not isinstance(key, str):
        return False
    zones = key.split("/")
    return len(zones) == 2 and all(is_valid_name(zone) for zone in zones)


ALLOWED_NAME = (
    f'1 to {MAX_NAME_CHARACTERS} printable characters without "/" '
    "and without leading or trailing spaces"
)
ALLOWED_ADDRESS = '"ip:port" with a port from 0 (the system chooses one) to 65535'
ALLOWED_ZONE_PAIR = 'a pair "zone-a/zone-b"'
ALLOWED_DELAY = "a one-way delay in milliseconds from 0 to 10000"
LINK_DELAYS = "link_delays"

RULES: Mapping[str, Rule] = MappingProxyType(
    {
        "name": Rule(_check_name, ALLOWED_NAME, is_string=True, required=True),
        "availability_zone": Rule(_check_name, ALLOWED_NAME, is_string=True, required=True),
        "region": Rule(_check_name, ALLOWED_NAME, is_string=True, required=True),
        "rpc_address": Rule(_check_address, ALLOWED_ADDRESS, is_string=True, required=True),
        "http_address": Rule(_check_address, ALLOWED_ADDRESS, is_string=True, required=True),
        "log_url": Rule(
            _check_url, 'a URL such as "http://ip:port"', is_string=True, required=True
        ),
        "instances_url": Rule(
            _check_url, 'a URL such as "http://ip:port"', is_string=True, required=True
        ),
        "log_retention_ms": Rule(
            _integer_check(1_000, 2_592_000_000),
            "an integer from 1000 to 2592000000 (30 days)",
            required=True,
        ),
        "bootstrap": Rule(_check_boolean, "true or false"),
        "log_level": Rule(_check_log_level, ", ".join(LOG_LEVELS), is_string=True),
        "sync_interval_ms": integer_rule(100, 10_000),
        "stop_bound_ms": integer_rule(1_000, STOP_BOUND_MS),
        "max_queue": integer_rule(1, 100_000),
        "strict_invariants": Rule(_check_boolean, "true or false"),
    }
)
KNOWN_KEYS = (*RULES, LINK_DELAYS)
