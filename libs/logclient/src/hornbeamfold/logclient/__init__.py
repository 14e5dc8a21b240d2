"""Client of the log service and the codec of its records."""

from hornbeamfold.logclient.client import LogClient
from hornbeamfold.logclient.codec import (
    MAX_RECORD_BYTES,
    UndecodableRecordError,
    decode_record,
    encode_record,
    encoded_size,
    split_events,
)
from hornbeamfold.logclient.entries import EMPTY_RECORD, decode_entries
from hornbeamfold.logclient.follow import follow
from hornbeamfold.logclient.outcomes import (
    Appended,
    AppendOutcome,
    Expired,
    FailureKind,
    LogFailure,
    ReadOutcome,
    ReadResult,
    SkippedRecord,
)
from hornbeamfold.logclient.signals import Signal
from hornbeamfold.logclient.ticket import Ticket
from hornbeamfold.logclient.writer import LogWriter

__all__ = [
    "EMPTY_RECORD",
    "MAX_RECORD_BYTES",
    "AppendOutcome",
    "Appended",
    "Expired",
    "FailureKind",
    "LogClient",
    "LogFailure",
    "LogWriter",
    "ReadOutcome",
    "ReadResult",
    "Signal",
    "SkippedRecord",
    "Ticket",
    "UndecodableRecordError",
    "decode_entries",
    "decode_record",
    "encode_record",
    "encoded_size",
    "follow",
    "split_events",
]
