"""Tests of the kept answers."""

import unittest

from hornbeamfold.daemon.answers import ENTRY_BYTES, AnswerStore
from hornbeamfold.model.errors import Done, ErrorKind, Refused
from hornbeamfold.model.timing import ANSWER_RETENTION_MS


class AnswerStoreTest(unittest.TestCase):
    def test_answers_leave_by_age_and_by_size(self) -> None:
        """Guards against memory that grows without bound and answers that are kept too short."""
        cases = (
            ("kept", 1_000, ANSWER_RETENTION_MS, True, True),
            ("too old", 1_000, ANSWER_RETENTION_MS + 1, False, False),
            ("too much", ENTRY_BYTES * 2 + 10, 1, False, True),
        )
        for name, limit, later_ms, first_kept, stored in cases:
            with self.subTest(name):
                store = AnswerStore(max_bytes=limit + 2 * ENTRY_BYTES if stored else 10_000)
                if name == "too much":
                    store = AnswerStore(max_bytes=limit)
                store.put(("a", "1"), "d", Done("x" * 10), 0)
                store.put(("a", "2"), "d", Done("y" * 10), later_ms)
                self.assertEqual(store.get(("a", "1"), later_ms) is not None, first_kept)
                self.assertIsNotNone(store.get(("a", "2"), later_ms))

    def test_the_size_follows_replacements(self) -> None:
        """Guards against a count that drifts, so that everything is evicted in the end."""
        store = AnswerStore()
        for outcome in (Done("x" * 100), Refused(ErrorKind.FAILED, "no"), Done("x")):
            store.put(("a", "1"), "d", outcome, 0)
        self.assertEqual(store.size, ENTRY_BYTES + 1)


if __name__ == "__main__":
    unittest.main()
