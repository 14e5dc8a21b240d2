"""Service times for each kind of request over a sliding window."""

from bisect import bisect_left, insort
from collections import OrderedDict, deque

WINDOW_MS = 60_000
MAX_SAMPLES = 256
# Kinds are named by callers, so their number is bounded.
MAX_KINDS = 256
MIN_HEDGE_SAMPLES = 20
HEDGE_QUANTILE = 0.95
DEFAULT_SERVICE_MS = 200.0


class _Window:
    """The last samples in order of time and in order of size."""

    def __init__(self) -> None:
        self._by_time: deque[tuple[int, float]] = deque()
        self._by_size: list[float] = []

    def add(self, value: float, now_ms: int) -> None:
        if len(self._by_time) >= MAX_SAMPLES:
            self._drop_oldest()
        self._by_time.append((now_ms, value))
        insort(self._by_size, value)

    def sorted_values(self, now_ms: int) -> list[float]:
        while self._by_time and self._by_time[0][0] < now_ms - WINDOW_MS:
            self._drop_oldest()
        return self._by_size

    def _drop_oldest(self) -> None:
        _, value = self._by_time.popleft()
        del self._by_size[bisect_left(self._by_size, value)]


class LatencyTable:
    """Quantiles of the service time for each kind."""

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

    def quantile(self, kind: str, share: float, now_ms: int) -> float | None:
        """Return the quantile within the window, or None without samples."""
        window = self._windows.get(kind)
        values = window.sorted_values(now_ms) if window is not None else []
        if not values:
            return None
        return values[min(len(values) - 1, int(share * len(values)))]

    def typical_ms(self, kind: str, now_ms: int) -> float:
        """Return the median, or a default for a kind that has not been seen lately."""
        median = self.quantile(kind, 0.5, now_ms)
        return DEFAULT_SERVICE_MS if median is None else median

    def hedge_after_ms(self, kind: str, now_ms: int) -> float | None:
        """Return when an urgent idempotent request is worth a second try, if that is known."""
        window = self._windows.get(kind)
        if window is None or len(window.sorted_values(now_ms)) < MIN_HEDGE_SAMPLES:
            return None
        return self.quantile(kind, HEDGE_QUANTILE, now_ms)
