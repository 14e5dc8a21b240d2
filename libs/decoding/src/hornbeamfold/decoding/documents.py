"""Decoding of JSON and MessagePack into a type, and of YAML."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from yaml import YAMLError, safe_load

# The text of an error may repeat a value of the document, which has no limit of its own.
MAX_DETAIL_CHARACTERS = 200
TOO_DEEP = "the document is nested too deeply"

T = TypeVar("T")


class DecodeError(ValueError):
    """Raised for data that does not hold a value of the expected type; the text says why."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail[:MAX_DETAIL_CHARACTERS])


def decode_json(data: bytes | str, expected: type[T]) -> T:
    """Return the value of a JSON text; raises DecodeError for any other data.

    The whole text must be UTF-8, also in fields that the type does not have. The last of several
    fields with the same name counts, and each of them must have the right type.
    """

    def decode() -> T:
        if isinstance(data, bytes):
            # msgspec does not check the strings that it skips.
            data.decode()
        return msgspec.json.decode(data, type=expected)

    return _checked(decode)


def decode_msgpack(data: bytes, expected: type[T]) -> T:
    """Return the value of a MessagePack document; raises DecodeError for any other data."""
    return _checked(lambda: msgspec.msgpack.decode(data, type=expected))


def decode_yaml(text: str) -> Any:
    """Return the document of a YAML text; raises DecodeError for any other text.

    PyYAML raises various errors for scalars of an odd form, such as a date that does not exist.
    """
    try:
        return safe_load(text)
    except (YAMLError, ValueError, TypeError, LookupError, AttributeError) as error:
        raise DecodeError(" ".join(str(error).split())) from error
    except RecursionError as error:
        raise DecodeError(TOO_DEEP) from error


def convert(value: Any, expected: type[T]) -> T:
    """Return a decoded value as the expected type; raises DecodeError if it is of another one."""
    return _checked(lambda: msgspec.convert(value, expected))


def _checked(decode: Callable[[], T]) -> T:
    try:
        return decode()
    except (ValueError, OverflowError) as error:  # includes msgspec's errors and those of UTF-8
        raise DecodeError(str(error)) from error
    except RecursionError as error:
        raise DecodeError(TOO_DEEP) from error
