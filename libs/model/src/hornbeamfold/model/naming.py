"""The rules for names that callers, operators and settings choose."""

MAX_NAME_CHARACTERS = 128


def has_name_characters(value: str) -> bool:
    """Return whether a string consists of characters that are allowed in a name.

    Task ids join names with "/", so names that contain it could yield the same id.
    """
    return value.isprintable() and value.strip() == value and "/" not in value
