"""Reads a change of the worker set from a YAML file."""

from dataclasses import dataclass, fields
from typing import Any

from hornbeamfold.decoding import DecodeError, decode_yaml
from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.topology import Worker

KEYS = ("workers", "removed")


@dataclass(frozen=True)
class WorkerFile:
    """Workers to add or replace, and names of workers to remove."""

    workers: tuple[Worker, ...]
    removed: tuple[str, ...]


def read_worker_file(text: str) -> WorkerFile | Refused:
    """Parse the YAML text; a refusal names all errors. The instance checks value ranges."""
    try:
        document = decode_yaml(text)
    except DecodeError as error:
        return Refused(ErrorKind.INVALID, f"not valid YAML: {error}")
    if not isinstance(document, dict):
        return Refused(ErrorKind.INVALID, f"not a mapping with {' and '.join(KEYS)}")
    errors = [f"{key}: is not one of {', '.join(KEYS)}" for key in document if key not in KEYS]
    workers: list[Worker] = []
    for index, entry in enumerate(_read_list(document, "workers", errors)):
        worker = _read_worker(entry, f"workers[{index}]", errors)
        if worker is not None:
            workers.append(worker)
    removed: list[str] = []
    for index, name in enumerate(_read_list(document, "removed", errors)):
        if not isinstance(name, str):
            errors.append(f"removed[{index}]: must be a name, is {name!r}")
            continue
        removed.append(name)
    if errors:
        return Refused(ErrorKind.INVALID, "; ".join(errors))
    return WorkerFile(tuple(workers), tuple(removed))


def _read_list(document: dict[Any, Any], key: str, errors: list[str]) -> list[Any]:
    value = document.get(key) or []
    if isinstance(value, list):
        return value
    errors.append(f"{key}: must be a list")
    return []


def _read_worker(entry: object, path: str, errors: list[str]) -> Worker | None:
    if not isinstance(entry, dict):
        errors.append(f"{path}: must be a mapping")
        return None
    types = {field.name: field.type for field in fields(Worker)}
    previous_count = len(errors)
    for key in entry:
        if key not in types:
            errors.append(f"{path}.{key}: is not one of {', '.join(types)}")
    for key, field_type in types.items():
        value = entry.get(key)
        # The exact type is compared because bool is a subclass of int.
        if key not in entry:
            errors.append(f"{path}.{key}: is missing")
        elif type(value) is not field_type:
            expected_type = "a string" if field_type is str else "an integer"
            errors.append(f"{path}.{key}: must be {expected_type}, is {value!r}")
    if len(errors) > previous_count:
        return None
    return Worker(**entry)
