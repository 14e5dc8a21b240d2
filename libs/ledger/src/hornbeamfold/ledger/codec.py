"""Codec of the log records: keys and JSON values.

Fields that have their default value are omitted, and the progress record of an ended job holds only
its state.
"""

import re
from collections.abc import Iterable, Mapping
from dataclasses import MISSING, astuple, dataclass, field, fields, is_dataclass, replace
from typing import Any

import msgspec

from hornbeamfold.batch import (
    DONE,
    TERMINAL_STATES,
    BatchJob,
    JobProgress,
    JobState,
    KeyedRecord,
    TaskPhase,
    TaskProgress,
    TaskRef,
    WorkerLoss,
    job_problem,
)
from hornbeamfold.decoding import Count, DecodeError, decode_json

JOB_PREFIX = "job/"
CANCEL_PREFIX = "cancel/"
STATE_PREFIX = "state/"
PROGRESS_PREFIX = "progress/"
COORDINATOR_KEY = "coordinator"
SPEEDS_KEY = "worker-speeds"
_PART = re.compile(r"[1-9][0-9]{0,5}")


@dataclass(frozen=True)
class CoordinatorRecord:
    """The incarnation of the instance that coordinates, with its epoch."""

    incarnation: str
    epoch: Count
    resigned: bool = False


@dataclass(frozen=True)
class _Speeds:
    """The JSON document of the speeds of workers: a level for each worker id."""

    levels: dict[str, int]


@dataclass(frozen=True)
class _Progress:
    """The JSON document of a progress record: one row for each task of a part that was started.

    Rows of `done`: occurrence, step and the indexes of all its completed tasks. Rows of `active`:
    occurrence, step, index, run, worker id, `born_ms` of the worker's incarnation, failures and
    checkpoint. Rows of `waiting`: the same without the worker id and `born_ms`.

    Active and waiting tasks may have further rows, which other versions ignore. Rows of `crashed`:
    occurrence, step, index, known crashes and those without evidence. Rows of `lost`: occurrence,
    step, index and the fields of a `WorkerLoss`. Rows of `crashes`, of an earlier version: as
    `crashed`, but those without evidence may be cuts, and the workers are not known.
    """

    state: JobState
    done: list[tuple[Count, Count, list[Count]]] = field(default_factory=list)
    active: list[tuple[Count, Count, Count, Count, str, Count, Count, str]] = field(
        default_factory=list
    )
    waiting: list[tuple[Count, Count, Count, Count, Count, str]] = field(default_factory=list)
    crashes: list[tuple[Count, Count, Count, Count, Count]] = field(default_factory=list)
    crashed: list[tuple[Count, Count, Count, Count, Count]] = field(default_factory=list)
    lost: list[tuple[Count, Count, Count, str, Count, Count, Count, bool, bool, bool]] = field(
        default_factory=list
    )


@dataclass(frozen=True)
class _State:
    state: JobState


def encode_job(job: BatchJob) -> KeyedRecord:
    """Return the record of an accepted job."""
    return KeyedRecord(JOB_PREFIX + job.job_id, msgspec.json.encode(_compact(job)))


def decode_job(value: bytes) -> BatchJob:
    """Return the job of a record; raises DecodeError if it is malformed or cannot be planned."""
    job = decode_json(value, BatchJob)
    problem = job_problem(job)
    if problem:
        raise DecodeError(problem)
    return job


def encode_cancel(job_id: str, organisation: str) -> KeyedRecord:
    """Return the record of a cancellation."""
    return KeyedRecord(CANCEL_PREFIX + job_id, msgspec.json.encode({"organisation": organisation}))


def encode_coordinator(record: CoordinatorRecord) -> KeyedRecord:
    """Return the record that names the coordinator."""
    return KeyedRecord(COORDINATOR_KEY, msgspec.json.encode(_compact(record)))


def decode_coordinator(value: bytes) -> CoordinatorRecord:
    """Return the coordinator of a record; raises DecodeError if the value is malformed."""
    return decode_json(value, CoordinatorRecord)


def encode_state(job_id: str, state: JobState) -> KeyedRecord:
    """Return the record of a job's state, the only progress that is reported to callers."""
    return KeyedRecord(STATE_PREFIX + job_id, msgspec.json.encode(_State(state)))


def decode_state(value: bytes) -> JobState:
    """Return the job state of a record; raises DecodeError if the value is malformed."""
    return decode_json(value, _State).state


def encode_speeds(levels: Mapping[str, int]) -> KeyedRecord:
    """Return the record of what a coordinator believes of the speeds of workers, as levels."""
    return KeyedRecord(SPEEDS_KEY, msgspec.json.encode(_Speeds(dict(levels))))


def decode_speeds(value: bytes) -> Mapping[str, int]:
    """Return the level of each worker; raises DecodeError if the value is malformed."""
    return decode_json(value, _Speeds).levels


def encode_progress_tombstones(job_id: str, parts: int) -> list[KeyedRecord]:
    """Return the tombstones that remove the progress of a job with this number of parts."""
    return [KeyedRecord(_progress_key(job_id, part), b"") for part in range(parts)]


def encode_progress(
    job_id: str, state: JobState, tasks: Mapping[TaskRef, TaskProgress], part: int = 0
) -> KeyedRecord:
    """Return the progress record of a part of a job; the state is that of the job."""
    document: dict[str, Any] = {"state": state.value}
    if state not in TERMINAL_STATES:
        document.update(_task_rows(tasks.items()))
    return KeyedRecord(_progress_key(job_id, part), msgspec.json.encode(document))


def _progress_key(job_id: str, part: int) -> str:
    """Return the key of a part; the first part has the key of the job."""
    key = PROGRESS_PREFIX + job_id
    return f"{key}/{part}" if part else key


def parse_progress_key(key: str) -> tuple[str, int] | None:
    """Return the job and the part of a progress record, or None if the key is of another kind."""
    if not key.startswith(PROGRESS_PREFIX):
        return None
    job_id, _, part = key.removeprefix(PROGRESS_PREFIX).partition("/")
    if not part:
        return job_id, 0
    return (job_id, int(part)) if _PART.fullmatch(part) else None


def _task_rows(tasks: Iterable[tuple[TaskRef, TaskProgress]]) -> dict[str, list[Any]]:
    done: dict[tuple[int, int], list[int]] = {}
    active: list[tuple[Any, ...]] = []
    waiting: list[tuple[Any, ...]] = []
    crashed: list[tuple[Any, ...]] = []
    lost: list[tuple[Any, ...]] = []
    for ref, task in tasks:
        if task.phase is TaskPhase.DONE:
            done.setdefault((ref.occurrence, ref.step), []).append(ref.index)
            continue
        if task.crashes:
            crashed.append((*ref, task.crashes, task.vanished))
        lost.extend((*ref, *astuple(loss)) for loss in task.losses)
        if task.phase is TaskPhase.ACTIVE:
            active.append(
                (*ref, task.run, task.worker_id, task.born_ms, task.failures, task.checkpoint)
            )
            continue
        waiting.append((*ref, task.run, task.failures, task.checkpoint))
    rows = {
        "done": [(*key, indexes) for key, indexes in done.items()],
        "active": active,
        "waiting": waiting,
        "crashed": crashed,
        "lost": lost,
    }
    return {name: listed for name, listed in rows.items() if listed}


def decode_progress(value: bytes) -> JobProgress:
    """Return the progress of a record; raises DecodeError if the value is malformed."""
    document = decode_json(value, _Progress)
    tasks: dict[TaskRef, TaskProgress] = {}
    for occurrence, step, indexes in document.done:
        for index in indexes:
            tasks[TaskRef(occurrence, step, index)] = DONE
    for occurrence, step, index, run, worker, born, failures, checkpoint in document.active:
        tasks[TaskRef(occurrence, step, index)] = TaskProgress(
            TaskPhase.ACTIVE, run, worker, born, failures, checkpoint
        )
    for occurrence, step, index, run, failures, checkpoint in document.waiting:
        tasks[TaskRef(occurrence, step, index)] = TaskProgress(
            TaskPhase.WAITING, run, "", 0, failures, checkpoint
        )
    for occurrence, step, index, crashes, vanished in document.crashes:
        ref = TaskRef(occurrence, step, index)
        if ref in tasks:
            # Nobody can tell any more which of the others were cuts.
            tasks[ref] = replace(tasks[ref], crashes=max(0, crashes - vanished))
    for occurrence, step, index, crashes, vanished in document.crashed:
        ref = TaskRef(occurrence, step, index)
        if ref in tasks:
            tasks[ref] = replace(tasks[ref], crashes=crashes, vanished=vanished)
    for occurrence, step, index, worker, born, run, lost, alone, certain, counted in document.lost:
        ref = TaskRef(occurrence, step, index)
        if ref in tasks:
            loss = WorkerLoss(worker, born, run, lost, alone, certain, counted)
            tasks[ref] = replace(tasks[ref], losses=(*tasks[ref].losses, loss))
    return JobProgress(document.state, tasks)


def _compact(item: Any) -> Any:
    """Convert a data class to a mapping without the fields that have their default value."""
    if isinstance(item, tuple):
        return [_compact(part) for part in item]
    if not is_dataclass(item):
        return item
    document: dict[str, Any] = {}
    for each in fields(item):
        value = getattr(item, each.name)
        if each.default is not MISSING and value == each.default:
            continue
        document[each.name] = _compact(value)
    return document
