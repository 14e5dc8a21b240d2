"""Decodes documents that other programs wrote; every way to fail raises one error."""

from hornbeamfold.decoding.addresses import MAX_PORT, check_address
from hornbeamfold.decoding.documents import (
    DecodeError,
    convert,
    decode_json,
    decode_msgpack,
    decode_yaml,
)
from hornbeamfold.decoding.ranges import (
    MAX_AMOUNT,
    MAX_INTEGER,
    MAX_UNIX_MS,
    Amount,
    Count,
    DurationMs,
    UnixMs,
)

__all__ = [
    "MAX_AMOUNT",
    "MAX_INTEGER",
    "MAX_PORT",
    "MAX_UNIX_MS",
    "Amount",
    "Count",
    "DecodeError",
    "DurationMs",
    "UnixMs",
    "check_address",
    "convert",
    "decode_json",
    "decode_msgpack",
    "decode_yaml",
]
