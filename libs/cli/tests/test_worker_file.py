"""Tests of files of workers."""

import unittest

from hornbeamfold.cli.worker_file import read_worker_file
from hornbeamfold.model import Refused


class WorkerFileTest(unittest.TestCase):
    def test_odd_text_is_refused(self) -> None:
        """Guards against a traceback for a file that does not contain workers."""
        for text in (
            "",
            "a: [",
            "workers: " + "[" * 10_000 + "]" * 10_000,
            "workers: 2026-99-99",
            "workers: " + "9" * 5_000,
            "? [a]\n: 1",
        ):
            with self.subTest(text[:20]):
                self.assertIsInstance(read_worker_file(text), Refused)


if __name__ == "__main__":
    unittest.main()
