"""Estimates what a JSON document takes in memory before it is decoded."""

from dataclasses import dataclass

# A decoded step of a job, in both its forms.
OBJECT_BYTES = 1_500
# A number in a list, or a field of an object.
VALUE_BYTES = 40


@dataclass(frozen=True)
class Parts:
    """Upper bounds of the objects and of the further values of a document."""

    objects: int
    values: int

    @property
    def total(self) -> int:
        """The number of all parts."""
        return self.objects + self.values


def count_parts(body: bytes) -> Parts:
    """Count the parts of a JSON document; braces and commas in strings count as well."""
    return Parts(body.count(b"{"), body.count(b","))


def decoded_bytes(parts: Parts) -> int:
    """Return the most memory in bytes that a document takes once it is decoded."""
    return parts.objects * OBJECT_BYTES + parts.values * VALUE_BYTES
