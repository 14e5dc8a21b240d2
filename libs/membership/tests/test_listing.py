"""Tests of readings of the instance list."""

import unittest
from types import SimpleNamespace
from unittest import mock

import urllib3

from hornbeamfold.membership import InstanceList, ListClient, ListFailure

ENTRY = (
    b'{"name":"n","role":"entry","address":"127.0.0.1:7","availability_zone":"z","state":"live"}'
)


class ReadingTest(unittest.TestCase):
    def read(self, body: bytes) -> InstanceList | ListFailure:
        reply = SimpleNamespace(status=200, data=body)
        with mock.patch.object(urllib3.PoolManager, "request", return_value=reply):
            return ListClient("http://127.0.0.1:1", "n").read()

    def test_a_list_is_decoded(self) -> None:
        reading = self.read(b'{"instances":[' + ENTRY + b"]}")
        assert isinstance(reading, InstanceList)
        self.assertEqual(reading.instances[0].address, "127.0.0.1:7")

    def test_an_odd_list_is_a_failure(self) -> None:
        """Guards against a list that ends the thread which reads it."""
        for body in (
            b"",
            b"[]",
            b"\xff",
            b'{"instances":7}',
            b'{"instances":[{}]}',
            b'{"instances":[],"odd":"\xff"}',
            b'{"instances":[],"odd":' + b"[" * 100_000,
        ):
            with self.subTest(body[:40]):
                self.assertIsInstance(self.read(body), ListFailure)


if __name__ == "__main__":
    unittest.main()
