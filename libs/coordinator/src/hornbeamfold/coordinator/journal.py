"""Records the progress of jobs and runs callbacks once their changes are stored."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from eventlet.event import Event

from hornbeamfold.batch import (
    JobState,
    KeyedRecord,
    TaskProgress,
    TaskRef,
    stored_bytes,
)
from hornbeamfold.coordinator.fenced_writer import FencedWriter
from hornbeamfold.coordinator.job_tracker import JobTracker
from hornbeamfold.ledger import encode_progress, encode_progress_tombstones
from hornbeamfold.telemetry import get_logger

logger = get_logger("hornbeamfold.coordinator.journal")


class Journal:
    """Writes the progress of changed jobs; calls `on_state` for each state after it is stored."""

    def __init__(
        self,
        writer: FencedWriter,
        tracker: JobTracker,
        on_state: Callable[[str, JobState], None],
        max_record_bytes: int,
        beliefs: Callable[[], Sequence[KeyedRecord]] = tuple,
    ) -> None:
        self._writer = writer
        self._beliefs = beliefs
        self._tracker = tracker
        self._on_state = on_state
        self._max_record_bytes = max_record_bytes
        self._callbacks: list[Callable[[], None]] = []
        self._tombstones: list[KeyedRecord] = []
        self._reported_states: dict[str, JobState] = {}
        self._wake: Event = Event()

    def after_store(self, callback: Callable[[], None]) -> None:
        """Call back once all changes made to the job tracker so far are stored."""
        self._callbacks.append(callback)
        self.notify()

    def notify(self) -> None:
        """Wake the journal to write pending changes."""
        if not self._wake.ready():
            self._wake.send(None)

    def remove(self, job_id: str, parts: int) -> None:
        """Remove the progress of a job, of so many parts, whose final state has been published."""
        self._tombstones.extend(encode_progress_tombstones(job_id, parts))
        self._reported_states.pop(job_id, None)

    def stop(self) -> None:
        """Stop writing."""
        self._writer.stop()
        self.notify()

    def run(self) -> None:
        """Write changes until stopped or fenced."""
        while not self._writer.stopped:
            if not self._tracker.has_changes and not self._callbacks:
                self._wake = Event()
                self._wake.wait()
                if self._writer.stopped:
                    return
            if not self._write_pending():
                return

    def _write_pending(self) -> bool:
        callbacks, self._callbacks = self._callbacks, []
        states: dict[str, JobState] = {}
        records: list[KeyedRecord] = []
        for job_id in sorted(self._tracker.pop_changed()):
            state, _ = self._tracker.recorded_progress(job_id)
            states[job_id] = state
            for part, tasks in self._tracker.pop_changed_parts(job_id).items():
                records.append(self._encode(job_id, state, tasks, part))
        tombstones, self._tombstones = self._tombstones, []
        records.extend(tombstones)
        if records:
            # What is believed costs no call of its own.
            records.extend(
                each for each in self._beliefs() if stored_bytes(each) <= self._max_record_bytes
            )
        if records and not self._writer.write(records):
            return False
        for callback in callbacks:
            callback()
        for job_id, state in states.items():
            if self._reported_states.get(job_id, JobState.PENDING) is not state:
                self._reported_states[job_id] = state
                self._on_state(job_id, state)
        return True

    def _encode(
        self, job_id: str, state: JobState, tasks: Mapping[TaskRef, TaskProgress], part: int
    ) -> KeyedRecord:
        """Return the record of a part, without checkpoints if it is too large with them.

        A task whose checkpoint is not recorded begins anew if the coordinator is replaced.
        """
        record = encode_progress(job_id, state, tasks, part)
        if stored_bytes(record) <= self._max_record_bytes:
            return record
        logger.warning(
            "checkpoints_not_recorded",
            extra={"request": job_id, "part": part, "bytes": stored_bytes(record)},
        )
        without = {ref: replace(task, checkpoint="") for ref, task in tasks.items()}
        return encode_progress(job_id, state, without, part)
