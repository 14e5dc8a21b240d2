"""One green thread for each kept worker; the set follows the ranking of live instances."""

from collections.abc import Callable, Iterable

import eventlet

from hornbeamfold.daemon.clock import Clock
from hornbeamfold.daemon.follower import LogFollower, affected_jobs
from hornbeamfold.daemon.keeper import (
    JOB_TASK_PREFIX,
    MemberHere,
    SyncPlan,
    SyncResult,
    plan_sync,
    read_reply,
)
from hornbeamfold.logclient import LogWriter, Signal
from hornbeamfold.membership import Freshness, PeerTable, Permit
from hornbeamfold.model.events import (
    Applied,
    Entry,
    JobStopping,
    MemberReport,
    MembersReported,
)
from hornbeamfold.model.invariants import check
from hornbeamfold.model.timing import (
    GANG_LEASE_MS,
    GANG_SYNC_MS,
    LEASE_MS,
    START_TIMEOUT_MS,
)
from hornbeamfold.model.work import (
    ENDED_MEMBERS,
    JobState,
    MemberState,
    StopReason,
    task_id,
)
from hornbeamfold.telemetry import counter, get_logger, log_decision
from hornbeamfold.view import partial_gangs
from hornbeamfold.workers import SyncReply, TaskReport, TaskState, WorkerClient

# A start that was refused because slots were busy, or a member that stops, is looked at this soon.
SOON_MS = 150
# A report that was not folded in this time is written again.
REPORT_AGAIN_MS = 5_000
RECONCILE_MS = 500

logger = get_logger("hornbeamfold.daemon.keepers")
count_syncs = counter("hornbeamfold_worker_syncs", "Exchanges with workers")

LoadListener = Callable[[str, SyncReply], None]


class JobAges:
    """When this instance first saw the present attempt and phase of each active job."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._placed: dict[tuple[tuple[str, str], int], int] = {}
        self._stopping: dict[tuple[tuple[str, str], int], int] = {}

    def folded(self, follower: LogFollower, applied: Iterable[Applied]) -> None:
        """Note the jobs that a folded entry touched."""
        now = self._clock()
        for key in affected_jobs(applied):
            job = follower.view.jobs.get(key)
            if job is None:
                continue
            mark = (key, job.attempt)
            if job.state == JobState.PLACED:
                self._placed.setdefault(mark, now)
                continue
            if job.state == JobState.STOPPING:
                self._stopping.setdefault(mark, now)
                continue
            self._placed.pop(mark, None)
            self._stopping.pop(mark, None)
            self._stopping.pop((key, job.attempt - 1), None)
            self._placed.pop((key, job.attempt - 1), None)

    def placed_age(self, key: tuple[str, str], attempt: int) -> int:
        """Return how long ago the placement was first seen; now counts if it was not."""
        return self._clock() - self._placed.setdefault((key, attempt), self._clock())

    def stopping_age(self, key: tuple[str, str], attempt: int) -> int:
        """Return how long ago the stop was first seen; now counts if it was not."""
        return self._clock() - self._stopping.setdefault((key, attempt), self._clock())


class Keepers:
    """The kept workers of this instance."""

    def __init__(
        self,
        name: str,
        follower: LogFollower,
        writer: LogWriter,
        peers: PeerTable,
        freshness: Freshness,
        client: WorkerClient,
        ages: JobAges,
        clock: Clock,
        wall: Clock,
        sync_interval_ms: int,
        on_load: LoadListener,
        leaving: Callable[[], frozenset[str]],
    ) -> None:
        self._name = name
        self._follower = follower
        self._writer = writer
        self._peers = peers
        self._freshness = freshness
        self._client = client
        self._ages = ages
        self._clock = clock
        self._wall = wall
        self._interval_ms = sync_interval_ms
        self._on_load = on_load
        self._listed_leaving = leaving
        self._kept: dict[str, _Wakeup] = {}
        self._basis: tuple[object, ...] = ()
        self._leaving: set[str] = set()
        self._running = True

    @property
    def kept(self) -> frozenset[str]:
        """The workers that this instance keeps."""
        return frozenset(self._kept)

    @property
    def leaving_workers(self) -> frozenset[str]:
        """Kept workers that said in their last reply that they leave."""
        return frozenset(self._leaving)

    def folded(self, entry: Entry, applied: tuple[Applied, ...]) -> None:
        """Wake the keepers of workers whose members a folded entry touched."""
        del entry
        self._ages.folded(self._follower, applied)
        for key in affected_jobs(applied):
            job = self._follower.view.jobs.get(key)
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
            self._follower.changed.wait(RECONCILE_MS)
            # Many entries may be folded at once; the set changes far less often.
            eventlet.sleep(RECONCILE_MS / 1_000 / 5)

    def stop(self) -> None:
        """End all keepers; other instances take the workers over."""
        self._running = False
        for wakeup in list(self._kept.values()):
            wakeup.notify()
        self._kept.clear()

    def _leaving_workers(self) -> frozenset[str]:
        return self.leaving_workers | self._listed_leaving()

    def _reconcile(self) -> None:
        now = self._clock()
        view = self._follower.view
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
        session = _Session(worker, self._clock())
        while self._running and self._kept.get(worker) is wakeup:
            seen = wakeup.count
            try:
                wait_ms = self._exchange(session)
            except Exception:
                # A fault in one exchange must not end the renewals of all tasks on the worker.
                logger.exception("The exchange with a worker failed", extra={"worker": worker})
                wait_ms = self._interval_ms
            wakeup.wait(seen, wait_ms)

    def _exchange(self, session: "_Session") -> int:
        view = self._follower.view
        capacity = view.capacities.get(session.worker)
        if capacity is None:
            return self._interval_ms
        now = self._clock()
        members = self._members(session.worker)
        may_start = self._freshness.may_start(now)
        if not capacity.eligible:
            may_start = Permit(False, "the availability zone is out or the worker drains")
        elif session.worker in self._leaving_workers():
            may_start = Permit(False, "the worker leaves")
        plan = plan_sync(
            self._name,
            members,
            session.reported,
            session.result,
            may_start,
            self._freshness.may_renew(now),
        )
        self._log_starts(session.worker, plan, capacity.eligible)
        count_syncs(1)
        reply = self._client.sync(capacity.worker, plan.request, START_TIMEOUT_MS)
        if isinstance(reply, SyncReply):
            self._take_reply(session, plan, reply)
            return SOON_MS if plan.soon else self._next_sync_ms(members)
        logger.warning(
            "A worker did not answer",
            extra={"worker": session.worker, "detail": reply.detail},
        )
        self._unreachable(session)
        return min(self._interval_ms, START_TIMEOUT_MS)

    def _members(self, worker: str) -> tuple[MemberHere, ...]:
        here: list[MemberHere] = []
        for job in self._follower.view.tasks_on(worker):
            for status in job.members:
                if status.member.worker != worker:
                    continue
                stopping = job.state == JobState.STOPPING
                here.append(
                    MemberHere(
                        job,
                        status,
                        self._ages.placed_age(job.key, job.attempt),
                        self._ages.stopping_age(job.key, job.attempt) if stopping else 0,
                    )
                )
        return tuple(here)

    def _log_starts(self, worker: str, plan: SyncPlan, eligible: bool) -> None:
        for task in plan.starts:
            check("I2 no start in a zone that is out", eligible, f"{task} on {worker}")
            log_decision(
                "start", worker, "placed here", task=task, offset=self._follower.view.offset
            )
        if plan.refusal:
            log_decision("start", "wait", plan.refusal, worker=worker)

    def _take_reply(self, session: "_Session", plan: SyncPlan, reply: SyncReply) -> None:
        session.answered_ms = self._clock()
        session.reported = {
            report.task: report for report in reply.tasks if report.task.startswith(JOB_TASK_PREFIX)
        }
        self._leaving.discard(session.worker)
        if reply.leaving:
            self._leaving.add(session.worker)
        self._on_load(session.worker, reply)
        # The view may have moved on during the exchange, so the members are read again.
        members = self._members(session.worker)
        session.result = read_reply(members, reply, plan.request.stop, self._follower.view.offset)
        self._report(session, session.result.reports)
        self._check_partial(session, members)

    def _report(self, session: "_Session", reports: Iterable[MemberReport]) -> None:
        now = self._clock()
        fresh: list[MemberReport] = []
        for report in reports:
            mark = (
                task_id((report.organisation, report.job_id), report.attempt, report.worker),
                report.state,
            )
            if now - session.written.get(mark, -REPORT_AGAIN_MS) < REPORT_AGAIN_MS:
                continue
            session.written[mark] = now
            fresh.append(report)
        for mark, written_ms in list(session.written.items()):
            if now - written_ms > 10 * REPORT_AGAIN_MS:
                del session.written[mark]
        if fresh:
            self._writer.submit((MembersReported(tuple(fresh)),))

    def _next_sync_ms(self, members: Iterable[MemberHere]) -> int:
        """Return when the leases on the worker are to be renewed next."""
        if any(len(here.job.members) > 1 for here in members):
            return min(self._interval_ms, GANG_SYNC_MS)
        return self._interval_ms

    def _check_partial(self, session: "_Session", members: Iterable[MemberHere]) -> None:
        """Check that no member still runs in a gang that has been partial past the bound."""
        late = {job.key for job in partial_gangs(self._follower.view, self._wall())}
        for here in members:
            report = session.reported.get(here.task)
            runs = report is not None and report.state == TaskState.RUNNING
            check(
                "I1 no gang partly running past the bound",
                not (runs and here.job.key in late),
                f"{here.task} runs in a partial gang",
            )

    def _stop_gangs(self, session: "_Session", silent_ms: int) -> None:
        """Stop the rest of each gang whose member here must have lapsed.

        The member itself counts as lost only later, when no other keeper can have renewed it.
        """
        stops = [
            JobStopping(here.job.key[0], here.job.key[1], here.job.attempt, StopReason.MEMBER_LOST)
            for here in self._members(session.worker)
            if len(here.job.members) > 1
            and here.job.state in (JobState.PLACED, JobState.RUNNING)
            and here.status.state not in ENDED_MEMBERS
            and (here.job.key, here.job.attempt) not in session.stopped
        ]
        if not stops:
            return
        session.stopped.update(((one.organisation, one.job_id), one.attempt) for one in stops)
        log_decision(
            "stop",
            " ".join(f"{one.organisation}/{one.job_id}#{one.attempt}" for one in stops),
            f"{session.worker} was silent for {silent_ms} ms",
        )
        self._writer.submit(tuple(stops))

    def _unreachable(self, session: "_Session") -> None:
        """Stop gangs of a silent worker, and report members as lost once that is certain."""
        now = self._clock()
        capacity = self._follower.view.capacities.get(session.worker)
        if capacity is None or not self._freshness.may_start(now).granted:
            return
        silent_ms = now - session.answered_ms
        if silent_ms >= GANG_LEASE_MS:
            self._stop_gangs(session, silent_ms)
        if silent_ms < max(LEASE_MS, self._freshness.lost_after(capacity.region, now)):
            return
        reports = [
            MemberReport(
                here.job.key[0],
                here.job.key[1],
                here.job.attempt,
                session.worker,
                MemberState.LOST,
                f"the worker was silent for {silent_ms} ms",
            )
            for here in self._members(session.worker)
            if here.status.state not in ENDED_MEMBERS
        ]
        self._report(session, reports)


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


class _Session:
    """What one keeper remembers of its worker."""

    def __init__(self, worker: str, now_ms: int) -> None:
        self.worker = worker
        # Another keeper may have renewed until just before this one took over.
        self.answered_ms = now_ms
        self.reported: dict[str, TaskReport] = {}
        self.result = SyncResult()
        self.written: dict[tuple[str, MemberState], int] = {}
        self.stopped: set[tuple[tuple[str, str], int]] = set()
