"""Service times of each kind of request over a sliding window."""

from bisect import bisect_left, insort
from collections import OrderedDict, deque

WINDOW_MS = 60_000
MAX_SAMPLES = 256
# Callers name the kinds, so their number is bounded.
MAX_KINDS = 256
MIN_HEDGE_SAMPLES = 20
HEDGE_QUANTILE = 0.95
DEFAULT_SERVICE_MS = 200.0


class _Window:
    """The latest samples, ordered by time and by value."""

    def __init__(self) -> None:
        self._by_time: deque[tuple[int, float]] = deque()
        self._sorted: list[float] = []

    def add(self, value: float, now_ms: int) -> None:
        if len(self._by_time) >= MAX_SAMPLES:
            self._drop_oldest()
        self._by_time.append((now_ms, value))
        insort(self._sorted, value)

    def sorted_values(self, now_ms: int) -> list[float]:
        while self._by_time and self._by_time[0][0] < now_ms - WINDOW_MS:
            self._drop_oldest()
        return self._sorted

    def _drop_oldest(self) -> None:
        _, value = self._by_time.popleft()
        del self._sorted[bisect_left(self._sorted, value)]


class LatencyTable:
    """Quantiles of the service time of each kind of request."""

    def __init__(self) -> None:
        self._windows: OrderedDict[str, _Window] = OrderedDict()

    def add(self, kind: str, elapsed_ms: float, now_ms: int) -> None:
        """Record how long a successful request of the kind took."""
        window = self._windows.get(kind)
        if window is None:
            if len(self._windows) >= MAX_KINDS:
                self._windows.popitem(last=False)
            window = self._windows[kind] = _Window()
        self._windows.move_to_end(kind)
        window.add(elapsed_ms, now_ms)

    def quantile(self, kind: str, q: float, now_ms: int) -> float | None:
        """Return the quantile `q` within the window, or None without samples."""
        window = self._windows.get(kind)
        values = window.sorted_values(now_ms) if window is not None else []
        if not values:
            return None
        return values[min(len(values) - 1, int(q * len(values)))]

    def typical_ms(self, kind: str, now_ms: int) -> float:
        """Return the median, or a default for a kind without recent samples."""
        median = self.quantile(kind, 0.5, now_ms)
        return DEFAULT_SERVICE_MS if median is None else median

    def hedge_after_ms(self, kind: str, now_ms: int) -> float | None:
        """Return the time after which an urgent idempotent request is hedged.

        None means that there are too few samples to tell.
        """
        window = self._windows.get(kind)
        if window is None or len(window.sorted_values(now_ms)) < MIN_HEDGE_SAMPLES:
            return None
        return self.quantile(kind, HEDGE_QUANTILE, now_ms)
