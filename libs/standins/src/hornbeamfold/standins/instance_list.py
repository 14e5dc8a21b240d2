"""The entries of the instance list stand-in, with a visibility lag and an expiry."""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True)
class ListedInstance:
    """One registered instance."""

    name: str
    role: str
    address: str
    availability_zone: str
    state: str


@dataclass(frozen=True)
class _Version:
    instance: ListedInstance | None
    at_ms: float


class InstanceList:
    """The registered instances; each change becomes visible after the lag.

    An entry that is not registered again within `expiry_ms` expires, which is also visible only
    after the lag; 0 means that entries never expire.
    """

    def __init__(self, lag_ms: int, expiry_ms: int, clock: Callable[[], float]) -> None:
        self._lag_ms = lag_ms
        self._expiry_ms = expiry_ms
        self._clock = clock
        self._versions: dict[str, list[_Version]] = {}
        self._stale_at_ms: float | None = None

    def put(self, instance: ListedInstance) -> None:
        """Register an instance, or update its state."""
        self._add(instance.name, instance)

    def remove(self, name: str) -> None:
        """Remove an instance."""
        if name in self._versions:
            self._add(name, None)

    def set_lag(self, lag_ms: int) -> None:
        """Set the delay after which changes become visible."""
        self._lag_ms = lag_ms

    def set_stale(self, stale: bool) -> None:
        """Return the list as of this moment until this is unset."""
        if stale and self._stale_at_ms is None:
            self._stale_at_ms = self._clock()
        if not stale:
            self._stale_at_ms = None

    def visible(self) -> tuple[ListedInstance, ...]:
        """Return the instances that a reader sees now, sorted by name."""
        now_ms = self._clock() if self._stale_at_ms is None else self._stale_at_ms
        as_of_ms = now_ms - self._lag_ms
        instances: list[ListedInstance] = []
        for _, versions in sorted(self._versions.items()):
            visible = [version for version in versions if version.at_ms <= as_of_ms]
            if not visible or visible[-1].instance is None:
                continue
            if self._expiry_ms and visible[-1].at_ms + self._expiry_ms < as_of_ms:
                continue
            instances.append(visible[-1].instance)
        return tuple(instances)

    def _add(self, name: str, instance: ListedInstance | None) -> None:
        versions = self._versions.setdefault(name, [])
        versions.append(_Version(instance, self._clock()))
        # Limits the memory for repeated registrations; 1,000 of them cover every lag used in tests.
        del versions[:-1000]
