"""Tests of snapshots.

`test_view` checks that a restored view and the original fold later entries to the same state.
"""

from base64 import b64encode
from collections.abc import Iterable
from dataclasses import replace
from random import Random
from zlib import compress

from view_folding import ViewMixin, make_spec

from hornbeamfold.model import (
    InvariantViolationError,
    JobSubmitted,
    SnapshotPart,
    configure_invariants,
)
from hornbeamfold.view import SnapshotCollector, View, may_replace, snapshot_parts, verify_snapshot
from hornbeamfold.view.encoding import digest_of, encode_state
from hornbeamfold.view.snapshot import MAX_INCOMPLETE


class SnapshotTest(ViewMixin):
    def setUp(self) -> None:
        super().setUp()
        # Random text does not compress, so the snapshot has several parts.
        body = b64encode(Random(1).randbytes(300_000)).decode()
        self.accept(JobSubmitted(make_spec(body=body)))
        self.parts = snapshot_parts(self.view)
        self.collector = SnapshotCollector()

    def restore(self, parts: Iterable[SnapshotPart]) -> View:
        """Add parts and return the view that the last one completes."""
        views = [self.collector.add(part) for part in parts]
        self.assertEqual(views[:-1], [None] * (len(views) - 1))
        assert views[-1] is not None
        return views[-1]

    def test_parts_in_any_order(self) -> None:
        """Guards against parts above the record limit and restoring an incomplete snapshot."""
        self.assertGreater(len(self.parts), 1)
        self.assertLess(max(len(part.data) for part in self.parts), 200 * 1024)
        restored = self.restore([self.parts[-1], *reversed(self.parts)])
        self.assertEqual(restored.digest(), self.view.digest())
        self.assertEqual(restored.offset, self.parts[0].as_of)
        self.assertIsNone(self.collector.add(self.parts[0]))

    def test_damaged_or_interrupted_snapshot(self) -> None:
        """Guards against restoring corrupted state (I8) and keeping incomplete snapshots."""
        for data in ("!", self.parts[0].data):
            with self.assertRaises(InvariantViolationError):
                self.collector.add(replace(self.parts[0], parts=1, data=data))
        for newer in range(MAX_INCOMPLETE + 1):
            self.collector.add(replace(self.parts[0], as_of=self.parts[0].as_of + newer))
        self.assertEqual({self.collector.add(part) for part in self.parts[1:]}, {None})

    def test_a_state_that_cannot_be_decoded_is_not_restored(self) -> None:
        """Guards against a snapshot of another version that ends the thread which loads it."""
        state = encode_state(self.view.state)
        odd = {
            "no JSON": b"\xff",
            "no state": b"{}",
            "too deep": b'{"odd":' + b"[" * 100_000,
            "unknown zone": state.replace(b'"zones":[', b'"zones":[],"odd":['),
        }
        for name, encoded in odd.items():
            with self.subTest(name):
                self.assertNotEqual(encoded, state)
                part = SnapshotPart(
                    10**6, digest_of(encoded), 0, 1, b64encode(compress(encoded)).decode()
                )
                with self.assertRaises(InvariantViolationError):
                    self.collector.add(part)
        restored = self.restore(self.parts)
        self.assertEqual(restored.digest(), self.view.digest())

    def test_different_states_are_detected(self) -> None:
        """Guards against accepting diverged state (I8) or a lower configuration offset (I6)."""
        restored = self.restore(self.parts)
        self.assertTrue(may_replace(self.view, restored))
        self.assertFalse(may_replace(self.view, View()))
        self.accept(JobSubmitted(make_spec("k")))
        tail = self.entries[restored.offset :]
        self.assertTrue(verify_snapshot(self.view, restored, tail))
        restored.state.configuration_offset -= 1
        for check in (may_replace, lambda view, other: verify_snapshot(view, other, ())):
            configure_invariants(lambda name, detail: None, True)
            with self.assertRaises(InvariantViolationError):
                check(self.view, restored)
            configure_invariants(lambda name, detail: None, False)
            self.assertFalse(check(self.view, restored))
