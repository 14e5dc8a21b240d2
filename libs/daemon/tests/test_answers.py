"""Tests of the answer cache."""

import unittest

from hornbeamfold.daemon.answers import ENTRY_OVERHEAD_BYTES, AnswerCache
from hornbeamfold.model.errors import Done, ErrorKind, Refused
from hornbeamfold.model.timing import ANSWER_RETENTION_MS


class AnswerCacheTest(unittest.TestCase):
    def test_answers_are_evicted_by_age_and_by_size(self) -> None:
        """Guards against unbounded memory, and against answers that are evicted too early."""
        cases = (
            ("kept", 1_000, ANSWER_RETENTION_MS, True, True),
            ("too old", 1_000, ANSWER_RETENTION_MS + 1, False, False),
            ("too much", ENTRY_OVERHEAD_BYTES * 2 + 10, 1, False, True),
        )
        for name, limit, second_ms, first_kept, stored in cases:
            with self.subTest(name):
                cache = AnswerCache(
                    max_bytes=limit + 2 * ENTRY_OVERHEAD_BYTES if stored else 10_000
                )
                if name == "too much":
                    cache = AnswerCache(max_bytes=limit)
                cache.put(("a", "1"), "d", Done("x" * 10), 0)
                cache.put(("a", "2"), "d", Done("y" * 10), second_ms)
                self.assertEqual(cache.get(("a", "1"), second_ms) is not None, first_kept)
                self.assertIsNotNone(cache.get(("a", "2"), second_ms))

    def test_the_size_follows_replacements(self) -> None:
        """Guards against a size that drifts on replacements, so that all entries are evicted."""
        cache = AnswerCache()
        for outcome in (Done("x" * 100), Refused(ErrorKind.FAILED, "no"), Done("x")):
            cache.put(("a", "1"), "d", outcome, 0)
        self.assertEqual(cache.size, ENTRY_OVERHEAD_BYTES + 1)


if __name__ == "__main__":
    unittest.main()
