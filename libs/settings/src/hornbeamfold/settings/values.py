"""The settings of an entry instance and the errors found by validation."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from hornbeamfold.model.timing import STOP_BOUND_MS


@dataclass(frozen=True)
class Settings:
    """The settings of an entry instance; `link_delays` maps zone pairs to one-way milliseconds."""

    name: str
    availability_zone: str
    region: str
    rpc_address: str
    http_address: str
    log_url: str
    instances_url: str
    log_retention_ms: int
    bootstrap: bool = False
    log_level: str = "info"
    link_delays: Mapping[str, float] = field(default_factory=lambda: MappingProxyType({}))
    sync_interval_ms: int = 2_000
    stop_bound_ms: int = STOP_BOUND_MS
    max_queue: int = 1_000
    strict_invariants: bool = False


@dataclass(frozen=True)
class SettingError:
    """One validation error: the path of the setting, the problem and the allowed values."""

    path: str
    problem: str
    allowed: str


@dataclass(frozen=True)
class SettingsErrors:
    """All validation errors of one set of settings."""

    errors: tuple[SettingError, ...]


def format_settings_errors(errors: SettingsErrors) -> str:
    """Return a readable text with one line for each error."""
    return "\n".join(
        f"{error.path}: {error.problem}; allowed: {error.allowed}" for error in errors.errors
    )
