"""Runs a session in a green thread for each worker that is assigned to this instance.

Workers are assigned by a ranking of the live instances.
"""

import eventlet

from hornbeamfold.daemon.follower import affected_jobs
from hornbeamfold.daemon.worker_session import SessionContext, WorkerSession
from hornbeamfold.logclient import Signal
from hornbeamfold.membership import PeerTable
from hornbeamfold.model.events import Applied, Entry
from hornbeamfold.telemetry import get_logger

RECONCILE_MS = 500

logger = get_logger("hornbeamfold.daemon.keepers")


class SessionManager:
    """Starts and ends worker sessions as the assignment changes."""

    def __init__(self, context: SessionContext, peers: PeerTable) -> None:
        self._context = context
        self._peers = peers
        self._wakeups: dict[str, _Wakeup] = {}
        self._sessions: dict[str, WorkerSession] = {}
        self._ranking_key: tuple[object, ...] = ()
        self._running = True

    @property
    def assigned_workers(self) -> frozenset[str]:
        """The workers that are assigned to this instance."""
        return frozenset(self._wakeups)

    @property
    def leaving_workers(self) -> frozenset[str]:
        """Assigned workers that announced in their last reply that they are leaving."""
        return frozenset(name for name, session in self._sessions.items() if session.worker_leaving)

    def on_applied(self, entry: Entry, applied: tuple[Applied, ...]) -> None:
        """Wake the sessions of workers with members of the jobs that an applied entry affects."""
        del entry
        self._context.job_ages.on_applied(self._context.follower, applied)
        self._context.job_losses.on_applied(self._context.follower.view, applied)
        for key in affected_jobs(applied):
            job = self._context.follower.view.jobs.get(key)
            if job is None:
                continue
            for status in job.members:
                wakeup = self._wakeups.get(status.member.worker)
                if wakeup is not None:
                    wakeup.notify()

    def run(self) -> None:
        """Reconcile the sessions with the ranking until stopped."""
        while self._running:
            self._reconcile()
            self._context.follower.changed.wait(RECONCILE_MS)
            # Many entries may be applied at once, while the assignment changes far less often.
            eventlet.sleep(RECONCILE_MS / 1_000 / 5)

    def stop(self) -> None:
        """End all sessions; other instances take over the workers."""
        self._running = False
        for wakeup in list(self._wakeups.values()):
            wakeup.notify()
        self._wakeups.clear()

    def _reconcile(self) -> None:
        now = self._context.clock()
        view = self._context.follower.view
        # Ranking all workers costs more than comparing the inputs of the ranking.
        key = (self._peers.live(now), view.workers_version, len(view.workers), len(view.zones))
        if key == self._ranking_key:
            return
        self._ranking_key = key
        assigned = {
            name
            for name, capacity in view.capacities.items()
            if self._peers.is_keeper(name, capacity.region, now)
        }
        for name in sorted(set(self._wakeups) - assigned):
            self._wakeups.pop(name).notify()
        for name in sorted(assigned - set(self._wakeups)):
            self._wakeups[name] = _Wakeup()
            eventlet.spawn(self._run_session, name, self._wakeups[name])

    def _run_session(self, worker: str, wakeup: "_Wakeup") -> None:
        """Exchange with one worker until it is no longer assigned to this instance."""
        session = self._sessions[worker] = WorkerSession(worker, self._context)
        while self._running and self._wakeups.get(worker) is wakeup:
            seen = wakeup.count
            try:
                wait_ms = session.run_once()
            except Exception:
                # A failed exchange must not end the lease renewals of all tasks on the worker.
                logger.exception("The exchange with a worker failed", extra={"worker": worker})
                wait_ms = self._context.interval_ms
            wakeup.wait(seen, wait_ms)
        if self._sessions.get(worker) is session:
            del self._sessions[worker]


class _Wakeup:
    """Wakes a session; a notification during an exchange is not lost."""

    def __init__(self) -> None:
        self._signal = Signal()
        self._count = 0

    @property
    def count(self) -> int:
        """The number of notifications so far."""
        return self._count

    def notify(self) -> None:
        """Request another exchange."""
        self._count += 1
        self._signal.notify()

    def wait(self, seen: int, timeout_ms: int) -> None:
        """Wait for a notification after the first `seen` ones."""
        if self._count == seen:
            self._signal.wait(timeout_ms)
