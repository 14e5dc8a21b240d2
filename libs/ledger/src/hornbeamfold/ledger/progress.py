"""Loads the progress of all jobs from the topic that only the coordinator writes."""

from hornbeamfold.batch import JobProgress, ReadFailed, TopicPort
from hornbeamfold.decoding import DecodeError
from hornbeamfold.ledger.codec import PROGRESS_PREFIX, decode_progress
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
            if not record.key.startswith(PROGRESS_PREFIX):
                continue
            try:
                found[record.key.removeprefix(PROGRESS_PREFIX)] = decode_progress(record.value)
            except DecodeError as error:
                logger.error(
                    "record_unreadable",
                    extra={"key": record.key, "offset": record.offset, "error": str(error)},
                )
        if not page.has_more:
            return found
        after = page.records[-1].key
