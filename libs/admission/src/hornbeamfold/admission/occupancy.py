"""The connections of one server and the memory that they hold together."""

from collections.abc import Callable
from dataclasses import replace

from hornbeamfold.admission.holdings import Holding, Phase, choose_victims
from hornbeamfold.admission.limits import CONNECTION_BYTES, ServerLimits

Clock = Callable[[], int]


class Occupancy:
    """Grants places and memory to connections, and names those to close when there is no room.

    Memory of a connection that is being closed counts until it has left.
    """

    def __init__(self, limits: ServerLimits, clock: Clock) -> None:
        self._limits = limits
        self._clock = clock
        self._holdings: dict[int, Holding] = {}
        self._held_bytes = 0
        self._closing_bytes = 0
        self._closing = 0
        self._next_number = 0

    @property
    def connections(self) -> int:
        """The number of connections."""
        return len(self._holdings)

    @property
    def held_bytes(self) -> int:
        """The memory that all connections hold."""
        return self._held_bytes

    def holding(self, number: int) -> Holding:
        """Return what a connection holds."""
        return self._holdings[number]

    def idle(self) -> tuple[int, ...]:
        """Return the connections that wait for a request."""
        return tuple(each.number for each in self._holdings.values() if each.phase == Phase.IDLE)

    def enter(self) -> int | None:
        """Return the number of a new connection, or None if there is no place for it."""
        if len(self._holdings) >= self._limits.connections or not self._fits(CONNECTION_BYTES):
            return None
        number = self._next_number
        self._next_number += 1
        now_ms = self._clock()
        self._holdings[number] = Holding(number, Phase.IDLE, now_ms, now_ms, 0, CONNECTION_BYTES)
        self._held_bytes += CONNECTION_BYTES
        return number

    def leave(self, number: int) -> None:
        """Remove a connection with all that it holds."""
        holding = self._holdings.pop(number)
        self._held_bytes -= holding.held_bytes
        if holding.phase == Phase.CLOSING:
            self._closing_bytes -= holding.held_bytes
            self._closing -= 1

    def begin(self, number: int, phase: Phase) -> bool:
        """Set what a connection waits for; return False if it is being closed."""
        holding = self._holdings[number]
        if holding.phase == Phase.CLOSING:
            return False
        if holding.phase != phase:
            now_ms = self._clock()
            self._holdings[number] = Holding(number, phase, now_ms, now_ms, 0, holding.held_bytes)
        return True

    def moved(self, number: int, count: int) -> None:
        """Record that a connection has received or sent some bytes."""
        known = self._holdings[number]
        self._holdings[number] = Holding(
            number,
            known.phase,
            known.since_ms,
            self._clock(),
            known.moved_bytes + count,
            known.held_bytes,
        )

    def reserve(self, number: int, count: int) -> bool:
        """Add bytes to what a connection holds, and return whether there is room for them.

        The first content of all fits in any case, so that large answers are possible.
        """
        if count > 0 and not self._fits(count) and not self._is_empty:
            return False
        self._add(number, count)
        return True

    def release(self, number: int, kept_bytes: int = 0) -> None:
        """Reduce what a connection holds to an empty connection and some bytes."""
        self._add(number, CONNECTION_BYTES + kept_bytes - self._holdings[number].held_bytes)

    def victims(self, count: int, places: int) -> tuple[int, ...]:
        """Return the connections to close so that `count` bytes and `places` become free.

        Room that connections will free by closing already is taken into account.
        """
        free_bytes = self._limits.memory_bytes - self._held_bytes + self._closing_bytes
        free_places = self._limits.connections - len(self._holdings) + self._closing
        needed_bytes, needed_places = max(0, count - free_bytes), max(0, places - free_places)
        if needed_bytes == 0 and needed_places == 0:
            return ()
        chosen = choose_victims(self._holdings.values(), self._clock(), needed_bytes, needed_places)
        for holding in chosen:
            self._holdings[holding.number] = replace(holding, phase=Phase.CLOSING)
            self._closing_bytes += holding.held_bytes
            self._closing += 1
        return tuple(holding.number for holding in chosen)

    @property
    def _is_empty(self) -> bool:
        return self._held_bytes == len(self._holdings) * CONNECTION_BYTES

    def _fits(self, count: int) -> bool:
        return self._held_bytes + count <= self._limits.memory_bytes

    def _add(self, number: int, count: int) -> None:
        if count == 0:
            return
        known = self._holdings[number]
        self._holdings[number] = Holding(
            number,
            known.phase,
            known.since_ms,
            known.moved_ms,
            known.moved_bytes,
            known.held_bytes + count,
        )
        self._held_bytes += count
        if known.phase == Phase.CLOSING:
            self._closing_bytes += count
