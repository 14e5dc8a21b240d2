"""An in-memory cache of answers to idempotent requests, bounded by age and by size."""

from collections import OrderedDict
from dataclasses import dataclass

from hornbeamfold.model.errors import Outcome, Refused
from hornbeamfold.model.timing import ANSWER_RETENTION_MS

MAX_CACHE_BYTES = 32 * 1024 * 1024
# Size in bytes that each entry counts for in addition to its answer.
ENTRY_OVERHEAD_BYTES = 512

Key = tuple[str, str]


@dataclass(frozen=True)
class CachedAnswer:
    """The outcome of one request, with the digest of its body and the time it was cached."""

    digest: str
    outcome: Outcome
    cached_ms: int

    @property
    def size(self) -> int:
        """The size of this entry in bytes."""
        if isinstance(self.outcome, Refused):
            return ENTRY_OVERHEAD_BYTES
        return ENTRY_OVERHEAD_BYTES + len(self.outcome.answer)


class AnswerCache:
    """Cached outcomes by request key; the oldest entries are evicted first."""

    def __init__(self, max_bytes: int = MAX_CACHE_BYTES) -> None:
        self._answers: OrderedDict[Key, CachedAnswer] = OrderedDict()
        self._bytes = 0
        self._max_bytes = max_bytes

    @property
    def size(self) -> int:
        """The total size of all entries in bytes."""
        return self._bytes

    def put(self, key: Key, digest: str, outcome: Outcome, now_ms: int) -> None:
        """Cache an outcome and evict entries that have expired or exceed the size limit."""
        self._remove(key)
        cached = CachedAnswer(digest, outcome, now_ms)
        self._answers[key] = cached
        self._bytes += cached.size
        while self._answers:
            oldest = next(iter(self._answers))
            expired = self._answers[oldest].cached_ms + ANSWER_RETENTION_MS < now_ms
            if not expired and self._bytes <= self._max_bytes:
                break
            self._remove(oldest)

    def get(self, key: Key, now_ms: int) -> CachedAnswer | None:
        """Return the cached outcome of a request, or None if there is none or it has expired."""
        cached = self._answers.get(key)
        if cached is None or cached.cached_ms + ANSWER_RETENTION_MS < now_ms:
            return None
        return cached

    def _remove(self, key: Key) -> None:
        cached = self._answers.pop(key, None)
        if cached is not None:
            self._bytes -= cached.size
