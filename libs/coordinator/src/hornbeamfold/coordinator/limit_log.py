"""Logs which organisations wait for their limits, with a bounded number of lines."""

from collections.abc import Collection, Mapping
from dataclasses import astuple

from hornbeamfold.batch import Clock
from hornbeamfold.scheduling import OrganisationUse
from hornbeamfold.telemetry import counter, get_logger

logger = get_logger("hornbeamfold.coordinator.limits")
_limits_reached = counter("hornbeamfold_limits_reached", "Times that organisations began to wait.")

# An organisation that has not waited for this long has ceased to wait: near its limit it may wait
# in every other pass.
QUIET_MS = 2_000


class LimitLog:
    """The organisations that wait for their limits, so that each change is logged once."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_limited_ms: dict[str, int] = {}

    @property
    def limited(self) -> Collection[str]:
        """The organisations that have waited for their limits a moment ago."""
        return self._last_limited_ms.keys()

    def record(
        self,
        limited: Collection[str],
        uses: Mapping[str, OrganisationUse],
        version: int | None,
    ) -> None:
        """Log the organisations that begin or cease to wait, by the limits of this configuration.

        `limited` are those that waited in the pass that has just ended.
        """
        now = self._clock()
        for name in sorted(limited):
            if name not in self._last_limited_ms:
                _limits_reached(1, organisation=name)
                _log("limit_reached", name, uses, version)
            self._last_limited_ms[name] = now
        for name, last_ms in tuple(self._last_limited_ms.items()):
            if now - last_ms < QUIET_MS:
                continue
            del self._last_limited_ms[name]
            _log("limit_left", name, uses, version)


def _log(event: str, name: str, uses: Mapping[str, OrganisationUse], version: int | None) -> None:
    use = uses.get(name, OrganisationUse())
    logger.info(
        event,
        extra={
            "organisation": name,
            "used": astuple(use.used),
            "uncertain": astuple(use.uncertain),
            "limit": astuple(use.limit),
            "configuration": version,
        },
    )
