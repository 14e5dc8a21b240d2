"""Records the progress of jobs, and tells those who wait when their change is in the store."""

from collections.abc import Callable

from eventlet.event import Event

from hornbeamfold.batch import JobState, KeyedRecord
from hornbeamfold.coordinator.book import Book
from hornbeamfold.coordinator.fenced_writer import FencedWriter
from hornbeamfold.ledger import encode_progress, encode_progress_tombstone


class Journal:
    """Writes the jobs that changed; `on_state` is told each state once it is recorded."""

    def __init__(
        self, writer: FencedWriter, book: Book, on_state: Callable[[str, JobState], None]
    ) -> None:
        self._writer = writer
        self._book = book
        self._on_state = on_state
        self._callbacks: list[Callable[[], None]] = []
        self._unneeded: list[str] = []
        self._told: dict[str, JobState] = {}
        self._wake: Event = Event()

    def after_store(self, callback: Callable[[], None]) -> None:
        """Call back when all changes made to the book so far are in the store."""
        self._callbacks.append(callback)
        self.notify()

    def notify(self) -> None:
        """Look for changes now."""
        if not self._wake.ready():
            self._wake.send(None)

    def remove(self, job_id: str) -> None:
        """Remove the progress of a job whose final state all instances can read."""
        self._unneeded.append(job_id)
        self._told.pop(job_id, None)

    def stop(self) -> None:
        """Write nothing more."""
        self._writer.stop()
        self.notify()

    def run(self) -> None:
        """Write changes until stopped or fenced."""
        while not self._writer.stopped:
            if not self._book.has_changes and not self._callbacks:
                self._wake = Event()
                self._wake.wait()
                if self._writer.stopped:
                    return
            if not self._write_once():
                return

    def _write_once(self) -> bool:
        callbacks, self._callbacks = self._callbacks, []
        states: dict[str, JobState] = {}
        records: list[KeyedRecord] = []
        for job_id in sorted(self._book.take_changed()):
            state, tasks = self._book.recorded_form(job_id)
            states[job_id] = state
            records.append(encode_progress(job_id, state, tasks))
        unneeded, self._unneeded = self._unneeded, []
        records.extend(encode_progress_tombstone(job_id) for job_id in unneeded)
        if records and not self._writer.write(records):
            return False
        for callback in callbacks:
            callback()
        for job_id, state in states.items():
            if self._told.get(job_id, JobState.PENDING) is not state:
                self._told[job_id] = state
                self._on_state(job_id, state)
        return True
