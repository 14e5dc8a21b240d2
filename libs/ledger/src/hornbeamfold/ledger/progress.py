"""Loads the progress of all jobs from the topic that only the coordinator writes."""

from collections.abc import Mapping
from dataclasses import dataclass

from hornbeamfold.batch import (
    JobProgress,
    JobState,
    KeyedRecord,
    ReadFailed,
    TaskProgress,
    TaskRef,
    TopicPort,
)
from hornbeamfold.decoding import DecodeError
from hornbeamfold.ledger.codec import (
    SPEEDS_KEY,
    decode_progress,
    decode_speeds,
    parse_progress_key,
)
from hornbeamfold.telemetry import get_logger

logger = get_logger("hornbeamfold.ledger.progress")


@dataclass(frozen=True)
class LoadedProgress:
    """The recorded progress by job id, and the recorded levels of speed by worker id."""

    by_job: dict[str, JobProgress]
    speed_levels: Mapping[str, int]


class _ProgressParts:
    """The parts of the progress of a job that have been read so far."""

    def __init__(self, state: JobState) -> None:
        self._state = state
        self._tasks: dict[TaskRef, TaskProgress] = {}
        self._numbers: set[int] = set()

    @property
    def progress(self) -> JobProgress:
        """The progress in all parts."""
        return JobProgress(self._state, self._tasks, frozenset(self._numbers))

    def add(self, part: int, state: JobState, tasks: Mapping[TaskRef, TaskProgress]) -> None:
        """Add the tasks of a part.

        The first part has the present state. It may have rows of all tasks, as it had before
        records were divided; those of other parts are newer.
        """
        self._numbers.add(part)
        if part > 0:
            self._tasks.update(tasks)
            return
        self._state = state
        for ref, task in tasks.items():
            self._tasks.setdefault(ref, task)


def load_progress(topic: TopicPort) -> LoadedProgress | ReadFailed:
    """Return the recorded progress.

    The pages are not one consistent snapshot, so there must be no writes while they are read.
    """
    found: dict[str, _ProgressParts] = {}
    levels: Mapping[str, int] = {}
    after = ""
    while True:
        page = topic.newest(after)
        if isinstance(page, ReadFailed):
            return page
        for record in page.records:
            if record.key == SPEEDS_KEY:
                levels = _speed_levels(record)
            _add_part(found, record)
        if not page.has_more:
            by_job = {job_id: parts.progress for job_id, parts in found.items()}
            return LoadedProgress(by_job, levels)
        after = page.records[-1].key


def _speed_levels(record: KeyedRecord) -> Mapping[str, int]:
    """Return the recorded levels of speed; none if the record is malformed."""
    try:
        return decode_speeds(record.value)
    except DecodeError as error:
        logger.error("record_unreadable", extra={"key": record.key, "error": str(error)})
        return {}


def _add_part(found: dict[str, _ProgressParts], record: KeyedRecord) -> None:
    """Add the tasks of a progress record to those of its job."""
    key = parse_progress_key(record.key)
    if key is None:
        return
    job_id, part = key
    try:
        progress = decode_progress(record.value)
    except DecodeError as error:
        logger.error(
            "record_unreadable",
            extra={"key": record.key, "offset": record.offset, "error": str(error)},
        )
        return
    parts = found.setdefault(job_id, _ProgressParts(progress.state))
    parts.add(part, progress.state, progress.tasks)
