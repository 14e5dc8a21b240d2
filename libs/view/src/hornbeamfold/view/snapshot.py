"""Splits the encoded state into snapshot parts and restores a view from them."""

from base64 import b64decode, b64encode
from collections.abc import Iterable
from zlib import compress, decompress
from zlib import error as zlib_error

from hornbeamfold.decoding import DecodeError
from hornbeamfold.model import Entry, SnapshotPart, check_invariant
from hornbeamfold.view.encoding import decode_state, digest_of, encode_state
from hornbeamfold.view.fold_config import GuaranteesFit, always_fits
from hornbeamfold.view.view import View

# A record holds at most 256 KiB. Base64 text needs no escapes in JSON, so the encoded part is only
# a little larger than this.
PART_CHARACTERS = 160 * 1024
# The parts of an interrupted snapshot are dropped once this many newer snapshots are incomplete.
MAX_INCOMPLETE = 4


def snapshot_parts(view: View) -> tuple[SnapshotPart, ...]:
    """Return the state of a view as the parts of a snapshot, one for each log record."""
    encoded = encode_state(view.state)
    digest = digest_of(encoded)
    # Compression reduces traffic between regions: the JSON repeats the same field names.
    text = b64encode(compress(encoded)).decode("ascii")
    chunks = [text[at : at + PART_CHARACTERS] for at in range(0, len(text), PART_CHARACTERS)]
    return tuple(
        SnapshotPart(view.offset, digest, number, len(chunks), chunk)
        for number, chunk in enumerate(chunks)
    )


class SnapshotCollector:
    """Collects the parts of snapshots, which several writers may write at once."""

    def __init__(self, guarantees_fit: GuaranteesFit = always_fits) -> None:
        self._guarantees_fit = guarantees_fit
        self._incomplete: dict[tuple[int, str, int], dict[int, str]] = {}
        self._newest = -1

    def add(self, part: SnapshotPart) -> View | None:
        """Add a part; return the restored view if it completes a snapshot newer than the last."""
        if part.as_of <= self._newest or not 0 <= part.part < part.parts:
            return None
        key = (part.as_of, part.digest, part.parts)
        chunks = self._incomplete.setdefault(key, {})
        chunks[part.part] = part.data
        if len(chunks) < part.parts:
            self._evict()
            return None
        del self._incomplete[key]
        view = self._restore(part, "".join(chunks[number] for number in range(part.parts)))
        if view is not None:
            self._newest = part.as_of
        return view

    def _restore(self, part: SnapshotPart, text: str) -> View | None:
        try:
            encoded = decompress(b64decode(text))
        except (ValueError, zlib_error):
            encoded = b""
        intact = digest_of(encoded) == part.digest
        check_invariant("I8", intact, f"the snapshot as of {part.as_of} does not match its digest")
        if not intact:
            return None
        try:
            return View(self._guarantees_fit, decode_state(encoded))
        except DecodeError as error:
            check_invariant("I8", False, f"the snapshot as of {part.as_of} is malformed: {error}")
            return None

    def _evict(self) -> None:
        while len(self._incomplete) > MAX_INCOMPLETE:
            del self._incomplete[min(self._incomplete)]


def may_replace(current: View, restored: View) -> bool:
    """Return whether a restored view may replace the current one.

    An older snapshot is refused. A newer one with an earlier configuration offset violates
    invariant I6.
    """
    if restored.offset < current.offset:
        return False
    before = current.configuration_offset
    after = restored.configuration_offset
    check_invariant(
        "I6",
        after >= before,
        f"a snapshot lowers the configuration offset from {before} to {after}",
    )
    return after >= before


def verify_snapshot(view: View, restored: View, tail: Iterable[Entry]) -> bool:
    """Return whether a restored view has the state of `view` at its offset; report I8 if not.

    `tail` holds the entries from the snapshot's offset to that of the view, which are applied to
    `restored`: by the time that a snapshot is read, the view has folded later records.
    """
    for entry in tail:
        if entry.offset < view.offset:
            restored.apply(entry)
    agrees = restored.offset == view.offset and restored.digest() == view.digest()
    check_invariant(
        "I8",
        agrees,
        f"the state at offset {view.offset} differs from the one restored from a snapshot",
    )
    return agrees
