"""Tests of the comparison of two configurations."""

import unittest
from dataclasses import replace

from hornbeamfold.batch import Configuration, Limits, Organisation, Queue, Service
from hornbeamfold.configcheck import Change, differences

QUEUE = Queue("proofs", "proofs.example", "/proofs/", "planner", priority=1)
BEFORE = Configuration(
    7,
    (QUEUE, replace(QUEUE, name="old", path_prefix="/old/")),
    {"planner": Service("planner")},
    {"west": Organisation("west", ("key-1", "key-2"))},
)
AFTER = Configuration(
    9,
    (replace(QUEUE, priority=0), replace(QUEUE, name="new", path_prefix="/new/")),
    {"planner": Service("planner")},
    {"west": Organisation("west", ("key-2", "key-3"))},
    Limits(max_body_bytes=65_536),
)


class DifferencesTest(unittest.TestCase):
    def test_all_changes_are_listed_with_their_place(self) -> None:
        """Guards against changes that an operator does not see before they are sent."""
        found = [
            (each.change, each.place.section, each.place.entry, each.place.field)
            for each in differences(BEFORE, AFTER)
        ]
        self.assertEqual(
            found,
            [
                (Change.ADDED, "queue", "new", ""),
                (Change.REMOVED, "queue", "old", ""),
                (Change.CHANGED, "queue", "proofs", "priority"),
                (Change.CHANGED, "organisation", "west", "api_keys"),
                (Change.CHANGED, "limits", "", "max_body_bytes"),
            ],
        )

    def test_keys_are_not_shown(self) -> None:
        """Guards against keys in the output of a terminal or a log."""
        shown = [each.before + each.after for each in differences(BEFORE, AFTER)]
        self.assertFalse([text for text in shown if "key-" in text])
        self.assertIn("2 keys2 keys, 1 added, 1 removed", shown)

    def test_a_version_that_is_not_newer_is_told(self) -> None:
        """Guards against a configuration that no instance would take."""
        found = differences(BEFORE, replace(BEFORE, version=7))
        self.assertEqual([each.place.section for each in found], ["version"])
        self.assertEqual(differences(BEFORE, replace(BEFORE, version=8)), ())
