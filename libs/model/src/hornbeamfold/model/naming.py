"""The rule for names that callers, operators and settings choose."""

MAX_NAME_CHARACTERS = 128


def has_name_characters(value: str) -> bool:
    """Tell whether a text has only characters that a name may have.

    Task ids join names with "/", so a name that contains it could collide with another one.
    """
    return value.isprintable() and value.strip() == value and "/" not in value
