"""One-way delays between availability zones and byte counts between regions."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

# The region of callers that name no availability zone, or one that is not in the table.
UNKNOWN_REGION = "unknown"


@dataclass(frozen=True)
class Delays:
    """The table of delays; `regions` maps each availability zone to its region."""

    regions: Mapping[str, str] = field(default_factory=dict)
    within_zone_ms: float = 0.0
    between_zones_ms: float = 0.0
    between_regions_ms: float = 0.0


def region_of(delays: Delays, zone: str) -> str:
    """Return the region of an availability zone."""
    return delays.regions.get(zone, UNKNOWN_REGION)


def one_way_ms(delays: Delays, source: str, target: str) -> float:
    """Return the delay between two availability zones; 0 if either is unknown."""
    if source not in delays.regions or target not in delays.regions:
        return 0.0
    if source == target:
        return delays.within_zone_ms
    if delays.regions[source] == delays.regions[target]:
        return delays.between_zones_ms
    return delays.between_regions_ms


class Traffic:
    """Counts bytes and messages for each ordered pair of regions."""

    def __init__(self) -> None:
        self._bytes: Counter[tuple[str, str]] = Counter()
        self._messages: Counter[tuple[str, str]] = Counter()

    def add(self, source: str, target: str, size: int) -> None:
        """Count one message."""
        self._bytes[(source, target)] += size
        self._messages[(source, target)] += 1

    def clear(self) -> None:
        """Reset the counts."""
        self._bytes.clear()
        self._messages.clear()

    def pairs(self) -> list[dict[str, object]]:
        """Return the counts as JSON-ready objects."""
        return [
            {"from": pair[0], "to": pair[1], "bytes": size, "messages": self._messages[pair]}
            for pair, size in sorted(self._bytes.items())
        ]
