"""A test process with monkey-patched sockets that writes events and follows the log.

Arguments: the URL of the log and the number of events. Prints a JSON object: the ids of the
accepted jobs, the number of folded tickets and of failures, and whether the writer was drained.
"""

from sys import argv

from eventlet import GreenPool, monkey_patch, spawn
from eventlet.hubs import use_hub

use_hub("eventlet.hubs.asyncio")
monkey_patch()

from json import dumps  # noqa: E402
from time import monotonic  # noqa: E402

from hornbeamfold.logclient import LogClient, LogWriter, follow  # noqa: E402
from hornbeamfold.model.events import Applied, Entry, JobCancelled  # noqa: E402

TIMEOUT_MS = 30_000


class Fold:
    """A minimal view of the log: the position and the last sequence number of each writer."""

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer
        self._last_seq: dict[str, int] = {}
        self.position = 0
        self.accepted: list[str] = []

    def add(self, entries: tuple[Entry, ...], end: int, started_ms: int) -> None:
        """Fold entries and pass the results to the writer."""
        for entry in entries:
            record = entry.record
            self.position = entry.offset + 1
            applied: tuple[Applied, ...] = ()
            if record.seq > self._last_seq.get(record.writer, 0):
                self._last_seq[record.writer] = record.seq
                self.accepted.extend(event.job_id for event in record.events)
                applied = tuple(Applied(event, True) for event in record.events)
            self._writer.folded(entry, applied)
        if self.position >= end:
            self._writer.confirmed(started_ms)


def main() -> None:
    """Write events from 20 green threads at once."""

    def clock() -> int:
        return int(monotonic() * 1000)

    client = LogClient(argv[1], clock, "i1", "z1", append_timeout_ms=300, read_timeout_ms=300)
    failures: list[str] = []
    writer = LogWriter("w", client.append, clock, lambda failure: failures.append(failure.kind))
    fold = Fold(writer)
    read_failures: list[object] = []
    spawn(writer.run)
    spawn(
        follow,
        client.read,
        lambda: fold.position,
        fold.add,
        read_failures.append,
        lambda: 0 if writer.awaiting_confirmation else 500,
    )

    def write(number: int) -> bool:
        return writer.submit((JobCancelled("o", str(number)),)).wait(TIMEOUT_MS) is not None

    pool = GreenPool(20)
    done = sum(pool.imap(write, range(int(argv[2]))))
    drained = writer.drain(TIMEOUT_MS)
    print(
        dumps(
            {
                "accepted": fold.accepted,
                "done": done,
                "drained": drained,
                "failures": len(failures),
                "read_failures": len(read_failures),
            }
        )
    )


main()
