"""Encoding of log records: JSON in which each event is tagged with its class name."""

from dataclasses import dataclass
from typing import Any

from msgspec import Raw
from msgspec.json import encode

from hornbeamfold.decoding import DecodeError, decode_json
from hornbeamfold.model.errors import ErrorKind, HornbeamfoldError
from hornbeamfold.model.events import EVENT_TYPES, Event, Record

# The log service rejects larger records.
MAX_RECORD_BYTES = 256 * 1024
# Reserved for the writer, the sequence number and the brackets around the events.
ENVELOPE_BYTES = 512
MAX_EVENTS_BYTES = MAX_RECORD_BYTES - ENVELOPE_BYTES


class UndecodableRecordError(HornbeamfoldError):
    """A record that this version cannot decode, for instance because of an unknown event."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.INTERNAL, detail)


@dataclass(frozen=True)
class _Envelope:
    writer: str
    seq: int
    events: tuple[dict[str, Raw], ...]


_event_types: dict[str, Any] = {event_type.__name__: event_type for event_type in EVENT_TYPES}


def encode_record(record: Record) -> str:
    """Return the JSON text of a record as the log stores it."""
    events = tuple({type(event).__name__: Raw(encode(event))} for event in record.events)
    return encode(_Envelope(record.writer, record.seq, events)).decode()


def decode_record(data: str) -> Record:
    """Return the record for its stored text; raise `UndecodableRecordError` on failure."""
    try:
        envelope = decode_json(data, _Envelope)
    except DecodeError as error:
        raise UndecodableRecordError(f"not a record: {error}") from error
    return Record(
        envelope.writer,
        envelope.seq,
        tuple(_decode_event(tagged_event) for tagged_event in envelope.events),
    )


def encoded_size(event: Event) -> int:
    """Return the size of an event in a record in bytes, with its tag and its separator."""
    return len(encode(event)) + len(type(event).__name__) + 6


def split_events(events: tuple[Event, ...]) -> tuple[tuple[Event, ...], ...]:
    """Split events into batches that each fit into one record; the order is kept."""
    batches: list[tuple[Event, ...]] = []
    batch: list[Event] = []
    batch_size = 0
    for event in events:
        size = encoded_size(event)
        if size > MAX_EVENTS_BYTES:
            raise HornbeamfoldError(
                ErrorKind.INVALID,
                f"an event of {size} bytes does not fit into a log record of "
                f"{MAX_RECORD_BYTES} bytes; make it smaller",
            )
        if batch and batch_size + size > MAX_EVENTS_BYTES:
            batches.append(tuple(batch))
            batch, batch_size = [], 0
        batch.append(event)
        batch_size += size
    if batch:
        batches.append(tuple(batch))
    return tuple(batches)


def _decode_event(tagged_event: dict[str, Raw]) -> Event:
    if len(tagged_event) != 1:
        raise UndecodableRecordError(f"an event has {len(tagged_event)} tags instead of one")
    ((name, raw),) = tagged_event.items()
    event_type = _event_types.get(name)
    if event_type is None:
        raise UndecodableRecordError(f"unknown event {name}; a newer version has written it")
    try:
        event: Event = decode_json(bytes(raw), event_type)
    except DecodeError as error:
        raise UndecodableRecordError(f"event {name}: {error}") from error
    return event
