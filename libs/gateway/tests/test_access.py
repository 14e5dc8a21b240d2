"""Tests of authorisation and readiness."""

import unittest

from hornbeamfold.batch import Bounds, Configuration, OperatorState, Organisation, Queue
from hornbeamfold.gateway import Access, authorise, not_ready_reason
from hornbeamfold.model import ErrorKind, Refused

QUEUES = (
    Queue("short", "h", "/a/", "s"),
    Queue("long", "h", "/a/b/", "s"),
    Queue("open", "h", "/open/", "s", public=True),
)
STATE = OperatorState(
    Configuration(1, QUEUES, {}, {"o": Organisation("o", ("key",))}, key_owners={"key": "o"})
)


class AccessTest(unittest.TestCase):
    def test_access_and_refusals(self) -> None:
        cases = [
            ("the longest prefix", 0, "h", "/a/b/7", "key", "long"),
            ("a shorter prefix", 0, "h", "/a/7", "key", "short"),
            ("another host", 0, "x", "/a/7", "key", ErrorKind.NOT_FOUND),
            ("no such path", 0, "h", "/z/7", "key", ErrorKind.NOT_FOUND),
            ("no key", 0, "h", "/a/7", "", ErrorKind.UNAUTHENTICATED),
            ("another key", 0, "h", "/a/7", "old", ErrorKind.UNAUTHENTICATED),
            ("no key needed", 0, "h", "/open/7", "", "open"),
            ("stale configuration with a key", 4_800, "h", "/a/7", "key", ErrorKind.STALE_VIEW),
            ("stale configuration without a key", 60_000, "h", "/open/7", "", "open"),
        ]
        for name, age_ms, host, path, key, expected in cases:
            with self.subTest(name):
                access = authorise(STATE, age_ms, Bounds(), host, path, key)
                if isinstance(access, Access):
                    self.assertEqual((access.queue.name, access.rest), (expected, "7"))
                else:
                    self.assertEqual(access.kind, expected)

    def test_nothing_is_served_before_the_first_configuration(self) -> None:
        access = authorise(OperatorState(), 0, Bounds(), "h", "/a/7", "key")
        self.assertIsInstance(access, Refused)


class ReadinessTest(unittest.TestCase):
    def test_a_draining_instance_is_not_ready(self) -> None:
        self.assertEqual(not_ready_reason(True, ()), "draining")
        self.assertEqual(not_ready_reason(False, ()), "")


if __name__ == "__main__":
    unittest.main()
