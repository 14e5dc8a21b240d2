"""Codec of what instances pass on: pages of records in MessagePack, and who relays in JSON."""

from dataclasses import dataclass

import msgspec

from hornbeamfold.batch import KeyedRecord

RELAY = "relay/"


@dataclass(frozen=True)
class Page:
    """The newest record of each key that was written from an offset on, in log order.

    `end` is where the next read begins. `age_ms` is how long ago the relay last had all that was
    stored, and `held_ms` how long it held the call, both when it answered.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    age_ms: int
    held_ms: int


@dataclass(frozen=True)
class RelayRecord:
    """Which incarnation of which instance relays for a region, and its address ("ip:port")."""

    region: str
    incarnation: str
    address: str


def encode_page(page: Page) -> bytes:
    """Return a page as MessagePack."""
    return msgspec.msgpack.encode(page)


def decode_page(data: bytes) -> Page:
    """Return the page of a body; raises msgspec.MsgspecError."""
    return msgspec.msgpack.decode(data, type=Page)


def encode_relay(record: RelayRecord) -> KeyedRecord:
    """Return the record that names a region's relay."""
    return KeyedRecord(RELAY + record.region, msgspec.json.encode(record))


def decode_relay(value: bytes) -> RelayRecord:
    """Return the relay that a record names; raises msgspec.MsgspecError."""
    return msgspec.json.decode(value, type=RelayRecord)
