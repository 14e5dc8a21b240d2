"""Publishes job states and the coordinator's heartbeat to all instances."""

from collections.abc import Callable

import eventlet
from eventlet.event import Event

from hornbeamfold.batch import TERMINAL_STATES, Clock, JobState, KeyedRecord
from hornbeamfold.coordinator.fenced_writer import FencedWriter
from hornbeamfold.ledger import encode_state

# The interval of heartbeat records, which are written when there are no states to publish so that
# the other instances see that the coordinator is alive.
HEARTBEAT_MS = 200
# The pause after an append as a multiple of the time that it took. The store serialises appends to
# a topic, so when it is slow the coordinator leaves half of its time to callers.
PAUSE_RATIO = 1.0


class Announcer:
    """Writes the states of jobs whose progress is already recorded, and heartbeats otherwise."""

    def __init__(
        self,
        writer: FencedWriter,
        heartbeat: Callable[[], KeyedRecord],
        on_end_stored: Callable[[str], None],
        clock: Clock,
    ) -> None:
        self._writer = writer
        self._heartbeat = heartbeat
        self._on_end_stored = on_end_stored
        self._clock = clock
        self._states: dict[str, JobState] = {}
        self._wake: Event = Event()
        self._final_record: KeyedRecord | None = None
        self._closed: Event = Event()

    def announce(self, job_id: str, state: JobState) -> None:
        """Publish the state of a job with the next append."""
        self._states[job_id] = state
        self._notify()

    def _notify(self) -> None:
        if not self._wake.ready():
            self._wake.send(None)

    def stop(self) -> None:
        """Stop writing."""
        self._writer.stop()
        self._notify()

    def run(self) -> None:
        """Write states and heartbeats until stopped, closed or fenced."""
        while not self._writer.stopped:
            if not self._states and self._final_record is None:
                self._wake = Event()
                self._wake.wait(timeout=HEARTBEAT_MS / 1_000)
                if self._writer.stopped:
                    return
            states, self._states = self._states, {}
            final_record = self._final_record
            records = [encode_state(job_id, state) for job_id, state in states.items()]
            if final_record is not None:
                records.append(final_record)
            began = self._clock()
            if not self._writer.write(records or [self._heartbeat()]):
                return
            took_ms = self._clock() - began
            for job_id, state in states.items():
                if state in TERMINAL_STATES:
                    self._on_end_stored(job_id)
            if final_record is not None:
                self._closed.send(True)
                return
            if self._final_record is None:
                eventlet.sleep(PAUSE_RATIO * took_ms / 1_000)

    def close_with(self, record: KeyedRecord, timeout_ms: int) -> bool:
        """Write pending states and a final record; return whether it was stored in time."""
        self._final_record = record
        self._notify()
        return bool(self._closed.wait(timeout=timeout_ms / 1_000))
