"""Loads the progress of all jobs from the topic that only the coordinator writes."""

from hornbeamfold.batch import JobProgress, KeyedRecord, ReadFailed, TopicPort
from hornbeamfold.decoding import DecodeError
from hornbeamfold.ledger.codec import decode_progress, parse_progress_key
from hornbeamfold.telemetry import get_logger

logger = get_logger("hornbeamfold.ledger.progress")


def load_progress(topic: TopicPort) -> dict[str, JobProgress] | ReadFailed:
    """Return the recorded progress by job id.

    The pages are not one consistent snapshot, so there must be no writes while they are read.
    """
    found: dict[str, JobProgress] = {}
    after = ""
    while True:
        page = topic.newest(after)
        if isinstance(page, ReadFailed):
            return page
        for record in page.records:
            _add_part(found, record)
        if not page.has_more:
            return found
        after = page.records[-1].key


def _add_part(found: dict[str, JobProgress], record: KeyedRecord) -> None:
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
    known = found.get(job_id, JobProgress(progress.state))
    # The first part has the present state. It may have rows of all tasks, as it had before records
    # were divided; those of other parts are newer.
    if part == 0:
        state, tasks = progress.state, {**progress.tasks, **known.tasks}
    else:
        state, tasks = known.state, {**known.tasks, **progress.tasks}
    found[job_id] = JobProgress(state, tasks, known.parts | {part})
