"""A small cluster that applies decisions and checks them, shared by the tests."""

from dataclasses import replace

from hornbeamfold.model import (
    ACTIVE_JOBS,
    Job,
    JobJudged,
    JobPlaced,
    JobSpec,
    JobState,
    JobStopping,
    MemberStatus,
    Organisation,
    Reservation,
    Shape,
    Span,
    Worker,
    WorkerCapacity,
)
from hornbeamfold.model.timing import RESERVATION_MS
from hornbeamfold.placement import PlanningState, plan
from hornbeamfold.placement.blocks import free_index, member_on
from hornbeamfold.placement.occupancy import Occupancy


def workers(racks=3, per_rack=8, accelerators=8, slots=8):
    """Return the workers of all racks; each rack is an availability zone of its own."""
    return tuple(
        Worker(f"w{r}{p}", "", f"z{r}", f"r{r}", p, 64, 256, accelerators, slots, 64)
        for r in range(racks)
        for p in range(per_rack)
    )


def region_of(worker):
    """Return the region of a worker: one for the first two zones, another for the others."""
    return "east" if worker.availability_zone in ("z0", "z1") else "south"


def spec(name, accelerators, organisation="a", span=Span.RACK, urgent=False, **values):
    """Return the specification of a job."""
    shape = Shape(accelerators, values.pop("processors", 1), values.pop("memory_gb", 1), span)
    values.setdefault("declared_ms", 60_000)
    return JobSpec(organisation, name, "render", "", shape, urgent=urgent, **values)


class Cluster:
    """Jobs on workers; `step` plans and applies the decisions as a view would."""

    def __init__(self, test_case, machines, organisations=()):
        self.test_case = test_case
        self.machines = {worker.name: worker for worker in machines}
        self.organisations = {item.name: item for item in organisations} or {"a": Organisation("a")}
        self.jobs = {}
        self.zones_out = set()
        self.reservations = {}
        self.now = 0

    def capacities(self):
        """Return the free capacities; fail if a resource is allocated more than once."""
        remaining = {
            name: [(1 << w.accelerators) - 1, w.processors, w.memory_gb, w.slots]
            for name, w in self.machines.items()
        }
        for job in self.jobs.values():
            if job.state not in ACTIVE_JOBS:
                continue
            for status in job.members:
                remaining_on_worker = remaining[status.member.worker]
                for index in status.member.accelerators:
                    self.test_case.assertTrue(
                        remaining_on_worker[0] >> index & 1,
                        f"accelerator allocated twice: {job.key}",
                    )
                    remaining_on_worker[0] &= ~(1 << index)
                remaining_on_worker[1] -= status.member.processors
                remaining_on_worker[2] -= status.member.memory_gb
                remaining_on_worker[3] -= 1
        for remaining_on_worker in remaining.values():
            self.test_case.assertGreaterEqual(min(remaining_on_worker), 0)
        return {
            name: WorkerCapacity(
                w, region_of(w), *remaining[name], w.availability_zone not in self.zones_out
            )
            for name, w in self.machines.items()
        }

    def submit(self, item, **values):
        """Add a job to the queue."""
        self.jobs[item.key] = Job(item, values.pop("submitted_ms", self.now), **values)

    def start(self, item, *places, started_ms=0, state=JobState.RUNNING):
        """Add an active job; each place is a worker with the indices of its accelerators."""
        members = tuple(
            MemberStatus(member_on(worker, sum(1 << index for index in indices), item.shape))
            for worker, indices in places
        )
        self.jobs[item.key] = Job(
            item, 0, state, members=members, placed_ms=started_ms, running_ms=started_ms
        )

    def free_index(self):
        """Return the index of the free resources."""
        return free_index(self.capacities())

    def occupancy(self):
        """Return the occupancy of all workers."""
        active = [job for job in self.jobs.values() if job.state in ACTIVE_JOBS]
        return Occupancy(active, {}, self.now)

    def step(self):
        """Plan once and apply the decisions; return their events."""
        self.reservations = {
            key: item for key, item in self.reservations.items() if item.until_ms > self.now
        }
        state = PlanningState(
            tuple(self.jobs.values()),
            self.capacities(),
            self.organisations,
            tuple(self.reservations.values()),
            {},
            7,
        )
        decisions = plan(state, self.now)
        for decision in decisions:
            self.test_case.assertTrue(decision.reason)
            self._apply(decision.event)
        self.capacities()
        return [decision.event for decision in decisions]

    def _apply(self, event):
        key = (event.organisation, event.job_id)
        job = self.jobs[key]
        if isinstance(event, JobJudged):
            self.jobs[key] = replace(job, infeasible=event.infeasible)
        elif isinstance(event, JobPlaced):
            self.test_case.assertIs(job.state, JobState.QUEUED)
            self._check_reserved(event)
            self.check_gang_placement(job.spec.shape, event.members)
            self.reservations.pop(key, None)
            members = tuple(MemberStatus(member) for member in event.members)
            self.jobs[key] = replace(
                job, state=JobState.RUNNING, members=members, running_ms=self.now
            )
        elif isinstance(event, JobStopping):
            self.test_case.assertIn(job.state, (JobState.PLACED, JobState.RUNNING))
            self.jobs[key] = replace(job, state=JobState.STOPPING, stopping_ms=self.now)
            if event.beneficiary:
                self.reservations[event.beneficiary] = Reservation(
                    event.beneficiary, event.window, self.now + RESERVATION_MS
                )

    def _check_reserved(self, event):
        for reservation in self.reservations.values():
            if reservation.beneficiary == (event.organisation, event.job_id):
                continue
            reserved = {(m.worker, i) for m in reservation.members for i in m.accelerators}
            used = {(m.worker, i) for m in event.members for i in m.accelerators}
            self.test_case.assertFalse(
                reserved & used, "a reserved accelerator was given to another job"
            )

    def check_gang_placement(self, shape, members):
        """Fail unless the members are a complete gang within its span."""
        gang_workers = [self.machines[member.worker] for member in members]
        self.test_case.assertEqual(len({w.name for w in gang_workers}), len(gang_workers))
        self.test_case.assertEqual(sum(len(m.accelerators) for m in members), shape.accelerators)
        self.test_case.assertEqual(len({region_of(w) for w in gang_workers}), 1)
        if shape.span <= Span.ZONE:
            self.test_case.assertEqual(len({w.availability_zone for w in gang_workers}), 1)
        if shape.span <= Span.RACK and shape.accelerators:
            positions = sorted(
                w.position * w.accelerators + index
                for w, m in zip(gang_workers, members, strict=True)
                for index in m.accelerators
            )
            self.test_case.assertEqual(
                positions, list(range(positions[0], positions[0] + len(positions)))
            )
        if shape.span is Span.WORKER:
            self.test_case.assertEqual(len(members), 1)

    def finish(self, key):
        """End an active job: a stopping job is queued again, any other job is finished."""
        job = self.jobs[key]
        if job.state is JobState.STOPPING:
            self.jobs[key] = replace(
                job, state=JobState.QUEUED, members=(), attempt=job.attempt + 1, running_ms=0
            )
        else:
            self.jobs[key] = replace(job, state=JobState.FINISHED, members=())

    def finish_stopping(self):
        """End all jobs that are being stopped."""
        for key, job in list(self.jobs.items()):
            if job.state is JobState.STOPPING:
                self.finish(key)

    def running(self, key):
        """Return whether a job is running."""
        return self.jobs[key].state is JobState.RUNNING
