"""Records the progress of jobs and runs callbacks once their changes are stored."""

from collections.abc import Callable

from eventlet.event import Event

from hornbeamfold.batch import JobState, KeyedRecord
from hornbeamfold.coordinator.fenced_writer import FencedWriter
from hornbeamfold.coordinator.job_tracker import JobTracker
from hornbeamfold.ledger import encode_progress, encode_progress_tombstone


class Journal:
    """Writes the progress of changed jobs; calls `on_state` for each state after it is stored."""

    def __init__(
        self, writer: FencedWriter, tracker: JobTracker, on_state: Callable[[str, JobState], None]
    ) -> None:
        self._writer = writer
        self._tracker = tracker
        self._on_state = on_state
        self._callbacks: list[Callable[[], None]] = []
        self._removed_jobs: list[str] = []
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

    def remove(self, job_id: str) -> None:
        """Remove the progress of a job whose final state has been published."""
        self._removed_jobs.append(job_id)
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
            state, tasks = self._tracker.recorded_progress(job_id)
            states[job_id] = state
            records.append(encode_progress(job_id, state, tasks))
        removed_jobs, self._removed_jobs = self._removed_jobs, []
        records.extend(encode_progress_tombstone(job_id) for job_id in removed_jobs)
        if records and not self._writer.write(records):
            return False
        for callback in callbacks:
            callback()
        for job_id, state in states.items():
            if self._reported_states.get(job_id, JobState.PENDING) is not state:
                self._reported_states[job_id] = state
                self._on_state(job_id, state)
        return True
