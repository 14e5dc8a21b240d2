"""Reads the YAML file of a change of the worker set."""

from dataclasses import dataclass, fields
from typing import Any

from yaml import YAMLError, safe_load

from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.model.topology import Worker

KEYS = ("workers", "removed")


@dataclass(frozen=True)
class WorkerFile:
    """Workers to add or replace, and names of workers to remove."""

    workers: tuple[Worker, ...]
    removed: tuple[str, ...]


def read_worker_file(text: str) -> WorkerFile | Refused:
    """Read the file; the refusal names every fault. The instance checks the ranges."""
    try:
        document = safe_load(text)
    except YAMLError as error:
        return Refused(ErrorKind.INVALID, f"not YAML: {' '.join(str(error).split())}")
    if not isinstance(document, dict):
        return Refused(ErrorKind.INVALID, f"not a mapping with {' and '.join(KEYS)}")
    faults = [f"{key}: is not one of {', '.join(KEYS)}" for key in document if key not in KEYS]
    workers: list[Worker] = []
    for index, entry in enumerate(_list(document, "workers", faults)):
        worker = _read_worker(entry, f"workers[{index}]", faults)
        if worker is not None:
            workers.append(worker)
    removed: list[str] = []
    for index, name in enumerate(_list(document, "removed", faults)):
        if not isinstance(name, str):
            faults.append(f"removed[{index}]: must be a name, is {name!r}")
            continue
        removed.append(name)
    if faults:
        return Refused(ErrorKind.INVALID, "; ".join(faults))
    return WorkerFile(tuple(workers), tuple(removed))


def _list(document: dict[Any, Any], key: str, faults: list[str]) -> list[Any]:
    value = document.get(key) or []
    if isinstance(value, list):
        return value
    faults.append(f"{key}: must be a list")
    return []


def _read_worker(entry: object, path: str, faults: list[str]) -> Worker | None:
    if not isinstance(entry, dict):
        faults.append(f"{path}: must be a mapping")
        return None
    types = {field.name: field.type for field in fields(Worker)}
    before = len(faults)
    for key in entry:
        if key not in types:
            faults.append(f"{path}.{key}: is not one of {', '.join(types)}")
    for key, kind in types.items():
        value = entry.get(key)
        # bool is a subclass of int, and "true" is no number.
        if key not in entry:
            faults.append(f"{path}.{key}: is missing")
        elif type(value) is not kind:
            wanted = "a text" if kind is str else "a whole number"
            faults.append(f"{path}.{key}: must be {wanted}, is {value!r}")
    if len(faults) > before:
        return None
    return Worker(**entry)
