"""A state machine over the decisions that keep organisations within their limits.

The workers of the machine are what really runs. They carry out orders late, run on while they are
cut off, and begin again; the coordinator is replaced, and configurations arrive late. Each start on
a worker is compared with the highest limit that may be in force.
"""

import unittest
from dataclasses import dataclass, replace
from itertools import cycle, islice

from coordinator_cases import ManualClock, job, worker
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from hornbeamfold.batch import (
    BatchJob,
    Bounds,
    Configuration,
    JobProgress,
    JobState,
    OperatorState,
    Organisation,
    Resources,
    RunEnd,
    RunName,
    Step,
    TaskPhase,
    TaskProgress,
    TaskRef,
    Worker,
)
from hornbeamfold.coordinator.health import WorkerHealth
from hornbeamfold.coordinator.job_tracker import JobTracker, Run
from hornbeamfold.coordinator.orders import VALIDITY_MARGIN_MS
from hornbeamfold.coordinator.organisation_use import organisation_uses, uncertain_use
from hornbeamfold.coordinator.planner_inputs import PlacedRuns, candidate_workers, ready_steps
from hornbeamfold.coordinator.starts import RunStarter, StartDependencies
from hornbeamfold.scheduling import plan

OWN = "sousse-crew"
BOUNDS = Bounds()
LEASE_MS = BOUNDS.lease_max_ms
# What a coordinator assumes in addition, for clocks that run at different rates.
LEASE_MARGIN_MS = 500
FORMER_LEASE_MS = 2 * LEASE_MS + LEASE_MARGIN_MS
WORKERS = 3
OUTCOMES = st.sampled_from(["accepted", "accepted", "answer lost", "late", "refused"])
LIMITS = st.sampled_from([2, 4, 8, 12])


class FakeWorker:
    """A worker: what really runs on it, and which orders it refuses."""

    def __init__(self, born_ms: int = 1, lease_end_ms: int = 0, cut_off: bool = False) -> None:
        self.running: dict[RunName, Resources] = {}
        self.ended: set[RunName] = set()
        self.strays: set[RunName] = set()
        self.token = 0
        self.born_ms = born_ms
        self.lease_end_ms = lease_end_ms
        self.cut_off = cut_off


class FakeSession:
    """What the coordinator of a term knows of a worker."""

    def __init__(self, worker: Worker, lease_until_ms: int) -> None:
        self.worker = worker
        self.lease_until_ms = lease_until_ms
        self.has_reported = False
        self.has_unknown_runs = False

    @property
    def unknown_runs_until_ms(self) -> int:
        hidden = self.has_unknown_runs or not self.has_reported
        return self.lease_until_ms if hidden else 0

    @property
    def usable(self) -> bool:
        return self.has_reported and not self.has_unknown_runs


@dataclass(frozen=True)
class Order:
    """A start order that may still arrive, at the incarnation of a worker that it was sent to."""

    name: RunName
    worker_id: str
    demand: Resources
    token: int
    born_ms: int
    until_ms: int


class LimitsMachine(RuleBasedStateMachine):
    """Starts, ends, losses, takeovers and configurations in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.workers = {f"w{index}": FakeWorker() for index in range(WORKERS)}
        for each in self.workers.values():
            each.lease_end_ms = self.clock() + LEASE_MS
        self.jobs: dict[str, BatchJob] = {}
        self.unread: set[str] = set()
        self.cancelled: set[str] = set()
        self.recorded: dict[str, tuple[JobState, dict[TaskRef, TaskProgress]]] = {}
        self.published: list[tuple[int, int]] = []  # when, and the limit
        self.orders: list[Order] = []
        self.epoch = 0

    @initialize(limit=LIMITS)
    def begin(self, limit: int) -> None:
        self.published = [(self.clock(), limit)]
        self.read_configuration()
        self.begin_term()
        self.report_some(tuple(range(WORKERS)), read_jobs=True)

    # What really happens.

    def in_force(self) -> int:
        """Return the highest limit that may be in force."""
        replaced = [when for when, _ in self.published[1:]]
        return max(
            limit
            for (_, limit), until in zip(self.published, [*replaced, None], strict=True)
            if until is None or self.clock() <= until + BOUNDS.configuration_ms
        )

    def really_start(self, order: Order) -> bool:
        """Carry out an order unless the worker refuses it; check the limit."""
        there = self.workers[order.worker_id]
        late = self.clock() > order.until_ms or self.clock() > there.lease_end_ms
        if there.cut_off or order.token < there.token or late or order.name in there.ended:
            return False
        there.token = order.token
        if order.name in there.running:
            return True
        there.running[order.name] = order.demand
        # The coordinator knows that the former incarnation is gone and that its runs have ended.
        if order.born_ms != there.born_ms and order.name not in self.tracker.runs:
            there.strays.add(order.name)
        used = sum(
            demand.accelerators
            for each in self.workers.values()
            for name, demand in each.running.items()
            if name not in each.strays
        )
        assert used <= self.in_force(), f"{used} run, and at most {self.in_force()} may"
        return True

    def really_end(self, worker_id: str, name: RunName) -> None:
        there = self.workers[worker_id]
        there.running.pop(name, None)
        there.strays.discard(name)
        there.ended.add(name)

    # What the coordinator does.

    def begin_term(self) -> None:
        self.epoch += 1
        self.tracker = JobTracker(self.clock)
        self.unstored: list[Run] = []
        self.sendable: list[Run] = []
        self.stops: dict[RunName, str] = {}
        self.unsettled: set[RunName] = set()
        self.sessions = {
            worker_id: FakeSession(
                replace(worker(worker_id), born_ms=each.born_ms), self.clock() + FORMER_LEASE_MS
            )
            for worker_id, each in self.workers.items()
        }
        self.starter = RunStarter(
            StartDependencies(
                self.tracker,
                self.sessions,  # type: ignore[arg-type]
                lambda: OperatorState(self.configuration),
                lambda: {name: each.worker for name, each in self.sessions.items()},
                lambda callback: None,
                lambda: True,
                lambda name, end: None,
                self.clock,
                uncertain_use=self.uncertain,
            )
        )
        for job_id in self.jobs:
            if job_id not in self.unread:
                self.import_job(job_id)

    def import_job(self, job_id: str) -> None:
        state, tasks = self.recorded.get(job_id, (JobState.PENDING, {}))
        if state in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED):
            return
        self.tracker.add(self.jobs[job_id], JobProgress(state, tasks))
        if job_id in self.cancelled:
            self.request_stops(self.tracker.cancel(job_id))

    def request_stops(self, names: tuple[RunName, ...]) -> None:
        for name in names:
            run = self.tracker.request_stop(name, "test")
            if run is not None:
                self.stops[name] = run.worker_id

    def unread_workers(self) -> set[str]:
        return {
            task.worker_id
            for job_id in self.unread
            for task in self.recorded.get(job_id, (None, {}))[1].values()
            if task.phase is TaskPhase.ACTIVE
        }

    def uncertain(self) -> Resources:
        return uncertain_use(
            [(each.worker, each.unknown_runs_until_ms) for each in self.sessions.values()],
            self.unread_workers(),
            self.tracker.reserved_on,
            self.clock(),
        )

    def end_run(self, name: RunName, end: RunEnd) -> None:
        self.stops.pop(name, None)
        self.request_stops(self.tracker.end_run(name, end))

    # The rules.

    @rule(limit=LIMITS, read=st.booleans())
    def configure(self, limit: int, read: bool) -> None:
        """Publish a configuration, which the coordinator reads now or later."""
        self.published.append((self.clock(), limit))
        if read:
            self.read_configuration()

    def read_configuration(self) -> None:
        limit = self.published[-1][1]
        organisation = Organisation(OWN, limit=Resources(accelerators=limit))
        self.configuration = Configuration(len(self.published), organisations={OWN: organisation})
        self.confirmed_ms = self.clock()

    def submit(self, count: int, accelerators: int, gang: bool, urgent: bool) -> None:
        step = Step(count, Resources(1_000, 1_000, accelerators), 2_000, gang=gang)
        for _ in range(2):
            job_id = f"{len(self.jobs):03}"
            priority = 0 if urgent else 1
            self.jobs[job_id] = job(job_id, step, priority=priority, submitted_ms=self.clock())
            self.import_job(job_id)

    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        ids = sorted(set(self.jobs) - self.cancelled)
        if not ids:
            return
        job_id = data.draw(st.sampled_from(ids))
        self.cancelled.add(job_id)
        self.request_stops(self.tracker.cancel(job_id))

    def plan_pass(self) -> None:
        now = self.clock()
        operator = OperatorState(self.configuration)
        unread = self.unread_workers()
        usable = [each for name, each in self.sessions.items() if name not in unread]
        candidates = candidate_workers(
            usable,
            self.tracker,
            WorkerHealth(self.clock),
            operator,  # type: ignore[arg-type]
        )
        steps = ready_steps(self.tracker, operator, now, now, BOUNDS, len(candidates))
        uses = organisation_uses(self.configuration, self.tracker.used_by, self.uncertain())
        runs = PlacedRuns().current(self.tracker, now)
        result = plan(steps, candidates, runs, now, organisations=uses)
        self.request_stops(tuple(each.name for each in result.preemptions))
        groups: dict[tuple[str, int], list[tuple[TaskRef, str]]] = {}
        for each in result.assignments:
            # The members of a gang have the same run number.
            gang = self.jobs[each.job_id].steps[0].gang
            key = (each.job_id, -1 if gang else each.task.index)
            groups.setdefault(key, []).append((each.task, each.worker_id))
        for (job_id, _), group in groups.items():
            self.unstored += self.tracker.begin_runs(
                job_id,
                [task for task, _ in group],
                [self.sessions[worker_id].worker for _, worker_id in group],
            )

    def store(self) -> None:
        for job_id in self.tracker.pop_changed():
            state, tasks = self.tracker.recorded_progress(job_id)
            self.recorded[job_id] = (state, dict(tasks))
        self.sendable += self.unstored
        self.unstored = []

    @rule(
        shape=st.tuples(st.integers(1, 4), st.integers(1, 4), st.booleans(), st.booleans()),
        outcomes=st.lists(OUTCOMES, min_size=1, max_size=3),
        most=st.integers(0, 8),
    )
    def serve(self, shape: tuple[int, int, bool, bool], outcomes: list[str], most: int) -> None:
        """Accept jobs and plan; start some of what was planned, with these outcomes in turn."""
        self.submit(*shape)
        self.plan_pass()
        self.store()
        for outcome in islice(cycle(outcomes), min(most, len(self.sendable))):
            self.send(outcome)

    def send(self, outcome: str) -> None:
        run = self.sendable.pop(0)
        if run.name not in self.tracker.runs:
            return
        session = self.sessions[run.worker_id]
        until_ms = self.confirmed_ms + BOUNDS.configuration_ms - VALIDITY_MARGIN_MS
        may_start = self.starter.may_start(run, session.worker)
        if not may_start or self.clock() > until_ms or outcome == "refused":
            self.end_run(run.name, RunEnd.LOST)
            return
        demand = self.jobs[run.name.job_id].steps[run.name.task.step].demand
        order = Order(run.name, run.worker_id, demand, self.epoch, session.worker.born_ms, until_ms)
        self.orders.append(order)
        self.tracker.set_incarnation(run.name, session.worker.born_ms)
        if outcome != "late" and self.really_start(order) and outcome == "accepted":
            self.tracker.settle(run.name)
            return
        # An order without an answer is followed by a stop order until that is answered.
        self.stops[run.name] = run.worker_id

    @precondition(lambda self: self.orders)
    @rule(data=st.data())
    def order_arrives(self, data: st.DataObject) -> None:
        """Deliver an order late, or once more."""
        self.really_start(data.draw(st.sampled_from(self.orders)))

    @precondition(lambda self: self.stops)
    @rule(data=st.data())
    def stop_arrives(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.stops)))
        worker_id = self.stops[name]
        there = self.workers[worker_id]
        if there.cut_off or there.token > self.epoch:
            return
        there.token = self.epoch
        del self.stops[name]
        self.really_end(worker_id, name)
        self.tracker.settle(name)

    @rule(data=st.data())
    def run_ends(self, data: st.DataObject) -> None:
        running = sorted(
            (worker_id, name) for worker_id, each in self.workers.items() for name in each.running
        )
        if running:
            self.really_end(*data.draw(st.sampled_from(running)))

    @rule(indexes=st.sampled_from([(0, 1, 2), (0, 1, 2), (0, 1), (2,)]), read_jobs=st.booleans())
    def report_some(self, indexes: tuple[int, ...], read_jobs: bool) -> None:
        """Renew the leases of some workers; before that, read what was not read yet."""
        if read_jobs:
            self.read_jobs()
        self.read_configuration()
        for index in indexes:
            self.report(index)

    def report(self, index: int) -> None:
        """Renew the lease of a worker, which answers with its runs."""
        worker_id = f"w{index}"
        there, session = self.workers[worker_id], self.sessions[worker_id]
        if there.cut_off:
            return
        there.token = max(there.token, self.epoch)
        there.lease_end_ms = self.clock() + LEASE_MS
        if session.worker.born_ms != there.born_ms:
            session.worker = replace(session.worker, born_ms=there.born_ms)
            for run in self.tracker.runs_on(worker_id):
                if run.name in there.running:
                    self.tracker.set_incarnation(run.name, there.born_ms)
                elif run.incarnation is not None and run.incarnation < there.born_ms:
                    self.end_run(run.name, RunEnd.WORKER_CRASHED)
        session.lease_until_ms = self.clock() + LEASE_MS + LEASE_MARGIN_MS
        session.has_reported = True
        unread = {name for name in there.running if name.job_id in self.unread}
        known = {run.name for run in self.tracker.runs_on(worker_id)}
        unknown = set(there.running) - known
        session.has_unknown_runs = bool(unknown)
        for name in unknown - unread:
            self.stops[name] = worker_id
        for name in known - set(there.running):
            if name in self.tracker.runs and self.tracker.runs[name].settled_ms is not None:
                self.end_run(name, RunEnd.LOST)
            elif name in there.ended and name not in self.stops:
                self.end_run(name, RunEnd.DONE)
        for name in known & set(there.running):
            self.tracker.settle(name)

    @rule(index=st.integers(0, WORKERS - 1), crash=st.booleans())
    def lose_worker(self, index: int, crash: bool) -> None:
        """Cut a worker off or reconnect it, or crash it: it begins again and knows nothing."""
        there = self.workers[f"w{index}"]
        if not crash:
            there.cut_off = not there.cut_off
            return
        self.workers[f"w{index}"] = FakeWorker(
            born_ms=there.born_ms + 1,
            lease_end_ms=self.clock() + LEASE_MS,
            cut_off=there.cut_off,
        )

    @rule(by_ms=st.sampled_from([100, 1_000, 3_000, LEASE_MS]))
    def time_passes(self, by_ms: int) -> None:
        self.clock.move(by_ms)
        for worker_id, there in self.workers.items():
            if self.clock() > there.lease_end_ms:
                for name in tuple(there.running):
                    self.really_end(worker_id, name)
            session = self.sessions[worker_id]
            if self.clock() > session.lease_until_ms and there.cut_off:
                for run in self.tracker.runs_on(worker_id):
                    self.end_run(run.name, RunEnd.LOST)

    @rule(data=st.data())
    def takeover(self, data: st.DataObject) -> None:
        """Replace the coordinator, whose orders for recorded runs may still be under way."""
        until_ms = self.confirmed_ms + BOUNDS.configuration_ms - VALIDITY_MARGIN_MS
        for run in self.sendable:
            if self.starter.may_start(run, self.sessions[run.worker_id].worker):
                demand = self.jobs[run.name.job_id].steps[run.name.task.step].demand
                born_ms = self.sessions[run.worker_id].worker.born_ms
                self.orders.append(
                    Order(run.name, run.worker_id, demand, self.epoch, born_ms, until_ms)
                )
        active = sorted(job_id for job_id, (_, tasks) in self.recorded.items() if tasks)
        self.unread = (
            set(data.draw(st.lists(st.sampled_from(active), max_size=1))) if active else set()
        )
        self.begin_term()

    def read_jobs(self) -> None:
        unread, self.unread = self.unread, set()
        for job_id in sorted(unread):
            self.import_job(job_id)


class LimitsTest(LimitsMachine.TestCase):  # type: ignore[name-defined, misc]
    settings = settings(
        derandomize=True, max_examples=150, stateful_step_count=40, deadline=None, database=None
    )


if __name__ == "__main__":
    unittest.main()
