"""Tests of the encoding of records."""

import unittest
from sys import float_info
from typing import get_type_hints

from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamfold.logclient.codec import (
    MAX_RECORD_BYTES,
    UndecodableRecordError,
    decode_record,
    encode_record,
    split_events,
)
from hornbeamfold.model.errors import HornbeamfoldError
from hornbeamfold.model.events import EVENT_TYPES, JobCancelled, Record, SnapshotPart

DEEP = "[" * 100_000 + "]" * 100_000
FINITE = st.floats(-float_info.max, float_info.max)


def events_of(event_type: type) -> st.SearchStrategy:
    """Return a strategy for one event type with finite numbers: JSON has no others."""
    floats = {name: FINITE for name, hint in get_type_hints(event_type).items() if hint is float}
    return st.builds(event_type, **floats)


class CodecTest(unittest.TestCase):
    def test_every_event_type_round_trips(self) -> None:
        """Guards against an event that is decoded with other values, so that folds differ."""
        for event_type in EVENT_TYPES:
            with self.subTest(event_type.__name__):

                @settings(derandomize=True, max_examples=40, deadline=None, database=None)
                @given(st.lists(events_of(event_type), max_size=3), st.integers(0))
                def check(events: list, seq: int) -> None:
                    record = Record("writer", seq, tuple(events))
                    self.assertEqual(decode_record(encode_record(record)), record)

                check()

    def test_undecodable_records_raise_one_type_of_error(self) -> None:
        """Guards against a reader that fails on a record of a newer version."""
        for data, expected in (
            ('{"writer":"w","seq":1,"events":[{"Later":{}}]}', "unknown event Later"),
            ('{"writer":"w","seq":1,"events":[{"JobCancelled":{}}]}', "event JobCancelled"),
            ('{"writer":"w","seq":1,"events":[{}]}', "0 tags"),
            ("[]", "not a record"),
            ('{"odd":' + DEEP, "not a record"),
            ('{"writer":"w","seq":1,"events":[{"JobCancelled":{"odd":' + DEEP + "}}]}", "record"),
            ('{"writer":"w","seq":' + "9" * 5_000 + ',"events":[]}', "not a record"),
            ('{"writer":"w","seq":1e400,"events":[]}', "not a record"),
            ("{", "not a record"),
        ):
            with (
                self.subTest(data[:80]),
                self.assertRaisesRegex(UndecodableRecordError, expected),
            ):
                decode_record(data)

    def test_batches_are_split_at_the_limit(self) -> None:
        """Guards against records that the log rejects, and against reordered events."""
        # Each character takes six bytes as JSON.
        events = tuple(SnapshotPart(n, "", n, 9, "\x01" * 15_000) for n in range(9))
        batches = split_events(events)
        self.assertEqual(tuple(event for batch in batches for event in batch), events)
        self.assertEqual([len(batch) for batch in batches], [2, 2, 2, 2, 1])
        for batch in batches:
            encoded = encode_record(Record("w" * 200, 2**62, batch))
            self.assertLessEqual(len(encoded.encode()), MAX_RECORD_BYTES)

    def test_one_event_above_the_limit_is_refused(self) -> None:
        """Guards against an event that would block its writer forever."""
        with self.assertRaises(HornbeamfoldError):
            split_events((JobCancelled("o", "x" * MAX_RECORD_BYTES),))
