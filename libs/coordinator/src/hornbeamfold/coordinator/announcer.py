"""Tells all instances the states of jobs, and that the coordinator lives."""

from collections.abc import Callable

import eventlet
from eventlet.event import Event

from hornbeamfold.batch import ENDED, Clock, JobState, KeyedRecord
from hornbeamfold.coordinator.fenced_writer import FencedWriter
from hornbeamfold.ledger import encode_state

# Without any state to tell a record is written this often, so that the others hear of the
# coordinator.
BEAT_MS = 200
# The store takes one append to a topic after the other, so in a slow store the coordinator leaves
# callers as much of its time as it takes.
PAUSE_SHARE = 1.0


class Announcer:
    """Writes states whose cause is recorded already, and a beat when there are none."""

    def __init__(
        self,
        writer: FencedWriter,
        beat: Callable[[], KeyedRecord],
        on_final: Callable[[str], None],
        clock: Clock,
    ) -> None:
        self._writer = writer
        self._beat = beat
        self._on_final = on_final
        self._clock = clock
        self._states: dict[str, JobState] = {}
        self._wake: Event = Event()
        self._last: KeyedRecord | None = None
        self._closed: Event = Event()

    def announce(self, job_id: str, state: JobState) -> None:
        """Tell the state of a job with the next record."""
        self._states[job_id] = state
        self._notify()

    def _notify(self) -> None:
        if not self._wake.ready():
            self._wake.send(None)

    def stop(self) -> None:
        """Write nothing more."""
        self._writer.stop()
        self._notify()

    def run(self) -> None:
        """Write states and beats until stopped, closed or fenced."""
        while not self._writer.stopped:
            if not self._states and self._last is None:
                self._wake = Event()
                self._wake.wait(timeout=BEAT_MS / 1_000)
                if self._writer.stopped:
                    return
            states, self._states = self._states, {}
            last = self._last
            records = [encode_state(job_id, state) for job_id, state in states.items()]
            if last is not None:
                records.append(last)
            began = self._clock()
            if not self._writer.write(records or [self._beat()]):
                return
            took_ms = self._clock() - began
            for job_id, state in states.items():
                if state in ENDED:
                    self._on_final(job_id)
            if last is not None:
                self._closed.send(True)
                return
            if self._last is None:
                eventlet.sleep(PAUSE_SHARE * took_ms / 1_000)

    def close_with(self, record: KeyedRecord, timeout_ms: int) -> bool:
        """Write what is left and then one last record; return whether it was stored in time."""
        self._last = record
        self._notify()
        return bool(self._closed.wait(timeout=timeout_ms / 1_000))
