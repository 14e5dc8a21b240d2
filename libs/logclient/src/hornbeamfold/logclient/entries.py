"""Decodes stored records into entries."""

from collections.abc import Iterable

from hornbeamfold.logclient.codec import UndecodableRecordError, decode_record
from hornbeamfold.logclient.outcomes import SkippedRecord
from hornbeamfold.model.events import Entry, Record

# Replaces a record that cannot be decoded; the fold ignores it but advances past its offset.
EMPTY_RECORD = Record("", 0, ())


def decode_entries(
    stored: Iterable[tuple[int, int, str]],
) -> tuple[tuple[Entry, ...], tuple[SkippedRecord, ...]]:
    """Return the entries of rows of offset, time in ms and text, and the records skipped there."""
    entries: list[Entry] = []
    skipped: list[SkippedRecord] = []
    for offset, at_ms, data in stored:
        try:
            record = decode_record(data)
        except UndecodableRecordError as error:
            skipped.append(SkippedRecord(offset, error.detail))
            record = EMPTY_RECORD
        entries.append(Entry(offset, at_ms, record))
    return tuple(entries), tuple(skipped)
