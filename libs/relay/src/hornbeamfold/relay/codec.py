"""Codec of relayed pages of records (MessagePack) and of the records that name relays (JSON)."""

from dataclasses import dataclass

import msgspec

from hornbeamfold.batch import KeyedRecord
from hornbeamfold.decoding import (
    MAX_INTEGER,
    Count,
    DecodeError,
    check_address,
    decode_json,
    decode_msgpack,
)

RELAY_KEY_PREFIX = "relay/"


@dataclass(frozen=True)
class Page:
    """The newest record of each key that was written from an offset on, in log order.

    `end` is where the next read begins. At the time of the answer, `age_ms` is how long ago the
    relay last had all stored records, and `held_ms` is how long the relay held the call.
    """

    records: tuple[KeyedRecord, ...]
    end: Count
    age_ms: Count
    held_ms: Count


@dataclass(frozen=True)
class RelayRecord:
    """The relay of a region: the incarnation of the instance and its address ("ip:port")."""

    region: str
    incarnation: str
    address: str


def encode_page(page: Page) -> bytes:
    """Return a page as MessagePack."""
    return msgspec.msgpack.encode(page)


def decode_page(data: bytes) -> Page:
    """Return the page that a response body contains; raises DecodeError."""
    page = decode_msgpack(data, Page)
    if any(not 0 <= record.offset <= MAX_INTEGER for record in page.records):
        raise DecodeError("the offset of a record is out of range")
    return page


def encode_relay(record: RelayRecord) -> KeyedRecord:
    """Return the keyed record that names the relay of a region."""
    return KeyedRecord(RELAY_KEY_PREFIX + record.region, msgspec.json.encode(record))


def decode_relay(value: bytes) -> RelayRecord:
    """Return the relay that the value of a record names; raises DecodeError."""
    relay = decode_json(value, RelayRecord)
    check_address(relay.address)
    return relay
