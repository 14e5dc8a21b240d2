"""Tests of the decoding of documents, numbers and addresses that other programs wrote."""

import unittest
from dataclasses import dataclass, field

import msgspec

from hornbeamfold.decoding import (
    MAX_AMOUNT,
    MAX_INTEGER,
    MAX_UNIX_MS,
    Amount,
    Count,
    DecodeError,
    DurationMs,
    UnixMs,
    check_address,
    convert,
    decode_json,
    decode_msgpack,
    decode_yaml,
)

DEPTH = 100_000


@dataclass(frozen=True)
class _Document:
    count: Count = 0
    amount: Amount = 0
    duration_ms: DurationMs = 0
    at_ms: UnixMs = 0
    names: list[str] = field(default_factory=list)


class DocumentTest(unittest.TestCase):
    def test_each_way_to_fail_raises_one_error(self) -> None:
        """Guards against an error that a caller does not expect and that ends its thread."""
        texts = {
            "empty": b"",
            "cut short": b'{"count":1',
            "not an object": b"[]",
            "deep lists": b'{"odd":' + b"[" * DEPTH + b"]" * DEPTH + b"}",
            "deep objects": b'{"odd":' + b'{"a":' * DEPTH + b"1" + b"}" * DEPTH + b"}",
            "not UTF-8 in a known field": b'{"names":["\xff"]}',
            "not UTF-8 in another field": b'{"odd":"\xff"}',
            "not UTF-8 in a name": b'{"\xff":1}',
            "half a character": b'{"names":["\\ud800"]}',
            "two values": b'{"count":"x","count":1}',
            "wrong type": b'{"names":7}',
        }
        for name, text in texts.items():
            with self.subTest(name), self.assertRaises(DecodeError):
                decode_json(text, _Document)

    def test_numbers_out_of_range_are_rejected(self) -> None:
        for name, most in (
            ("count", MAX_INTEGER),
            ("amount", MAX_AMOUNT),
            ("duration_ms", MAX_INTEGER),
            ("at_ms", MAX_UNIX_MS),
        ):
            decode_json(f'{{"{name}":{most}}}', _Document)
            decode_json(f'{{"{name}":0}}', _Document)
            for number in (
                most + 1,
                -1,
                "1e308",
                "1e400",
                "9" * 30,
                "9" * 5_000,
                "NaN",
                "Infinity",
            ):
                with self.subTest(name, number=str(number)[:20]), self.assertRaises(DecodeError):
                    decode_json(f'{{"{name}":{number}}}', _Document)

    def test_the_last_of_repeated_fields_counts(self) -> None:
        self.assertEqual(decode_json(b'{"count":1,"count":2}', _Document), _Document(2))

    def test_the_detail_is_bounded(self) -> None:
        """Guards against log lines and answers as long as the document."""
        with self.assertRaises(DecodeError) as raised:
            check_address("a" * 100_000)
        self.assertLess(len(str(raised.exception)), 300)

    def test_odd_messagepack_is_rejected(self) -> None:
        for data in (b"", b"\xc1", b"\x91" * DEPTH, msgspec.msgpack.encode({"count": -1})):
            with self.subTest(data[:10]), self.assertRaises(DecodeError):
                decode_msgpack(data, _Document)
        self.assertEqual(decode_msgpack(msgspec.msgpack.encode({"count": 3}), _Document).count, 3)

    def test_odd_yaml_is_rejected(self) -> None:
        for text in (
            "a: [",
            "[" * 10_000 + "]" * 10_000,
            "a: 2026-99-99",
            "a: " + "9" * 5_000,
            "a: !!binary x",
            "a: !!timestamp x",
            "a: !!int ''",
            "? [a]\n: 1",
            "a: !unknown 1",
            "a: \x00",
        ):
            with self.subTest(text[:20]), self.assertRaises(DecodeError):
                decode_yaml(text)
        self.assertEqual(decode_yaml("a: 1"), {"a": 1})

    def test_values_out_of_range_are_not_converted(self) -> None:
        for value in (float("nan"), float("inf"), -float("inf"), 10**400, -1, "1", None, [1]):
            with self.subTest(str(value)[:20]), self.assertRaises(DecodeError):
                convert(value, Amount)  # type: ignore[arg-type]  # an annotated type


class AddressTest(unittest.TestCase):
    def test_host_and_port_are_returned(self) -> None:
        for address, expected in (
            ("127.0.0.1:1", ("127.0.0.1", 1)),
            ("worker-1.example:65535", ("worker-1.example", 65_535)),
            ("[::1]:80", ("[::1]", 80)),
        ):
            with self.subTest(address):
                self.assertEqual(check_address(address), expected)

    def test_addresses_that_cannot_be_called_are_rejected(self) -> None:
        for address in ("", ":", "h", "h:", ":1", "h:0", "h:65536", "h:99999999", "h:-1", "h:1\n"):
            with self.subTest(address), self.assertRaises(DecodeError):
                check_address(address)
        for host in ("", " ", "a b", "a/b", "a@b", "a\nb", "a..b", "::1", "\u00e4", "a" * 64):
            with self.subTest(host), self.assertRaises(DecodeError):
                check_address(f"{host}:80")


if __name__ == "__main__":
    unittest.main()
