"""Tests of planning an exchange with a worker and of reading its reply."""

import unittest
from dataclasses import replace

from daemon_cases import KEY, Cluster

from hornbeamfold.daemon.worker_sync import (
    SyncResult,
    WorkerMember,
    lease_ms,
    plan_sync,
    read_reply,
    routine_sync_ms,
)
from hornbeamfold.membership import Permit
from hornbeamfold.model.events import JobStopping
from hornbeamfold.model.timing import (
    CHECKPOINT_BOUND_MS,
    GANG_LEASE_MS,
    LEASE_MS,
    START_BOUND_MS,
    START_LEASE_MS,
)
from hornbeamfold.model.work import MemberState, StopReason
from hornbeamfold.workers import SyncReply, TaskReport, TaskState, Usage

GRANTED, DENIED = Permit(True, "yes"), Permit(False, "no")
TASK = "job/a/j/1/w0"


def make_member(job, placed_age_ms=0, stopping_age_ms=0):
    """Return the member of a job on w0."""
    return WorkerMember(job, job.members[0], placed_age_ms, stopping_age_ms)


def make_report(state, name=TASK, fence=1, checkpoint=""):
    """Return the report of a task."""
    return TaskReport(name, fence, state, checkpoint)


def make_reply(*tasks):
    """Return the reply of a worker that reports these tasks."""
    return SyncReply(tasks, 4, 1, False, True, Usage(0, 0.0, 0.0))


class PlanSyncTest(unittest.TestCase):
    def plan(self, member, reported=None, start=GRANTED, renew=GRANTED):
        known = {TASK: reported} if reported else {}
        return plan_sync("i", [member], known, SyncResult(), start, renew).request

    def test_starts(self) -> None:
        """Guards against a start on a stale view, after the start bound or with a long lease."""
        job = Cluster().place()
        for name, placed_ms, permit, started in (
            ("fresh", 0, GRANTED, 1),
            ("at the bound", START_BOUND_MS, GRANTED, 1),
            ("late", START_BOUND_MS + 1, GRANTED, 0),
            ("stale view", 0, DENIED, 0),
        ):
            with self.subTest(name):
                request = self.plan(make_member(job, placed_ms), start=permit)
                self.assertEqual(len(request.start), started)
                for start in request.start:
                    self.assertEqual(
                        (start.task, start.lease_ms, start.fence), (TASK, START_LEASE_MS, job.fence)
                    )

    def test_starts_carry_their_bound(self) -> None:
        """Guards against a delayed start that a worker executes once a network partition heals."""
        member = make_member(Cluster().place())
        plan = plan_sync("i", [member], {}, SyncResult(), GRANTED, GRANTED, start_by_ms=5_000)
        self.assertEqual([start.start_by_ms for start in plan.request.start], [5_000])

    def test_leases_grow_only_when_the_whole_gang_runs(self) -> None:
        """Guards against a partial gang that keeps running for a full lease."""
        cluster = Cluster()
        cluster.place()
        partial = cluster.report("w0", MemberState.RUNNING)
        self.assertEqual(lease_ms(partial), START_LEASE_MS)
        self.assertEqual(lease_ms(cluster.report("w1", MemberState.RUNNING)), GANG_LEASE_MS)
        self.assertEqual(lease_ms(Cluster().run(workers=("w0",))), LEASE_MS)
        self.assertEqual(self.plan(make_member(partial)).renew[0].lease_ms, START_LEASE_MS)
        self.assertEqual(self.plan(make_member(partial), renew=DENIED).renew, ())

    def test_stops(self) -> None:
        """Guards against a member that keeps running after a stop, or loses its checkpoint."""
        running = make_report(TaskState.RUNNING)
        saved = replace(running, checkpoint="c")
        for name, checkpointable, age_ms, reported, renew, expected in (
            ("plain", False, 0, running, GRANTED, ((), (), (TASK,))),
            ("checkpoint first", True, 0, running, GRANTED, ((TASK,), (START_LEASE_MS,), ())),
            ("not renewed when isolated", True, 0, running, DENIED, ((TASK,), (), ())),
            ("checkpoint taken", True, 0, saved, GRANTED, ((), (), (TASK,))),
            ("checkpoint too slow", True, CHECKPOINT_BOUND_MS, running, GRANTED, ((), (), (TASK,))),
            ("not seen yet", True, 0, None, GRANTED, ((), (), (TASK,))),
        ):
            with self.subTest(name):
                cluster = Cluster()
                cluster.run(checkpointable=checkpointable)
                cluster.apply(JobStopping(*KEY, 1, StopReason.RECLAIM))
                job = cluster.view.jobs[KEY]
                request = self.plan(make_member(job, 0, age_ms), reported, renew=renew)
                leases = tuple(renewal.lease_ms for renewal in request.renew)
                self.assertEqual((request.checkpoint, leases, request.stop), expected)


class ReadReplyTest(unittest.TestCase):
    def test_member_states(self) -> None:
        """Guards against a lost or unstarted member that counts as running."""
        pending, running = MemberState.PENDING, MemberState.RUNNING
        for before, state, stopped, expected in (
            (pending, TaskState.RUNNING, False, running),
            (pending, TaskState.REFUSED, False, None),
            (pending, None, False, None),
            (pending, None, True, MemberState.STOPPED),
            (running, TaskState.RUNNING, False, None),
            (running, None, False, MemberState.LOST),
            (running, TaskState.LAPSED, False, MemberState.LOST),
            (running, TaskState.FAILED, False, MemberState.FAILED),
            (running, TaskState.FINISHED, True, MemberState.FINISHED),
        ):
            with self.subTest(before=before, state=state, stopped=stopped):
                cluster = Cluster()
                job = cluster.place() if before is pending else cluster.run()
                tasks = (make_report(state),) if state else ()
                asked_to_stop = (TASK,) if stopped else ()
                result = read_reply(
                    [make_member(job)], make_reply(*tasks), asked_to_stop, cluster.view.offset
                )
                found = [report.state for report in result.reports]
                self.assertEqual(found, [expected] if expected else [])

    def test_tasks_that_no_member_explains(self) -> None:
        """Guards against orphans that keep running, and against stops of tasks not applied yet."""
        orphan, old = "job/a/x/1/w0", "job/a/y/1/w0"
        for name, report, forget, stop in (
            ("orphan", make_report(TaskState.RUNNING, orphan, 4), (), (orphan,)),
            ("ended", make_report(TaskState.FINISHED, old, 4), (old,), ()),
            ("ahead of this view", make_report(TaskState.RUNNING, orphan, 5), (), ()),
            ("request", make_report(TaskState.RUNNING, "request/a/r/1", 0), (), ()),
        ):
            with self.subTest(name):
                result = read_reply([], make_reply(report), (), 5)
                self.assertEqual((result.forget, result.stop), (forget, stop))


if __name__ == "__main__":
    unittest.main()


class RoutineSyncTest(unittest.TestCase):
    def test_few_workers_keep_the_configured_interval(self) -> None:
        """Guards against small installations that learn late of tasks that ended."""
        for worker_count in (0, 1, 3, 24, 40):
            self.assertEqual(routine_sync_ms(2_000, worker_count), 2_000)

    def test_many_workers_share_a_bounded_number_of_exchanges(self) -> None:
        """Guards against renewals that exceed the processor time of the control plane."""
        for worker_count in (41, 106, 200):
            self.assertLessEqual(worker_count * 1_000 / routine_sync_ms(2_000, worker_count), 21)

    def test_two_lost_exchanges_lapse_no_lease(self) -> None:
        """Guards against tasks that lapse because their instance has many workers."""
        for worker_count in (211, 1_900, 100_000):
            self.assertLessEqual(3 * routine_sync_ms(2_000, worker_count), LEASE_MS)
