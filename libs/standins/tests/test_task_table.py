"""Tests of leased tasks with a virtual clock."""

import unittest
from typing import Any

from hornbeamfold.standins.task_table import TaskFaults, TaskTable
from hornbeamfold.standins.worker_data import (
    Renewal,
    StartOrder,
    SyncOrder,
    TaskReport,
    Throttle,
    WorkerSpec,
)

NO_FAULTS = TaskFaults(False, {})


def start(task: str, fence: int = 1, *accelerators: int, **overrides: Any) -> StartOrder:
    """Return an order to start work of one second, by default with a lease of ten seconds."""
    fields = {"lease_ms": 10_000, "body": '{"run_ms": 1000}', **overrides}
    return StartOrder(task, fence, accelerators=accelerators, **fields)


class TaskTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.slots_used_by_runs = 0
        self.now_ms = 0.0
        self.create_table(WorkerSpec("w", checkpoint_ms=100))

    def create_table(self, spec: WorkerSpec) -> None:
        self.table = TaskTable(spec, lambda: self.slots_used_by_runs)

    def sync(self, *starts: StartOrder, faults: TaskFaults = NO_FAULTS, **orders: Any) -> Any:
        """Return the reports by task."""
        reports, _ = self.table.sync(SyncOrder(start=starts, **orders), faults, self.now_ms)
        return {report.task: report for report in reports}

    def state(self, task: str) -> str:
        report: TaskReport = self.sync()[task]
        return report.state

    def test_a_task_runs_for_its_declared_time(self) -> None:
        """Guards against work that ends at another time or in another way than declared."""
        self.sync(start("a"), start("b", body='{"run_ms": 500, "fail": true}'))
        self.now_ms = 499
        self.assertEqual((self.state("a"), self.state("b")), ("running", "running"))
        self.now_ms = 500
        self.assertEqual((self.state("a"), self.state("b")), ("running", "failed"))
        self.now_ms = 1_000
        self.assertEqual(self.state("a"), "finished")

    def test_a_delayed_start_order_is_refused(self) -> None:
        """Guards against a start based on a view that is out of date (random faults, seed 23)."""
        self.now_ms = 1_001
        self.assertEqual(self.sync(start("a", start_by_ms=1_000))["a"].state, "refused")
        self.assertEqual(self.sync(start("b", start_by_ms=1_001))["b"].state, "running")

    def test_a_lease_expires_unless_it_is_renewed(self) -> None:
        """Guards against tasks that outlive their lease, and against renewals without effect."""
        self.sync(start("a", lease_ms=300), start("b", lease_ms=300))
        self.now_ms = 200
        self.sync(renew=(Renewal("a", 1, 300),))
        self.now_ms = 499
        self.assertEqual((self.state("a"), self.state("b")), ("running", "lapsed"))
        self.sync(renew=(Renewal("b", 1, 300),))
        self.assertEqual(
            self.state("b"), "lapsed", "a task does not resume after its lease has expired"
        )
        self.now_ms = 500
        self.assertEqual(self.state("a"), "lapsed")

    def test_an_accelerator_is_never_allocated_twice(self) -> None:
        """Guards against a stand-in that hides a double placement."""
        self.sync(start("a", 1, 0, 1))
        self.assertEqual(self.sync(start("b", 2, 1, 2))["b"].state, "refused")
        self.assertNotIn("b", self.sync(), "a refused start leaves no task")
        self.assertEqual(self.sync(start("c", 2, 2), stop=("a",))["c"].state, "running")
        self.assertEqual(self.sync(start("d", 3, 0, 1))["d"].state, "running")
        self.assertEqual(self.sync(start("e", 3, 8))["e"].state, "refused")

    def test_a_lower_fence_is_refused(self) -> None:
        """Guards against a late start of an older placement, also after the task was forgotten."""
        late_orders = (start("old", 4, 0), start("first", 5, 1), start("other", 4, 3))
        for fencing, expected in ((True, "refused"), (False, "running")):
            with self.subTest(fencing=fencing):
                self.create_table(WorkerSpec("w", supports_fencing=fencing))
                self.sync(start("first", 5, 0))
                self.sync(stop=("first",), forget=("first",))
                reports = self.sync(*late_orders)
                states = [reports[order.task].state for order in late_orders]
                self.assertEqual(states, [expected, expected, "running"])

    def test_repeated_start_orders_start_once(self) -> None:
        """Guards against a second start by another instance, and a restart of an ended task."""
        self.sync(start("a"))
        _, started = self.table.sync(SyncOrder(start=(start("a"),)), NO_FAULTS, 100)
        self.assertEqual(started, [])
        self.now_ms = 1_000
        self.assertEqual(self.sync(start("a"))["a"].state, "finished")
        self.assertEqual(self.sync(forget=("a",)), {})

    def test_slots_processors_and_memory_are_hard_limits(self) -> None:
        """Guards against a worker that accepts more tasks than its resources allow."""
        self.slots_used_by_runs = 7
        reports = self.sync(start("a", memory_gb=200), start("b"))
        self.assertEqual((reports["a"].state, reports["b"].state), ("running", "refused"))
        self.slots_used_by_runs = 0
        self.assertEqual(self.sync(start("c", memory_gb=57))["c"].state, "refused")
        self.assertEqual(self.sync(start("d", processors=65))["d"].state, "refused")
        self.assertEqual(self.sync(start("e", processors=64, memory_gb=56))["e"].state, "running")

    def test_a_checkpoint_takes_time_and_preserves_work(self) -> None:
        """Guards against a stop that loses checkpointed work, or preserves more than that."""
        self.sync(start("a"))
        self.now_ms = 400
        self.sync(checkpoint=("a",))
        self.now_ms = 499
        self.assertEqual(self.sync()["a"].checkpoint, "")
        self.now_ms = 500
        checkpoint = self.sync()["a"].checkpoint
        self.assertEqual(self.sync(stop=("a",))["a"].state, "stopped")
        self.sync(start("b", checkpoint=checkpoint))
        self.now_ms = 1_099
        self.assertEqual(self.state("b"), "running")
        self.now_ms = 1_100
        self.assertEqual(self.state("b"), "finished")

    def test_a_throttled_task_takes_longer(self) -> None:
        """Guards against a throttle that has no effect or cannot be undone."""
        self.sync(start("a"))
        self.now_ms = 500
        self.sync(throttle=(Throttle("a", 0.5),))
        self.now_ms = 1_100
        report = self.sync(throttle=(Throttle("a", 1.0),))["a"]
        self.assertEqual((report.state, report.progress), ("running", 0.8))
        self.now_ms = 1_300
        self.assertEqual(self.state("a"), "finished")

    def test_injected_failures(self) -> None:
        """Guards against injected faults that affect other tasks than the selected ones."""
        self.sync(start("x/a"), start("y"), faults=TaskFaults(False, {"x/*": 300}))
        self.now_ms = 300
        self.assertEqual((self.state("x/a"), self.state("y")), ("failed", "running"))
        self.assertEqual(self.sync(start("z"), faults=TaskFaults(True, {}))["z"].state, "failed")

    def test_usage_includes_tasks_that_were_forgotten_since(self) -> None:
        """Guards against usage that is more recent than its time says."""
        self.sync(start("a", processors=3))
        self.now_ms = 1_500
        self.sync(forget=("a",))
        self.assertEqual([task.start.task for task in self.table.active_at(999)], ["a"])
        self.assertEqual(self.table.active_at(1_000), [])
