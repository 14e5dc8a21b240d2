"""A process with patched sockets that writes events and follows the log, for the tests.

Arguments: the URL of the log, and the number of events. Prints what the fold accepted as JSON.
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

BOUND_MS = 30_000


class Fold:
    """What the view keeps of the log: the position and the last number of each writer."""

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer
        self._last_seq: dict[str, int] = {}
        self.position = 0
        self.accepted: list[str] = []

    def add(self, entries: tuple[Entry, ...], end: int, started_ms: int) -> None:
        """Fold entries and tell the writer."""
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
    """Write events from several green threads at once."""

    def clock() -> int:
        return int(monotonic() * 1000)

    client = LogClient(argv[1], clock, "i1", "z1", append_timeout_ms=300, read_timeout_ms=300)
    failures: list[str] = []
    writer = LogWriter("w", client.append, clock, lambda one: failures.append(one.kind))
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

    def write(name: int) -> bool:
        return writer.submit((JobCancelled("o", str(name)),)).wait(BOUND_MS) is not None

    pool = GreenPool(20)
    done = sum(pool.imap(write, range(int(argv[2]))))
    drained = writer.drain(BOUND_MS)
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
