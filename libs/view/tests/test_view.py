"""Tests of the view on random sequences of events, and of entries that repeat or are missing."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from view_folding import ViewMixin, make_spec, make_worker, member

from hornbeamfold.model import (
    ACTIVE_JOBS,
    ClaimDone,
    ClaimMade,
    ClaimMoved,
    ClaimReleased,
    Entry,
    Event,
    HornbeamfoldError,
    Job,
    JobCancelled,
    JobPlaced,
    JobState,
    JobStopping,
    JobSubmitted,
    MemberReport,
    MembersReported,
    MemberState,
    Record,
    Shape,
    Span,
    StopReason,
    TargetDrain,
    WorkersPut,
    ZoneSet,
)
from hornbeamfold.view import SnapshotCollector, View, snapshot_parts
from hornbeamfold.view.capacity import capacity_of
from hornbeamfold.view.state import WRITER_RETENTION_MS, is_partial

REASONS = (StopReason.RECLAIM, StopReason.ZONE_OUT, StopReason.START_TIMEOUT)
WAITS_MS = (1,) * 40 + (100, 2_000, 61_000, 3_700_000)


def job_event(view: View, job: Job, random: Random) -> Event:
    """Return an event for a job that is often, but not always, valid in its state."""
    if job.state in ACTIVE_JOBS and random.random() < 0.8:
        workers = [status.member.worker for status in job.members]
        chosen = random.sample(workers, random.randint(1, len(workers)))
        state = random.choice((MemberState.RUNNING, *MemberState))
        attempt = job.attempt - (random.random() < 0.1)
        return MembersReported(tuple(MemberReport(*job.key, attempt, w, state) for w in chosen))
    if job.state in ACTIVE_JOBS or random.random() < 0.1:
        reason = random.choice(REASONS)
        if not view.queued or reason is not StopReason.RECLAIM:
            return JobStopping(*job.key, job.attempt, reason)
        beneficiary = random.choice(list(view.queued))
        window = tuple(status.member for status in job.members)
        return JobStopping(*job.key, job.attempt, reason, beneficiary, window)
    if random.random() < 0.1:
        return JobCancelled(*job.key)
    wanted, first, start = job.spec.shape.accelerators, random.randrange(5), random.randrange(4)
    here = [(start + step) % 4 for step in range(min(wanted, random.randint(1, 4)))]
    members = [member(f"w{first}", *here)]
    if wanted > len(here):
        members.append(member(f"w{(first + 1) % 5}", *range(wanted - len(here))))
    return JobPlaced(*job.key, job.attempt, tuple(members), 0)


def other_event(view: View, at_ms: int, random: Random) -> Event:
    """Return a submission, a configuration change or a claim event."""
    worker, version = f"w{random.randrange(5)}", view.workers_version
    zone = view.zones[random.choice(list(view.zones))]
    request = ("a", f"r{random.randrange(3)}")
    epoch = view.claims[request].epoch if request in view.claims else 1
    size = random.randrange(6)
    shape = Shape(size, size, 1, Span.REGION)
    replacement = make_worker(int(worker[1]), random.choice((4, 4, 5)))
    return random.choice(
        (
            JobSubmitted(make_spec(f"j{random.randrange(40)}", shape=shape)),
            JobSubmitted(make_spec(f"j{random.randrange(40)}", shape=shape)),
            ZoneSet(zone.name, "", random.random() < 0.8, zone.version - (size == 5)),
            TargetDrain(worker, random.random() < 0.2, version),
            WorkersPut((), (worker,), version) if size == 0 else TargetDrain(worker, False, 1),
            WorkersPut((replacement,), (), version),
            ClaimMade(*request, "d", "i1", worker, at_ms + 1 + 50_000 * size),
            ClaimMoved(*request, epoch, "i1", worker),
            ClaimDone(*request, epoch - size % 2, "answer"),
            ClaimReleased(*request, epoch),
        )
    )


class RandomFoldTest(ViewMixin):
    def check_view(self, view: View) -> None:
        """Check what the view maintains incrementally against values recomputed from the jobs."""
        jobs = view.jobs.values()
        active = [job for job in jobs if job.state in ACTIVE_JOBS]
        for name, worker in view.workers.items():
            here = [job for job in active if any(m.member.worker == name for m in job.members)]
            self.assertEqual(view.jobs_on(name), tuple(here))
            members = [m.member for job in here for m in job.members if m.member.worker == name]
            held = [index for each in members for index in each.accelerators]
            self.assertEqual(len(held), len(set(held)), "an accelerator is allocated twice")
            zone = view.zones[worker.availability_zone]
            eligible = zone.in_service and name not in view.draining
            expected = capacity_of(worker, zone.region, eligible, members)
            self.assertEqual(view.capacities[name], expected)
            self.assertGreaterEqual(min(expected.free_processors, expected.free_slots), 0)
        self.assertEqual(view.capacities.keys(), view.workers.keys())
        queued = [job for job in jobs if job.state is JobState.QUEUED]
        self.assertEqual(list(view.queued.values()), queued)
        transitional = {job.key for job in active if job.state is not JobState.RUNNING}
        self.assertEqual(set(view.transitional), transitional)
        for job in active:
            whole = all(status.state is MemberState.RUNNING for status in job.members)
            self.assertTrue(not whole or job.state is not JobState.PLACED, job)
        for reservation in view.reservations.values():
            self.assertIn(reservation.beneficiary, view.queued)
            self.assertGreater(reservation.until_ms, view.at_ms)
        partial = {job.key for job in active if is_partial(job)}
        self.assertEqual(set(view.state.partial_since), partial)

    @settings(derandomize=True, max_examples=60, deadline=None, database=None)
    @given(st.integers(1, 200), st.integers(0, 200), st.integers(0, 1 << 32))
    def test_random_events(self, count: int, cut: int, seed: int) -> None:
        """Guards against state that differs between readers at the same offset (I3, I6, I8).

        One reader folds the whole log, another continues from a snapshot.
        """
        self.setUp()
        random = Random(seed)
        verdicts = []
        restored: View | None = None
        for number in range(count):
            if number == cut:
                collector = SnapshotCollector()
                restored = [collector.add(part) for part in snapshot_parts(self.view)][-1]
                assert restored is not None
                self.assertEqual(restored.digest(), self.view.digest())
            before = self.view.configuration_offset
            event = other_event(self.view, self.at_ms, random)
            if self.view.jobs and random.random() < 0.7:
                job = random.choice(list(self.view.jobs.values()))
                event = job_event(self.view, job, random)
            verdicts.append(self.send(event, after_ms=random.choice(WAITS_MS)))
            if random.random() < 0.1:
                repeated = Entry(len(self.entries), self.at_ms, self.entries[-1].record)
                self.entries.append(repeated)
                verdicts.append(self.view.apply(repeated))
                self.assertEqual(verdicts[-1], ())
            self.assertGreaterEqual(self.view.configuration_offset, before)
            self.check_view(self.view)
        for reader in (View(), restored):
            if reader is None:
                continue
            tail = [reader.apply(entry) for entry in self.entries[reader.offset :]]
            self.assertEqual(tail[-len(verdicts) :], verdicts[-len(tail) :])
            self.assertEqual(reader.digest(), self.view.digest())
            self.check_view(reader)


class PositionTest(ViewMixin):
    def test_repeated_or_missing_entries(self) -> None:
        """Guards against applying a repeated append twice, and against skipping expired entries."""
        self.send(JobSubmitted(make_spec()))
        entry = self.entries[-1]
        self.assertEqual(self.view.apply(Entry(entry.offset + 1, 5, entry.record)), ())
        self.assertEqual((self.view.offset, self.view.at_ms), (entry.offset + 2, entry.at_ms))
        self.assertEqual(self.view.apply(entry), ())
        self.assertEqual(self.view.offset, entry.offset + 2)
        with self.assertRaises(HornbeamfoldError):
            self.view.apply(Entry(entry.offset + 3, 1, Record("i1", 99, ())))

    def test_silent_writers_expire(self) -> None:
        """Guards against a state that grows with every restart of an instance."""
        self.send(writer="i2")
        self.send(after_ms=WRITER_RETENTION_MS - 1)
        self.assertEqual(list(self.view.state.writers), ["i2", "i1"])
        self.send()
        self.assertEqual(list(self.view.state.writers), ["i1"])
