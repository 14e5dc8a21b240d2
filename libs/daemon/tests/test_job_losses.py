"""Tests of jobs under which workers restart: sessions and plans against workers that crash."""

import unittest
from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace

from daemon_cases import KEY as KEY_ON_CLUSTER
from daemon_cases import Cluster

from hornbeamfold.daemon.instance import Lifecycle, build
from hornbeamfold.daemon.job_losses import CLEARING_RUN_MS, JobLosses
from hornbeamfold.daemon.worker_session import WorkerSession
from hornbeamfold.logclient import decode_record
from hornbeamfold.membership import Permit
from hornbeamfold.model import (
    ENDED_JOBS,
    Applied,
    Entry,
    Event,
    Job,
    JobPlaced,
    JobSpec,
    JobState,
    JobStopping,
    JobSubmitted,
    Member,
    MemberReport,
    MembersReported,
    MemberState,
    OrganisationPut,
    Record,
    Shape,
    Span,
    StopReason,
    TargetDrain,
    Worker,
    WorkersPut,
    ZoneSet,
)
from hornbeamfold.model.timing import LEASE_MS, LOST_MARGIN_MS, START_LEASE_MS
from hornbeamfold.model.work import ENDED_MEMBERS, task_id
from hornbeamfold.settings import Settings
from hornbeamfold.workers import (
    NoReply,
    NotSent,
    SyncOutcome,
    SyncReply,
    SyncRequest,
    TaskReport,
    TaskState,
    Usage,
)

UNUSED_URL = "http://127.0.0.1:9"
ANY_PORT = "127.0.0.1:0"
WALL_MS = 1_700_000_000_000
KEY = ("o", "j")
WORKERS = tuple(Worker(f"w{at}", ANY_PORT, "z", "r", at, 8, 16, 2, 4, 8) for at in range(4))
STEP_MS = 500
GRANTED = Permit(True, "yes")


class FakeWorker:
    """A worker with its tasks; `down_until_ms` is when it is back after a crash."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.tasks: dict[str, TaskReport] = {}
        self.started_ms: dict[str, int] = {}
        self.down_until_ms = 0
        self.starts = 0
        self.crashes = 0

    def crash(self, until_ms: int) -> None:
        """Lose all tasks and be down until a time."""
        self.tasks.clear()
        self.down_until_ms = until_ms
        self.crashes += 1

    def exchange(self, request: SyncRequest, now_ms: int) -> SyncReply:
        """Apply a request and return the reply."""
        for start in request.start:
            if start.task in self.tasks:
                continue
            self.tasks[start.task] = TaskReport(start.task, start.fence, TaskState.RUNNING)
            self.started_ms[start.task] = now_ms
            self.starts += 1
        for task in request.checkpoint:
            if task in self.tasks:
                self.tasks[task] = replace(self.tasks[task], checkpoint=f"c{task}")
        for task in request.stop:
            if task in self.tasks and self.tasks[task].state is TaskState.RUNNING:
                self.tasks[task] = replace(self.tasks[task], state=TaskState.STOPPED)
        for task in request.forget:
            self.tasks.pop(task, None)
        return SyncReply(tuple(self.tasks.values()), 4, 1, False, True, Usage(0, 0.0, 0.0))


OnSync = Callable[[FakeWorker, SyncRequest, int], SyncOutcome]


class CrashMixin(unittest.TestCase):
    """One instance with the sessions of four workers; `on_sync` decides what the workers do."""

    def setUp(self) -> None:
        self.now_ms = 1_000
        settings = Settings("a", "z", "east", ANY_PORT, ANY_PORT, UNUSED_URL, UNUSED_URL, 3_600_000)
        self.parts = build(
            settings, Lifecycle(), lambda: self.now_ms, lambda: WALL_MS + self.now_ms
        )
        self.workers = {worker.name: FakeWorker(worker.name) for worker in WORKERS}
        self.on_sync: OnSync = lambda worker, request, now_ms: worker.exchange(request, now_ms)
        self.seq = 0
        self.verdicts: list[Applied] = []
        self.parts.follower.add_listener(lambda _, applied: self.verdicts.extend(applied))
        context = replace(
            self.parts.session_manager._context,
            writer=SimpleNamespace(submit=self.submit),
            client=SimpleNamespace(sync=self.sync),
            freshness=SimpleNamespace(
                may_start=lambda now_ms: GRANTED,
                may_renew=lambda now_ms: GRANTED,
                lost_after=lambda region, now_ms: LEASE_MS + LOST_MARGIN_MS,
            ),
        )
        self.sessions = {name: WorkerSession(name, context) for name in self.workers}
        self.submit(
            (
                ZoneSet("z", "east", True, 0),
                WorkersPut(WORKERS, (), 0),
                OrganisationPut("o", (), 1.0, 0),
            )
        )

    @property
    def job(self) -> Job:
        """The job in the view."""
        return self.parts.follower.view.jobs[KEY]

    def submit(self, events: tuple[Event, ...]) -> SimpleNamespace:
        """Append events to the log and apply them at once."""
        self.seq += 1
        entry = Entry(self.seq - 1, WALL_MS + self.now_ms, Record("w", self.seq, tuple(events)))
        self.parts.follower.on_entries((entry,), self.seq, self.now_ms)
        return SimpleNamespace(done=True)

    def sync(self, worker: Worker, request: SyncRequest, timeout_ms: int) -> SyncOutcome:
        """Let a worker answer unless it is down."""
        fake = self.workers[worker.name]
        if self.now_ms < fake.down_until_ms:
            return NotSent("connection refused")
        return self.on_sync(fake, request, self.now_ms)

    def submit_job(self, accelerators: int, checkpointable: bool = False) -> None:
        """Submit the job."""
        shape = Shape(accelerators, accelerators, 1, Span.RACK)
        spec = JobSpec(*KEY, "train", "{}", shape, 60_000, checkpointable=checkpointable)
        self.submit((JobSubmitted(spec),))

    def step(self) -> None:
        """Plan once and exchange with each worker once."""
        self.now_ms += STEP_MS
        decisions = self.parts.placer._decide()
        if decisions:
            self.submit(tuple(decision.event for decision in decisions))
        for session in self.sessions.values():
            session.run_once()

    def run_until(self, done: Callable[[], bool], limit_ms: int) -> None:
        """Step until a condition holds or a time has passed."""
        end_ms = self.now_ms + limit_ms
        while self.now_ms < end_ms and not done():
            self.step()

    def run_to_end(self, limit_ms: int = 3_600_000) -> None:
        """Step until the job has ended."""
        self.run_until(lambda: self.job.state in ENDED_JOBS, limit_ms)

    def crashes(self) -> int:
        """Return how often workers have crashed."""
        return sum(worker.crashes for worker in self.workers.values())

    def crash_when_running(
        self, worker: FakeWorker | None, down_ms: int, after_ms: int = 0
    ) -> OnSync:
        """Return a reaction: the worker crashes once its task has run for a time."""

        def react(found: FakeWorker, request: SyncRequest, now_ms: int) -> SyncOutcome:
            started = [found.started_ms[task] for task in found.tasks]
            affected = worker is None or found is worker
            if affected and started and now_ms - min(started) > after_ms:
                found.crash(now_ms + down_ms)
                return NotSent("connection refused")
            return found.exchange(request, now_ms)

        return react


class CrashingJobTest(CrashMixin):
    def assert_given_up(self) -> None:
        self.assertEqual(self.job.state, JobState.FAILED, self.job)
        self.assertIn("restarted", self.job.detail)
        # One attempt of a gang may crash each of its workers.
        self.assertLessEqual(self.crashes(), 12 * 4)
        capacities = self.parts.follower.view.capacities.values()
        self.assertTrue(all(one.free_mask == 0b11 for one in capacities))

    def test_a_job_that_crashes_its_worker_ends(self) -> None:
        """Guards against a job that crashes one worker after the other without end."""
        for accelerators, checkpointable in ((1, False), (4, False), (4, True)):
            with self.subTest(accelerators=accelerators, checkpointable=checkpointable):
                self.setUp()
                self.on_sync = self.crash_when_running(None, 2_000)
                self.submit_job(accelerators, checkpointable)
                self.run_to_end()
                self.assert_given_up()

    def test_a_job_that_crashes_one_of_its_workers_ends(self) -> None:
        """Guards against checkpoints of the other members that hide the losses of a gang."""
        self.on_sync = self.crash_when_running(self.workers["w0"], 2_000)
        self.submit_job(8, checkpointable=True)
        self.run_to_end()
        self.assert_given_up()

    def test_a_job_whose_workers_come_back_late_ends(self) -> None:
        """Guards against counting nothing if a worker is down for longer than its leases."""
        for accelerators in (1, 4):
            with self.subTest(accelerators=accelerators):
                self.setUp()
                self.on_sync = self.crash_when_running(None, 90_000)
                self.submit_job(accelerators)
                self.run_to_end()
                self.assert_given_up()

    def test_a_job_that_crashes_its_worker_at_the_start_ends(self) -> None:
        """Guards against start timeouts without end if the worker crashes on the start order."""

        def react(worker: FakeWorker, request: SyncRequest, now_ms: int) -> SyncOutcome:
            if request.start:
                worker.crash(now_ms + 6_000)
                return NoReply("reset", True)
            return worker.exchange(request, now_ms)

        self.on_sync = react
        self.submit_job(1)
        self.run_to_end()
        self.assert_given_up()


class OtherLossesTest(CrashMixin):
    def assert_goes_on(self, limit_ms: int, attempts: int) -> None:
        """Check that the job has lost many attempts and is still neither failed nor refused."""
        self.run_until(
            lambda: self.job.attempt > attempts or self.job.state in ENDED_JOBS, limit_ms
        )
        self.assertGreater(self.job.attempt, attempts)
        self.assertEqual(self.job.failures, 0, self.job)
        losses = self.parts.session_manager._context.job_losses
        self.assertLessEqual(losses.count(KEY), 1)

    def test_workers_that_are_cut_off_do_not_count(self) -> None:
        """Guards against failing a job because the network keeps cutting its workers off."""

        def react(worker: FakeWorker, request: SyncRequest, now_ms: int) -> SyncOutcome:
            if now_ms // 60_000 % 2:
                # The leases end on a worker that is cut off, and it keeps its tasks.
                for task, report in worker.tasks.items():
                    worker.tasks[task] = replace(report, state=TaskState.LAPSED)
                return NoReply("timed out")
            return worker.exchange(request, now_ms)

        self.on_sync = react
        self.submit_job(4)
        self.run_until(lambda: self.job.state in ENDED_JOBS, 3_600_000)
        self.assert_goes_on(0, 25)

    def test_starts_that_workers_never_get_do_not_count(self) -> None:
        """Guards against failing a job because its workers cannot be reached for a start."""

        def react(worker: FakeWorker, request: SyncRequest, now_ms: int) -> SyncOutcome:
            if request.start:
                return NoReply("timed out")
            return worker.exchange(request, now_ms)

        self.on_sync = react
        self.submit_job(1)
        self.assert_goes_on(3_600_000, 25)

    def test_a_start_whose_reply_is_lost_holds_its_place(self) -> None:
        """Guards against freeing accelerators on which a task may just have started unseen."""
        cut_ms = self.now_ms

        def react(worker: FakeWorker, request: SyncRequest, now_ms: int) -> SyncOutcome:
            worker.exchange(request, now_ms)
            return NoReply("timed out")

        self.on_sync = react
        self.run_until(lambda: self.now_ms > cut_ms + 2 * LEASE_MS, 120_000)
        self.submit_job(4)
        for _ in range(240):
            self.step()
            job = self.job
            held = {
                task_id(job.key, job.attempt, status.member.worker)
                for status in job.members
                if status.state not in ENDED_MEMBERS
            }
            for worker in self.workers.values():
                for task, started_ms in worker.started_ms.items():
                    if self.now_ms < started_ms + START_LEASE_MS:
                        self.assertIn(task, held)

    def test_losses_after_a_long_run_do_not_add_up(self) -> None:
        """Guards against failing a long job because workers restart under it now and then."""
        self.on_sync = self.crash_when_running(None, 2_000, after_ms=700_000)
        self.submit_job(1)
        self.assert_goes_on(6 * 3_600_000, 25)

    def test_planned_restarts_do_not_count(self) -> None:
        """Guards against failing a job because operators restart its workers in turn."""

        def react(worker: FakeWorker, request: SyncRequest, now_ms: int) -> SyncOutcome:
            reply = worker.exchange(request, now_ms)
            if worker.tasks and not request.start:
                worker.crash(now_ms + 2_000)
                return replace(reply, leaving=True)
            return reply

        self.on_sync = react
        self.submit_job(1)
        self.assert_goes_on(3_600_000, 25)

    def test_zones_out_of_service_do_not_count(self) -> None:
        """Guards against failing a job because its zone is switched off again and again."""
        self.submit_job(4)
        for version in range(1, 31):
            self.run_until(lambda: self.job.state is JobState.RUNNING, 60_000)
            self.submit((ZoneSet("z", "east", False, 2 * version - 1),))
            for worker in self.workers.values():
                worker.crash(self.now_ms + 2_000)
            self.run_until(lambda: self.job.state is JobState.QUEUED, 60_000)
            self.submit((ZoneSet("z", "east", True, 2 * version),))
        self.assert_goes_on(60_000, 25)

    def test_drained_workers_do_not_count(self) -> None:
        """Guards against failing a job because drained workers are restarted under it."""
        self.submit_job(1)
        for round_number in range(30):
            self.run_until(lambda: self.job.state is JobState.RUNNING, 60_000)
            name = self.job.members[0].member.worker
            version = self.parts.follower.view.workers_version
            self.submit((TargetDrain(name, True, version),))
            self.workers[name].crash(self.now_ms + 2_000)
            attempt = self.job.attempt
            self.run_until(lambda before=attempt: self.job.attempt > before, 60_000)
            self.assertEqual(self.job.attempt, round_number + 2)
            self.submit((TargetDrain(name, False, version + 1),))
        self.assert_goes_on(60_000, 25)

    def test_jobs_that_are_given_up_eject_no_worker(self) -> None:
        """Guards against setting healthy workers aside because jobs were not started on them."""
        for not_started, expected in ((True, ()), (False, ("w0",))):
            with self.subTest(not_started=not_started):
                self.setUp()
                for number in range(3):
                    key = ("o", f"j{number}")
                    spec = JobSpec(*key, "train", "{}", Shape(1, 1), 60_000)
                    report = MemberReport(
                        *key, 1, "w0", MemberState.FAILED, not_started=not_started
                    )
                    member = Member("w0", (0,), 1, 1)
                    self.submit((JobSubmitted(spec), JobPlaced(*key, 1, (member,), 0)))
                    self.submit((MembersReported((report,)),))
                self.assertEqual(self.parts.dispatcher.set_aside, expected)


class CountTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = Cluster()
        self.losses = JobLosses()
        self.attempt = 0

    def apply(self, *events: Event, after_ms: int = 1) -> None:
        """Apply events to the view and count."""
        self.cluster.at_ms += after_ms
        self.losses.on_applied(self.cluster.view, self.cluster.apply(*events))

    def run_attempt(self) -> None:
        """Place the job on w0 and report it as running."""
        self.attempt += 1
        self.apply(JobPlaced(*KEY_ON_CLUSTER, self.attempt, (Member("w0", (0,), 1, 1),), 0))
        self.report(MemberState.RUNNING)

    def report(self, state: MemberState, after_ms: int = 1, **values: object) -> None:
        """Apply a report on the current attempt."""
        report = MemberReport(*KEY_ON_CLUSTER, self.attempt, "w0", state, **values)  # type: ignore[arg-type]
        self.apply(MembersReported((report,)), after_ms=after_ms)

    def test_what_counts_and_what_clears(self) -> None:
        """Guards against counts that never start anew, and against attempts counted twice."""
        spec = JobSpec(*KEY_ON_CLUSTER, "train", "{}", Shape(1, 1), 1_000, checkpointable=True)
        self.apply(JobSubmitted(spec))
        restarted = {"worker_restarted": True}

        def lose(after_ms: int = 1, **values: object) -> int:
            self.run_attempt()
            self.report(MemberState.LOST, after_ms, **(restarted | values))
            return self.losses.count(KEY_ON_CLUSTER)

        def interrupt(checkpoint: str) -> int:
            self.run_attempt()
            self.apply(JobStopping(*KEY_ON_CLUSTER, self.attempt, StopReason.RECLAIM))
            self.report(MemberState.LOST, checkpoint=checkpoint, **restarted)
            return self.losses.count(KEY_ON_CLUSTER)

        self.assertEqual([lose(), lose(), lose(worker_restarted=False)], [1, 2, 2])
        # Reports on an attempt that has ended are rejected, but tell that its worker restarted.
        self.report(MemberState.LOST, **restarted)
        self.report(MemberState.LOST, **restarted)
        self.assertEqual(self.losses.count(KEY_ON_CLUSTER), 3)
        self.assertEqual([interrupt(""), lose(), lose(checkpoint="c1"), lose()], [3, 4, 5, 6])
        self.assertEqual([lose(CLEARING_RUN_MS - 2), lose(CLEARING_RUN_MS), lose()], [7, 0, 1])
        self.assertEqual([interrupt("c2"), lose()], [1, 1])
        self.run_attempt()
        self.report(MemberState.RUNNING, checkpoint="c3")
        self.assertEqual(self.losses.count(KEY_ON_CLUSTER), 0)
        self.report(MemberState.FINISHED)
        self.assertEqual(self.losses._histories, {})

    def test_records_of_other_versions(self) -> None:
        """Guards against records that another version cannot read, or folds differently."""
        old = '{"MembersReported":{"reports":[{"organisation":"a","job_id":"j","attempt":1,'
        old += '"worker":"w0","state":"lost","detail":"d","checkpoint":"","later_field":1}]}}'
        record = decode_record(f'{{"writer":"w","seq":9,"events":[{old}]}}')
        expected = MemberReport("a", "j", 1, "w0", MemberState.LOST, "d")
        self.assertEqual(record.events, (MembersReported((expected,)),))
        digests = set()
        for values in ({}, {"worker_restarted": True}, {"not_started": True}):
            cluster = Cluster()
            cluster.run()
            cluster.apply(MembersReported((replace(expected, **values),)))
            digests.add(cluster.view.digest())
        self.assertEqual(len(digests), 1)


if __name__ == "__main__":
    unittest.main()
