"""The budget of an instance for retries and hedges."""

TOKENS_PER_REQUEST = 0.1
# Lets an instance with little traffic retry a few requests.
RESERVE_TOKENS = 3.0
RESERVE_REFILL_PER_MS = 0.5 / 1000
# Limits the burst of retries after a long time without any.
MAX_TOKENS = 50.0


class RetryBudget:
    """A token bucket: each request adds a tenth of a token, and each retry or hedge takes one."""

    def __init__(self, now_ms: int) -> None:
        self._tokens = RESERVE_TOKENS
        self._refilled_ms = now_ms

    @property
    def tokens(self) -> float:
        """The number of tokens now, without the refill since the last attempt to take one."""
        return self._tokens

    def deposit(self) -> None:
        """Add the tokens of a new request."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_REQUEST)

    def try_withdraw(self, now_ms: int) -> bool:
        """Take a token for one retry or hedge; return whether there was one."""
        if self._tokens < RESERVE_TOKENS:
            refilled = self._tokens + max(0, now_ms - self._refilled_ms) * RESERVE_REFILL_PER_MS
            self._tokens = min(RESERVE_TOKENS, refilled)
        self._refilled_ms = max(self._refilled_ms, now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
