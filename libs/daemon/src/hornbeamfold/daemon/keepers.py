"""One green thread for each kept worker; the set follows the ranking of live instances."""

import eventlet

from hornbeamfold.daemon.follower import affected_jobs
from hornbeamfold.daemon.worker_session import SessionParts, WorkerSession
from hornbeamfold.logclient import Signal
from hornbeamfold.membership import PeerTable
from hornbeamfold.model.events import Applied, Entry
from hornbeamfold.telemetry import get_logger

RECONCILE_MS = 500

logger = get_logger("hornbeamfold.daemon.keepers")


class Keepers:
    """The kept workers of this instance."""

    def __init__(self, parts: SessionParts, peers: PeerTable) -> None:
        self._parts = parts
        self._peers = peers
        self._kept: dict[str, _Wakeup] = {}
        self._sessions: dict[str, WorkerSession] = {}
        self._basis: tuple[object, ...] = ()
        self._running = True

    @property
    def kept(self) -> frozenset[str]:
        """The workers that this instance keeps."""
        return frozenset(self._kept)

    @property
    def leaving_workers(self) -> frozenset[str]:
        """Kept workers that said in their last reply that they leave."""
        return frozenset(name for name, one in self._sessions.items() if one.leaves)

    def folded(self, entry: Entry, applied: tuple[Applied, ...]) -> None:
        """Wake the keepers of workers whose members a folded entry touched."""
        del entry
        self._parts.ages.folded(self._parts.follower, applied)
        for key in affected_jobs(applied):
            job = self._parts.follower.view.jobs.get(key)
            if job is None:
                continue
            for status in job.members:
                wakeup = self._kept.get(status.member.worker)
                if wakeup is not None:
                    wakeup.notify()

    def run(self) -> None:
        """Start and end keepers as the ranking changes."""
        while self._running:
            self._reconcile()
            self._parts.follower.changed.wait(RECONCILE_MS)
            # Many entries may be folded at once; the set changes far less often.
            eventlet.sleep(RECONCILE_MS / 1_000 / 5)

    def stop(self) -> None:
        """End all keepers; other instances take the workers over."""
        self._running = False
        for wakeup in list(self._kept.values()):
            wakeup.notify()
        self._kept.clear()

    def _reconcile(self) -> None:
        now = self._parts.clock()
        view = self._parts.follower.view
        # Ranking all workers costs more than comparing what it depends on.
        basis = (self._peers.live(now), view.workers_version, len(view.workers), len(view.zones))
        if basis == self._basis:
            return
        self._basis = basis
        wanted = {
            name
            for name, capacity in view.capacities.items()
            if self._peers.is_keeper(name, capacity.region, now)
        }
        for name in sorted(set(self._kept) - wanted):
            self._kept.pop(name).notify()
        for name in sorted(wanted - set(self._kept)):
            self._kept[name] = _Wakeup()
            eventlet.spawn(self._keep, name, self._kept[name])

    def _keep(self, worker: str, wakeup: "_Wakeup") -> None:
        """Keep one worker until it is taken out of the set."""
        session = self._sessions[worker] = WorkerSession(worker, self._parts)
        while self._running and self._kept.get(worker) is wakeup:
            seen = wakeup.count
            try:
                wait_ms = session.run_once()
            except Exception:
                # A fault in one exchange must not end the renewals of all tasks on the worker.
                logger.exception("The exchange with a worker failed", extra={"worker": worker})
                wait_ms = self._parts.interval_ms
            wakeup.wait(seen, wait_ms)
        if self._sessions.get(worker) is session:
            del self._sessions[worker]


class _Wakeup:
    """Wakes one keeper, also if it is in the middle of an exchange."""

    def __init__(self) -> None:
        self._signal = Signal()
        self._count = 0

    @property
    def count(self) -> int:
        """The number of notifications so far."""
        return self._count

    def notify(self) -> None:
        """Ask for another exchange."""
        self._count += 1
        self._signal.notify()

    def wait(self, seen: int, timeout_ms: int) -> None:
        """Wait for a notification after the first `seen` ones."""
        if self._count == seen:
            self._signal.wait(timeout_ms)
