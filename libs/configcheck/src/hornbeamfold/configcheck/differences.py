"""Lists what a configuration changes against another one."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from enum import StrEnum
from typing import Any

from hornbeamfold.batch import Configuration
from hornbeamfold.configcheck.findings import Place

# Fields whose values are not shown.
SECRET_FIELDS = frozenset({"api_keys"})


class Change(StrEnum):
    """What happens to an entry or a field."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True)
class Difference:
    """A change of one place, with the values before and after; those of keys are counted only."""

    change: Change
    place: Place
    before: str = ""
    after: str = ""


def differences(before: Configuration, after: Configuration) -> tuple[Difference, ...]:
    """Return what `after` changes against `before`, section by section."""
    found: list[Difference] = []
    if before.version >= after.version:
        # Instances keep the version with the highest number.
        found.append(_changed(Place("version", ""), before.version, after.version))
    found.extend(
        _entries(
            "queue",
            {each.name: each for each in before.queues},
            {each.name: each for each in after.queues},
        )
    )
    found.extend(_entries("service", before.services, after.services))
    found.extend(_entries("organisation", before.organisations, after.organisations))
    found.extend(_entries("limits", {"": before.limits}, {"": after.limits}))
    return tuple(found)


def _entries(
    section: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[Difference]:
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            yield Difference(Change.REMOVED, Place(section, name))
            continue
        if name not in before:
            yield Difference(Change.ADDED, Place(section, name))
            continue
        for field in fields(after[name]):
            old, new = getattr(before[name], field.name), getattr(after[name], field.name)
            if old != new:
                yield _changed(Place(section, name, field.name), old, new)


def _changed(place: Place, old: object, new: object) -> Difference:
    if place.field in SECRET_FIELDS:
        return Difference(Change.CHANGED, place, *_describe_keys(old, new))
    return Difference(Change.CHANGED, place, str(old), str(new))


def _describe_keys(old: object, new: object) -> tuple[str, str]:
    """Describe two tuples of keys without showing them."""
    assert isinstance(old, tuple) and isinstance(new, tuple)
    removed, added = set(old) - set(new), set(new) - set(old)
    return f"{len(old)} keys", f"{len(new)} keys, {len(added)} added, {len(removed)} removed"
