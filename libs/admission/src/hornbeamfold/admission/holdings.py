"""What one connection holds, and the order in which connections are closed when room is short."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto
from heapq import nlargest

# A connection is not closed for lack of room before it has had this long.
GRACE_MS = 1_000
# A connection that has moved nothing for this long counts as stalled.
QUIET_MS = 1_000
# A connection that moves more than this, in bytes per second, is not closed for lack of room.
FAST_BYTES_PER_S = 16_384


class Phase(Enum):
    """What a connection waits for."""

    IDLE = auto()  # the next request
    HEAD = auto()  # the rest of a head
    BODY = auto()  # the rest of a body
    WORK = auto()  # the application
    ANSWER = auto()  # the client reads the answer
    CLOSING = auto()  # its end


# The application may have taken effect already, and a closing connection is gone soon.
_KEPT = (Phase.WORK, Phase.CLOSING)


@dataclass(frozen=True)
class Holding:
    """What a connection holds and how it moves; times are on the clock of the server.

    `moved_bytes` counts from `since_ms`, when the phase began; `moved_ms` is the last movement.
    """

    number: int
    phase: Phase
    since_ms: int
    moved_ms: int
    moved_bytes: int
    held_bytes: int


def bytes_per_s(holding: Holding, now_ms: int) -> float:
    """Return how fast a connection moves; 0 if it is stalled."""
    if now_ms - holding.moved_ms >= QUIET_MS:
        return 0.0
    return holding.moved_bytes * 1_000 / max(GRACE_MS, now_ms - holding.since_ms)


def choose_victims(
    holdings: Iterable[Holding], now_ms: int, needed_bytes: int, needed_places: int
) -> tuple[Holding, ...]:
    """Return the connections to close: those that hold most and move least come first.

    Returns none if closing all candidates would not make enough room.
    """
    weighed: list[tuple[float, int, Holding]] = []
    for holding in holdings:
        if holding.phase in _KEPT or now_ms - holding.since_ms < GRACE_MS:
            continue
        speed = bytes_per_s(holding, now_ms)
        if speed >= FAST_BYTES_PER_S:
            continue
        weighed.append((holding.held_bytes / (1 + speed), -holding.number, holding))
    victims: list[Holding] = []
    # A few are nearly always enough; sorting all of them would cost more than the rest.
    for count in (8, len(weighed)):
        victims.clear()
        freed_bytes = 0
        for _, _, holding in nlargest(count, weighed):
            if freed_bytes >= needed_bytes and len(victims) >= needed_places:
                break
            victims.append(holding)
            freed_bytes += holding.held_bytes
        if freed_bytes >= needed_bytes and len(victims) >= needed_places:
            return tuple(victims)
    return ()
