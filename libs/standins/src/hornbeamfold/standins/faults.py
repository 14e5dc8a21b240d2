"""The injected faults of one stand-in, and waiting until they end."""

from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from random import Random
from typing import Any

from eventlet import Timeout
from eventlet.event import Event
from msgspec import ValidationError, convert

# A request held by a fault is dropped after this time, so that no connection stays open forever.
MAX_HOLD_MS = 120_000


@dataclass(frozen=True)
class Faults:
    """The active faults; the defaults are those of a healthy service.

    - `down`: "" serves, "unavailable" replies 503, "refuse" closes the port and its connections.
    - `slow_ms`: delay before a request is handled.
    - `lose_replies`: the connection is closed instead of replying to the next n calls that wrote.
    - `lose_probability`, `lose_seed`: the same with a probability for each call that wrote.
    - `cut_requests`, `cut_replies`: callers whose requests or replies are held back. A caller is
      identified by its address, its `X-Instance` or its `X-Availability-Zone`.
    - `frozen`: nothing is handled while this is set; held requests are handled afterwards.
    - `duplicate_appends`, `duplicate_after_ms`: the log stores the next n appends a second time,
      after a delay.
    - `stale_reads`: reads return the state of the moment at which this was set.
    - `list_lag_ms`: overrides the lag of the instance list given on the command line.
    - `dead`: the worker's port is closed and all its tasks are lost.
    - `fail_all`: every task and request that the worker starts fails at once.
    - `fail_tasks`: maps patterns of task ids to the time after the start at which they fail.
    - `leaving`: the worker reports that it is leaving.
    """

    down: str = ""
    slow_ms: int = 0
    lose_replies: int = 0
    lose_probability: float = 0.0
    lose_seed: int = 0
    cut_requests: frozenset[str] = frozenset()
    cut_replies: frozenset[str] = frozenset()
    frozen: bool = False
    duplicate_appends: int = 0
    duplicate_after_ms: int = 200
    stale_reads: bool = False
    list_lag_ms: int | None = None
    dead: bool = False
    fail_all: bool = False
    fail_tasks: dict[str, int] = field(default_factory=dict)
    leaving: bool = False

    @property
    def refuses(self) -> bool:
        """Whether connections are refused."""
        return self.dead or self.down == "refuse"


def apply_patch(current: Faults, patch: dict[str, Any]) -> Faults | str:
    """Return the faults with the fields of the patch replaced, or an error message."""
    unknown = sorted(set(patch) - set(Faults.__dataclass_fields__))
    if unknown:
        return f"unknown faults: {', '.join(unknown)}"
    if patch.get("down", "") not in ("", "unavailable", "refuse"):
        return 'down must be "", "unavailable" or "refuse"'
    try:
        return convert({**asdict(current), **patch}, Faults)
    except ValidationError as error:
        return str(error)


class FaultState:
    """The active faults with their counters; notifies listeners of each change."""

    def __init__(self) -> None:
        self._faults = Faults()
        self._random = Random(0)
        self._replies_to_lose = 0
        self._appends_to_duplicate = 0
        self._changed = Event()
        self._listeners: list[Callable[[Faults], None]] = []

    @property
    def current(self) -> Faults:
        """The active faults."""
        return self._faults

    def add_listener(self, listener: Callable[[Faults], None]) -> None:
        """Call the listener after each change."""
        self._listeners.append(listener)

    def change(self, patch: dict[str, Any]) -> str:
        """Replace the given faults; return an error message, or an empty string on success."""
        faults = apply_patch(self._faults, patch)
        if isinstance(faults, str):
            return faults
        if "lose_replies" in patch:
            self._replies_to_lose = faults.lose_replies
        if "duplicate_appends" in patch:
            self._appends_to_duplicate = faults.duplicate_appends
        if "lose_seed" in patch or "lose_probability" in patch:
            self._random = Random(faults.lose_seed)
        self._set(faults)
        return ""

    def reset(self) -> None:
        """Clear all faults."""
        self._replies_to_lose = 0
        self._appends_to_duplicate = 0
        self._set(Faults())

    def loses_reply(self) -> bool:
        """Decide whether the reply to a call that wrote is lost, and count it."""
        if self._replies_to_lose > 0:
            self._replies_to_lose -= 1
            return True
        return self._random.random() < self._faults.lose_probability

    def duplicates_append(self) -> bool:
        """Decide whether an append is stored a second time, and count it."""
        if self._appends_to_duplicate == 0:
            return False
        self._appends_to_duplicate -= 1
        return True

    def wait_while(self, condition: Callable[[Faults], bool]) -> bool:
        """Wait while the condition holds; return false if it still holds at the time limit."""
        if not condition(self._faults):
            return True
        with Timeout(MAX_HOLD_MS / 1000, False):
            while condition(self._faults):
                self._changed.wait()
            return True
        return False

    def _set(self, faults: Faults) -> None:
        self._faults = faults
        changed, self._changed = self._changed, Event()
        changed.send()
        for listener in self._listeners:
            listener(faults)
