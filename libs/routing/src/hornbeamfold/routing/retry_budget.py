"""The budget of an instance for retries and hedges."""

SHARE = 0.1
# A quiet instance can still retry a few requests.
FLOOR_TOKENS = 3.0
FLOOR_REFILL_PER_MS = 0.5 / 1000
# Limits the retries that a long quiet time can save up for one moment.
MAX_TOKENS = 50.0


class RetryBudget:
    """A token bucket that earns a tenth of a token with each request."""

    def __init__(self, now_ms: int) -> None:
        self._tokens = FLOOR_TOKENS
        self._at_ms = now_ms

    @property
    def tokens(self) -> float:
        """The retries that may be made now."""
        return self._tokens

    def earn(self) -> None:
        """Count a new request."""
        self._tokens = min(MAX_TOKENS, self._tokens + SHARE)

    def spend(self, now_ms: int) -> bool:
        """Take a token for one retry or hedge; return whether there was one."""
        if self._tokens < FLOOR_TOKENS:
            refilled = self._tokens + max(0, now_ms - self._at_ms) * FLOOR_REFILL_PER_MS
            self._tokens = min(FLOOR_TOKENS, refilled)
        self._at_ms = max(self._at_ms, now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
