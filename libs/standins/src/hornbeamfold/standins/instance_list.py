"""The entries of the instance list stand-in: they show late and age out."""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True)
class Listed:
    """One instance as registered."""

    name: str
    role: str
    address: str
    availability_zone: str
    state: str


@dataclass(frozen=True)
class _Version:
    instance: Listed | None
    at_ms: float


class InstanceList:
    """The registered instances; each change becomes visible after the lag.

    An entry that was not registered again within `expiry_ms` disappears, again after the lag;
    with 0 it stays.
    """

    def __init__(self, lag_ms: int, expiry_ms: int, clock: Callable[[], float]) -> None:
        self._lag_ms = lag_ms
        self._expiry_ms = expiry_ms
        self._clock = clock
        self._versions: dict[str, list[_Version]] = {}
        self._stale_at_ms: float | None = None

    def put(self, instance: Listed) -> None:
        """Register an instance, or its new state."""
        self._add(instance.name, instance)

    def remove(self, name: str) -> None:
        """Remove an instance."""
        if name in self._versions:
            self._add(name, None)

    def set_lag(self, lag_ms: int) -> None:
        """Show changes after this time."""
        self._lag_ms = lag_ms

    def set_stale(self, stale: bool) -> None:
        """Show the list of this moment until this is unset."""
        if stale and self._stale_at_ms is None:
            self._stale_at_ms = self._clock()
        if not stale:
            self._stale_at_ms = None

    def visible(self) -> tuple[Listed, ...]:
        """Return the instances that a reader sees now, by name."""
        now_ms = self._clock() if self._stale_at_ms is None else self._stale_at_ms
        as_of_ms = now_ms - self._lag_ms
        found: list[Listed] = []
        for _, versions in sorted(self._versions.items()):
            seen = [version for version in versions if version.at_ms <= as_of_ms]
            if not seen or seen[-1].instance is None:
                continue
            if self._expiry_ms and seen[-1].at_ms + self._expiry_ms < as_of_ms:
                continue
            found.append(seen[-1].instance)
        return tuple(found)

    def _add(self, name: str, instance: Listed | None) -> None:
        versions = self._versions.setdefault(name, [])
        versions.append(_Version(instance, self._clock()))
        # Repeated registrations would pile up; 1,000 of them cover any lag that tests use.
        del versions[:-1000]
