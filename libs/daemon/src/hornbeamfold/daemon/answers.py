"""Answers to idempotent requests, kept in memory for a time and up to a size."""

from collections import OrderedDict
from dataclasses import dataclass

from hornbeamfold.model.errors import Outcome, Refused
from hornbeamfold.model.timing import ANSWER_RETENTION_MS

MAX_BYTES = 32 * 1024 * 1024
# What an entry costs besides its answer.
ENTRY_BYTES = 512

Key = tuple[str, str]


@dataclass(frozen=True)
class KeptAnswer:
    """The outcome of one request with the digest of its body."""

    digest: str
    outcome: Outcome
    kept_ms: int

    @property
    def size(self) -> int:
        """The bytes that this answer counts for."""
        if isinstance(self.outcome, Refused):
            return ENTRY_BYTES
        return ENTRY_BYTES + len(self.outcome.answer)


class AnswerStore:
    """The kept answers, the oldest of which are evicted first."""

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self._answers: OrderedDict[Key, KeptAnswer] = OrderedDict()
        self._bytes = 0
        self._max_bytes = max_bytes

    @property
    def size(self) -> int:
        """The bytes that all kept answers count for."""
        return self._bytes

    def put(self, key: Key, digest: str, outcome: Outcome, now_ms: int) -> None:
        """Keep an outcome and evict what is too old or too much."""
        self._drop(key)
        kept = KeptAnswer(digest, outcome, now_ms)
        self._answers[key] = kept
        self._bytes += kept.size
        while self._answers:
            oldest = next(iter(self._answers))
            expired = self._answers[oldest].kept_ms + ANSWER_RETENTION_MS < now_ms
            if not expired and self._bytes <= self._max_bytes:
                break
            self._drop(oldest)

    def get(self, key: Key, now_ms: int) -> KeptAnswer | None:
        """Return the kept outcome of a request, if any."""
        kept = self._answers.get(key)
        if kept is None or kept.kept_ms + ANSWER_RETENTION_MS < now_ms:
            return None
        return kept

    def _drop(self, key: Key) -> None:
        kept = self._answers.pop(key, None)
        if kept is not None:
            self._bytes -= kept.size
