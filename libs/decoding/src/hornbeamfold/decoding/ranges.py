"""Types of numbers whose range is checked while they are decoded."""

from typing import Annotated

from msgspec import Meta

# Fits into a signed number of 64 bits, and a hundred thousand of them can be added up there.
MAX_INTEGER = 2**46
MAX_UNIX_MS = 253_402_300_799_999  # the end of the year 9999
MAX_AMOUNT = 1_000_000_000

# Not negative and finite, as JSON has no other numbers.
Amount = Annotated[float, Meta(ge=0, le=MAX_AMOUNT)]
DurationMs = Annotated[float, Meta(ge=0, le=MAX_INTEGER)]
Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
UnixMs = Annotated[int, Meta(ge=0, le=MAX_UNIX_MS)]
