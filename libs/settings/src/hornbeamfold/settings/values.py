"""The settings of one entry instance and the faults found in them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from hornbeamfold.model.timing import STOP_BOUND_MS


@dataclass(frozen=True)
class Settings:
    """The settings of one entry instance; `link_delays` has one-way milliseconds for zone pairs."""

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
class Fault:
    """One fault: where it is, what is wrong and what is allowed there."""

    path: str
    problem: str
    allowed: str


@dataclass(frozen=True)
class SettingsFaults:
    """All faults of one set of settings."""

    faults: tuple[Fault, ...]


def describe_faults(faults: SettingsFaults) -> str:
    """Return one line for each fault, for a person."""
    return "\n".join(
        f"{fault.path}: {fault.problem}; allowed: {fault.allowed}" for fault in faults.faults
    )
